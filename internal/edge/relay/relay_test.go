package relay

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/eelgrassfold/eelgrassfold/internal/core/clock"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/core/placement"
	decision "github.com/eelgrassfold/eelgrassfold/internal/core/relay"
	"github.com/eelgrassfold/eelgrassfold/internal/core/statement"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/backend"
	"github.com/eelgrassfold/eelgrassfold/internal/report/eventlog"
)

const (
	testKey = "the key of all instances"
	// testTimeout bounds each wait of a test. statementTimeout is that of a statement: far
	// longer than it takes to notice that a relay is silent.
	testTimeout      = 20 * time.Second
	statementTimeout = 4 * time.Second
)

var testDatabase = placement.Database{
	ID: "db1", Group: "ratings", Address: netip.MustParseAddrPort("10.0.0.1:5432"), Incarnation: 3,
}

// fakeExecutor is a database that answers each statement once it may.
type fakeExecutor struct {
	mu sync.Mutex
	// refusal is returned by Reserve, lost by Run once the statement was recorded.
	refusal *RefusalError
	lost    error
	// hold, if set, delays each answer until it is closed or the statement is interrupted.
	hold chan struct{}
	// started receives a value when a statement has been sent to the database.
	started chan struct{}
	orders  []Order
	ran     []ranStatement
	// open is the number of reservations that have not ended.
	open int
}

// ranStatement is a statement as it arrived at a database.
type ranStatement struct {
	State   backend.SessionState
	Request statement.Request
	IsWrite bool
}

func newFakeExecutor() *fakeExecutor { return &fakeExecutor{started: make(chan struct{}, 4*maxServed)} }

func (e *fakeExecutor) Reserve(_ context.Context, order Order) (Execution, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.refusal != nil {
		return nil, e.refusal
	}
	e.orders = append(e.orders, order)
	e.open++
	return e, nil
}

func (e *fakeExecutor) AnswerAge(Order) (time.Duration, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.refusal != nil {
		return 0, e.refusal
	}
	return time.Second, nil
}

func (e *fakeExecutor) Run(ctx context.Context, timeout time.Duration, state backend.SessionState, request statement.Request, isWrite bool) (*backend.Reply, error) {
	e.mu.Lock()
	e.ran = append(e.ran, ranStatement{State: state, Request: request, IsWrite: isWrite})
	hold, lost := e.hold, e.lost
	e.mu.Unlock()
	e.started <- struct{}{}
	if hold != nil {
		select {
		case <-hold:
		case <-time.After(timeout):
			return nil, &backend.ConnectionLostError{Database: "db1", Cause: os.ErrDeadlineExceeded}
		case <-ctx.Done():
			return nil, &backend.ConnectionLostError{Database: "db1", Cause: ctx.Err()}
		}
	}
	if lost != nil {
		return nil, lost
	}
	return &backend.Reply{Answer: statement.Answer{Rows: []string{"a 1"}, Signature: "sig", Position: model.Position{Term: 2, Offset: 9}}}, nil
}

func (e *fakeExecutor) End() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.open--
}

func (e *fakeExecutor) set(change func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change()
}

func (e *fakeExecutor) ranCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.ran)
}

// path is the way from a client to a server, which can be interrupted.
type path struct {
	address netip.AddrPort
	mu      sync.Mutex
	conns   []net.Conn
	// frozen is closed once nothing passes any more.
	frozen chan struct{}
	once   sync.Once
}

func newPath(t *testing.T, target netip.AddrPort) *path {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	p := &path{address: listener.Addr().(*net.TCPAddr).AddrPort(), frozen: make(chan struct{})}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			other, err := net.Dial("tcp", target.String())
			if err != nil {
				_ = conn.Close()
				continue
			}
			p.mu.Lock()
			p.conns = append(p.conns, conn, other)
			p.mu.Unlock()
			go p.copy(conn, other)
			go p.copy(other, conn)
		}
	}()
	t.Cleanup(p.cut)
	return p
}

func (p *path) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		select {
		case <-p.frozen:
			return
		default:
		}
		if err != nil {
			_ = to.Close()
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			_ = from.Close()
			return
		}
	}
}

// freeze makes the path silent, as if the relay were stopped. The connections stay open.
func (p *path) freeze() { p.once.Do(func() { close(p.frozen) }) }

// cut closes the connections, as the end of the relay's process does.
func (p *path) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.conns {
		_ = conn.Close()
	}
}

// pair is a client with a relay and the path between them.
type pair struct {
	t        *testing.T
	client   *Client
	chooser  *decision.Chooser
	server   *Server
	executor *fakeExecutor
	path     *path
}

