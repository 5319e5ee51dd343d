package fleet

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/eelgrassfold/eelgrassfold/internal/core/lease"
	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// A holder of the coordinator lease that does not reach the store can't
// complete a failover. It must not count as available, neither by its messages
// nor by its own report, so that another instance takes over.
func TestCoordinatorWithoutStore(t *testing.T) {
	const holder, other = model.InstanceID("z1-2"), model.InstanceID("z1-3")
	for name, c := range map[string]struct {
		holder, other message.GossipState
		want          bool
	}{
		"it reaches the store":            {message.GossipState{StoreReachable: true, HolderAlive: true}, message.GossipState{}, true},
		"it does not reach the store":     {message.GossipState{StoreReachable: false, HolderAlive: true}, message.GossipState{}, false},
		"it is leaving":                   {message.GossipState{StoreReachable: true, Leaving: true, HolderAlive: true}, message.GossipState{}, false},
		"a peer reports it as available":  {message.GossipState{StoreReachable: false}, message.GossipState{HolderAlive: true}, true},
		"no peer reports it as available": {message.GossipState{StoreReachable: false}, message.GossipState{}, false},
		"a peer reports another holder":   {message.GossipState{StoreReachable: false}, message.GossipState{HolderAlive: true, CoordinatorLease: lease.CoordinatorLease{Holder: "z1-9"}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newUnstartedFleet(1, 3)
			c.holder.CoordinatorLease.Holder = holder
			if c.other.CoordinatorLease.Holder == "" {
				c.other.CoordinatorLease.Holder = holder
			}
			f.receiveGossip(holder, c.holder)
			f.receiveGossip(other, c.other)
			if diff := cmp.Diff(c.want, f.isAvailable(holder) || f.isReportedAlive(holder)); diff != "" {
				t.Error(diff)
			}
		})
	}
	f := newUnstartedFleet(1, 3)
	available := []bool{f.isAvailable(f.options.StartID)}
	f.storeReachable.Store(true)
	available = append(available, f.isAvailable(f.options.StartID))
	if diff := cmp.Diff([]bool{false, true}, available); diff != "" {
		t.Errorf("the instance itself, without and with the store: %s", diff)
	}
}
