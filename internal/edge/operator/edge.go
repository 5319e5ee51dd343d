// Package operator is the operators' HTTP API of an instance: reports, submission of
// manifests, and draining. It also contains the client that the command line uses.
//
// # What flows in and out
//
//	GET  /health                 200 while the process serves HTTP
//	GET  /ready                  200 if it accepts callers' requests, else 503
//	GET  /status                 ReportRequested -> ReportAnswered, JSON
//	GET  /logbook?group=G        ReportRequested -> ReportAnswered, JSON
//	GET  /manifest               ReportRequested -> ReportAnswered, JSON
//	GET  /debug/vars             counters of expvar, JSON
//	POST /drain                  DrainRequested
//	POST /manifest?expected=N    ManifestSubmitted -> ManifestDecided
//
// A submission carries the manifest as its body and the submitter's name in the
// header Who. The response is a SubmissionResult in JSON, with status 200 (accepted),
// 400 (invalid), 409 (conflict), 503 (the platform was not reached and nothing was
// changed) or 504 (the outcome is unknown).
//
// The POST requests require the bearer token of the options, and are rejected if no
// token is configured. The server listens on a loopback address by default. The
// sizes of bodies and headers, the number of concurrent queries to the core, and
// all durations are bounded.
//
// # Usage
//
//	options := operator.Options{Token: token, IsReady: isReady}
//	server := operator.NewServer(options, sink, log)
//	stopped, err := server.Start(ctx)
//	client := operator.NewClient(server.Address(), token)
//	result, err := client.Submit(ctx, body, 4, "pipeline")
package operator

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/socket"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
	"github.com/eelgrassfold/eelgrassfold/internal/report/eventlog"
)

const (
	// defaultAnswerTimeout is the maximum time to wait for the core's answer.
	defaultAnswerTimeout = 20 * time.Second
	// maxPendingQueries is the maximum number of queries that wait for the core.
	maxPendingQueries = 64
	// maxHeaderSize is the maximum size of the headers of a request, in bytes.
	maxHeaderSize = 16 << 10
	// readTimeout is the maximum duration of receiving a request.
	readTimeout = 10 * time.Second
	// writeTimeout is the maximum duration of sending a response.
	writeTimeout = 10 * time.Second
	// idleTimeout is the time after which an idle connection is closed.
	idleTimeout = 30 * time.Second
	// maxConnections is the maximum number of open connections: those of the queries that
	// wait, and as many others. The oldest is closed for another one.
	maxConnections = 2 * maxPendingQueries
	// shutdownTimeout is the maximum time to finish open requests at shutdown.
	shutdownTimeout = time.Second
)

// defaultAddress is a free port of the loopback interface.
var defaultAddress = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)

// -----------------------------------------------------------------------------
// Server.

// Options are the settings of a Server.
type Options struct {
	// Address is the address on which operators are served. The zero value means
	// a free port of the loopback interface.
	Address netip.AddrPort
	// Token is the bearer token that POST requests require. If it is empty, all
	// POST requests are rejected.
	Token string
	// IsReady reports whether the instance accepts callers' requests. If it is
	// nil, the instance is reported as not ready.
	IsReady func() bool
	// AnswerTimeout is the maximum time to wait for the core's answer; 0 means
	// 20 s.
	AnswerTimeout time.Duration
}

// Server serves the operators' HTTP API. It is created by NewServer.
type Server struct {
	options Options
	sink    message.Sink
	logger  logr.Logger
	log     *eventlog.Writer

	mu      sync.Mutex
	address netip.AddrPort
	// lastID is the correlation ID of the last query.
	lastID uint64
	// pending contains the channel for the answer to each pending query, by
	// correlation ID.
	pending map[uint64]chan message.Action
}

