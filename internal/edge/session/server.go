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
	// greetTimeout bounds the wait for a caller's introduction.
	greetTimeout = 10 * time.Second
	// shedAfter is how long a session must have been idle to be shed: a caller
	// that has just connected is about to ask.
	shedAfter = 250 * time.Millisecond
	// drainPause is the time between two looks whether any session is left.
	drainPause = 20 * time.Millisecond
	// acceptPause is the pause after a failure to accept a connection, such as
	// too many open files.
	acceptPause = 50 * time.Millisecond
)

// Router tells what the names stand for that callers connect to.
type Router interface {
	// Route returns the route of a name that is in force.
	Route(name string) (route.Route, bool)
	// ConfirmRoute waits until it is certain whether a name has a route, and reports
	// whether that could be known soon.
	ConfirmRoute(ctx context.Context, name string) (found, isCertain bool)
	// IdleTransactionTimeout is how long a transaction may rest; zero sets no limit.
	IdleTransactionTimeout() time.Duration
	// ConfigurationVersion is the version of the configuration in force.
	ConfigurationVersion() uint64
}

// PrimaryConfirmer tells whether a database was the primary when it answered.
type PrimaryConfirmer interface {
	// ConfirmPrimary waits for the verdict until ctx ends.
	ConfirmPrimary(ctx context.Context, grant lease.Grant, answered time.Time) lease.Validity
	// IsPartitioned reports whether this instance can use a group's primary less than
	// others can: a caller does better to come again, to another instance.
	IsPartitioned(group model.GroupID) bool
	// ReportSuspectedPrimary says that a group's primary did not do what a primary does.
	ReportSuspectedPrimary(group model.GroupID)
}

// SampleSource holds the samples of all groups.
type SampleSource interface {
	SamplesOf(group model.GroupID) *fresh.PositionSamples
}

// Options are what a Server needs.
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
	ctx     context.Context
	// running counts the goroutines.
	running sync.WaitGroup

	mu       sync.Mutex
	sessions map[*session]*rest
	// leaving says that idle sessions are closed.
	leaving bool
}

// phase tells what a session is doing.
type phase int

// The values of phase.
const (
	phaseServing phase = iota
	// phaseResting: it waits for a request, outside any transaction.
	phaseResting
	// phaseOpen: it waits for a request, inside a transaction.
	phaseOpen
)

// rest is what a session is doing, since when.
type rest struct {
	phase phase
	since time.Time
	// told says that the session was told to end.
	told bool
}

// NewServer returns a server that does not listen yet.
func NewServer(options Options) *Server {
	return &Server{options: options, sessions: map[*session]*rest{}}
}

// Start listens until ctx ends. The channel gets the end of the server, after
// that of all sessions.
func (s *Server) Start(ctx context.Context) (<-chan error, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", s.options.ListenAddress.String())
	if err != nil {
		return nil, &ListenError{Address: s.options.ListenAddress, Cause: err}
	}
	s.ctx = ctx
	ended := make(chan error, 1)
	go func() {
		<-ctx.Done()
		// The listener ends with the context; its error would say just that.
		_ = listener.Close()
		s.closeAll()
		s.running.Wait()
		ended <- nil
	}()
	s.spawn(func() { s.accept(listener) })
	return ended, nil
}

// spawn runs a goroutine that the end of the server waits for.
func (s *Server) spawn(run func()) {
	s.running.Add(1)
	go func() {
		defer s.running.Done()
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
		s.note(event.NameRefused, event.F("name", ""), event.F("why", err.Error()), event.F("version", 0))
		time.Sleep(acceptPause)
	}
}

func (s *Server) note(e event.Event, fields ...event.Field) {
	s.options.Log.Write(time.Now(), e, fields...)
}

// -----------------------------------------------------------------------------
// Sessions.

