package database

import (
	"sync"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// node is the replicated state of one database: its role and term, its log,
// and the content as far as the log is applied. All methods may be called from
// any goroutine.
type node struct {
	mu    sync.Mutex
	name  model.DatabaseID
	zone  model.ZoneID
	role  model.Role
	term  model.Term
	nonce model.Nonce
	// demotions counts the times that this node stopped being primary.
	demotions uint64
	// joining says that the node began without its log and has not caught up.
	joining bool

	log     entryLog
	applied uint64
	content content
	// arrivals holds when each entry that is not applied yet was received.
	arrivals []time.Time
	lag      time.Duration

	target    target
	retarget  chan struct{}
	streaming bool
	changed   chan struct{}
}

// newNode returns a replica without a log, or the primary that opens a term.
func newNode(options Options) *node {
	n := &node{
		name:     options.Name,
		zone:     options.Zone,
		log:      newEntryLog(),
		content:  newContent(),
		lag:      options.ApplyLag,
		retarget: make(chan struct{}),
		changed:  make(chan struct{}),
	}
	if options.Source.IsValid() {
		n.joining = true
		n.target.address = options.Source
	}
	if options.Primary {
		n.role = model.RolePrimary
		n.term = max(options.Term, 1)
		n.appendEntry(entry{})
	}
	return n
}

// notify wakes everyone that waits for a change.
func (n *node) notify() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// changes returns a channel that is closed at the next change of the node.
func (n *node) changes() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changed
}

// snapshot returns the node's part of the state, and a channel that is closed
// when it changes.
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
		Received:  n.log.position(n.log.last()),
		Applied:   n.log.position(n.applied),
		Source:    n.target.name,
		Streaming: n.streaming,
	}
}

// -----------------------------------------------------------------------------
// Reading and committing.

// guard tells what a statement relies on.
type guard struct {
	// work is what the connection expects, or nil.
	work *work
	// demotions is the count at the start of the transaction.
	demotions uint64
}

// check returns the error that stops a statement under guard.
func (n *node) check(g guard) error {
	if g.demotions != n.demotions {
		return failure(stateTerm, "the database is no longer primary; its term is %d", n.term)
	}
	if g.work != nil && g.work.term != n.term {
		return failure(stateTerm, "the database's term is %d, not %d", n.term, g.work.term)
	}
	return nil
}

// checkWritable returns the error that stops a write under guard.
func (n *node) checkWritable(g guard) error {
	if err := n.check(g); err != nil {
		return err
	}
	if n.role != model.RolePrimary {
		return failure(stateReadOnly, "the database is a replica")
	}
	return nil
}

// begin returns the guard of a transaction that starts now.
func (n *node) begin(w *work) (guard, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	g := guard{work: w, demotions: n.demotions}
	return g, n.check(g)
}

// look runs a function on the applied content and returns its position.
func (n *node) look(g guard, writes bool, run func(c *content) error) (model.Position, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	check := n.check
	if writes {
		check = n.checkWritable
	}
	if err := check(g); err != nil {
		return model.Position{}, err
	}
	return n.log.position(n.applied), run(&n.content)
}

// commit appends changes to the log and applies them. It returns the position
// of the commit.
func (n *node) commit(g guard, changes []change) (model.Position, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := n.checkWritable(g); err != nil {
		return model.Position{}, err
	}
	key := ""
	if g.work != nil {
		key = g.work.key
	}
	if _, known := n.log.keys[key]; known {
		return model.Position{}, failure(stateDuplicate, "the key %q was committed or settled before", key)
	}
	if existing, conflict := n.content.conflict(changes); conflict {
		return model.Position{}, failure(stateUniqueViolation, "the key %q exists", existing)
	}
	return n.appendEntry(entry{Key: key, Changes: changes}), nil
}

// appendEntry adds an entry of the primary's own term, applied at once.
func (n *node) appendEntry(e entry) model.Position {
	e.Position = model.Position{Term: n.term, Offset: n.log.last() + 1}
	n.log.append(e)
	n.content.apply(e.Changes)
	n.applied = e.Position.Offset
	n.notify()
	return e.Position
}

// -----------------------------------------------------------------------------
// Applying what a replica received.

// setLag changes the time between receiving and applying.
func (n *node) setLag(lag time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lag = lag
	n.notify()
}

// applyDue applies the entries that were received a lag ago. It returns the
// time until the next one is due, or a negative time where there is none, and
// a channel that is closed at the next change.
func (n *node) applyDue(now time.Time) (time.Duration, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	before := n.applied
	for len(n.arrivals) > 0 && now.Sub(n.arrivals[0]) >= n.lag {
		n.applyNext()
	}
	if n.applied != before {
		n.notify()
	}
	if len(n.arrivals) == 0 {
		return -1, n.changed
	}
	return n.lag - now.Sub(n.arrivals[0]), n.changed
}

func (n *node) applyNext() {
	n.applied++
	n.content.apply(n.log.entries[n.applied-1].Changes)
	n.arrivals = n.arrivals[1:]
}

// dropTail drops the entries after an offset, and rebuilds the content where
// some of them were applied.
func (n *node) dropTail(offset uint64) {
	n.log.truncate(offset)
	if n.applied > offset {
		n.content = newContent()
		for _, e := range n.log.entries {
			n.content.apply(e.Changes)
		}
		n.applied = offset
	}
	n.arrivals = n.arrivals[:offset-n.applied]
}