// NewServer returns a server that posts operators' requests to sink.
func NewServer(options Options, sink message.Sink, log logr.Logger) *Server {
	if !options.Address.IsValid() {
		options.Address = defaultAddress
	}
	if options.AnswerTimeout == 0 {
		options.AnswerTimeout = defaultAnswerTimeout
	}
	if options.IsReady == nil {
		options.IsReady = func() bool { return false }
	}
	return &Server{
		options: options,
		sink:    sink,
		logger:  log,
		log:     eventlog.NewWriter(log, eventlog.DefaultLinesPerSecond),
		pending: map[uint64]chan message.Action{},
	}
}

// Start listens until ctx ends. The returned channel is closed when the server has
// stopped; if serving failed, the channel receives the error before.
func (s *Server) Start(ctx context.Context) (<-chan error, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", s.options.Address.String())
	if err != nil {
		return nil, errors.WithStack(err)
	}
	s.mu.Lock()
	s.address = listener.Addr().(*net.TCPAddr).AddrPort()
	s.mu.Unlock()
	s.log.Write(time.Now(), event.OperatorListening, event.F("address", listener.Addr().String()))
	server := s.newServer(ctx)
	served := make(chan error, 1)
	go func() { served <- server.Serve(socket.LimitListener(listener, maxConnections)) }()
	stopped := make(chan error, 1)
	go func() {
		defer close(stopped)
		if err := s.supervise(ctx, server, served); err != nil {
			stopped <- err
		}
	}()
	return stopped, nil
}

func (s *Server) newServer(ctx context.Context) *http.Server {
	return &http.Server{
		Handler:           s.newHandler(),
		BaseContext:       func(net.Listener) context.Context { return ctx },
		ReadHeaderTimeout: readTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      readTimeout + s.options.AnswerTimeout + writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderSize,
		ErrorLog:          slog.NewLogLogger(logr.ToSlogHandler(s.logger), slog.LevelWarn),
	}
}

// supervise stops the server when ctx ends. It returns an error if serving failed.
func (s *Server) supervise(ctx context.Context, server *http.Server, served <-chan error) error {
	select {
	case err := <-served:
		return errors.WithStack(err)
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if server.Shutdown(shutdownCtx) != nil {
		_ = server.Close()
	}
	if err := <-served; !errors.Is(err, http.ErrServerClosed) {
		return errors.WithStack(err)
	}
	return nil
}

// Address returns the address on which operators are served. It is valid after
// Start.
func (s *Server) Address() netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// HandleAction handles action if it is an answer to a query, and reports whether it
// is one. It never blocks.
func (s *Server) HandleAction(action message.Action) bool {
	switch a := action.(type) {
	case message.ReportAnswered:
		s.deliverAnswer(a.CorrelationID, a)
	case message.ManifestDecided:
		s.deliverAnswer(a.CorrelationID, a)
	default:
		return false
	}
	return true
}

// -----------------------------------------------------------------------------
// Queries to the core.

// beginQuery registers a query. It returns its correlation ID and the channel for its
// answer, or false if too many queries are pending.
func (s *Server) beginQuery() (uint64, <-chan message.Action, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending) >= maxPendingQueries {
		return 0, nil, false
	}
	s.lastID++
	answer := make(chan message.Action, 1)
	s.pending[s.lastID] = answer
	return s.lastID, answer, true
}

// deliverAnswer passes an answer to the query with the correlation ID id, if it is
// still pending.
func (s *Server) deliverAnswer(id uint64, action message.Action) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if answer, found := s.pending[id]; found {
		delete(s.pending, id)
		answer <- action
	}
}

// query posts an event to the core and waits for the answer. If there is none in
// time, the answer is nil. posted is false if the event was not posted, because too
// many queries are pending.
func (s *Server) query(ctx context.Context, newEvent func(id uint64) message.Event) (answer message.Action, posted bool) {
	id, answered, accepted := s.beginQuery()
	if !accepted {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(ctx, s.options.AnswerTimeout)
	defer cancel()
	s.sink.Post(newEvent(id))
	select {
	case answer := <-answered:
		return answer, true
	case <-ctx.Done():
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.pending, id)
		return nil, true
	}
}