func newPair(t *testing.T) *pair {
	t.Helper()
	executor := newFakeExecutor()
	log := eventlog.NewWriter(logr.Discard(), eventlog.DefaultLinesPerSecond)
	server := NewServer(ServerOptions{
		Instance: "relay", Key: []byte(testKey), Listen: netip.MustParseAddrPort("127.0.0.1:0"), Executor: executor, Log: log,
	})
	chooser := decision.NewChooser("caller", "east")
	client := NewClient(ClientOptions{Instance: "caller", Key: []byte(testKey), Chooser: chooser, Log: log})
	ctx, cancel := context.WithCancel(context.Background())
	serverEnded, err := server.Start(ctx)
	if err != nil {
		t.Fatal(err)
	}
	clientEnded := client.Start(ctx)
	t.Cleanup(func() {
		cancel()
		<-serverEnded
		<-clientEnded
	})
	return &pair{t: t, client: client, chooser: chooser, server: server, executor: executor, path: newPath(t, server.Address())}
}

// open returns a connection through the relay for statements that need the primary.
func (p *pair) open() *Conn {
	now := clock.Now()
	return p.client.Open(p.path.address,
		placement.Requirements{Group: "ratings", Rank: 2, Tenant: "t1", ArrivedAt: now.Add(-time.Minute), Deadline: now.Add(statementTimeout), RequiresPrimary: true},
		placement.Reservation{Database: testDatabase, IsPrimary: true, IsRelayed: true})
}

// run runs a write on a new connection, outside a transaction.
func (p *pair) run() (*backend.Reply, error) {
	conn := p.open()
	defer conn.Close()
	return conn.RunIn(context.Background(), statementTimeout, backend.SessionState{}, statement.Request{ID: "q", Statement: statement.Write{Text: "SET a 1"}})
}

// eventually waits until a condition holds.
func (p *pair) eventually(condition string, holds func() bool) {
	p.t.Helper()
	for deadline := time.Now().Add(testTimeout); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			p.t.Fatalf("not in time: %s", condition)
		}
	}
}

// outcomeOf returns what an outcome guarantees.
func outcomeOf(reply *backend.Reply, err error) string {
	var notRun *NotRunError
	var lost *LostError
	switch {
	case errors.As(err, &notRun):
		return "not run: " + notRun.Reason.String()
	case errors.As(err, &lost):
		return "lost"
	case reply != nil && err == nil:
		return "answered"
	default:
		return "no outcome"
	}
}

// -----------------------------------------------------------------------------
// Outcomes.

// A statement arrives as it was sent, with its times by the clock of the relay.
func TestStatementArrives(t *testing.T) {
	p := newPair(t)
	prepared := &statement.Prepare{Name: "p", Access: model.AccessWrite, Template: "SET $1 $2"}
	conn := p.open()
	state := backend.SessionState{Variables: backend.Variables{"zone": "utc"}, Prepared: prepared}
	reply, err := conn.RunIn(t.Context(), statementTimeout, state, statement.Request{ID: "q7", Statement: statement.Execute{Name: "p", Arguments: "a 1"}})
	if err != nil {
		t.Fatal(err)
	}
	conn.Close()
	want := statement.Answer{Rows: []string{"a 1"}, Signature: "sig", Position: model.Position{Term: 2, Offset: 9}}
	if diff := cmp.Diff(want, reply.Answer); diff != "" {
		t.Error(diff)
	}
	wantRan := []ranStatement{{State: state, Request: statement.Request{ID: "q7", Statement: statement.Execute{Name: "p", Arguments: "a 1"}}, IsWrite: true}}
	if diff := cmp.Diff(wantRan, p.executor.ran); diff != "" {
		t.Error(diff)
	}
	order := p.executor.orders[0]
	now := clock.Now()
	wantOrder := Order{
		Database: testDatabase, Variables: state.Variables,
		Requirements: placement.Requirements{
			Group: "ratings", Rank: 2, Tenant: "t1", RequiresPrimary: true, Database: "db1",
			ArrivedAt: now.Add(-time.Minute), Deadline: now.Add(statementTimeout),
		},
	}
	if diff := cmp.Diff(wantOrder, order, cmpopts.EquateApproxTime(testTimeout), cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })); diff != "" {
		t.Error(diff)
	}
}

