package platform_test

import (
	"context"
	"net/netip"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/platform"
	standin "github.com/eelgrassfold/eelgrassfold/internal/standin/platform"
)

// -----------------------------------------------------------------------------
// Simulated platform.

func TestRowsOfASimulatedPlatform(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	simulated := standin.NewPlatform(standin.Options{Listen: netip.MustParseAddrPort("127.0.0.1:0")})
	stopped, err := simulated.Start(ctx)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cancel(); <-stopped })
	service := platform.NewHTTPService(platform.HTTPOptions{Address: simulated.Address()})
	client, events := startClient(t, platform.Options{Service: service})
	perform := func(action message.Action) message.Event { client.HandleAction(action); return <-events }
	read := func() message.Row {
		rows := perform(message.ReadRow{Table: "groups", Key: "a/b c", Timeout: unreachedTimeout}).(message.RowsRead)
		if rows.Result != message.PlatformOK {
			return message.Row{Body: []byte(rows.Result.String())}
		}
		return rows.Rows[0]
	}
	version := ""
	cases := []struct {
		name    string
		fault   standin.Fault
		stale   bool
		body    string
		outcome message.PlatformResult
		stored  string
	}{
		{"created", standin.FaultNone{}, false, "1", message.PlatformOK, "1"},
		{"changed", standin.FaultNone{}, false, "2", message.PlatformOK, "2"},
		{"stale", standin.FaultNone{}, true, "3", message.PlatformConflict, "2"},
		{"outage", standin.FaultOutage{}, false, "4", message.PlatformUnknown, "2"},
		{"response lost", standin.FaultDropResponse{}, false, "5", message.PlatformUnknown, "5"},
		{"read and changed again", standin.FaultNone{}, false, "6", message.PlatformOK, "6"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			row := message.Row{Table: "groups", Key: "a/b c", Version: version, Body: []byte(c.body)}
			if c.stale {
				row.Version = "stale"
			}
			writesBefore := simulated.Stats().Writes
			simulated.SetFault(c.fault)
			written := perform(message.WriteRows{Rows: []message.Row{row}, Timeout: unreachedTimeout}).(message.RowsWritten)
			if diff := cmp.Diff(c.outcome.String(), written.Result.String()); diff != "" {
				t.Error(diff)
			}
			if writes := simulated.Stats().Writes - writesBefore; writes > 1 {
				t.Errorf("the platform received %d writes for one request", writes)
			}
			simulated.SetFault(standin.FaultNone{})
			stored := read()
			if diff := cmp.Diff(c.stored, string(stored.Body)); diff != "" {
				t.Error(diff)
			}
			if c.outcome == message.PlatformOK || c.outcome == message.PlatformConflict {
				if diff := cmp.Diff(stored.Version, written.Rows[0].Version); diff != "" {
					t.Error(diff)
				}
			}
			version = stored.Version
		})
	}
	scanned := perform(message.ScanRows{Table: "groups", Prefix: "a/", Timeout: unreachedTimeout}).(message.RowsRead)
	if diff := cmp.Diff([]message.Row{read()}, scanned.Rows); diff != "" {
		t.Error(diff)
	}
}

func TestObjectsAndInstancesOfASimulatedPlatform(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	simulated := standin.NewPlatform(standin.Options{Listen: netip.MustParseAddrPort("127.0.0.1:0")})
	stopped, err := simulated.Start(ctx)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cancel(); <-stopped })
	client, events := startClient(t, platform.Options{Service: platform.NewHTTPService(platform.HTTPOptions{Address: simulated.Address()})})
	peer := netip.MustParseAddrPort("127.0.0.1:7")
	simulated.SetInstances([]standin.Instance{{ID: "i1", Zone: "lanier", Peer: peer, Leaving: true}})
	steps := []struct {
		action message.Action
		want   message.Event
	}{
		{readObject, message.ObjectRead{CorrelationID: 7, Name: "sum", Result: message.PlatformNotFound}},
		{writeObject, message.ObjectWritten{CorrelationID: 7, Name: "sum"}},
		{readObject, message.ObjectRead{CorrelationID: 7, Name: "sum", Body: []byte("body")}},
		{listInstances, message.InstancesListed{CorrelationID: 7, Instances: []message.ListedInstance{
			{Instance: "i1", Zone: "lanier", PeerAddress: peer, Leaving: true},
		}}},
	}
	compare := cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })
	for _, step := range steps {
		client.HandleAction(step.action)
		if diff := cmp.Diff(step.want, <-events, compare); diff != "" {
			t.Error(diff)
		}
	}
}