// serve serves one caller from its introduction to its end.
func (s *Server) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	ses := &session{server: s, conn: conn, wire: s.options.Protocol.NewCodec(conn)}
	_ = conn.SetReadDeadline(time.Now().Add(greetTimeout))
	greeting, err := ses.wire.ReadStartup()
	if err != nil {
		return
	}
	ses.name = greeting.RouteName
	_ = conn.SetWriteDeadline(time.Now().Add(replyTimeout))
	if found, isCertain := s.options.Router.ConfirmRoute(s.ctx, greeting.RouteName); !found {
		failure := &statement.FailureError{Code: statement.CodeGroupNotFound, Message: "no route has the name " + greeting.RouteName}
		if !isCertain {
			failure = &statement.FailureError{Code: statement.CodeBusy, Message: "the configuration is not known yet; " + comeBack}
		}
		s.note(event.NameRefused, event.F("name", greeting.RouteName), event.F("why", failure.Message),
			event.F("version", s.options.Router.ConfigurationVersion()))
		_ = ses.wire.WriteRejection(failure)
		return
	}
	if ses.wire.WriteReady() != nil {
		return
	}
	defer ses.end()
	for ses.turn() {
	}
}

// turn serves one request and reports whether the session goes on.
func (ses *session) turn() bool {
	if !ses.await() {
		return false
	}
	arrived := clock.Now()
	_ = ses.conn.SetReadDeadline(time.Now().Add(requestTimeout))
	request, err := ses.wire.ReadRequest()
	if err != nil {
		return false
	}
	answer := ses.handle(request, arrived)
	_ = ses.conn.SetWriteDeadline(time.Now().Add(replyTimeout))
	return ses.wire.WriteAnswer(answer) == nil
}

// await waits for the next request and reports whether there is one. A
// transaction that rests too long is rolled back.
func (ses *session) await() bool {
	for {
		limit := ses.server.options.Router.IdleTransactionTimeout()
		bounded := limit > 0 && ses.transaction != nil && !ses.transaction.failed
		if !ses.server.rest(ses, limit, bounded) {
			return false
		}
		err := ses.wire.AwaitRequest()
		left := ses.server.wake(ses)
		switch {
		case err == nil:
			return true
		case !errors.Is(err, os.ErrDeadlineExceeded) || left:
			return false
		case bounded:
			ses.interrupt("it rested longer than the limit")
		}
	}
}

// end gives back what the session still holds.
func (ses *session) end() {
	if ses.transaction != nil {
		ses.endTransaction()
	}
	ses.server.mu.Lock()
	delete(ses.server.sessions, ses)
	ses.server.mu.Unlock()
}

// rest notes that a session waits for a request, and reports whether it may.
func (s *Server) rest(ses *session, limit time.Duration, bounded bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving && ses.transaction == nil {
		return false
	}
	deadline := time.Time{}
	if bounded {
		deadline = time.Now().Add(limit)
	}
	_ = ses.conn.SetReadDeadline(deadline)
	now := &rest{phase: phaseResting, since: clock.Now()}
	if ses.transaction != nil {
		now.phase = phaseOpen
	}
	s.sessions[ses] = now
	return true
}

// wake notes that a session no longer waits, and reports whether it was told to
// end meanwhile.
func (s *Server) wake(ses *session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	told := s.sessions[ses].told
	s.sessions[ses] = &rest{phase: phaseServing}
	return told
}

// StartDraining closes idle sessions, now and whenever one becomes idle.
func (s *Server) StartDraining() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
	s.endResting(0)
}

// CloseIdleSessions closes the sessions that are idle for a moment: their callers connect
// again, to an instance that is ready.
func (s *Server) CloseIdleSessions() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endResting(shedAfter)
}

// endResting ends the sessions that have been idle for a time. The server is
// locked.
func (s *Server) endResting(after time.Duration) {
	now := clock.Now()
	for ses, r := range s.sessions {
		if r.phase == phaseResting && now.Sub(r.since) >= after {
			r.told = true
			_ = ses.conn.SetReadDeadline(time.Unix(1, 0))
		}
	}
}

// AwaitDrained waits until no session is left, for limit at most.
func (s *Server) AwaitDrained(limit time.Duration) {
	for end := time.Now().Add(limit); time.Now().Before(end) && s.SessionCount() > 0; {
		time.Sleep(drainPause)
	}
}

// SessionCount returns the number of sessions.
func (s *Server) SessionCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}

// closeAll closes all sessions.
func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for ses := range s.sessions {
		_ = ses.conn.Close()
	}
}

// ListenError reports an address that could not be listened at.
type ListenError struct {
	Address netip.AddrPort
	Cause   error
}

// Error implements error.
func (e *ListenError) Error() string {
	return "could not listen at " + e.Address.String() + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }
