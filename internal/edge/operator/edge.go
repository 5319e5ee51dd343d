// Package operator lets operators ask an instance and change things, over
// HTTP. It holds the client of the command line, too.
//
// # What flows in and out
//
//	GET  /health                 alive at all
//	GET  /ready                  200 when it takes callers' work, else 503
//	GET  /status                 ReportRequested  -> Reported, JSON
//	GET  /logbook?group=G        ReportRequested  -> Reported, JSON
//	GET  /manifest               ReportRequested  -> Reported, JSON
//	GET  /debug/vars             expvar's counters, JSON
//	POST /drain                  DrainRequested
//	POST /manifest?expected=N    ManifestSubmitted -> ManifestDecided
//
// A submission carries the manifest as its body and the submitter's name in
// the header Who. Its answer is a Decision in JSON, with status 200 (accepted),
// 400 (invalid), 409 (conflict), 503 (the platform was not reached, nothing
// changed) or 504 (the outcome is unknown).
//
// Changes need the bearer token of the options, and are refused where there is
// none. The edge binds to a loopback address unless told otherwise. Bodies,
// headers, questions at once and all times are bounded.
//
// # Usage
//
//	edge := operator.NewEdge(operator.Options{Token: token, Ready: ready}, sink, log)
//	ended, err := edge.Start(ctx)
//	client := operator.NewClient(edge.Address(), token)
//	decision, err := client.Submit(ctx, body, 4, "pipeline")
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
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
	"github.com/eelgrassfold/eelgrassfold/internal/report/eventlog"
)

const (
	// defaultWait is how long the core's answer is waited for.
	defaultWait = 20 * time.Second
	// maxAsks bounds the questions that wait for the core at once.
	maxAsks = 64
	// maxHeaders bounds the headers of a request, in bytes.
	maxHeaders = 16 << 10
	// requestTime is the longest time in which a request may arrive.
	requestTime = 10 * time.Second
	// answerTime is the longest time in which an answer may be taken.
	answerTime = 10 * time.Second
	// idleTime is how long an unused connection is kept.
	idleTime = 30 * time.Second
	// shutdownTime is how long answers may take to go out at the end.
	shutdownTime = time.Second
)

// defaultAddress takes a free port of the loopback interface.
var defaultAddress = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)

// -----------------------------------------------------------------------------
// The edge.

// Options are the settings of an Edge.
type Options struct {
	// Address is where operators connect to; a free port of the loopback
	// interface where it is zero.
	Address netip.AddrPort
	// Token is the bearer token of those that may change things. Without one
	// nobody may.
	Token string
	// IsReady tells whether the instance takes callers' work.
	IsReady func() bool
	// AnswerTimeout is how long the core's answer is waited for; 0 means 20 s.
	AnswerTimeout time.Duration
}

// Server serves operators. NewEdge makes one.
type Server struct {
	options Options
	sink    message.Sink
	lines   logr.Logger
	log     *eventlog.Writer

	mu      sync.Mutex
	address netip.AddrPort
	// last is the number of the last question.
	last uint64
	// asks holds where the answer to each open question goes.
	asks map[uint64]chan message.Action
}

// NewServer returns an edge that posts what operators want to sink.
func NewServer(options Options, sink message.Sink, log logr.Logger) *Server {
	if !options.Address.IsValid() {
		options.Address = defaultAddress
	}
	if options.AnswerTimeout == 0 {
		options.AnswerTimeout = defaultWait
	}
	if options.IsReady == nil {
		options.IsReady = func() bool { return false }
	}
	return &Server{
		options: options,
		sink:    sink,
		lines:   log,
		log:     eventlog.NewWriter(log, eventlog.DefaultLinesPerSecond),
		asks:    map[uint64]chan message.Action{},
	}
}

// Start listens until ctx ends. The channel is closed when all requests have
// ended, after an error where serving failed before.
func (e *Server) Start(ctx context.Context) (<-chan error, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", e.options.Address.String())
	if err != nil {
		return nil, errors.WithStack(err)
	}
	e.mu.Lock()
	e.address = listener.Addr().(*net.TCPAddr).AddrPort()
	e.mu.Unlock()
	e.log.Write(time.Now(), event.OperatorListening, event.F("address", listener.Addr().String()))
	server := e.newServer(ctx)
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	over := make(chan error, 1)
	go func() {
		defer close(over)
		if err := e.supervise(ctx, server, served); err != nil {
			over <- err
		}
	}()
	return over, nil
}

func (e *Server) newServer(ctx context.Context) *http.Server {
	return &http.Server{
		Handler:           e.newHandler(),
		BaseContext:       func(net.Listener) context.Context { return ctx },
		ReadHeaderTimeout: requestTime,
		ReadTimeout:       requestTime,
		WriteTimeout:      requestTime + e.options.AnswerTimeout + answerTime,
		IdleTimeout:       idleTime,
		MaxHeaderBytes:    maxHeaders,
		ErrorLog:          slog.NewLogLogger(logr.ToSlogHandler(e.lines), slog.LevelWarn),
	}
}

// supervise ends the server when ctx is over.
func (e *Server) supervise(ctx context.Context, server *http.Server, served <-chan error) error {
	select {
	case err := <-served:
		return errors.WithStack(err)
	case <-ctx.Done():
	}
	grace, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTime)
	defer cancel()
	if server.Shutdown(grace) != nil {
		_ = server.Close()
	}
	if err := <-served; !errors.Is(err, http.ErrServerClosed) {
		return errors.WithStack(err)
	}
	return nil
}

// Address is where the edge listens. It is valid after Start.
func (e *Server) Address() netip.AddrPort {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.address
}

// HandleAction takes an action and reports whether it is one of this edge. It never
// blocks.
func (e *Server) HandleAction(action message.Action) bool {
	switch a := action.(type) {
	case message.ReportAnswered:
		e.answer(a.CorrelationID, a)
	case message.ManifestDecided:
		e.answer(a.CorrelationID, a)
	default:
		return false
	}
	return true
}

// -----------------------------------------------------------------------------
// Questions to the core.

// open begins a question. It reports false where too many are open.
func (e *Server) open() (uint64, <-chan message.Action, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.asks) >= maxAsks {
		return 0, nil, false
	}
	e.last++
	answers := make(chan message.Action, 1)
	e.asks[e.last] = answers
	return e.last, answers, true
}

// answer hands an answer to its question, if that is still open.
func (e *Server) answer(ask uint64, action message.Action) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if answers, found := e.asks[ask]; found {
		delete(e.asks, ask)
		answers <- action
	}
}

// put asks the core and waits for its answer. Without one it returns nil, and
// whether the question was put at all.
func (e *Server) put(ctx context.Context, question func(ask uint64) message.Event) (answer message.Action, asked bool) {
	ask, answers, free := e.open()
	if !free {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(ctx, e.options.AnswerTimeout)
	defer cancel()
	e.sink.Post(question(ask))
	select {
	case answer := <-answers:
		return answer, true
	case <-ctx.Done():
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.asks, ask)
		return nil, true
	}
}
