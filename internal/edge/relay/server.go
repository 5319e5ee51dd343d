package relay

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/core/placement"
	"github.com/eelgrassfold/eelgrassfold/internal/core/statement"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/backend"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/peer"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
	"github.com/eelgrassfold/eelgrassfold/internal/report/eventlog"
)

const (
	// maxServed and maxServedBytes bound the statements of peers that are served at once:
	// their number, and the memory of their frames and of the answers that are not
	// written yet. A statement beyond is refused at once.
	maxServed      = 1024
	maxServedBytes = 32 << 20
	// maxTransactions bounds the open transactions of all peers.
	maxTransactions = 256
	// maxUnauthenticated bounds the accepted connections that are not authenticated yet.
	maxUnauthenticated = 64
	// openTransactionTimeout is how long a link with open transactions may carry nothing:
	// the caller sends a ping each second. unusedLinkTimeout is the same for other links,
	// which the caller closes before.
	openTransactionTimeout = 4 * time.Second
	unusedLinkTimeout      = 3 * idleTimeout
	// acceptRetryDelay is the delay after a connection could not be accepted.
	acceptRetryDelay = 50 * time.Millisecond
)

// Order is what an Executor needs to know to reserve a database for a statement or
// transaction of a peer.
type Order struct {
	// Database is the database as the peer knows it.
	Database placement.Database
	// Requirements name the database; their times are by the clock of this instance.
	Requirements placement.Requirements
	// Variables are those of the session, to choose a connection by.
	Variables backend.Variables
}

// Executor runs statements of peers at the databases of this instance.
type Executor interface {
	// Reserve waits for a connection to a database until ctx ends. Its error is a
	// *RefusalError.
	Reserve(ctx context.Context, order Order) (Execution, error)
	// AnswerAge returns how long ago a database has answered. Its error is a
	// *RefusalError if Reserve would refuse at once.
	AnswerAge(order Order) (time.Duration, error)
}

// Execution is a reserved connection to a database.
type Execution interface {
	// Run brings the connection into a state, sends one statement and returns the answer.
	// Its error is a *RefusalError if the statement was not sent.
	Run(ctx context.Context, timeout time.Duration, state backend.SessionState, request statement.Request, isWrite bool) (*backend.Reply, error)
	// End rolls back a transaction that is open and gives the reservation back. Run must
	// have returned.
	End()
}

// RefusalError reports that an Executor sent nothing to the database.
type RefusalError struct {
	Reason Reason
	Text   string
	// ExpectedWait is the time after which a reservation was expected, or zero.
	ExpectedWait time.Duration
}

// Error implements error.
func (e *RefusalError) Error() string { return e.Reason.String() + ": " + e.Text }

// ServerOptions are the dependencies and settings of a Server.
type ServerOptions struct {
	// Instance is the ID of this instance, Key the key that the instances share.
	Instance model.InstanceID
	Key      []byte
	// Listen is the address on which peers are accepted; port 0 picks a free one.
	Listen   netip.AddrPort
	Executor Executor
	Log      *eventlog.Writer
}

// Server serves the statements of peers. NewServer makes one.
type Server struct {
	options ServerOptions
	// running counts the goroutines that the end of the server waits for.
	running         sync.WaitGroup
	unauthenticated chan struct{}

	mu       sync.Mutex
	listener net.Listener
	links    map[*servedLink]bool
	// served and bytes count what maxServed and maxServedBytes bound, transactions what
	// maxTransactions bounds.
	served, bytes, transactions int
	// isDraining is set once no statement outside open transactions is accepted any more,
	// isEnding once no statement is.
	isDraining, isEnding bool
}

// NewServer returns a server that does not listen yet.
func NewServer(options ServerOptions) *Server {
	return &Server{options: options, unauthenticated: make(chan struct{}, maxUnauthenticated), links: map[*servedLink]bool{}}
}

// Start listens until ctx ends. The channel receives nil once all links have ended.
func (s *Server) Start(ctx context.Context) (<-chan error, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", s.options.Listen.String())
	if err != nil {
		return nil, errors.WithStack(err)
	}
	s.mu.Lock()
	s.listener = listener
	s.mu.Unlock()
	s.spawn(func() { s.accept(ctx, listener) })
	ended := make(chan error, 1)
	go func() {
		<-ctx.Done()
		// The listener is closed because the context ended; an error adds nothing.
		_ = listener.Close()
		s.running.Wait()
		ended <- nil
	}()
	return ended, nil
}

// Address returns the address on which peers are accepted. It must be called after Start.
func (s *Server) Address() netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listener.Addr().(*net.TCPAddr).AddrPort()
}

// StartDraining makes the server refuse statements outside open transactions.
func (s *Server) StartDraining() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isDraining = true
}

// EndTransactions makes the server refuse all statements, and rolls back the transactions
// in which none runs. The others end after their statement.
func (s *Server) EndTransactions() {
	s.mu.Lock()
	s.isDraining, s.isEnding = true, true
	links := make([]*servedLink, 0, len(s.links))
	for l := range s.links {
		links = append(links, l)
	}
	s.mu.Unlock()
	for _, l := range links {
		l.endTransactions()
	}
}

// spawn starts a goroutine that the end of the server waits for.
func (s *Server) spawn(run func()) {
	s.running.Add(1)
	go func() {
		defer s.running.Done()
		run()
	}()
}

func (s *Server) accept(ctx context.Context, listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(acceptRetryDelay)
			continue
		}
		select {
		case s.unauthenticated <- struct{}{}:
			s.spawn(func() { s.serve(ctx, conn) })
		default:
			counters.Add("rejected.strangers", 1)
			_ = conn.Close()
		}
	}
}

// serve authenticates an accepted connection and serves it until it ends.
func (s *Server) serve(ctx context.Context, conn net.Conn) {
	channel, err := peer.AcceptChannel(ctx, conn, protocol, s.options.Instance, s.options.Key, handshakeTimeout)
	<-s.unauthenticated
	if err != nil {
		counters.Add("rejected.handshake", 1)
		s.logEvent(event.RelayPeerRejected, event.F("address", conn.RemoteAddr().String()), event.F("error", err.Error()))
		return
	}
	l := newServedLink(s, channel)
	s.mu.Lock()
	s.links[l] = true
	s.mu.Unlock()
	l.run(ctx)
	s.mu.Lock()
	delete(s.links, l)
	s.mu.Unlock()
}

func (s *Server) logEvent(e event.Event, fields ...event.Field) {
	s.options.Log.Write(time.Now(), e, fields...)
}

// -----------------------------------------------------------------------------
// Admission.

// admit counts a statement of the given size, or returns why it is refused.
func (s *Server) admit(size int, isInTransaction, opensTransaction bool) Reason {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.isEnding && isInTransaction:
		return ReasonTransactionEnded
	case s.isDraining && !isInTransaction:
		return ReasonDraining
	case s.served >= maxServed || s.bytes+size > maxServedBytes || opensTransaction && s.transactions >= maxTransactions:
		return ReasonFull
	}
	s.served++
	s.bytes += size
	if opensTransaction {
		s.transactions++
	}
	return 0
}

// done counts a statement as served. The memory of its answer counts from now on until
// release is called with the size that done was called with.
func (s *Server) done(size, answerSize int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.served--
	s.bytes += answerSize - size
}

func (s *Server) release(answerSize int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bytes -= answerSize
}

func (s *Server) transactionEnded() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.transactions--
}
