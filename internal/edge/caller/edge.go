// Package caller is the edge towards callers: it speaks the server's side of
// the PostgreSQL wire protocol 3.
//
// # What flows in and out
//
// Callers' connections flow in. To the core go headers alone: SessionOpened,
// RequestArrived, AnswerEnded and their like. The core's word on a request
// (Dispatch, Refuse, Acknowledge, ...) flows in by Act and wakes the session's
// goroutine, which takes a backend connection from the pool, sends the caller's
// messages and passes the answer on. Row bytes never leave that goroutine.
//
// A request is a statement outside of a transaction (one simple Query, or the
// messages of the extended protocol up to Sync), or a whole transaction. Its
// messages are kept until something of the answer has gone to the caller, so
// that the core may have it run again on another database.
//
// An answer passes two checks on its way. First, the database's own position
// must not be older than the core asked for. Second, what a primary has
// answered must be proven to survive a promotion: a commit waits for
// Acknowledge, any other answer until its position is proven. Until then it is
// held here, up to a bound, and beyond that the database is not read further.
//
// A cancel request goes to the database for the statement that runs for that
// very session, and the backend connection is closed after it, because a late
// cancel request would hit whoever used the connection next.
//
// # Usage
//
//	edge := caller.NewEdge(caller.Options{Listen: address, Key: "i7-x3", Users: users}, pool, sink, log)
//	ended, err := edge.Start(ctx)
//	if !edge.Act(action) { ... }
package caller

import (
	"crypto/tls"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/database"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

const (
	// messageLimit is the default of Options.Message, in bytes.
	messageLimit = 16 << 20
	// sessionLimit is the default of Options.Sessions.
	sessionLimit = 10_000
	// writeTimeout is the default of Options.Write.
	writeTimeout = 30 * time.Second
	// startTimeout bounds a caller's way from connect to its first statement.
	startTimeout = 10 * time.Second
	// serverVersion is the default of Options.Version.
	serverVersion = "16.0"
)

// Options are the settings of the edge.
type Options struct {
	// Listen is where callers connect.
	Listen netip.AddrPort
	// Key begins the idempotency keys that the edge makes: it is unique over
	// all instances and their restarts.
	Key string
	// TLS holds the certificate and key; nil for no TLS.
	TLS *tls.Config
	// RequireTLS refuses callers that do not ask for TLS.
	RequireTLS bool
	// Users are those who may connect, with their passwords hashed. Without
	// any, nobody may, unless Trust is set.
	Users Users
	// Trust lets anybody connect without a password.
	Trust bool
	// Sessions is the greatest number of callers' connections; zero for
	// 10,000.
	Sessions int
	// Message is the greatest message or batch that is taken from a caller,
	// in bytes; zero for 16 MiB.
	Message int
	// Write is the time that a caller has to take what is sent to it, and at
	// most twice as much; zero for 30 s.
	Write time.Duration
	// Version is told to callers as server_version; empty for "16.0".
	Version string
}

// Edge accepts callers and serves them.
type Edge struct {
	options Options
	pool    *database.Pool
	sink    message.Sink
	log     logr.Logger

	listener net.Listener
	draining atomic.Bool
	// lastSession and lastRequest number what is new.
	lastSession atomic.Uint64
	lastRequest atomic.Uint64
	// running counts goroutines that Start waits for.
	running sync.WaitGroup

	requests requestTable

	mu       sync.RWMutex
	sessions map[model.SessionID]*session
	proven   map[model.GroupID]*provenCell
}

// NewEdge returns an edge that takes backend connections from pool.
func NewEdge(options Options, pool *database.Pool, sink message.Sink, log logr.Logger) *Edge {
	if options.Sessions == 0 {
		options.Sessions = sessionLimit
	}
	if options.Message == 0 {
		options.Message = messageLimit
	}
	if options.Write == 0 {
		options.Write = writeTimeout
	}
	if options.Version == "" {
		options.Version = serverVersion
	}
	return &Edge{
		options:  options,
		pool:     pool,
		sink:     sink,
		log:      log,
		sessions: map[model.SessionID]*session{},
		proven:   map[model.GroupID]*provenCell{},
	}
}

// Act takes the actions that concern callers, and reports whether action was
// one of them. It never blocks.
func (e *Edge) Act(action message.Action) bool {
	switch typed := action.(type) {
	case message.Dispatch:
		e.tell(typed.Request, action)
	case message.Release:
		e.tell(typed.Request, action)
	case message.Acknowledge:
		e.tell(typed.Request, action)
	case message.Refuse:
		e.tell(typed.Request, action)
	case message.Abandon:
		e.tell(typed.Request, action)
	case message.Interrupt:
		e.tell(typed.Request, action)
	case message.Drop:
		e.tell(typed.Request, action)
	case message.Proven:
		e.provenOf(typed.Group).set(typed.Position)
	case message.Drain:
		e.drain()
	default:
		return false
	}
	return true
}

// Address returns where callers connect, once Start has returned.
func (e *Edge) Address() netip.AddrPort {
	return e.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Sessions returns the number of callers' connections.
func (e *Edge) Sessions() int {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return len(e.sessions)
}

// -----------------------------------------------------------------------------
// Sessions and requests.

// register numbers a new request of a session.
func (e *Edge) register(s *session) model.RequestID {
	id := model.RequestID(e.lastRequest.Add(1))
	e.requests.put(id, s)
	return id
}

// tell passes an action to the session of a request. One that has ended is
// passed over.
func (e *Edge) tell(id model.RequestID, action message.Action) {
	s := e.requests.get(id)
	if s != nil {
		s.mailbox.post(action)
	}
}

func (e *Edge) provenOf(group model.GroupID) *provenCell {
	e.mu.RLock()
	cell := e.proven[group]
	e.mu.RUnlock()
	if cell != nil {
		return cell
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.proven[group] == nil {
		e.proven[group] = &provenCell{}
	}
	return e.proven[group]
}

// background counts a goroutine until the function that it returns is called.
func (e *Edge) background() func() {
	e.running.Add(1)
	return e.running.Done
}

// note writes a numbered event to the log.
func (e *Edge) note(what event.Event, values ...any) {
	if what.Level == event.LevelDebug && !e.log.V(1).Enabled() {
		return
	}
	values = append([]any{"event", what.Number, "name", what.Name}, values...)
	switch what.Level {
	case event.LevelDebug:
		e.log.V(1).Info(what.Text, values...)
	case event.LevelError:
		e.log.Error(nil, what.Text, values...)
	default:
		e.log.Info(what.Text, values...)
	}
}

// -----------------------------------------------------------------------------
// Draining.

// drainWanted wakes a session to look whether it is idle.
type drainWanted struct{}

// drain accepts no further connection and closes each one when it is idle.
func (e *Edge) drain() {
	if e.draining.Swap(true) {
		return
	}
	e.note(event.CallersDraining, "sessions", e.Sessions())
	e.wakeAll()
}

// wakeAll stops the listening and wakes every session.
func (e *Edge) wakeAll() {
	if e.listener != nil {
		_ = e.listener.Close()
	}
	e.mu.RLock()
	defer e.mu.RUnlock()
	for _, s := range e.sessions {
		s.mailbox.post(drainWanted{})
	}
}
