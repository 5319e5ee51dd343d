package group_test

import (
	"context"
	"net/netip"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/group"
	"github.com/eelgrassfold/eelgrassfold/internal/standin/database"
)

// -----------------------------------------------------------------------------
// A group of simulated databases.

// testGroup is a group of the databases a, b and c; a is the primary of term 1.
type testGroup struct {
	t         *testing.T
	databases map[model.DatabaseID]*database.Database
	client    *group.Client
	events    sink
}

func startTestGroup(t *testing.T) *testGroup {
	t.Helper()
	g := &testGroup{t: t, databases: map[model.DatabaseID]*database.Database{}}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	addresses := map[model.DatabaseID]netip.AddrPort{}
	for _, name := range []model.DatabaseID{"a", "b", "c"} {
		options := database.Options{
			Name: name, Group: "ratings", Slots: 3, Connections: 20, Password: "sesame",
			Listen: netip.MustParseAddrPort("127.0.0.1:0"), AdminListen: netip.MustParseAddrPort("127.0.0.1:0"),
		}
		if name == "a" {
			options.Primary, options.Term = true, 1
		} else {
			options.Source = addresses["a"]
		}
		db := database.NewDatabase(options)
		done, err := db.Start(ctx)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { cancel(); <-done })
		g.databases[name], addresses[name] = db, db.Address()
	}
	g.client, g.events = startClientWithOptions(t, group.Options{Password: "sesame", ConnectTimeout: longTimeout}, addresses)
	return g
}

// request sends a request and returns its answer.
func (g *testGroup) request(action message.Action) message.Event {
	g.client.HandleAction(action)
	return <-g.events
}

// status sends a request and returns the status and the error of its answer.
func (g *testGroup) status(action message.Action) (message.DatabaseStatus, message.ControlResult) {
	answered := g.request(action).(message.ControlAnswered)
	return answered.Status, answered.Result
}

// expect sends a request, checks the error of its answer, and returns the status.
func (g *testGroup) expect(action message.Action, want message.ControlResult) message.DatabaseStatus {
	g.t.Helper()
	status, got := g.status(action)
	if diff := cmp.Diff(want.String(), got.String()); diff != "" {
		g.t.Fatalf("%#v: %s", action, diff)
	}
	return status
}

// TestFailoverOfSimulatedDatabases performs a complete failover: the primary a freezes,
// b and c are fenced (c twice, as after a lost answer), b is promoted, c follows it,
// and an in-doubt commit is resolved. Once it answers again, the former primary
// must report a conflict when the commit is resolved in the new term.
func TestFailoverOfSimulatedDatabases(t *testing.T) {
	g := startTestGroup(t)
	primary := g.expect(message.Probe{Database: "a", Timeout: longTimeout}, message.ControlOK)
	for _, replica := range []model.DatabaseID{"b", "c"} {
		g.expect(message.AwaitPosition{Database: replica, Position: primary.Received, Timeout: longTimeout}, message.ControlOK)
	}
	g.databases["a"].SetFault(database.FaultFreeze{})
	g.expect(message.Probe{Database: "a", Timeout: shortTimeout}, message.ControlTimeout)
	term := primary.Term + 1
	for _, replica := range []model.DatabaseID{"b", "c", "c"} {
		fenced := g.expect(message.Fence{Database: replica, Term: term, Nonce: "n'2", Timeout: longTimeout}, message.ControlOK)
		if diff := cmp.Diff([]any{term, model.Nonce("n'2")}, []any{fenced.Term, fenced.Nonce}); diff != "" {
			t.Error(diff)
		}
	}
	conflict := g.expect(message.Fence{Database: "c", Term: term, Nonce: "other", Timeout: longTimeout}, message.ControlConflict)
	if diff := cmp.Diff(model.Nonce("n'2"), conflict.Nonce); diff != "" {
		t.Error(diff)
	}
	promoted := g.expect(message.Promote{Database: "b", Term: term, Nonce: "n'2", Timeout: longTimeout}, message.ControlOK)
	if diff := cmp.Diff(model.RolePrimary, promoted.Role); diff != "" {
		t.Error(diff)
	}
	g.expect(message.Follow{
		Database: "c", Term: term, Source: "b", Address: g.databases["b"].Address(), Timeout: longTimeout,
	}, message.ControlOK)
	notCommitted := g.request(message.ResolveInDoubt{Database: "b", IdempotencyKey: "k'1", Term: term, Timeout: longTimeout}).(message.InDoubtResolved)
	if diff := cmp.Diff([]any{message.ControlOK, false}, []any{notCommitted.Result, notCommitted.Committed}); diff != "" {
		t.Error(diff)
	}
	received := g.expect(message.AwaitPosition{Database: "c", Position: notCommitted.Position, Timeout: longTimeout}, message.ControlOK)
	if diff := cmp.Diff(notCommitted.Position, received.Received); diff != "" {
		t.Error(diff)
	}
	g.databases["a"].SetFault(database.FaultNone{})
	formerPrimary := g.request(message.ResolveInDoubt{Database: "a", IdempotencyKey: "k'1", Term: term, Timeout: longTimeout}).(message.InDoubtResolved)
	if diff := cmp.Diff(message.ControlConflict, formerPrimary.Result); diff != "" {
		t.Error(diff)
	}
}

// TestSilentSimulatedDatabaseRecovers checks that requests succeed again after a
// database was unresponsive, which requires a new connection.
func TestSilentSimulatedDatabaseRecovers(t *testing.T) {
	g := startTestGroup(t)
	for range 3 {
		g.expect(message.Probe{Database: "a", Timeout: longTimeout}, message.ControlOK)
		g.databases["a"].SetFault(database.FaultSilent{})
		g.expect(message.Probe{Database: "a", Timeout: shortTimeout}, message.ControlTimeout)
		g.databases["a"].SetFault(database.FaultNone{})
		g.expect(message.Probe{Database: "a", Timeout: longTimeout}, message.ControlOK)
	}
}
