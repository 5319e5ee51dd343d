// Package caller is the edge towards callers. It implements the server's side of
// the PostgreSQL wire protocol 3.
//
// # What flows in and out
//
// Callers' connections flow in. The core receives only events about them, without
// statement texts or rows: SessionOpened, RequestArrived, AttemptEnded and similar
// ones. Its actions on a request (Dispatch, RefuseRequest, AcknowledgeCommit, ...)
// flow in through HandleAction and wake the session's goroutine. This goroutine
// takes a backend connection from the pool, sends the caller's messages and
// forwards the answer. Row bytes never leave it.
//
// A request is a statement outside a transaction (one simple Query, or the
// messages of the extended protocol up to Sync), or a whole transaction. Its
// messages are kept until a part of the answer was sent to the caller, so that
// the core can have the request run again on another database.
//
// An answer must pass two checks before it is sent. First, the position of the
// database must not be older than the minimum position of the dispatch. Second,
// the answer of a primary must be durable, so that it survives any promotion: a
// commit waits for AcknowledgeCommit, any other answer until its position is
// durable. Until then the answer is held here, up to a limit; beyond that the
// database is not read further.
//
// A cancel request of a session is sent to the database that runs its statement.
// The backend connection is closed afterwards, because a late cancel request
// would cancel a statement of whichever session used the connection next.
//
// # Usage
//
//	options := caller.Options{ListenAddress: address, IdempotencyKeyPrefix: "i7-x3", Users: users}
//	server := caller.NewServer(options, pool, sink, log)
//	stopped, err := server.Start(ctx)
//	if !server.HandleAction(action) { ... }
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
	"github.com/eelgrassfold/eelgrassfold/internal/edge/intake"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

const (
	// defaultMaxMessageSize is the default of Options.MaxMessageSize, in bytes.
	defaultMaxMessageSize = 16 << 20
	// defaultMaxSessions is the default of Options.MaxSessions.
	defaultMaxSessions = 10_000
	// defaultWriteTimeout is the default of Options.WriteTimeout.
	defaultWriteTimeout = 30 * time.Second
	// startupTimeout is the maximum time from a caller's connect to the end of
	// its startup.
	startupTimeout = 10 * time.Second
	// maxStartups is the number of connections in their startup, in addition to those
	// with a session.
	maxStartups = 256
	// messageCost is the memory of a message for each of its bytes: the buffer, which
	// doubles when it is full, the batch, which grows in the same way, and the decoded
	// statement.
	messageCost = 8
	// defaultServerVersion is the default of Options.ServerVersion.
	defaultServerVersion = "16.0"
)

// Options configures a Server.
type Options struct {
	// ListenAddress is the address that callers connect to.
	ListenAddress netip.AddrPort
	// IdempotencyKeyPrefix is the prefix of the idempotency keys that the
	// server generates. It must be unique over all instances and their
	// restarts.
	IdempotencyKeyPrefix string
	// TLS holds the certificate and key; nil disables TLS.
	TLS *tls.Config
	// RequireTLS rejects callers that do not request TLS.
	RequireTLS bool
	// Users are the users who may connect, with their password hashes. If it is
	// empty, nobody may connect unless Trust is set.
	Users Users
	// Trust lets anybody connect without a password.
	Trust bool
	// MaxSessions is the maximum number of callers' connections; zero means
	// 10,000.
	MaxSessions int
	// MaxMessageSize is the maximum size of a message or batch from a caller,
	// in bytes; zero means 16 MiB.
	MaxMessageSize int
	// MemoryBudget is the number of bytes that callers may make the server hold, beyond
	// the fixed cost of their connections; zero means no limit.
	MemoryBudget int64
	// WriteTimeout is how long a caller may take to read what is sent to it;
	// zero means 30 s. The connection is closed after once to twice this time.
	WriteTimeout time.Duration
	// ServerVersion is sent to callers as server_version; empty means "16.0".
	ServerVersion string
}

// Server accepts callers' connections and serves them.
type Server struct {
	options Options
	pool    *database.Pool
	sink    message.Sink
	log     logr.Logger

	listener net.Listener
	draining atomic.Bool
	// lastSession and lastRequest are the latest IDs given to sessions and
	// requests.
	lastSession atomic.Uint64
	lastRequest atomic.Uint64
	// goroutines counts the goroutines that must end before the server has
	// stopped.
	goroutines sync.WaitGroup

	requests requestTable
	limits   *intake.Limits

	mu       sync.RWMutex
	sessions map[model.SessionID]*session
	durable  map[model.GroupID]*durablePosition
}

