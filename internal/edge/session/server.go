package session

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/clock"
	"github.com/eelgrassfold/eelgrassfold/internal/core/fresh"
	"github.com/eelgrassfold/eelgrassfold/internal/core/lease"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/core/placement"
	"github.com/eelgrassfold/eelgrassfold/internal/core/quota"
	"github.com/eelgrassfold/eelgrassfold/internal/core/route"
	"github.com/eelgrassfold/eelgrassfold/internal/core/statement"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/backend"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/intake"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/relay"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/socket"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
	"github.com/eelgrassfold/eelgrassfold/internal/report/eventlog"
)

const (
	// startupTimeout bounds the wait for a caller's startup message.
	startupTimeout = 10 * time.Second
	// requestTimeout bounds the reading of one request, from its first byte to
	// its last. lastRequestTimeout bounds it while the server closes its sessions.
	requestTimeout     = 10 * time.Second
	lastRequestTimeout = 200 * time.Millisecond
	// minIdleTime is how long a session must have been idle before
	// CloseIdleSessions closes it: a caller that has just connected is about to
	// send a request.
	minIdleTime = 250 * time.Millisecond
	// closeTimeout bounds the wait for the answers to requests that were interrupted
	// because the server's context ended.
	closeTimeout = 100 * time.Millisecond
	// drainPollInterval is the time between two checks whether a session remains.
	drainPollInterval = 10 * time.Millisecond
	// messageCost is the memory of a message for each of its bytes: the line, the decoded
	// statement, and the copy that goes to the database.
	messageCost = 3
	// acceptRetryDelay is the delay after a connection could not be accepted, for
	// example because of too many open files.
	acceptRetryDelay = 50 * time.Millisecond
)

// Router maps the names that callers connect to onto routes, and their keys onto tenants.
type Router interface {
	// Admit returns what the configuration in force grants to a caller.
	Admit(name string, key route.KeyDigest) route.Admission
	// ConfirmAdmission waits until it is certain whether a caller is refused.
	// isCertain is false if that could not be determined within a short time.
	ConfirmAdmission(ctx context.Context, name string, key route.KeyDigest) (admission route.Admission, isCertain bool)
	// IdleTransactionTimeout returns how long a transaction may be idle; zero means
	// without limit.
	IdleTransactionTimeout() time.Duration
	// ConfigurationVersion returns the version of the configuration in force.
	ConfigurationVersion() uint64
}

// PrimaryConfirmer determines whether a database was the primary when it answered.
type PrimaryConfirmer interface {
	// ConfirmPrimary returns the validity of a grant for an answer received at the
	// given time. It waits until the validity is known or ctx ends.
	ConfirmPrimary(ctx context.Context, grant lease.Grant, answered time.Time) lease.Validity
	// IsPartitioned reports whether callers should connect to another instance: this
	// instance has been unable to confirm a group's primary for too long, whatever
	// the other instances can do, or the primary does not answer this instance while
	// it answers another.
	IsPartitioned(group model.GroupID) bool
	// ReportSuspectedPrimary reports that a group's primary did not answer or
	// refused a statement that a primary accepts.
	ReportSuspectedPrimary(group model.GroupID)
}

// Limiter decides whether operations are within the limits of their tenants.
type Limiter interface {
	// AdmitOperation counts one operation of a tenant and reports whether it is within
	// the limit. It may wait for a short time, until ctx ends at most.
	AdmitOperation(ctx context.Context, tenant model.TenantID) (quota.Refusal, bool)
}

// SampleSource provides the position samples of each group.
type SampleSource interface {
	SamplesOf(group model.GroupID) *fresh.PositionSamples
}

// Relays opens the way to databases that this instance sends no statements to itself.
type Relays interface {
	// Open returns a connection to the database of a relayed reservation, through the
	// preferred relay that is not among excluded. It returns false if there is none.
	// Nothing is sent before a statement is run.
	Open(requirements placement.Requirements, reservation placement.Reservation, excluded []netip.AddrPort) (conn *relay.Conn, found bool)
}

