package session

import (
	"context"
	"io"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"github.com/eelgrassfold/eelgrassfold/internal/core/clock"
	"github.com/eelgrassfold/eelgrassfold/internal/core/lease"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/core/placement"
	decision "github.com/eelgrassfold/eelgrassfold/internal/core/relay"
	"github.com/eelgrassfold/eelgrassfold/internal/core/route"
	"github.com/eelgrassfold/eelgrassfold/internal/core/statement"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/backend"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/relay"
	"github.com/eelgrassfold/eelgrassfold/internal/report/eventlog"
)

// relayedRoute is a route whose group is reached through one relay only. The primary is
// confirmed.
type relayedRoute struct {
	oneRoute
	client  *relay.Client
	address netip.AddrPort
}

func (r *relayedRoute) Admit(string, route.KeyDigest) route.Admission {
	return route.Admission{Route: route.Route{Group: "ratings", Timeout: 5 * time.Second}}
}

func (*relayedRoute) ConfirmPrimary(context.Context, lease.Grant, time.Time) lease.Validity {
	return lease.ValidityConfirmed
}

func (*relayedRoute) IsRelayed(placement.Database, model.TenantID) bool { return true }

func (r *relayedRoute) Open(requirements placement.Requirements, reservation placement.Reservation, excluded []netip.AddrPort) (*relay.Conn, bool) {
	if slices.Contains(excluded, r.address) {
		return nil, false
	}
	return r.client.Open(r.address, requirements, reservation), true
}

// scriptedExecutor runs statements at the relay. It refuses the reservation, or fails the
// statement of the given number once it has run.
type scriptedExecutor struct {
	refusal *relay.RefusalError
	lostAt  int

	mu  sync.Mutex
	ran int
}

func (e *scriptedExecutor) Reserve(context.Context, relay.Order) (relay.Execution, error) {
	if e.refusal != nil {
		return nil, e.refusal
	}
	return e, nil
}

func (e *scriptedExecutor) AnswerAge(relay.Order) (time.Duration, error) { return 0, nil }

func (e *scriptedExecutor) Run(context.Context, time.Duration, backend.SessionState, statement.Request, bool) (*backend.Reply, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ran++
	if e.ran == e.lostAt {
		return nil, &backend.ConnectionLostError{Database: "a", Cause: io.EOF}
	}
	return &backend.Reply{}, nil
}

func (e *scriptedExecutor) End() {}

// newRelayedSession returns a session of an instance whose statements all pass through a
// relay with the executor.
func newRelayedSession(t *testing.T, executor relay.Executor) (*session, *relay.Server) {
	t.Helper()
	key, log := []byte("the key of all instances"), eventlog.NewWriter(logr.Discard(), eventlog.DefaultLinesPerSecond)
	ctx, cancel := context.WithCancel(context.Background())
	peer := relay.NewServer(relay.ServerOptions{
		Instance: "relay", Key: key, Listen: netip.MustParseAddrPort("127.0.0.1:0"), Executor: executor, Log: log,
	})
	peerEnded, err := peer.Start(ctx)
	if err != nil {
		t.Fatal(err)
	}
	routes := &relayedRoute{address: peer.Address(), client: relay.NewClient(relay.ClientOptions{
		Instance: "caller", Key: key, Chooser: decision.NewChooser("caller", "lanier"), Log: log,
	})}
	clientEnded := routes.client.Start(ctx)
	leases := lease.NewTable()
	leases.Update(lease.View{
		Version: 1, ReadStartedAt: clock.Now(), IsMember: true,
		Rows: map[model.GroupID]lease.GroupRow{"ratings": {Epoch: 1, Primary: "a"}},
	})
	scheduler := placement.NewScheduler("lanier", leases)
	scheduler.SetDatabases([]placement.Database{{ID: "a", Group: "ratings", Zone: "lanier", Slots: 1, MaxConnections: 9}}, placement.Population{Instances: 1})
	scheduler.SetRelayPolicy(routes)
	server := NewServer(Options{
		ListenAddress: netip.MustParseAddrPort("127.0.0.1:0"), Protocol: lineProtocol{}, Router: routes,
		PrimaryConfirmer: routes, Samples: routes, Scheduler: scheduler, Relays: routes, Log: log,
	})
	ended, err := server.Start(ctx)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cancel()
		<-ended
		<-clientEnded
		<-peerEnded
	})
	conn, other := net.Pipe()
	t.Cleanup(func() { _, _ = conn.Close(), other.Close() })
	return &session{server: server, conn: conn, account: server.limits.Open(ctx, conn)}, peer
}