// NewServer returns a server that takes backend connections from pool.
func NewServer(options Options, pool *database.Pool, sink message.Sink, log logr.Logger) *Server {
	if options.MaxSessions == 0 {
		options.MaxSessions = defaultMaxSessions
	}
	if options.MaxMessageSize == 0 {
		options.MaxMessageSize = defaultMaxMessageSize
	}
	if options.WriteTimeout == 0 {
		options.WriteTimeout = defaultWriteTimeout
	}
	if options.ServerVersion == "" {
		options.ServerVersion = defaultServerVersion
	}
	srv := &Server{
		options:  options,
		pool:     pool,
		sink:     sink,
		log:      log,
		sessions: map[model.SessionID]*session{},
		durable:  map[model.GroupID]*durablePosition{},
	}
	srv.limits = intake.NewLimits(intake.Options{
		Memory: options.MemoryBudget, Connections: options.MaxSessions + maxStartups, MessageCost: messageCost, Log: srv.logFields,
	})
	return srv
}

// HandleAction handles the actions that concern callers, and reports whether
// action was one of them. It never blocks.
func (srv *Server) HandleAction(action message.Action) bool {
	switch typed := action.(type) {
	case message.Dispatch:
		srv.deliver(typed.Request, action)
	case message.ReleaseResult:
		srv.deliver(typed.Request, action)
	case message.AcknowledgeCommit:
		srv.deliver(typed.Request, action)
	case message.RefuseRequest:
		srv.deliver(typed.Request, action)
	case message.AbortRequest:
		srv.deliver(typed.Request, action)
	case message.CancelStatement:
		srv.deliver(typed.Request, action)
	case message.CloseConnection:
		srv.deliver(typed.Request, action)
	case message.SetDurablePosition:
		srv.durablePositionOf(typed.Group).set(typed.Position)
	case message.Drain:
		srv.drain()
	default:
		return false
	}
	return true
}

// Address returns the address that callers connect to. Start must have
// returned.
func (srv *Server) Address() netip.AddrPort {
	return srv.listener.Addr().(*net.TCPAddr).AddrPort()
}

// SessionCount returns the number of callers' connections.
func (srv *Server) SessionCount() int {
	srv.mu.RLock()
	defer srv.mu.RUnlock()
	return len(srv.sessions)
}

// -----------------------------------------------------------------------------
// Sessions and requests.

// register assigns an ID to a new request of a session.
func (srv *Server) register(s *session) model.RequestID {
	id := model.RequestID(srv.lastRequest.Add(1))
	srv.requests.put(id, s)
	return id
}

// deliver posts an action to the session of a request. It drops the action if
// the request has ended.
func (srv *Server) deliver(id model.RequestID, action message.Action) {
	s := srv.requests.get(id)
	if s != nil {
		s.mailbox.post(action)
	}
}

func (srv *Server) durablePositionOf(group model.GroupID) *durablePosition {
	srv.mu.RLock()
	durable := srv.durable[group]
	srv.mu.RUnlock()
	if durable != nil {
		return durable
	}
	srv.mu.Lock()
	defer srv.mu.Unlock()
	if srv.durable[group] == nil {
		srv.durable[group] = &durablePosition{}
	}
	return srv.durable[group]
}

// trackGoroutine counts a goroutine as running until the returned function is
// called.
func (srv *Server) trackGoroutine() func() {
	srv.goroutines.Add(1)
	return srv.goroutines.Done
}

// logFields writes an event with its fields to the log.
func (srv *Server) logFields(logged event.Event, fields ...event.Field) {
	values := make([]any, 0, 2*len(fields))
	for _, field := range fields {
		values = append(values, field.Name, field.Value)
	}
	srv.logEvent(logged, values...)
}

// logEvent writes an event of the catalogue to the log.
func (srv *Server) logEvent(logged event.Event, values ...any) {
	if logged.Level == event.LevelDebug && !srv.log.V(1).Enabled() {
		return
	}
	values = append([]any{"event", logged.Number, "name", logged.Name}, values...)
	switch logged.Level {
	case event.LevelDebug:
		srv.log.V(1).Info(logged.Text, values...)
	case event.LevelError:
		srv.log.Error(nil, logged.Text, values...)
	default:
		srv.log.Info(logged.Text, values...)
	}
}

// -----------------------------------------------------------------------------
// Draining.

// drainRequested wakes a session so that it ends if it is idle.
type drainRequested struct{}

// drain stops accepting connections and closes each connection when it is idle.
func (srv *Server) drain() {
	if srv.draining.Swap(true) {
		return
	}
	srv.logEvent(event.CallersDraining, "sessions", srv.SessionCount())
	srv.wakeAll()
}

// wakeAll closes the listener and wakes every session.
func (srv *Server) wakeAll() {
	if srv.listener != nil {
		_ = srv.listener.Close()
	}
	srv.mu.RLock()
	defer srv.mu.RUnlock()
	for _, s := range srv.sessions {
		s.mailbox.post(drainRequested{})
	}
}