// What the caller learns when the relay dies, freezes, drains or loses its database before
// a statement was sent, while it runs and after it ran. A statement that is reported as not
// run has not reached the database, and none reaches it twice.
func TestOutcomes(t *testing.T) {
	lostError := &backend.ConnectionLostError{Database: "db1", Cause: io.EOF}
	for name, c := range map[string]struct {
		before, during, after func(p *pair)
		want                  string
		wantRan               int
	}{
		"undisturbed":          {want: "answered", wantRan: 1},
		"dead before":          {before: func(p *pair) { p.path = &path{address: netip.MustParseAddrPort("127.0.0.1:1")} }, want: "not run: unreachable"},
		"frozen before":        {before: func(p *pair) { p.path.freeze() }, want: "not run: unreachable"},
		"draining before":      {before: func(p *pair) { p.server.StartDraining() }, want: "not run: draining"},
		"without way before":   {before: func(p *pair) { p.executor.refusal = &RefusalError{Reason: ReasonNoWay} }, want: "not run: no-way"},
		"rejected by rank":     {before: func(p *pair) { p.executor.refusal = &RefusalError{Reason: ReasonRejected} }, want: "not run: rejected"},
		"dies meanwhile":       {during: func(p *pair) { p.path.cut() }, want: "lost", wantRan: 1},
		"freezes meanwhile":    {during: func(p *pair) { p.path.freeze() }, want: "lost", wantRan: 1},
		"drains meanwhile":     {during: func(p *pair) { p.server.StartDraining(); close(p.executor.hold) }, want: "answered", wantRan: 1},
		"ends meanwhile":       {during: func(p *pair) { p.server.EndTransactions(); close(p.executor.hold) }, want: "answered", wantRan: 1},
		"loses way meanwhile":  {before: func(p *pair) { p.executor.lost = lostError }, want: "lost", wantRan: 1},
		"dies afterwards":      {after: func(p *pair) { p.path.cut() }, want: "answered", wantRan: 1},
		"freezes afterwards":   {after: func(p *pair) { p.path.freeze() }, want: "answered", wantRan: 1},
		"refuses the database": {before: func(p *pair) { p.executor.refusal = &RefusalError{Reason: ReasonUnknownDatabase} }, want: "not run: unknown-database"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newPair(t)
			if c.before != nil {
				c.before(p)
			}
			if c.during != nil {
				p.executor.hold = make(chan struct{})
				go func() {
					<-p.executor.started
					p.executor.set(func() { c.during(p) })
				}()
			}
			startedAt := time.Now()
			got := outcomeOf(p.run())
			took := time.Since(startedAt)
			if c.after != nil {
				c.after(p)
			}
			if got != c.want || p.executor.ranCount() != c.wantRan {
				t.Errorf("%s, %d statements ran; want %s, %d", got, p.executor.ranCount(), c.want, c.wantRan)
			}
			if took > statementTimeout/2 {
				t.Errorf("the outcome was known after %v", took)
			}
			p.eventually("the end of the reservations", func() bool {
				p.executor.mu.Lock()
				defer p.executor.mu.Unlock()
				return p.executor.open == 0
			})
		})
	}
}

// A statement that was not answered in time may have run; one that never left has not.
func TestTimeouts(t *testing.T) {
	p := newPair(t)
	p.executor.hold = make(chan struct{})
	conn := p.open()
	defer conn.Close()
	const timeout = 50 * time.Millisecond
	write := statement.Request{Statement: statement.Write{Text: "SET a 1"}}
	if got := outcomeOf(conn.RunIn(t.Context(), timeout, backend.SessionState{}, write)); got != "lost" {
		t.Errorf("a statement that runs too long: %s", got)
	}
	// The link is being opened, which takes longer, as nothing passes.
	p.path.freeze()
	other := newPath(t, p.server.Address())
	other.freeze()
	unsent := p.client.Open(other.address, placement.Requirements{}, placement.Reservation{Database: testDatabase})
	if got := outcomeOf(unsent.RunIn(t.Context(), timeout, backend.SessionState{}, write)); got != "not run: no-room" {
		t.Errorf("a statement without a link: %s", got)
	}
}

// -----------------------------------------------------------------------------
// Transactions.

// begin opens a transaction with a first statement.
func (p *pair) begin() *Conn {
	p.t.Helper()
	conn := p.open()
	state := backend.SessionState{Begin: &statement.Request{Statement: statement.Begin{}}}
	if _, err := conn.RunIn(p.t.Context(), statementTimeout, state, statement.Request{Statement: statement.Write{Text: "SET a 1"}}); err != nil {
		p.t.Fatal(err)
	}
	return conn
}

func (p *pair) commit(conn *Conn) string {
	return outcomeOf(conn.RunIn(p.t.Context(), statementTimeout, backend.SessionState{}, statement.Request{Statement: statement.Commit{}}))
}

func (p *pair) awaitOpen(want int) {
	p.t.Helper()
	p.eventually("the number of open reservations", func() bool {
		p.executor.mu.Lock()
		defer p.executor.mu.Unlock()
		return p.executor.open == want
	})
}

// A transaction keeps its reservation until the caller ends it.
func TestTransactionKeepsItsReservation(t *testing.T) {
	p := newPair(t)
	conn := p.begin()
	if got := p.commit(conn); got != "answered" || len(p.executor.orders) != 1 {
		t.Errorf("COMMIT %s, with %d reservations", got, len(p.executor.orders))
	}
	conn.Close()
	p.awaitOpen(0)
}

