// Package caller is the edge towards callers: it speaks the server's side of
// the PostgreSQL wire protocol 3.
//
// # What flows in and out
//
// Callers' connections flow in. To the core go headers alone: SessionOpened,
// RequestArrived, AttemptEnded and their like. The core's word on a request
// (Dispatch, Refuse, Acknowledge, ...) flows in by HandleAction and wakes the session's
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
//	if !edge.HandleAction(action) { ... }
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
	// ListenAddress is where callers connect.
	ListenAddress netip.AddrPort
	// IdempotencyKeyPrefix begins the idempotency keys that the edge makes: it is unique over
	// all instances and their restarts.
	IdempotencyKeyPrefix string
	// TLS holds the certificate and key; nil for no TLS.
	TLS *tls.Config
	// RequireTLS refuses callers that do not ask for TLS.
	RequireTLS bool
	// Users are those who may connect, with their passwords hashed. Without
	// any, nobody may, unless Trust is set.
	Users Users
	// Trust lets anybody connect without a password.
	Trust bool
	// MaxSessions is the greatest number of callers' connections; zero for
	// 10,000.
	MaxSessions int
	// MaxMessageSize is the greatest message or batch that is taken from a caller,
	// in bytes; zero for 16 MiB.
	MaxMessageSize int
	// WriteTimeout is the time that a caller has to take what is sent to it, and at
	// most twice as much; zero for 30 s.
	WriteTimeout time.Duration
	// ServerVersion is told to callers as server_version; empty for "16.0".
	ServerVersion string
}

// Server accepts callers and serves them.
type Server struct {
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

// NewServer returns an edge that takes backend connections from pool.
func NewServer(options Options, pool *database.Pool, sink message.Sink, log logr.Logger) *Server {
	if options.MaxSessions == 0 {
		options.MaxSessions = sessionLimit
	}
	if options.MaxMessageSize == 0 {
		options.MaxMessageSize = messageLimit
	}
	if options.WriteTimeout == 0 {
		options.WriteTimeout = writeTimeout
	}
	if options.ServerVersion == "" {
		options.ServerVersion = serverVersion
	}
	return &Server{
		options:  options,
		pool:     pool,
		sink:     sink,
		log:      log,
		sessions: map[model.SessionID]*session{},
		proven:   map[model.GroupID]*provenCell{},
	}
}

// HandleAction takes the actions that concern callers, and reports whether action was
// one of them. It never blocks.
func (e *Server) HandleAction(action message.Action) bool {
	switch typed := action.(type) {
	case message.Dispatch:
		e.tell(typed.Request, action)
	case message.ReleaseResult:
		e.tell(typed.Request, action)
	case message.AcknowledgeCommit:
		e.tell(typed.Request, action)
	case message.RefuseRequest:
		e.tell(typed.Request, action)
	case message.AbortRequest:
		e.tell(typed.Request, action)
	case message.CancelStatement:
		e.tell(typed.Request, action)
	case message.CloseConnection:
		e.tell(typed.Request, action)
	case message.SetDurablePosition:
		e.provenOf(typed.Group).set(typed.Position)
	case message.Drain:
		e.drain()
	default:
		return false
	}
	return true
}

// Address returns where callers connect, once Start has returned.
func (e *Server) Address() netip.AddrPort {
	return e.listener.Addr().(*net.TCPAddr).AddrPort()
}

// SessionCount returns the number of callers' connections.
func (e *Server) SessionCount() int {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return len(e.sessions)
}

// -----------------------------------------------------------------------------
// Sessions and requests.

// register numbers a new request of a session.
func (e *Server) register(s *session) model.RequestID {
	id := model.RequestID(e.lastRequest.Add(1))
	e.requests.put(id, s)
	return id
}

// tell passes an action to the session of a request. One that has ended is
// passed over.
func (e *Server) tell(id model.RequestID, action message.Action) {
	s := e.requests.get(id)
	if s != nil {
		s.mailbox.post(action)
	}
}

func (e *Server) provenOf(group model.GroupID) *provenCell {
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
func (e *Server) background() func() {
	e.running.Add(1)
	return e.running.Done
}

// note writes a numbered event to the log.
func (e *Server) note(what event.Event, values ...any) {
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
func (e *Server) drain() {
	if e.draining.Swap(true) {
		return
	}
	e.note(event.CallersDraining, "sessions", e.SessionCount())
	e.wakeAll()
}

// wakeAll stops the listening and wakes every session.
func (e *Server) wakeAll() {
	if e.listener != nil {
		_ = e.listener.Close()
	}
	e.mu.RLock()
	defer e.mu.RUnlock()
	for _, s := range e.sessions {
		s.mailbox.post(drainWanted{})
	}
}