// Options are the dependencies and settings of a Server.
type Options struct {
	ListenAddress netip.AddrPort
	Protocol      Protocol
	Router        Router
	// KeyDigest returns the digest that stands for a caller's key.
	KeyDigest        func(key string) route.KeyDigest
	PrimaryConfirmer PrimaryConfirmer
	Samples          SampleSource
	Limiter          Limiter
	Scheduler        *placement.Scheduler
	Pool             *backend.Pool
	// MemoryBudget is the number of bytes that callers may make the server hold, beyond
	// the fixed cost of their connections. MaxConnections is the number of callers'
	// connections. Zero means no limit.
	MemoryBudget   int64
	MaxConnections int
	// Relays may be nil if the scheduler has no relay policy.
	Relays Relays
	Log    *eventlog.Writer
}

// Server serves callers' sessions. NewServer makes one.
type Server struct {
	options Options
	// requestCtx ends when the requests that are still being served are interrupted.
	requestCtx        context.Context
	interruptRequests context.CancelFunc
	// goroutines counts the goroutines that the end of the server waits for.
	goroutines sync.WaitGroup
	limits     *intake.Limits

	mu       sync.Mutex
	sessions map[*session]*record
	// starting holds the connections whose startup message has not been read.
	starting map[net.Conn]bool
	// stage is never lowered.
	stage stage
}

// NewServer returns a server that does not listen yet.
func NewServer(options Options) *Server {
	s := &Server{options: options, sessions: map[*session]*record{}, starting: map[net.Conn]bool{}, stage: stageServing}
	s.limits = intake.NewLimits(intake.Options{Memory: options.MemoryBudget, Connections: options.MaxConnections, MessageCost: messageCost, Log: s.logEvent})
	return s
}

// Start listens until ctx ends. The channel receives a value once the server and
// all of its sessions have ended.
func (s *Server) Start(ctx context.Context) (<-chan error, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", s.options.ListenAddress.String())
	if err != nil {
		return nil, &ListenError{Address: s.options.ListenAddress, Cause: err}
	}
	s.requestCtx, s.interruptRequests = context.WithCancel(ctx)
	ended := make(chan error, 1)
	go func() {
		<-ctx.Done()
		// The listener is closed because the context ended; an error adds nothing.
		_ = listener.Close()
		s.EndSessions(0, closeTimeout)
		s.closeAll()
		s.goroutines.Wait()
		ended <- nil
	}()
	s.spawn(func() { s.accept(listener) })
	return ended, nil
}

// spawn starts a goroutine that the end of the server waits for.
func (s *Server) spawn(run func()) {
	s.goroutines.Add(1)
	go func() {
		defer s.goroutines.Done()
		run()
	}()
}

func (s *Server) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err == nil {
			s.startServing(conn)
			continue
		}
		if errors.Is(err, net.ErrClosed) {
			return
		}
		// The name is empty and the version 0, because a connection that was not
		// accepted has sent no startup message.
		s.logEvent(event.NameRefused, event.F("name", ""), event.F("why", err.Error()), event.F("version", 0))
		time.Sleep(acceptRetryDelay)
	}
}

// startServing serves a connection in a goroutine of its own, or closes it if there are too
// many.
func (s *Server) startServing(conn net.Conn) {
	account := s.limits.Open(s.requestCtx, conn)
	if account == nil {
		_ = conn.Close()
		return
	}
	s.spawn(func() {
		defer account.Close()
		s.serve(conn, account)
	})
}

func (s *Server) logEvent(e event.Event, fields ...event.Field) {
	s.options.Log.Write(time.Now(), e, fields...)
}

// -----------------------------------------------------------------------------
// Sessions.

// serve serves one caller from its startup message to the end of its connection.
func (s *Server) serve(conn net.Conn, account *intake.Account) {
	defer func() { _ = conn.Close() }()
	if !s.addStarting(conn) {
		return
	}
	defer s.removeStarting(conn)
	limited := callerConn{intake.Conn{Conn: conn, Account: account}}
	ses := &session{server: s, conn: conn, account: account, codec: s.options.Protocol.NewCodec(limited)}
	_ = conn.SetReadDeadline(time.Now().Add(startupTimeout))
	startup, err := ses.codec.ReadStartup()
	if err != nil {
		ses.rejectMessage(err)
		return
	}
	account.EndMessage()
	ses.routeName, ses.key = startup.RouteName, s.options.KeyDigest(startup.User)
	if !s.addSession(ses) {
		return
	}
	defer ses.cleanUp()
	if failure := ses.admit(); failure != nil {
		_ = ses.codec.WriteRejection(failure)
		return
	}
	if ses.codec.WriteReady() != nil {
		return
	}
	for ses.serveRequest() {
	}
}

