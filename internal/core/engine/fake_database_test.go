package engine_test

import (
	"fmt"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

const streamCheck = 100 * time.Millisecond

type entry struct {
	position model.Position
	key      string
	value    string
	// never marks a key that was settled as not committed.
	never   bool
	applied time.Time
}

// fakeDatabase is one database of the group: its log is its content.
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
	// mute holds the instances whose open connections are never answered.
	mute map[string]bool
	late []func()
}

func newFakeDatabase(w *world, index int) *fakeDatabase {
	d := &fakeDatabase{
		world: w, name: model.DatabaseID(fmt.Sprintf("d%d", index)), term: 1, lag: 5 * time.Millisecond, mute: map[string]bool{},
	}
	if index > 1 {
		d.source = w.databases[0]
		d.streaming = true
	}
	w.after(streamCheck, d.checkStream)
	return d
}

// do runs a function at the database, later if it is frozen, never if dead.
func (d *fakeDatabase) do(run func()) {
	if d.dead {
		return
	}
	if d.frozen {
		d.late = append(d.late, run)
		return
	}
	run()
}

func (d *fakeDatabase) thaw() {
	d.frozen = false
	late := d.late
	d.late = nil
	for _, run := range late {
		d.do(run)
	}
}

func (d *fakeDatabase) received() model.Position {
	if len(d.log) == 0 {
		return model.Position{}
	}
	return d.log[len(d.log)-1].position
}

