// Package engine makes the decisions of one instance: which database serves a read,
// when a commit may be acknowledged, which database is promoted when a primary
// fails, which manifest is in force, and which other instances are alive.
//
// # Inputs and outputs
//
// Step takes events of package message and the current time, and returns the
// actions to carry out. The package has no clock, no network, no goroutine and no
// random source: the same events at the same times give the same actions.
//
// # Structure
//
// The state is kept in tables (table_*.go): groups with their databases, sessions,
// requests and instances. Systems (system_*.go) process the tables in a fixed
// order, once a step:
//
//	events ─> intake      apply each event to its table
//	          manifest    poll, adopt and submit manifests         (control)
//	          member      heartbeats, live instances, links        (control)
//	          watch       probes, terms, position samples          (control)
//	          failover    failed primaries, promotion, repair      (control)
//	          durability  release results and commits that a
//	                      majority holds
//	          resolve     commits whose outcome is unknown
//	          schedule    deadlines, slot grants, dispatches
//	          drain       graceful shutdown
//	       ─> actions
//
// The control systems run once per controlInterval, and in every step that has
// received an event other than one of a request.
//
// # Why it is safe
//
// A position of term T is durable once a majority of the group, each still in term
// T, holds an entry of T at or beyond it. A promotion fences a majority first and
// chooses the longest log among the fenced databases. Both majorities share a
// database, so a durable position survives every promotion. Nothing is sent to a
// caller before its position is durable. The rest of this package affects speed
// only, not safety.
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

// Options identify an instance. They come from its settings.
type Options struct {
	Instance model.InstanceID
	Zone     model.ZoneID
	// PeerAddress is the address at which other instances reach this one.
	PeerAddress netip.AddrPort
	// SeedAddresses are addresses of other instances, from the settings.
	SeedAddresses []netip.AddrPort
	// StartID is unique to this start of the process. It is part of every nonce and
	// seeds the jitter.
	StartID string
}

// Engine is the state of one instance. It is not safe for concurrent use.
type Engine struct {
	options           Options
	now               time.Time
	actions           []message.Action
	scheduler         *rank.Scheduler
	groups            []*group
	groupsByName      map[model.GroupID]*group
	databases         map[model.DatabaseID]*database
	sessions          map[model.SessionID]*session
	requests          *requestTable
	instances         instanceTable
	manifests         manifestState
	drain             drainState
	lastCorrelationID uint64
	lastNonce         uint64
	jitterDraws       uint64
	// publishedDatabases are the databases as last published. At republishAt they
	// are compared with the tables again.
	publishedDatabases []message.DatabaseTarget
	republishAt        time.Time
	// controlPending reports that an event other than a request has arrived since
	// the control systems last ran, at lastControlRun.
	controlPending bool
	lastControlRun time.Time
	// ready and names are reused buffers for the candidates of one read.
	ready []*database
	names []model.DatabaseID
}

// NewEngine returns the state of an instance that has no manifest yet.
func NewEngine(options Options) *Engine {
	return &Engine{
		options:      options,
		scheduler:    rank.NewScheduler(options.Instance),
		groupsByName: map[model.GroupID]*group{},
		databases:    map[model.DatabaseID]*database{},
		sessions:     map[model.SessionID]*session{},
		requests:     newRequestTable(),
		instances:    newInstanceTable(),
	}
}

// Step applies the events and runs every system once. The returned actions are
// valid until the next call of Step.
func (e *Engine) Step(now time.Time, events []message.Event) []message.Action {
	e.now = now
	e.actions = e.actions[:0]
	for _, incoming := range events {
		e.handleEvent(incoming)
	}
	if e.isControlDue() {
		e.lastControlRun = now
		e.controlPending = false
		e.runManifest()
		e.runMember()
		e.runWatch()
		e.runFailover()
	}
	e.runDurability()
	e.runResolve()
	e.runSchedule()
	e.runDrain()
	return e.actions
}

// isControlDue reports whether the control systems run in this step: when something
// other than a request has arrived, else once per controlInterval, so that their
// cost does not grow with the number of requests.
func (e *Engine) isControlDue() bool {
	return e.controlPending || e.now.Sub(e.lastControlRun) >= controlInterval
}

// handleEvent applies one event to the table that it concerns.
func (e *Engine) handleEvent(incoming message.Event) {
	switch incoming := incoming.(type) {
	case message.SessionOpened, message.SessionClosed, message.RequestArrived, message.RequestCanceled:
		e.handleCallerEvent(incoming)
	case message.ResultHeld:
		e.handleResultHeld(incoming)
	case message.AttemptEnded:
		e.handleAttemptEnded(incoming)
	default:
		e.controlPending = true
		e.handleControlEvent(incoming)
	}
}

// handleControlEvent applies an event that belongs to no request.
func (e *Engine) handleControlEvent(incoming message.Event) {
	switch incoming := incoming.(type) {
	case message.ControlAnswered:
		e.handleControlAnswer(incoming)
	case message.InDoubtResolved:
		e.handleInDoubtResolved(incoming)
	case message.PeerMessageReceived, message.PeerConnected, message.PeerDisconnected:
		e.handlePeerEvent(incoming)
	case message.RowsRead, message.RowsWritten, message.ObjectRead, message.ObjectWritten, message.InstancesListed:
		e.handlePlatformEvent(incoming)
	case message.ManifestSubmitted:
		e.handleSubmission(incoming)
	case message.ReportRequested:
		e.emit(message.ReportAnswered{CorrelationID: incoming.CorrelationID, Body: e.report(incoming)})
	case message.DrainRequested:
		e.startDrain()
	}
}

// handleCallerEvent applies an event of a caller's connection.
func (e *Engine) handleCallerEvent(incoming message.Event) {
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
// Helpers shared by all systems.

// emit appends an action to those that Step returns.
func (e *Engine) emit(action message.Action) { e.actions = append(e.actions, action) }

// logEvent emits a log event.
func (e *Engine) logEvent(ev event.Event, fields ...event.Field) {
	e.emit(message.LogEvent{Event: ev, Fields: fields})
}

// correlationID returns a new ID that matches a response to its request.
func (e *Engine) correlationID() uint64 {
	e.lastCorrelationID++
	return e.lastCorrelationID
}

// newNonce returns a nonce that is unique across instances and process starts.
func (e *Engine) newNonce() model.Nonce {
	e.lastNonce++
	return model.Nonce(string(e.options.Instance) + "." + e.options.StartID + "." + strconv.FormatUint(e.lastNonce, 10))
}

// jitter returns a duration spread evenly between half of d and one and a half
// times d, so that instances do not act at the same moment. The sequence is
// determined by Options.StartID.
func (e *Engine) jitter(d time.Duration) time.Duration {
	e.jitterDraws++
	const steps = 1 << 16
	offset := xxhash.Sum64String(e.options.StartID+strconv.FormatUint(e.jitterDraws, 10)) % steps
	return d/2 + d*time.Duration(offset)/steps
}
