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
	"github.com/eelgrassfold/eelgrassfold/internal/core/route"
	"github.com/eelgrassfold/eelgrassfold/internal/core/statement"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/backend"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
	"github.com/eelgrassfold/eelgrassfold/internal/report/eventlog"
)

const (
	// startupTimeout bounds the wait for a caller's startup message.
	startupTimeout = 10 * time.Second
	// minIdleTime is how long a session must have been idle before
	// CloseIdleSessions closes it: a caller that has just connected is about to
	// send a request.
	minIdleTime = 250 * time.Millisecond
	// arrivalTimeout bounds the check whether a session that is to be closed has
	// received a request.
	arrivalTimeout = time.Millisecond
	// interruptTimeout bounds the wait for the answers to interrupted requests.
	interruptTimeout = 100 * time.Millisecond
	// drainPollInterval is the time between two checks whether a session remains.
	drainPollInterval = 10 * time.Millisecond
	// acceptRetryDelay is the delay after a connection could not be accepted, for
	// example because of too many open files.
	acceptRetryDelay = 50 * time.Millisecond
)

// Router maps the names that callers connect to onto routes.
type Router interface {
	// Route returns the route of a name in the configuration in force.
	Route(name string) (route.Route, bool)
	// ConfirmRoute waits until it is certain whether a name has a route. isCertain
	// is false if that could not be determined within a short time.
	ConfirmRoute(ctx context.Context, name string) (found, isCertain bool)
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

// SampleSource provides the position samples of each group.
type SampleSource interface {
	SamplesOf(group model.GroupID) *fresh.PositionSamples
}

// Options are the dependencies and settings of a Server.
type Options struct {
	ListenAddress    netip.AddrPort
	Protocol         Protocol
	Router           Router
	PrimaryConfirmer PrimaryConfirmer
	Samples          SampleSource
	Scheduler        *placement.Scheduler
	Pool             *backend.Pool
	Log              *eventlog.Writer
}

// Server serves callers' sessions. NewServer makes one.
type Server struct {
	options Options
	// requestCtx ends when the requests that are still being served are interrupted.
	requestCtx        context.Context
	interruptRequests context.CancelFunc
	// goroutines counts the goroutines that the end of the server waits for.
	goroutines sync.WaitGroup

	mu       sync.Mutex
	sessions map[*session]*record
	// starting holds the connections that have not completed the startup.
	starting map[net.Conn]bool
	// closed is set once all connections have been closed, and no further one may be
	// served.
	closed bool
	// draining is set once sessions are closed whenever they are idle. ending is set
	// once no further statement is sent to a database.
	draining, ending bool
}

// phase is the current activity of a session.
type phase int

// The values of phase.
const (
	phaseServing phase = iota
	// phaseIdle: the session waits for a request, outside any transaction.
	phaseIdle
	// phaseIdleInTransaction: the session waits for a request, inside a transaction.
	phaseIdleInTransaction
)

// record is the current phase of a session.
type record struct {
	phase phase
	// since is the time at which the wait for a request began. It is zero in
	// phaseServing.
	since time.Time
	// endRequested is set when the server has interrupted the wait for a request
	// in order to end the session.
	endRequested bool
}

// NewServer returns a server that does not listen yet.
func NewServer(options Options) *Server {
	return &Server{options: options, sessions: map[*session]*record{}, starting: map[net.Conn]bool{}}
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
			s.spawn(func() { s.serve(conn) })
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

func (s *Server) logEvent(e event.Event, fields ...event.Field) {
	s.options.Log.Write(time.Now(), e, fields...)
}

// -----------------------------------------------------------------------------
// Sessions.

// serve serves one caller from its startup message to the end of its connection.
func (s *Server) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if !s.addStarting(conn) {
		return
	}
	defer s.removeStarting(conn)
	ses := &session{server: s, conn: conn, codec: s.options.Protocol.NewCodec(conn)}
	_ = conn.SetReadDeadline(time.Now().Add(startupTimeout))
	startup, err := ses.codec.ReadStartup()
	if err != nil {
		return
	}
	ses.routeName = startup.RouteName
	_ = conn.SetWriteDeadline(time.Now().Add(replyTimeout))
	if found, isCertain := s.options.Router.ConfirmRoute(s.requestCtx, startup.RouteName); !found {
		failure := &statement.FailureError{Code: statement.CodeGroupNotFound, Message: "no route has the name " + startup.RouteName}
		if !isCertain {
			failure = &statement.FailureError{Code: statement.CodeBusy, Message: "the configuration is not known yet; " + retryAfterText}
		}
		s.logEvent(event.NameRefused, event.F("name", startup.RouteName), event.F("why", failure.Message),
			event.F("version", s.options.Router.ConfigurationVersion()))
		_ = ses.codec.WriteRejection(failure)
		return
	}
	if s.isDraining() {
		_ = ses.codec.WriteRejection(&statement.FailureError{Code: statement.CodeBusy, Message: shuttingDownText})
		return
	}
	if ses.codec.WriteReady() != nil {
		return
	}
	s.removeStarting(conn)
	defer ses.cleanUp()
	for ses.serveRequest() {
	}
}

// addStarting records a connection that has not completed the startup. It reports false
// if the server has ended.
func (s *Server) addStarting(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.starting[conn] = true
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
	_ = ses.conn.SetReadDeadline(time.Now().Add(requestTimeout))
	request, err := ses.codec.ReadRequest()
	if err != nil {
		return false
	}
	answer := ses.handle(request, arrivedAt)
	_ = ses.conn.SetWriteDeadline(time.Now().Add(replyTimeout))
	return ses.codec.WriteAnswer(answer) == nil
}

// awaitRequest waits for the next request and reports whether there is one. It rolls
// back a transaction that is idle for longer than the limit.
func (ses *session) awaitRequest() bool {
	for {
		limit := ses.server.options.Router.IdleTransactionTimeout()
		isLimited := limit > 0 && ses.transaction != nil && !ses.transaction.failed
		if !ses.server.startWaiting(ses, limit, isLimited) {
			return false
		}
		err := ses.codec.AwaitRequest()
		endRequested := ses.server.stopWaiting(ses)
		switch {
		case err == nil:
			return true
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return false
		case endRequested:
			return ses.hasArrived()
		case isLimited:
			ses.failIdleTransaction("the transaction was idle for longer than the limit")
		}
	}
}

// hasArrived reports whether a request has arrived by now.
func (ses *session) hasArrived() bool {
	_ = ses.conn.SetReadDeadline(time.Now().Add(arrivalTimeout))
	return ses.codec.AwaitRequest() == nil
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

// startWaiting records that a session starts to wait for a request, and sets the
// deadline of the wait: after limit if isLimited is true, otherwise none. It returns
// false if the session has to end because the server is draining.
func (s *Server) startWaiting(ses *session, limit time.Duration, isLimited bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.ending || s.draining && ses.transaction == nil {
		return false
	}
	deadline := time.Time{}
	if isLimited {
		deadline = time.Now().Add(limit)
	}
	_ = ses.conn.SetReadDeadline(deadline)
	waiting := &record{phase: phaseIdle, since: clock.Now()}
	if ses.transaction != nil {
		waiting.phase = phaseIdleInTransaction
	}
	s.sessions[ses] = waiting
	return true
}

// stopWaiting records that a session no longer waits for a request, and reports
// whether the server has requested the session's end in the meantime.
func (s *Server) stopWaiting(ses *session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	endRequested := s.sessions[ses].endRequested
	s.sessions[ses] = &record{phase: phaseServing}
	return endRequested
}

// StartDraining closes idle sessions, now and as soon as another becomes idle.
func (s *Server) StartDraining() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	s.endIdle(0)
}

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

func (s *Server) isEnding() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ending
}