// admit returns why the session is rejected, or nil if it is accepted.
func (ses *session) admit() *statement.FailureError {
	if _, failure := ses.confirmAdmission(); failure != nil {
		return failure
	}
	if ses.server.hasReached(stageDraining) {
		return &statement.FailureError{Code: statement.CodeBusy, Message: shuttingDownText}
	}
	return nil
}

// callerConn is a caller's connection. A write fails once the caller has read nothing for
// replyTimeout, however long the whole write takes.
type callerConn struct{ intake.Conn }

// Write implements net.Conn.
func (c callerConn) Write(data []byte) (int, error) {
	written := 0
	for {
		_ = c.SetWriteDeadline(time.Now().Add(replyTimeout))
		n, err := c.Conn.Write(data[written:])
		written += n
		if n == 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
	}
}

// addStarting records a connection whose startup message has not been read. It reports
// false if the server has ended.
func (s *Server) addStarting(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stage == stageClosed {
		return false
	}
	s.starting[conn] = true
	return true
}

// addSession records a session whose startup message was read. It reports false if the
// server has ended.
func (s *Server) addSession(ses *session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stage == stageClosed {
		return false
	}
	delete(s.starting, ses.conn)
	s.sessions[ses] = &record{phase: phaseServing}
	return true
}

func (s *Server) removeStarting(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.starting, conn)
}

// serveRequest serves one request and reports whether the session continues.
func (ses *session) serveRequest() bool {
	if !ses.awaitRequest() {
		return false
	}
	arrivedAt := clock.Now()
	request, err := ses.codec.ReadRequest()
	if err != nil {
		ses.rejectMessage(err)
		return false
	}
	defer ses.account.EndMessage()
	ses.account.Proceed()
	if ses.account.AwaitRoom() != nil {
		return false
	}
	answer := ses.handle(request, arrivedAt)
	held := ses.account.HoldAnswer(sizeOf(answer.Rows))
	defer ses.account.Return(held)
	return ses.codec.WriteAnswer(answer) == nil
}

// rejectMessage tells the caller why its message was not accepted, if the reason is the
// message and not the connection.
func (ses *session) rejectMessage(err error) {
	var failure *statement.FailureError
	if errors.As(err, &failure) {
		_ = ses.codec.WriteRejection(failure)
	}
}

// awaitRequest waits for the next request and reports whether there is one. It rolls
// back a transaction that is idle for longer than the limit, or while the server is
// ending. Only here does the server decide to close a session, so that each request
// that has arrived is answered before.
func (ses *session) awaitRequest() bool {
	for {
		limit := ses.server.options.Router.IdleTransactionTimeout()
		isLimited := limit > 0 && ses.hasOpenTransaction()
		ses.account.AwaitCaller(ses.hasOpenTransaction())
		ses.server.startWaiting(ses, limit, isLimited)
		err := ses.codec.AwaitRequest()
		interrupted := ses.server.stopWaiting(ses)
		switch {
		case err == nil:
			return true
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return false
		case ses.hasArrived():
			return true
		case interrupted && (!ses.hasOpenTransaction() || ses.server.hasReached(stageClosing)):
			return false
		case interrupted:
			ses.failIdleTransaction(shuttingDownText)
		case isLimited:
			ses.failIdleTransaction("the transaction was idle for longer than the limit")
		}
	}
}

// hasArrived reports whether at least a part of a request has arrived, or the end of the
// connection. A wait that has ended by its deadline does not show that: it reads nothing
// once the deadline has passed.
func (ses *session) hasArrived() bool {
	return ses.codec.HasUnread() || socket.HasUnread(ses.conn)
}

// hasOpenTransaction reports whether the session is inside a transaction that has not
// failed.
func (ses *session) hasOpenTransaction() bool {
	return ses.transaction != nil && !ses.transaction.failed
}

// cleanUp rolls back an open transaction and removes the session from the server.
func (ses *session) cleanUp() {
	if ses.transaction != nil {
		ses.rollBackTransaction()
	}
	ses.server.mu.Lock()
	delete(ses.server.sessions, ses)
	ses.server.mu.Unlock()
}

// SessionCount returns the number of sessions. Connections whose startup message has not
// been read do not count.
func (s *Server) SessionCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}

// ListenError reports that the server could not listen on an address.
type ListenError struct {
	Address netip.AddrPort
	Cause   error
}

// Error implements error.
func (e *ListenError) Error() string {
	return "could not listen on " + e.Address.String() + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }
