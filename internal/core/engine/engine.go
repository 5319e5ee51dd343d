// Package engine holds the decisions of one instance: which database serves a
// read, when a commit may be acknowledged, who promotes which database, which
// manifest is in force, and who is alive.
//
// # What flows in and out
//
// Events of package message flow in by Step, together with the time; actions
// flow out. The package has no clock, no network, no goroutine and no random
// source: the same events at the same times give the same actions.
//
// # How it is laid out
//
// Entities stand in tables (table_*.go): groups with their databases, sessions,
// requests, instances. Systems (system_*.go) run over the tables, in a fixed
// order, once a step:
//
//	events ─> intake     each event changes the table that it speaks of
//	          manifest   poll, adopt, submit                       (control)
//	          member     heartbeats, who is alive, links to keep   (control)
//	          watch      probes, terms, samples of positions       (control)
//	          steward    failed primaries, promotion, repair       (control)
//	          prove      held answers and commits whose position is proven
//	          settle     commits whose outcome is not known
//	          schedule   deadlines, grants, dispatches
//	          drain      leaving in order
//	       ─> actions
//
// The control systems run once a tick and whenever something other than a
// request has arrived.
//
// # Why it is safe
//
// A position of term T is proven once a majority of the group, each still in
// term T, holds an entry of T at or beyond it. A promotion fences a majority
// first and chooses the longest log among it; both majorities share a database,
// so what is proven survives. Nothing goes to a caller before it is proven.
// Everything else in this package is about speed, never about safety.
//
// # Usage
//
//	e := engine.NewEngine(engine.Options{Instance: "a1", Zone: "lanier"})
//	for _, action := range e.Step(now, events) { ... }
package engine

import (
	"net/netip"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/core/rank"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

// Options are what an instance knows of itself from its settings.
type Options struct {
	Instance model.InstanceID
	Zone     model.ZoneID
	// PeerAddress is the address at which other instances reach this one.
	PeerAddress netip.AddrPort
	// SeedAddresses are addresses of other instances, known from the settings.
	SeedAddresses []netip.AddrPort
	// StartID distinguishes this start of the process from every other. It goes
	// into nonces and seeds the jitter.
	StartID string
}

// Engine is the state of one instance. It is not safe for concurrent use.
type Engine struct {
	options   Options
	now       time.Time
	out       []message.Action
	scheduler *rank.Scheduler
	groups    []*group
	byGroup   map[model.GroupID]*group
	databases map[model.DatabaseID]*database
	sessions  map[model.SessionID]*session
	requests  *requestTable
	instances instanceTable
	declared  manifestState
	drain     drainState
	lastAsk   uint64
	lastNonce uint64
	draws     uint64
	// published are the databases as last told to the edges; republish is when
	// they are compared next.
	published []message.DatabaseTarget
	republish time.Time
	// learned says that something other than a request has arrived since the
	// control systems ran at controlled.
	learned    bool
	controlled time.Time
	// ready and names are the room for the candidates of one read.
	ready []*database
	names []model.DatabaseID
}

// NewEngine returns the state of an instance that has no manifest yet.
func NewEngine(options Options) *Engine {
	return &Engine{
		options:   options,
		scheduler: rank.NewScheduler(options.Instance),
		byGroup:   map[model.GroupID]*group{},
		databases: map[model.DatabaseID]*database{},
		sessions:  map[model.SessionID]*session{},
		requests:  newRequestTable(),
		instances: newInstanceTable(),
	}
}

// Step takes in events and runs every system once. The actions are valid until
// the next Step.
func (e *Engine) Step(now time.Time, events []message.Event) []message.Action {
	e.now = now
	e.out = e.out[:0]
	for _, incoming := range events {
		e.take(incoming)
	}
	if e.isControlDue() {
		e.controlled = now
		e.learned = false
		e.runManifest()
		e.runMember()
		e.runWatch()
		e.runSteward()
	}
	e.runProve()
	e.runSettle()
	e.runSchedule()
	e.runDrain()
	return e.out
}

// isControlDue reports whether the systems that do not serve requests shall run
// in this step: at once when something was learnt, else once a tick, so that
// their cost does not grow with the number of requests.
func (e *Engine) isControlDue() bool {
	return e.learned || e.now.Sub(e.controlled) >= controlInterval
}

// take lets one event change the table that it speaks of.
func (e *Engine) take(incoming message.Event) {
	switch incoming := incoming.(type) {
	case message.SessionOpened, message.SessionClosed, message.RequestArrived, message.RequestCanceled:
		e.takeCaller(incoming)
	case message.ResultHeld:
		e.takeHeld(incoming)
	case message.AttemptEnded:
		e.takeAnswer(incoming)
	default:
		e.learned = true
		e.takeControl(incoming)
	}
}

// takeControl lets an event that belongs to no request change its tables.
func (e *Engine) takeControl(incoming message.Event) {
	switch incoming := incoming.(type) {
	case message.ControlAnswered:
		e.takeStatus(incoming)
	case message.InDoubtResolved:
		e.takeSettled(incoming)
	case message.PeerMessageReceived, message.PeerConnected, message.PeerDisconnected:
		e.takePeer(incoming)
	case message.RowsRead, message.RowsWritten, message.ObjectRead, message.ObjectWritten, message.InstancesListed:
		e.takePlatform(incoming)
	case message.ManifestSubmitted:
		e.takeSubmission(incoming)
	case message.ReportRequested:
		e.do(message.ReportAnswered{CorrelationID: incoming.CorrelationID, Body: e.report(incoming)})
	case message.DrainRequested:
		e.takeDrain()
	}
}

// takeCaller lets an event of a caller's connection change its tables.
func (e *Engine) takeCaller(incoming message.Event) {
	switch incoming := incoming.(type) {
	case message.SessionOpened:
		e.openSession(incoming)
	case message.SessionClosed:
		e.closeSession(incoming.Session)
	case message.RequestArrived:
		e.admit(incoming)
	case message.RequestCanceled:
		e.cancel(incoming.Request)
	}
}

// -----------------------------------------------------------------------------
// Small tools of all systems.

// do adds an action to the step's outcome.
func (e *Engine) do(action message.Action) { e.out = append(e.out, action) }

// note adds a log line to the step's outcome.
func (e *Engine) note(ev event.Event, fields ...event.Field) {
	e.do(message.LogEvent{Event: ev, Fields: fields})
}

// ask returns a new number for a question.
func (e *Engine) ask() uint64 {
	e.lastAsk++
	return e.lastAsk
}

// nonce returns a text that no other instance or start ever makes.
func (e *Engine) nonce() model.Nonce {
	e.lastNonce++
	return model.Nonce(string(e.options.Instance) + "." + e.options.StartID + "." + strconv.FormatUint(e.lastNonce, 10))
}

// jitter spreads d evenly between half and one and a half of it, so that
// instances do not act in step. The sequence follows from Options.Start.
func (e *Engine) jitter(d time.Duration) time.Duration {
	e.draws++
	const steps = 1 << 16
	drawn := xxhash.Sum64String(e.options.StartID+strconv.FormatUint(e.draws, 10)) % steps
	return d/2 + d*time.Duration(drawn)/steps
}
