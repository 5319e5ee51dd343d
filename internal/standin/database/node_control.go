package database

import (
	"net/netip"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// fence raises the term. A primary becomes a replica.
func (n *node) fence(term model.Term, nonce model.Nonce) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := n.checkJoined(); err != nil {
		return err
	}
	if term == n.term && nonce == n.nonce {
		return nil
	}
	if term <= n.term {
		return n.conflict(term)
	}
	n.enterTerm(term, nonce)
	return nil
}

// promote makes a node that is fenced at term and nonce the primary.
func (n *node) promote(term model.Term, nonce model.Nonce) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := n.checkJoined(); err != nil {
		return err
	}
	if term != n.term || nonce != n.nonce || nonce == "" {
		return n.conflict(term)
	}
	if n.role == model.RolePrimary {
		return nil
	}
	for len(n.arrivals) > 0 {
		n.applyNext()
	}
	n.role = model.RolePrimary
	n.setTarget(target{})
	n.appendEntry(entry{})
	return nil
}

// follow makes the node a replica of a primary in term.
func (n *node) follow(term model.Term, name model.DatabaseID, address netip.AddrPort) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if term < n.term || (term == n.term && n.role == model.RolePrimary) {
		return n.conflict(term)
	}
	if term > n.term {
		n.enterTerm(term, "")
	}
	if n.target.name != name || n.target.address != address {
		n.setTarget(target{name: name, address: address})
	}
	return nil
}

// settle tells whether key was committed, and forbids it where it was not.
func (n *node) settle(term model.Term, key string) (keyOutcome, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if term != n.term || n.role != model.RolePrimary {
		return keyOutcome{}, n.conflict(term)
	}
	if outcome, known := n.log.keys[key]; known {
		return outcome, nil
	}
	return keyOutcome{position: n.appendEntry(entry{Key: key, Settled: true})}, nil
}

// enterTerm raises the term and ends what was done in lower ones: commits as a
// primary, and the stream from a source. The source is kept, in case it becomes
// primary of the new term.
func (n *node) enterTerm(term model.Term, nonce model.Nonce) {
	if n.role == model.RolePrimary {
		n.demotions++
	}
	n.role = model.RoleReplica
	n.term = term
	n.nonce = nonce
	n.setTarget(n.target)
}

// checkJoined refuses to count a node that lost its log among a majority.
func (n *node) checkJoined() error {
	if n.joining {
		return failure(stateNotYet, "the database has not caught up with its source yet")
	}
	return nil
}

func (n *node) conflict(term model.Term) error {
	return failure(stateConflict, "term %d is refused: the database is %s in term %d with nonce %q",
		term, n.role, n.term, n.nonce)
}