// CloseIdleSessions closes the sessions that have been idle for minIdleTime, so that
// their callers reconnect to an instance that is ready.
func (s *Server) CloseIdleSessions() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endIdle(minIdleTime)
}

// endIdle ends the sessions that have been idle for idleTime or longer, and those that
// are idle inside a transaction if the server is ending. The caller holds s.mu.
func (s *Server) endIdle(idleTime time.Duration) {
	now := clock.Now()
	for ses, current := range s.sessions {
		isIdle := current.phase == phaseIdle && now.Sub(current.since) >= idleTime
		if isIdle || current.phase == phaseIdleInTransaction && s.ending {
			current.endRequested = true
			_ = ses.conn.SetReadDeadline(time.Unix(1, 0))
		}
	}
}

// AwaitDrained waits until no session remains, for limit at most.
func (s *Server) AwaitDrained(limit time.Duration) {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline) && s.SessionCount() > 0; {
		time.Sleep(drainPollInterval)
	}
}

// EndSessions ends all sessions, so that each request that was read gets an answer. No
// further statement is sent to a database: open transactions are rolled back. Requests
// that are being served have until limit to be answered by their databases. Then they
// are interrupted, and answered with what is known of them.
func (s *Server) EndSessions(limit time.Duration) {
	s.mu.Lock()
	s.draining, s.ending = true, true
	s.endIdle(0)
	s.mu.Unlock()
	s.AwaitDrained(limit)
	s.interruptRequests()
	s.AwaitDrained(interruptTimeout)
}

// SessionCount returns the number of sessions. A session counts from its first wait
// for a request on; connections that have not completed startup do not count.
func (s *Server) SessionCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}

// closeAll closes all sessions, and the connections that have not completed the startup.
func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for ses := range s.sessions {
		_ = ses.conn.Close()
	}
	for conn := range s.starting {
		_ = conn.Close()
	}
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
