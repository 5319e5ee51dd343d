package engine_test

import (
	"fmt"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

const streamCheckInterval = 100 * time.Millisecond

// entry is one entry of a database's log. A replica shows it to reads from appliedAt
// on.
type entry struct {
	position model.Position
	key      string
	value    string
	// neverCommitted marks a key that was resolved as not committed.
	neverCommitted bool
	appliedAt      time.Time
}

// fakeDatabase is one database of the group. Its content is its log.
type fakeDatabase struct {
	world     *world
	name      model.DatabaseID
	role      model.Role
	term      model.Term
	nonce     model.Nonce
	log       []entry
	lag       time.Duration
	source    *fakeDatabase
	streaming bool
	leaving   bool
	dead      bool
	frozen    bool
	// unresponsiveTo holds the instances whose open connections get no response.
	unresponsiveTo map[string]bool
	deferred       []func()
}

func newFakeDatabase(w *world, index int) *fakeDatabase {
	d := &fakeDatabase{
		world: w, name: model.DatabaseID(fmt.Sprintf("d%d", index)), term: 1, lag: 5 * time.Millisecond, unresponsiveTo: map[string]bool{},
	}
	if index > 1 {
		d.source = w.databases[0]
		d.streaming = true
	}
	w.after(streamCheckInterval, d.checkStream)
	return d
}

// runOrDefer runs a function at the database: once it is unfrozen if it is frozen,
// and not at all if it is dead.
func (d *fakeDatabase) runOrDefer(run func()) {
	if d.dead {
		return
	}
	if d.frozen {
		d.deferred = append(d.deferred, run)
		return
	}
	run()
}

func (d *fakeDatabase) unfreeze() {
	d.frozen = false
	deferred := d.deferred
	d.deferred = nil
	for _, run := range deferred {
		d.runOrDefer(run)
	}
}

func (d *fakeDatabase) received() model.Position {
	if len(d.log) == 0 {
		return model.Position{}
	}
	return d.log[len(d.log)-1].position
}

// appliedLog returns the part of the log that reads see.
func (d *fakeDatabase) appliedLog() []entry {
	if d.role == model.RolePrimary {
		return d.log
	}
	shown := len(d.log)
	for shown > 0 && d.log[shown-1].appliedAt.After(d.world.now) {
		shown--
	}
	return d.log[:shown]
}

func (d *fakeDatabase) applied() model.Position {
	log := d.appliedLog()
	if len(log) == 0 {
		return model.Position{}
	}
	return log[len(log)-1].position
}

func (d *fakeDatabase) status() message.DatabaseStatus {
	s := message.DatabaseStatus{
		Role: d.role, Term: d.term, Nonce: d.nonce, Received: d.received(), Applied: d.applied(),
		Streaming: d.streaming, Leaving: d.leaving,
	}
	if d.source != nil {
		s.Source = d.source.name
	}
	return s
}

// commit appends an entry and replicates it. It returns false if the key is already
// in the log, unless the key is empty. With neverCommitted, the entry records that
// the key was resolved as not committed.
func (d *fakeDatabase) commit(key, value string, neverCommitted bool) (model.Position, bool) {
	if _, found := d.findKey(key); found && key != "" {
		return model.Position{}, false
	}
	position := model.Position{Term: d.term, Offset: uint64(len(d.log) + 1)}
	d.log = append(d.log, entry{position: position, key: key, value: value, neverCommitted: neverCommitted, appliedAt: d.world.now})
	d.replicate()
	return position, true
}

func (d *fakeDatabase) findKey(key string) (entry, bool) {
	for _, e := range d.log {
		if e.key == key {
			return e, true
		}
	}
	return entry{}, false
}

func (d *fakeDatabase) replicate() {
	for _, replica := range d.world.databases {
		if replica.source != d {
			continue
		}
		d.world.after(d.world.messageDelay(), func() { replica.runOrDefer(replica.fetchEntries) })
	}
}

// isStreamUp reports whether the database can receive entries from its source.
func (d *fakeDatabase) isStreamUp() bool {
	s := d.source
	return s != nil && !s.dead && !s.frozen && s.role == model.RolePrimary && s.term == d.term &&
		d.world.isConnected(string(d.name), string(s.name))
}

func (d *fakeDatabase) fetchEntries() {
	if !d.isStreamUp() {
		return
	}
	for len(d.log) < len(d.source.log) {
		e := d.source.log[len(d.log)]
		e.appliedAt = d.world.now.Add(d.lag)
		d.log = append(d.log, e)
	}
}

// checkStream checks the stream once per streamCheckInterval. streaming becomes false
// at the first check that finds the stream lost, and true at the second one in a row
// that finds it up.
func (d *fakeDatabase) checkStream() {
	up := d.isStreamUp()
	d.world.after(streamCheckInterval, func() {
		d.runOrDefer(func() {
			d.streaming = up && d.isStreamUp()
			d.fetchEntries()
		})
		d.checkStream()
	})
}

// -----------------------------------------------------------------------------
// Control requests.

func (d *fakeDatabase) fence(term model.Term, nonce model.Nonce) message.ControlResult {
	if term < d.term || term == d.term && nonce != d.nonce {
		return message.ControlConflict
	}
	if term > d.term {
		d.term, d.nonce, d.role, d.source, d.streaming = term, nonce, model.RoleReplica, nil, false
	}
	return message.ControlOK
}

func (d *fakeDatabase) promote(term model.Term, nonce model.Nonce) message.ControlResult {
	if term != d.term || nonce != d.nonce {
		return message.ControlConflict
	}
	if d.role != model.RolePrimary {
		d.role = model.RolePrimary
		// This is the first entry of the new term. It belongs to no request, so its
		// key is empty.
		d.commit("", "term", false)
	}
	return message.ControlOK
}

func (d *fakeDatabase) follow(term model.Term, source *fakeDatabase) message.ControlResult {
	if term < d.term {
		return message.ControlConflict
	}
	d.term, d.role, d.source = term, model.RoleReplica, source
	commonLength := 0
	for commonLength < min(len(d.log), len(source.log)) && d.log[commonLength].position == source.log[commonLength].position {
		commonLength++
	}
	d.log = d.log[:commonLength]
	d.streaming = d.isStreamUp()
	d.fetchEntries()
	return message.ControlOK
}

// performDatabaseAction sends a control request. Exactly one response is delivered,
// at the timeout at the latest.
func (n *node) performDatabaseAction(action message.Action) {
	w := n.world
	sentAt := w.now
	var d *fakeDatabase
	var name model.DatabaseID
	var correlationID uint64
	var timeout time.Duration
	var answer func(reply func(message.ControlResult))
	replyWith := func(run func() message.ControlResult) func(func(message.ControlResult)) {
		return func(reply func(message.ControlResult)) { reply(run()) }
	}
	switch a := action.(type) {
	case message.Probe:
		d, name, correlationID, timeout = w.database(a.Database), a.Database, a.CorrelationID, a.Timeout
		answer = replyWith(func() message.ControlResult { return message.ControlOK })
	case message.AwaitPosition:
		// The database responds at the latest a.Timeout after the request arrives.
		// The rest is for the messages to it and back.
		d, name, correlationID, timeout = w.database(a.Database), a.Database, a.CorrelationID, a.Timeout+100*time.Millisecond
		answer = func(reply func(message.ControlResult)) { d.await(a, w.now.Add(a.Timeout), reply) }
	case message.Fence:
		d, name, correlationID, timeout = w.database(a.Database), a.Database, a.CorrelationID, a.Timeout
		answer = replyWith(func() message.ControlResult { return d.fence(a.Term, a.Nonce) })
	case message.Promote:
		d, name, correlationID, timeout = w.database(a.Database), a.Database, a.CorrelationID, a.Timeout
		answer = replyWith(func() message.ControlResult { return d.promote(a.Term, a.Nonce) })
	case message.Follow:
		d, name, correlationID, timeout = w.database(a.Database), a.Database, a.CorrelationID, a.Timeout
		answer = replyWith(func() message.ControlResult { return d.follow(a.Term, w.database(a.Source)) })
	case message.ResolveInDoubt:
		n.resolveInDoubt(a)
		return
	}
	done := false
	finish := func(status message.DatabaseStatus, err message.ControlResult) {
		if !done {
			done = true
			n.deliverEvent(message.ControlAnswered{Database: name, CorrelationID: correlationID, SentAt: sentAt, Status: status, Result: err})
		}
	}
	n.exchange(d, timeout, func(back func(func())) {
		answer(func(err message.ControlResult) {
			status := d.status()
			back(func() { finish(status, err) })
		})
	}, func(err message.ControlResult) { finish(message.DatabaseStatus{}, err) })
}

// exchange delivers a control request to a database and its response back.
func (n *node) exchange(d *fakeDatabase, timeout time.Duration, request func(back func(func())), onFailure func(message.ControlResult)) {
	w := n.world
	w.after(timeout, func() { onFailure(message.ControlTimeout) })
	if d == nil {
		return
	}
	w.after(w.messageDelay(), func() {
		if !w.isConnected(n.name, string(d.name)) {
			return
		}
		if d.dead {
			w.after(w.messageDelay(), func() { onFailure(message.ControlUnreachable) })
			return
		}
		d.runOrDefer(func() {
			request(func(deliver func()) {
				w.after(w.messageDelay(), func() {
					if w.isConnected(n.name, string(d.name)) {
						deliver()
					}
				})
			})
		})
	})
}

func (d *fakeDatabase) await(a message.AwaitPosition, deadline time.Time, reply func(message.ControlResult)) {
	if !d.received().Less(a.Position) || d.term > a.Position.Term || !d.world.now.Before(deadline) {
		reply(message.ControlOK)
		return
	}
	d.world.after(time.Millisecond, func() { d.runOrDefer(func() { d.await(a, deadline, reply) }) })
}

func (n *node) resolveInDoubt(a message.ResolveInDoubt) {
	d := n.world.database(a.Database)
	done := false
	finish := func(resolved message.InDoubtResolved) {
		if !done {
			done = true
			resolved.Database, resolved.CorrelationID, resolved.IdempotencyKey = d.name, a.CorrelationID, a.IdempotencyKey
			n.deliverEvent(resolved)
		}
	}
	n.exchange(d, a.Timeout, func(back func(func())) {
		resolved := message.InDoubtResolved{}
		if d.role != model.RolePrimary || d.term != a.Term {
			resolved.Result = message.ControlConflict
		} else if e, found := d.findKey(a.IdempotencyKey); found {
			resolved.Committed, resolved.Position = !e.neverCommitted, e.position
		} else {
			resolved.Position, _ = d.commit(a.IdempotencyKey, "", true)
		}
		back(func() { finish(resolved) })
	}, func(err message.ControlResult) { finish(message.InDoubtResolved{Result: err}) })
}