// outcomes runs statements one after another and returns what the caller gets. Of a refusal
// that tells when to return, it returns that.
func (s *session) outcomes(t *testing.T, statements ...statement.Statement) []string {
	t.Helper()
	var outcomes []string
	for _, stmt := range statements {
		answer := s.handle(Request{ID: "q", Statement: stmt}, clock.Now())
		outcome := "ok"
		if failure := answer.Failure; failure != nil {
			outcome = failure.Code.String()
			if strings.Contains(failure.Message, "; retry after ") {
				outcome += ", returns"
			}
		}
		outcomes = append(outcomes, outcome)
	}
	return outcomes
}

// What the caller is told when the relay refuses or loses a statement: "not run" exactly
// when the relay says so, and when to return.
func TestRefusalsOfRelays(t *testing.T) {
	read, write := statement.Read{Text: "a"}, statement.Write{Text: "a 1"}
	begin, commit := statement.Begin{}, statement.Commit{}
	busy, unknown, aborted := statement.CodeBusy.String(), statement.CodeOutcomeUnknown.String(), statement.CodeAborted.String()
	for name, c := range map[string]struct {
		executor   *scriptedExecutor
		statements []statement.Statement
		want       []string
		wantRan    int
	}{
		"no way":               {&scriptedExecutor{refusal: &relay.RefusalError{Reason: relay.ReasonNoWay}}, []statement.Statement{write, read}, []string{busy + ", returns", busy + ", returns"}, 0},
		"not the primary":      {&scriptedExecutor{refusal: &relay.RefusalError{Reason: relay.ReasonNotPrimary}}, []statement.Statement{write}, []string{busy + ", returns"}, 0},
		"no room":              {&scriptedExecutor{refusal: &relay.RefusalError{Reason: relay.ReasonNoRoom}}, []statement.Statement{write}, []string{busy + ", returns"}, 0},
		"rejected":             {&scriptedExecutor{refusal: &relay.RefusalError{Reason: relay.ReasonRejected, ExpectedWait: time.Second}}, []statement.Statement{write}, []string{busy + ", returns"}, 0},
		"a lost write":         {&scriptedExecutor{lostAt: 1}, []statement.Statement{write, write}, []string{unknown, "ok"}, 2},
		"a lost first write":   {&scriptedExecutor{lostAt: 1}, []statement.Statement{begin, write, commit}, []string{"ok", aborted, aborted}, 1},
		"a lost COMMIT":        {&scriptedExecutor{lostAt: 2}, []statement.Statement{begin, write, commit, write}, []string{"ok", "ok", unknown, "ok"}, 3},
		"a lost reading one":   {&scriptedExecutor{lostAt: 2}, []statement.Statement{begin, read, commit}, []string{"ok", "ok", aborted}, 2},
		"a refused first read": {&scriptedExecutor{refusal: &relay.RefusalError{Reason: relay.ReasonNoWay}}, []statement.Statement{begin, read}, []string{"ok", busy + ", returns"}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, _ := newRelayedSession(t, c.executor)
			if diff := cmp.Diff(c.want, s.outcomes(t, c.statements...)); diff != "" {
				t.Error(diff)
			}
			if c.executor.ran != c.wantRan {
				t.Errorf("%d statements ran, want %d", c.executor.ran, c.wantRan)
			}
		})
	}
}

// A relay that drains serves the open transaction to its end and refuses what is new. One
// that ends its transactions has rolled them back, and the COMMIT is not run.
func TestRelayDrainsWithTransaction(t *testing.T) {
	t.Parallel()
	begin, write, commit := statement.Begin{}, statement.Write{Text: "a 1"}, statement.Commit{}
	executor := &scriptedExecutor{}
	s, peer := newRelayedSession(t, executor)
	other := &session{server: s.server, conn: s.conn, account: s.account}
	got := append(s.outcomes(t, begin, write), other.outcomes(t, begin, write)...)
	peer.StartDraining()
	got = append(got, s.outcomes(t, write, commit, write)...)
	peer.EndTransactions()
	got = append(got, other.outcomes(t, commit)...)
	want := []string{"ok", "ok", "ok", "ok", "ok", "ok", statement.CodeBusy.String() + ", returns", statement.CodeAborted.String()}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	if executor.ran != 4 {
		t.Errorf("%d statements ran, want 4", executor.ran)
	}
}
