package database

import (
	"net/netip"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// fence raises the term to a higher one. A primary becomes a replica. Repeating
// the call with the same term and nonce has no effect and is no error.
func (n *node) fence(term model.Term, nonce model.Nonce) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := n.checkCaughtUp(); err != nil {
		return err
	}
	if term == n.term && nonce == n.nonce {
		return nil
	}
	if term <= n.term {
		return n.termConflict(term)
	}
	n.enterTerm(term, nonce)
	return nil
}

// promote makes a node that is fenced at term and nonce the primary of term. It
// first applies all received entries.
func (n *node) promote(term model.Term, nonce model.Nonce) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := n.checkCaughtUp(); err != nil {
		return err
	}
	if term != n.term || nonce != n.nonce || nonce == "" {
		return n.termConflict(term)
	}
	if n.role == model.RolePrimary {
		return nil
	}
	for len(n.receiveTimes) > 0 {
		n.applyNext()
	}
	n.role = model.RolePrimary
	n.setSource(streamSource{})
	n.appendEntry(entry{})
	return nil
}

// follow makes the node a replica of a primary of term.
func (n *node) follow(term model.Term, name model.DatabaseID, address netip.AddrPort) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if term < n.term || (term == n.term && n.role == model.RolePrimary) {
		return n.termConflict(term)
	}
	if term > n.term {
		n.enterTerm(term, "")
	}
	if n.source.name != name || n.source.address != address {
		n.setSource(streamSource{name: name, address: address})
	}
	return nil
}

// settle returns whether key was committed. If it was not, settle appends an
// entry that prevents it from ever being committed.
func (n *node) settle(term model.Term, key string) (keyOutcome, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if term != n.term || n.role != model.RolePrimary {
		return keyOutcome{}, n.termConflict(term)
	}
	if outcome, known := n.log.keys[key]; known {
		return outcome, nil
	}
	return keyOutcome{position: n.appendEntry(entry{Key: key, ResolvedNotCommitted: true})}, nil
}

// enterTerm raises the term, makes the node a replica and ends the stream from
// its source. Transactions that began while it was primary can no longer
// commit. The source is kept, because it may become primary of the new term.
func (n *node) enterTerm(term model.Term, nonce model.Nonce) {
	if n.role == model.RolePrimary {
		n.demotions++
	}
	n.role = model.RoleReplica
	n.term = term
	n.nonce = nonce
	n.setSource(n.source)
}

// checkCaughtUp returns an error if the node lost its log and has not caught up
// since, because it must not count towards a majority then.
func (n *node) checkCaughtUp() error {
	if n.catchingUp {
		return newSQLError(stateNotReady, "the database has not caught up with its source yet")
	}
	return nil
}

// termConflict returns the error for a control statement that names a term, or a
// nonce, that does not fit the state of the node.
func (n *node) termConflict(term model.Term) error {
	return newSQLError(stateTermConflict, "term %d is refused: the database is %s in term %d with nonce %q",
		term, n.role, n.term, n.nonce)
}
