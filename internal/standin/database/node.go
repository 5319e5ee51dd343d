package database

import (
	"sync"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// node is the replicated state of one database: its role and term, its log, and
// the content as of the last applied entry. The methods that lock mu may be
// called from any goroutine; the others require that the caller has locked it.
type node struct {
	mu    sync.Mutex
	name  model.DatabaseID
	zone  model.ZoneID
	role  model.Role
	term  model.Term
	nonce model.Nonce
	// demotions is the number of times that this node stopped being primary.
	demotions uint64
	// catchingUp is true if the node started without its log and has not caught up with
	// its source since.
	catchingUp bool

	log     entryLog
	applied uint64
	content content
	// receiveTimes holds the time of reception of each entry that is not applied yet.
	receiveTimes []time.Time
	lag          time.Duration

	source        streamSource
	sourceChanged chan struct{}
	streaming     bool
	changed       chan struct{}
}

// newNode returns a replica without a log, or a primary whose log starts its
// term.
func newNode(options Options) *node {
	n := &node{
		name:          options.Name,
		zone:          options.Zone,
		log:           newEntryLog(),
		content:       newContent(),
		lag:           options.ApplyLag,
		sourceChanged: make(chan struct{}),
		changed:       make(chan struct{}),
	}
	if options.Source.IsValid() {
		n.catchingUp = true
		n.source.address = options.Source
	}
	if options.Primary {
		n.role = model.RolePrimary
		n.term = max(options.Term, 1)
		n.appendEntry(entry{})
	}
	return n
}

// notify wakes all goroutines that wait for a change of the node.
func (n *node) notify() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// changeSignal returns a channel that is closed at the next change of the node.
func (n *node) changeSignal() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changed
}

// snapshot returns the node's part of the state, and a channel that is closed
// when the node changes.
func (n *node) snapshot() (State, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state(), n.changed
}

// appliedPosition returns the last position that reads see.
func (n *node) appliedPosition() model.Position {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.log.position(n.applied)
}

func (n *node) state() State {
	return State{
		Name:      n.name,
		Role:      n.role,
		Term:      n.term,
		Nonce:     n.nonce,
		Received:  n.log.position(n.log.lastOffset()),
		Applied:   n.log.position(n.applied),
		Source:    n.source.name,
		Streaming: n.streaming,
	}
}

// -----------------------------------------------------------------------------
// Reading and committing.

// precondition is what must still hold when a statement runs.
type precondition struct {
	// expectedWork is the term and key that the session expects, nil if it expects
	// none.
	expectedWork *workExpectation
	// demotions is the value of node.demotions when the transaction began.
	demotions uint64
}

// checkPrecondition returns an error if a statement must not run because the
// precondition does not hold.
func (n *node) checkPrecondition(pre precondition) error {
	if pre.demotions != n.demotions {
		return newSQLError(stateTermMismatch, "the database is no longer primary; its term is %d", n.term)
	}
	if pre.expectedWork != nil && pre.expectedWork.term != n.term {
		return newSQLError(stateTermMismatch, "the database's term is %d, not %d", n.term, pre.expectedWork.term)
	}
	return nil
}

// checkWritable returns an error if a write must not run because the
// precondition does not hold or the node is not primary.
func (n *node) checkWritable(pre precondition) error {
	if err := n.checkPrecondition(pre); err != nil {
		return err
	}
	if n.role != model.RolePrimary {
		return newSQLError(stateReadOnly, "the database is a replica")
	}
	return nil
}

// begin returns the precondition of a transaction that starts now.
func (n *node) begin(expected *workExpectation) (precondition, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	pre := precondition{expectedWork: expected, demotions: n.demotions}
	return pre, n.checkPrecondition(pre)
}

// withContent calls a function with the applied content and returns the
// position of the content. With writes, the node must be primary.
func (n *node) withContent(pre precondition, writes bool, run func(c *content) error) (model.Position, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	check := n.checkPrecondition
	if writes {
		check = n.checkWritable
	}
	if err := check(pre); err != nil {
		return model.Position{}, err
	}
	return n.log.position(n.applied), run(&n.content)
}

// commit appends an entry with changes to the log and applies it. It returns
// the position of the commit.
func (n *node) commit(pre precondition, changes []change) (model.Position, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := n.checkWritable(pre); err != nil {
		return model.Position{}, err
	}
	key := ""
	if pre.expectedWork != nil {
		key = pre.expectedWork.key
	}
	if _, known := n.log.keys[key]; known {
		return model.Position{}, newSQLError(stateDuplicateKey, "the key %q was committed or settled before", key)
	}
	if existing, conflict := n.content.duplicateInsert(changes); conflict {
		return model.Position{}, newSQLError(stateUniqueViolation, "the key %q exists", existing)
	}
	return n.appendEntry(entry{Key: key, Changes: changes}), nil
}

// appendEntry appends an entry in the primary's own term and applies it at
// once.
func (n *node) appendEntry(e entry) model.Position {
	e.Position = model.Position{Term: n.term, Offset: n.log.lastOffset() + 1}
	n.log.append(e)
	n.content.apply(e.Changes)
	n.applied = e.Position.Offset
	n.notify()
	return e.Position
}

// -----------------------------------------------------------------------------
// Applying what a replica received.

// setLag changes the time between the reception of an entry and its
// application.
func (n *node) setLag(lag time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lag = lag
	n.notify()
}

// applyDue applies the entries that were received at least the apply lag ago.
// It returns the time until the next entry is due, negative if there is none,
// and a channel that is closed at the next change.
func (n *node) applyDue(now time.Time) (time.Duration, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	appliedBefore := n.applied
	for len(n.receiveTimes) > 0 && now.Sub(n.receiveTimes[0]) >= n.lag {
		n.applyNext()
	}
	if n.applied != appliedBefore {
		n.notify()
	}
	if len(n.receiveTimes) == 0 {
		return -1, n.changed
	}
	return n.lag - now.Sub(n.receiveTimes[0]), n.changed
}

// applyNext applies the entry after the last applied one.
func (n *node) applyNext() {
	n.applied++
	n.content.apply(n.log.entries[n.applied-1].Changes)
	n.receiveTimes = n.receiveTimes[1:]
}

// dropTail removes the entries after an offset from the log. It rebuilds the
// content if one of them was applied.
func (n *node) dropTail(offset uint64) {
	n.log.truncate(offset)
	if n.applied > offset {
		n.content = newContent()
		for _, e := range n.log.entries {
			n.content.apply(e.Changes)
		}
		n.applied = offset
	}
	n.receiveTimes = n.receiveTimes[:offset-n.applied]
}
