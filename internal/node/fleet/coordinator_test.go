package fleet

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/eelgrassfold/eelgrassfold/internal/core/clock"
	"github.com/eelgrassfold/eelgrassfold/internal/core/lease"
	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/store"
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

// When the holder of the coordinator lease is lost, another instance must take the
// lease before a failover needs it. If no majority of the instances is alive, the
// holder is challenged first, and one that reads the store keeps the lease.
func TestLostHolderIsReplaced(t *testing.T) {
	for name, c := range map[string]struct {
		partitioned []model.InstanceID
		want        string
	}{
		"the holder is lost":                       {[]model.InstanceID{"i1"}, "i2 with token 5"},
		"the holder is lost with a majority":       {[]model.InstanceID{"i1", "i4", "i5"}, "i1 with token 4"},
		"another instance is lost, not the holder": {[]model.InstanceID{"i5"}, "i1 with token 4"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			tf := newTestFleets(t, 5)
			observer := tf.fleets[1]
			tf.store.put(groupTable, coordinatorLeaseKey, string(observer.encode(&lease.CoordinatorLease{Holder: "i1", FencingToken: 4})))
			tf.store.put(groupTable, groupPrefix+"ratings", string(observer.encode(&lease.GroupRow{Epoch: 1, Primary: "a"})))
			holder := func() string {
				held := observer.Leases.View().CoordinatorLease
				return fmt.Sprintf("%s with token %d", held.Holder, held.FencingToken)
			}
			for _, f := range tf.fleets {
				eventually(t, "the holder", func() bool { return f.Leases.View().CoordinatorLease.Holder == "i1" })
			}
			for _, id := range c.partitioned {
				tf.hub.setPartitioned(id, true)
			}
			time.Sleep(aliveTimeout + lostHolderDelay + challengeWait)
			eventually(t, c.want+", not "+holder(), func() bool { return holder() == c.want })
			time.Sleep(lostHolderDelay)
			if diff := cmp.Diff(c.want, holder()); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// An instance that has just become the holder must wait for the leases to expire, since
// the earlier holder may still act.
func TestNewHolderIsNotSettled(t *testing.T) {
	f := newUnstartedFleet(1, 3)
	own := lease.CoordinatorLease{Holder: f.options.StartID}
	settled := func(held lease.CoordinatorLease) bool {
		f.recordHolder(held)
		return f.isSettledHolder(held)
	}
	got := []bool{settled(lease.CoordinatorLease{Holder: "z1-2"}), settled(own)}
	time.Sleep(lease.Duration)
	got = append(got, settled(own), settled(lease.CoordinatorLease{Holder: "z1-2"}), settled(own))
	if diff := cmp.Diff([]bool{false, false, true, false, false}, got); diff != "" {
		t.Error(diff)
	}
}

// An instance that takes the coordinator lease from a lost holder and finds a failover
// to carry out in the same pass must claim with the version that it has written: with
// that of its view the claim conflicts, and the failover begins seconds later.
func TestNewHolderClaimsWithItsOwnWrite(t *testing.T) {
	f := newUnstartedFleet(1, 1)
	rows := f.options.Store.(*memoryStore)
	lost := lease.CoordinatorLease{Holder: "z1-9", FencingToken: 4}
	changing := lease.GroupRow{Epoch: 1, Phase: lease.PhaseChanging, Primary: "a"}
	rows.put(groupTable, coordinatorLeaseKey, string(f.encode(&lost)))
	lost.Version = rows.version
	rows.put(groupTable, groupPrefix+"ratings", string(f.encode(&changing)))
	changing.Version = rows.version
	for _, id := range []model.InstanceID{"z2-1", "z3-1"} {
		f.receiveGossip(id, message.GossipState{StoreReachable: true})
	}
	f.options.ExpectedInstances = 3
	f.storeReachable.Store(true)
	f.Leases.Update(lease.View{
		Version: rows.version, ReadStartedAt: clock.Now(), IsMember: true, CoordinatorLease: lost,
		Rows: map[model.GroupID]lease.GroupRow{"ratings": changing},
	})
	f.coordination.lostHolder, f.coordination.holderLostAt = lost.Holder, clock.Now().Add(-lostHolderDelay)
	ctx, cancel := context.WithCancel(t.Context())
	f.startFailovers(ctx)
	claimed := func() lease.GroupRow {
		row := rows.row(groupTable, groupPrefix+"ratings")
		var claimed lease.GroupRow
		if err := msgpack.Unmarshal(row.Value, &claimed); err != nil {
			t.Error(err)
		}
		return claimed
	}
	deadline := time.Now().Add(failoverRetryDelay / 2)
	for claimed().Epoch == 1 && time.Now().Before(deadline) {
		time.Sleep(5 * time.Millisecond)
	}
	cancel()
	f.running.Wait()
	want := lease.GroupRow{Epoch: 2, Phase: lease.PhaseChanging, Primary: "a", Coordinator: f.options.StartID, Reason: "the change was left unfinished"}
	if diff := cmp.Diff(want, claimed(), cmp.AllowUnexported(lease.GroupRow{})); diff != "" {
		t.Error(diff)
	}
}

// Guards against two instances that take turns: each loses the coordinator lease to the other
// while the store is slow, takes it back, and calls a promotion at once.
func TestHolderDoesNotTakeTurns(t *testing.T) {
	f := newUnstartedFleet(1, 1)
	f.options.Promoter = acceptingPromoter{}
	rows := f.options.Store.(*memoryStore)
	call := func(token uint64) bool {
		rows.put(groupTable, coordinatorLeaseKey, string(f.encode(&lease.CoordinatorLease{Holder: f.options.StartID, FencingToken: token})))
		return promotionSource{f}.Promote(t.Context(), "ratings", "a") == nil
	}
	got := []bool{call(2), call(2), call(4), call(4)}
	f.lastCall.at = f.lastCall.at.Add(-turnInterval)
	got = append(got, call(4), call(4), call(6))
	if diff := cmp.Diff([]bool{true, true, false, false, true, true, false}, got); diff != "" {
		t.Error(diff)
	}
}

// acceptingPromoter implements store.Promoter.
type acceptingPromoter struct{}

func (acceptingPromoter) Promote(context.Context, store.Promotion) error { return nil }
