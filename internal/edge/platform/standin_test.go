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
// The stand-in platform.

func TestRowsOfAStandIn(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	service := standin.NewPlatform(standin.Options{Listen: netip.MustParseAddrPort("127.0.0.1:0")})
	over, err := service.Start(ctx)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cancel(); <-over })
	port := platform.NewHTTPService(platform.HTTPOptions{Address: service.Address()})
	edge, events := startEdge(t, platform.Options{Service: port})
	put := func(action message.Action) message.Event { edge.HandleAction(action); return <-events }
	read := func() message.Row {
		rows := put(message.ReadRow{Table: "groups", Key: "a/b c", Timeout: long}).(message.RowsRead)
		if rows.Err != message.PlatformOK {
			return message.Row{Body: []byte(rows.Err.String())}
		}
		return rows.Rows[0]
	}
	version := ""
	cases := []struct {
		name    string
		fault   standin.Fault
		stale   bool
		body    string
		outcome message.PlatformErr
		stored  string
	}{
		{"created", standin.FaultNone{}, false, "1", message.PlatformOK, "1"},
		{"changed", standin.FaultNone{}, false, "2", message.PlatformOK, "2"},
		{"stale", standin.FaultNone{}, true, "3", message.PlatformConflict, "2"},
		{"outage", standin.FaultOutage{}, false, "4", message.PlatformUnknown, "2"},
		{"answer lost", standin.FaultDropResponse{}, false, "5", message.PlatformUnknown, "5"},
		{"read and changed again", standin.FaultNone{}, false, "6", message.PlatformOK, "6"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			row := message.Row{Table: "groups", Key: "a/b c", Version: version, Body: []byte(c.body)}
			if c.stale {
				row.Version = "stale"
			}
			before := service.Stats().Writes
			service.SetFault(c.fault)
			written := put(message.WriteRows{Rows: []message.Row{row}, Timeout: long}).(message.RowsWritten)
			if diff := cmp.Diff(c.outcome.String(), written.Err.String()); diff != "" {
				t.Error(diff)
			}
			if writes := service.Stats().Writes - before; writes > 1 {
				t.Errorf("the platform got %d writes for one question", writes)
			}
			service.SetFault(standin.FaultNone{})
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
	scanned := put(message.ScanRows{Table: "groups", Prefix: "a/", Timeout: long}).(message.RowsRead)
	if diff := cmp.Diff([]message.Row{read()}, scanned.Rows); diff != "" {
		t.Error(diff)
	}
}

func TestObjectsAndInstancesOfAStandIn(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	service := standin.NewPlatform(standin.Options{Listen: netip.MustParseAddrPort("127.0.0.1:0")})
	over, err := service.Start(ctx)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cancel(); <-over })
	edge, events := startEdge(t, platform.Options{Service: platform.NewHTTPService(platform.HTTPOptions{Address: service.Address()})})
	peer := netip.MustParseAddrPort("127.0.0.1:7")
	service.SetInstances([]standin.Instance{{ID: "i1", Zone: "lanier", Peer: peer, Leaving: true}})
	steps := []struct {
		action message.Action
		want   message.Event
	}{
		{readObject, message.ObjectRead{CorrelationID: 7, Name: "sum", Err: message.PlatformNotFound}},
		{writeObject, message.ObjectWritten{CorrelationID: 7, Name: "sum"}},
		{readObject, message.ObjectRead{CorrelationID: 7, Name: "sum", Body: []byte("body")}},
		{list, message.InstancesListed{CorrelationID: 7, Instances: []message.ListedInstance{
			{Instance: "i1", Zone: "lanier", PeerAddress: peer, Leaving: true},
		}}},
	}
	compare := cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })
	for _, step := range steps {
		edge.HandleAction(step.action)
		if diff := cmp.Diff(step.want, <-events, compare); diff != "" {
			t.Error(diff)
		}
	}
}