// appliedLog returns what reads see.
func (d *fakeDatabase) appliedLog() []entry {
	if d.role == model.RolePrimary {
		return d.log
	}
	shown := len(d.log)
	for shown > 0 && d.log[shown-1].applied.After(d.world.now) {
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

// commit appends an entry and ships it. It fails where the key is known.
func (d *fakeDatabase) commit(key, value string, never bool) (model.Position, bool) {
	if _, found := d.find(key); found && key != "" {
		return model.Position{}, false
	}
	position := model.Position{Term: d.term, Offset: uint64(len(d.log) + 1)}
	d.log = append(d.log, entry{position: position, key: key, value: value, never: never, applied: d.world.now})
	d.ship()
	return position, true
}

func (d *fakeDatabase) find(key string) (entry, bool) {
	for _, e := range d.log {
		if e.key == key {
			return e, true
		}
	}
	return entry{}, false
}

func (d *fakeDatabase) ship() {
	for _, replica := range d.world.databases {
		if replica.source != d {
			continue
		}
		d.world.after(d.world.delay(), func() { replica.do(replica.pull) })
	}
}

// isStreamUp reports whether the database can take entries from its source.
func (d *fakeDatabase) isStreamUp() bool {
	s := d.source
	return s != nil && !s.dead && !s.frozen && s.role == model.RolePrimary && s.term == d.term &&
		d.world.linked(string(d.name), string(s.name))
}

func (d *fakeDatabase) pull() {
	if !d.isStreamUp() {
		return
	}
	for len(d.log) < len(d.source.log) {
		e := d.source.log[len(d.log)]
		e.applied = d.world.now.Add(d.lag)
		d.log = append(d.log, e)
	}
}

// checkStream notices within a few heartbeats that a stream is gone or back.
func (d *fakeDatabase) checkStream() {
	up := d.isStreamUp()
	d.world.after(streamCheck, func() {
		d.do(func() {
			d.streaming = up && d.isStreamUp()
			d.pull()
		})
		d.checkStream()
	})
}

// -----------------------------------------------------------------------------
// Control questions.

func (d *fakeDatabase) fence(term model.Term, nonce model.Nonce) message.ControlErr {
	if term < d.term || term == d.term && nonce != d.nonce {
		return message.ControlConflict
	}
	if term > d.term {
		d.term, d.nonce, d.role, d.source, d.streaming = term, nonce, model.RoleReplica, nil, false
	}
	return message.ControlOK
}

func (d *fakeDatabase) promote(term model.Term, nonce model.Nonce) message.ControlErr {
	if term != d.term || nonce != d.nonce {
		return message.ControlConflict
	}
	if d.role != model.RolePrimary {
		d.role = model.RolePrimary
		d.commit("", "term", false)
	}
	return message.ControlOK
}

func (d *fakeDatabase) follow(term model.Term, source *fakeDatabase) message.ControlErr {
	if term < d.term {
		return message.ControlConflict
	}
	d.term, d.role, d.source = term, model.RoleReplica, source
	shared := 0
	for shared < min(len(d.log), len(source.log)) && d.log[shared].position == source.log[shared].position {
		shared++
	}
	d.log = d.log[:shared]
	d.streaming = d.isStreamUp()
	d.pull()
	return message.ControlOK
}

// actDatabase asks a control question; there is one answer, at the latest when
// the time is over.
func (n *node) actDatabase(action message.Action) {
	w := n.world
	asked := w.now
	var d *fakeDatabase
	var name model.DatabaseID
	var ask uint64
	var limit time.Duration
	var answer func(reply func(message.ControlErr))
	now := func(run func() message.ControlErr) func(func(message.ControlErr)) {
		return func(reply func(message.ControlErr)) { reply(run()) }
	}
	switch a := action.(type) {
	case message.Probe:
		d, name, ask, limit = w.database(a.Database), a.Database, a.CorrelationID, a.Timeout
		answer = now(func() message.ControlErr { return message.ControlOK })
	case message.AwaitPosition:
		d, name, ask, limit = w.database(a.Database), a.Database, a.CorrelationID, a.Timeout+100*time.Millisecond
		answer = func(reply func(message.ControlErr)) { d.await(a, w.now.Add(a.Timeout), reply) }
	case message.Fence:
		d, name, ask, limit = w.database(a.Database), a.Database, a.CorrelationID, a.Timeout
		answer = now(func() message.ControlErr { return d.fence(a.Term, a.Nonce) })
	case message.Promote:
		d, name, ask, limit = w.database(a.Database), a.Database, a.CorrelationID, a.Timeout
		answer = now(func() message.ControlErr { return d.promote(a.Term, a.Nonce) })
	case message.Follow:
		d, name, ask, limit = w.database(a.Database), a.Database, a.CorrelationID, a.Timeout
		answer = now(func() message.ControlErr { return d.follow(a.Term, w.database(a.Source)) })
	case message.ResolveInDoubt:
		n.settle(a)
		return
	}
	done := false
	finish := func(status message.DatabaseStatus, err message.ControlErr) {
		if !done {
			done = true
			n.post(message.ControlAnswered{Database: name, CorrelationID: ask, SentAt: asked, Status: status, Err: err})
		}
	}
	n.exchange(d, limit, func(back func(func())) {
		answer(func(err message.ControlErr) {
			status := d.status()
			back(func() { finish(status, err) })
		})
	}, func(err message.ControlErr) { finish(message.DatabaseStatus{}, err) })
}

// exchange carries a question to a database and its answer back.
func (n *node) exchange(d *fakeDatabase, limit time.Duration, ask func(back func(func())), failed func(message.ControlErr)) {
	w := n.world
	w.after(limit, func() { failed(message.ControlTimeout) })
	if d == nil {
		return
	}
	w.after(w.delay(), func() {
		if !w.linked(n.name, string(d.name)) {
			return
		}
		if d.dead {
			w.after(w.delay(), func() { failed(message.ControlUnreachable) })
			return
		}
		d.do(func() {
			ask(func(deliver func()) {
				w.after(w.delay(), func() {
					if w.linked(n.name, string(d.name)) {
						deliver()
					}
				})
			})
		})
	})
}

func (d *fakeDatabase) await(a message.AwaitPosition, until time.Time, reply func(message.ControlErr)) {
	if !d.received().Less(a.Position) || d.term > a.Position.Term || !d.world.now.Before(until) {
		reply(message.ControlOK)
		return
	}
	d.world.after(time.Millisecond, func() { d.do(func() { d.await(a, until, reply) }) })
}

func (n *node) settle(a message.ResolveInDoubt) {
	d := n.world.database(a.Database)
	done := false
	finish := func(answered message.InDoubtResolved) {
		if !done {
			done = true
			answered.Database, answered.CorrelationID, answered.IdempotencyKey = d.name, a.CorrelationID, a.IdempotencyKey
			n.post(answered)
		}
	}
	n.exchange(d, a.Timeout, func(back func(func())) {
		answered := message.InDoubtResolved{}
		if d.role != model.RolePrimary || d.term != a.Term {
			answered.Err = message.ControlConflict
		} else if e, found := d.find(a.IdempotencyKey); found {
			answered.Committed, answered.Position = !e.never, e.position
		} else {
			answered.Position, _ = d.commit(a.IdempotencyKey, "", true)
		}
		back(func() { finish(answered) })
	}, func(err message.ControlErr) { finish(message.InDoubtResolved{Err: err}) })
}