// A transaction ends with its link, at the relay at once; its COMMIT is not run.
func TestTransactionEndsWithItsLink(t *testing.T) {
	for name, c := range map[string]struct {
		interrupt func(p *pair)
		want      string
	}{
		"cut":      {func(p *pair) { p.path.cut() }, "not run: unreachable"},
		"draining": {func(p *pair) { p.server.StartDraining() }, "answered"},
		"ended":    {func(p *pair) { p.server.EndTransactions() }, "not run: transaction-ended"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newPair(t)
			conn := p.begin()
			defer conn.Close()
			c.interrupt(p)
			if c.want != "answered" {
				p.awaitOpen(0)
			}
			if name == "cut" {
				p.eventually("the end of the link", func() bool {
					select {
					case <-conn.link.closed:
						return true
					default:
						return false
					}
				})
			}
			if got := p.commit(conn); got != c.want {
				t.Errorf("COMMIT %s, want %s", got, c.want)
			}
		})
	}
}

// A caller that is stopped does not keep a transaction open at the relay.
func TestSilentCallerLosesTransaction(t *testing.T) {
	t.Parallel()
	p := newPair(t)
	conn := p.begin()
	defer conn.Close()
	p.path.freeze()
	p.awaitOpen(0)
}

// -----------------------------------------------------------------------------
// Bounds.

// A relay that serves as much as it may refuses at once.
func TestFullRelayRefusesAtOnce(t *testing.T) {
	p := newPair(t)
	p.executor.hold = make(chan struct{})
	var running sync.WaitGroup
	for range maxServed {
		running.Add(1)
		go func() {
			defer running.Done()
			_, _ = p.run()
		}()
	}
	for range maxServed {
		<-p.executor.started
	}
	startedAt := time.Now()
	if got := outcomeOf(p.run()); got != "not run: full" {
		t.Errorf("statement %d: %s", maxServed+1, got)
	}
	if took := time.Since(startedAt); took > statementTimeout/2 {
		t.Errorf("refused after %v", took)
	}
	close(p.executor.hold)
	running.Wait()
	if _, err := p.run(); err != nil {
		t.Errorf("after the answers: %v", err)
	}
}

// What can't be sent to a relay is refused at once when the queue of its link is full.
func TestFullQueueRefusesAtOnce(t *testing.T) {
	p := newPair(t)
	p.path.freeze()
	large := statement.Request{Statement: statement.Write{Text: strings.Repeat("x", maxContent/2)}}
	outcomes := make(chan string, 2*maxQueuedBytes/maxContent+1)
	for range cap(outcomes) {
		go func() {
			outcomes <- outcomeOf(p.open().RunIn(context.Background(), statementTimeout, backend.SessionState{}, large))
		}()
	}
	if got := <-outcomes; got != "not run: queue-full" {
		t.Errorf("first outcome: %s", got)
	}
}

// A statement of 1 MiB passes; one that does not fit is refused and the link stays.
func TestLargeStatements(t *testing.T) {
	p := newPair(t)
	conn := p.open()
	for size, want := range map[int]string{1 << 20: "answered", maxContent: "not run: too-large"} {
		request := statement.Request{Statement: statement.Write{Text: strings.Repeat("x", size)}}
		if got := outcomeOf(conn.RunIn(t.Context(), statementTimeout, backend.SessionState{}, request)); got != want {
			t.Errorf("%d bytes: %s, want %s", size, got, want)
		}
	}
	if _, err := p.run(); err != nil {
		t.Error(err)
	}
}

// An instance of another deployment is not served.
func TestOtherKeyIsRejected(t *testing.T) {
	p := newPair(t)
	p.client.options.Key = []byte("the key of another deployment")
	if got := outcomeOf(p.run()); got != "not run: unreachable" || p.executor.ranCount() != 0 {
		t.Errorf("%s, %d statements ran", got, p.executor.ranCount())
	}
}

// A relay is asked when a database has answered it.
func TestAsk(t *testing.T) {
	p := newPair(t)
	before := clock.Now()
	answeredAt, err := p.client.Ask(t.Context(), p.path.address, testDatabase, statementTimeout)
	if err != nil {
		t.Fatal(err)
	}
	if age := before.Sub(answeredAt); age > time.Second || age < time.Second-testTimeout {
		t.Errorf("the database answered %v before", age)
	}
	p.executor.set(func() { p.executor.refusal = &RefusalError{Reason: ReasonNoWay} })
	if _, err := p.client.Ask(t.Context(), p.path.address, testDatabase, statementTimeout); outcomeOf(nil, err) != "not run: no-way" {
		t.Errorf("error %v", err)
	}
	if p.chooser.IsUsable(clock.Now(), p.path.address, testDatabase.ID) {
		t.Error("the relay may be chosen although it does not reach the database")
	}
}
