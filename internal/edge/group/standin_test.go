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
// A group of stand-in databases.

// members are the databases a, b and c; a is the primary of term 1.
type members struct {
	t      *testing.T
	all    map[model.DatabaseID]*database.Database
	edge   *group.Client
	events sink
}

func startMembers(t *testing.T) *members {
	t.Helper()
	m := &members{t: t, all: map[model.DatabaseID]*database.Database{}}
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
		over, err := db.Start(ctx)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { cancel(); <-over })
		m.all[name], addresses[name] = db, db.Address()
	}
	m.edge, m.events = startEdgeWith(t, group.Options{Password: "sesame", ConnectTimeout: long}, addresses)
	return m
}

// put asks a question and returns its answer.
func (m *members) put(action message.Action) message.Event {
	m.edge.HandleAction(action)
	return <-m.events
}

// status asks a question and returns what its answer tells.
func (m *members) status(action message.Action) (message.DatabaseStatus, message.ControlErr) {
	answered := m.put(action).(message.ControlAnswered)
	return answered.Status, answered.Err
}

func (m *members) expect(action message.Action, want message.ControlErr) message.DatabaseStatus {
	m.t.Helper()
	status, got := m.status(action)
	if diff := cmp.Diff(want.String(), got.String()); diff != "" {
		m.t.Fatalf("%#v: %s", action, diff)
	}
	return status
}

func TestPromotionOfAStandIn(t *testing.T) {
	m := startMembers(t)
	primary := m.expect(message.Probe{Database: "a", Timeout: long}, message.ControlOK)
	for _, replica := range []model.DatabaseID{"b", "c"} {
		m.expect(message.AwaitPosition{Database: replica, Position: primary.Received, Timeout: long}, message.ControlOK)
	}
	m.all["a"].SetFault(database.FaultFreeze{})
	m.expect(message.Probe{Database: "a", Timeout: brief}, message.ControlTimeout)
	term := primary.Term + 1
	for _, replica := range []model.DatabaseID{"b", "c", "c"} {
		fenced := m.expect(message.Fence{Database: replica, Term: term, Nonce: "n'2", Timeout: long}, message.ControlOK)
		if diff := cmp.Diff([]any{term, model.Nonce("n'2")}, []any{fenced.Term, fenced.Nonce}); diff != "" {
			t.Error(diff)
		}
	}
	conflict := m.expect(message.Fence{Database: "c", Term: term, Nonce: "other", Timeout: long}, message.ControlConflict)
	if diff := cmp.Diff(model.Nonce("n'2"), conflict.Nonce); diff != "" {
		t.Error(diff)
	}
	promoted := m.expect(message.Promote{Database: "b", Term: term, Nonce: "n'2", Timeout: long}, message.ControlOK)
	if diff := cmp.Diff(model.RolePrimary, promoted.Role); diff != "" {
		t.Error(diff)
	}
	m.expect(message.Follow{
		Database: "c", Term: term, Source: "b", Address: m.all["b"].Address(), Timeout: long,
	}, message.ControlOK)
	never := m.put(message.ResolveInDoubt{Database: "b", IdempotencyKey: "k'1", Term: term, Timeout: long}).(message.InDoubtResolved)
	if diff := cmp.Diff([]any{message.ControlOK, false}, []any{never.Err, never.Committed}); diff != "" {
		t.Error(diff)
	}
	received := m.expect(message.AwaitPosition{Database: "c", Position: never.Position, Timeout: long}, message.ControlOK)
	if diff := cmp.Diff(never.Position, received.Received); diff != "" {
		t.Error(diff)
	}
	m.all["a"].SetFault(database.FaultNone{})
	old := m.put(message.ResolveInDoubt{Database: "a", IdempotencyKey: "k'1", Term: term, Timeout: long}).(message.InDoubtResolved)
	if diff := cmp.Diff(message.ControlConflict, old.Err); diff != "" {
		t.Error(diff)
	}
}

func TestSilentStandInHeals(t *testing.T) {
	m := startMembers(t)
	for range 3 {
		m.expect(message.Probe{Database: "a", Timeout: long}, message.ControlOK)
		m.all["a"].SetFault(database.FaultSilent{})
		m.expect(message.Probe{Database: "a", Timeout: brief}, message.ControlTimeout)
		m.all["a"].SetFault(database.FaultNone{})
		m.expect(message.Probe{Database: "a", Timeout: long}, message.ControlOK)
	}
}
