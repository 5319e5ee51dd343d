package fleet

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"github.com/eelgrassfold/eelgrassfold/internal/core/clock"
	"github.com/eelgrassfold/eelgrassfold/internal/core/lease"
	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/core/succession"
	"github.com/eelgrassfold/eelgrassfold/internal/report/eventlog"
)

// addressOf returns the address of the n-th instance of a zone.
func addressOf(zone, n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(zone), 0, byte(n)}), 7000)
}

// newUnstartedFleet returns a fleet that has not been started: that of the n-th
// instance of zone 1, in three zones of perZone members each.
func newUnstartedFleet(n, perZone int) *Fleet {
	name := model.InstanceID(fmt.Sprintf("z1-%d", n))
	f := New(Options{
		StartID: name, InstanceName: name, Zone: "z1", PeerAddress: addressOf(1, n), ExpectedInstances: 7,
		Store: newMemoryStore(), Schema: testSchema{}, Log: eventlog.NewWriter(logr.Discard(), eventlog.DefaultLinesPerSecond),
	})
	members := map[model.InstanceID]member{}
	for zone := 1; zone <= 3; zone++ {
		for i := 1; i <= perZone; i++ {
			members[model.InstanceID(fmt.Sprintf("z%d-%d", zone, i))] = member{
				Address: addressOf(zone, i), Zone: model.ZoneID(fmt.Sprintf("z%d", zone)),
			}
		}
	}
	f.updateMembers(members, 10)
	f.sessions = idleSessions{}
	return f
}

// The number of an instance's links must stay bounded as the number of
// instances grows: only a head links to other zones, and only to their heads.
func TestLinksOfAnInstance(t *testing.T) {
	addressRange := func(zone, from, to int) []netip.AddrPort {
		var addresses []netip.AddrPort
		for i := from; i <= to; i++ {
			addresses = append(addresses, addressOf(zone, i))
		}
		return addresses
	}
	for name, c := range map[string]struct {
		n, perZone int
		lost       []netip.AddrPort
		want       []netip.AddrPort
	}{
		"all are heads of a small zone":  {1, 2, nil, slices.Concat(addressRange(1, 2, 2), addressRange(2, 1, 2), addressRange(3, 1, 2))},
		"a head of a large zone":         {1, 9, nil, slices.Concat(addressRange(1, 2, 3), addressRange(2, 1, 3), addressRange(3, 1, 3))},
		"not a head":                     {5, 9, nil, addressRange(1, 1, 3)},
		"not a head, one head lost":      {5, 9, addressRange(1, 2, 2), addressRange(1, 1, 4)},
		"a head in place of a lost one":  {4, 9, addressRange(1, 2, 2), slices.Concat(addressRange(1, 1, 3), addressRange(2, 1, 3), addressRange(3, 1, 3))},
		"a head of another zone is lost": {1, 9, addressRange(3, 1, 1), slices.Concat(addressRange(1, 2, 3), addressRange(2, 1, 3), addressRange(3, 1, 4))},
	} {
		t.Run(name, func(t *testing.T) {
			f := newUnstartedFleet(c.n, c.perZone)
			for _, address := range c.lost {
				f.Post(message.PeerDisconnected{Address: address})
			}
			got := f.linkedHeads()
			slices.SortFunc(got, func(a, b netip.AddrPort) int { return a.Compare(b) })
			if diff := cmp.Diff(fmt.Sprint(c.want), fmt.Sprint(got)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// An instance that loses link after link must not dial ever more of the others: the links
// of an overloaded fleet would multiply its load. It must try all of them in time, since the
// first ones may be gone for good.
func TestLostLinksAreBounded(t *testing.T) {
	const perZone, bound = 75, 36
	f := newUnstartedFleet(perZone, perZone)
	tried, most := map[netip.AddrPort]bool{}, 0
	for range perZone {
		addresses := f.linkedHeads()
		most = max(most, len(addresses))
		for _, address := range addresses {
			tried[address] = true
			f.Post(message.PeerDisconnected{Address: address})
		}
	}
	if most > bound {
		t.Errorf("%d links, want %d at most", most, bound)
	}
	if diff := cmp.Diff(3*perZone-1, len(tried)); diff != "" {
		t.Errorf("instances tried: %s", diff)
	}
}

// A link that can't be made again and again must be tried less often, and a link that
// carries messages again counts as one that was never lost before.
func TestLostLinkTimeoutGrows(t *testing.T) {
	p := newPeers()
	now, address := clock.Now(), addressOf(1, 1)
	var timeouts []time.Duration
	for range 6 {
		p.recordLostLink(address, now)
		p.recordLostLink(address, now.Add(time.Second))
		timeouts = append(timeouts, p.lostLinks[address].timeout/lostLinkTimeout)
		now = now.Add(p.lostLinks[address].timeout + 2*time.Second)
	}
	p.recordRestoredLink(address)
	p.recordLostLink(address, now.Add(-time.Second))
	timeouts = append(timeouts, p.lostLinks[address].timeout/lostLinkTimeout)
	if diff := cmp.Diff([]time.Duration{1, 2, 4, 8, 16, 16, 2}, timeouts); diff != "" {
		t.Error(diff)
	}
}

// receiveGossip records gossip of another instance, whose zone is the first two
// letters of its name.
func (f *Fleet) receiveGossip(name model.InstanceID, state message.GossipState) {
	state.Instance, state.Zone = name, model.ZoneID(name[:2])
	p := f.peers.getOrAdd(name)
	p.isLinked = true
	p.recordGossip(state, clock.Now())
}

// A head reports the minimum view version of its zone. It covers the zone's
// members only if the head has the same list of members as this instance: otherwise
// an unreported member could still use the old primary.
func TestRevocationThroughHeads(t *testing.T) {
	const version = 20
	for name, c := range map[string]struct {
		minViewVersion   uint64
		hasUnknownMember bool
		want             bool
	}{
		"all have seen it":                {version, false, true},
		"one of them has an older view":   {version - 1, false, false},
		"one of them has sent no gossip":  {0, false, false},
		"the head does not know them all": {version, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newUnstartedFleet(1, 5)
			f.Leases.Update(lease.View{Version: version, ReadStartedAt: clock.Now(), IsMember: true})
			members := f.peers.members
			members["z1-1"] = member{Address: addressOf(1, 1), Zone: "z1"}
			f.updateMembers(members, version)
			for i := 2; i <= 5; i++ {
				f.receiveGossip(model.InstanceID(fmt.Sprintf("z1-%d", i)), message.GossipState{ViewVersion: version})
			}
			for _, zone := range []model.ZoneID{"z2", "z3"} {
				state := message.GossipState{ViewVersion: version, MinViewVersion: c.minViewVersion, MinViewMembersHash: f.peers.membersHash(f.options, zone)}
				if c.hasUnknownMember {
					state.MinViewMembersHash++
				}
				f.receiveGossip(model.InstanceID(zone+"-1"), state)
			}
			if diff := cmp.Diff(c.want, f.isSeenByAll(version)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Each zone contributes one report to the evidence, with the number of
// observers that it counts. Reports from a view older than a lease, or about an
// earlier epoch, must not count.
func TestEvidenceOfAllZones(t *testing.T) {
	row := lease.GroupRow{Epoch: 4, Primary: "a"}
	for name, c := range map[string]struct {
		ownZone, otherZone time.Duration
		otherObservers     [2]int
		otherViewAge       time.Duration
		needed             bool
		isEarlierEpoch     bool
	}{
		"unanswered in the own zone only":         {succession.SilenceThreshold, 0, [2]int{9, 0}, 0, false, false},
		"unanswered in all zones":                 {succession.SilenceThreshold, succession.SilenceThreshold, [2]int{9, 9}, 0, true, false},
		"the view of the other zone has expired":  {succession.SilenceThreshold, 0, [2]int{9, 0}, lease.Duration, true, false},
		"the other zone reports an earlier epoch": {succession.SilenceThreshold, 0, [2]int{9, 0}, 0, true, true},
		"the primary answers":                     {0, 0, [2]int{9, 0}, 0, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newUnstartedFleet(1, 3)
			f.directory.entries["a"] = &entry{}
			f.directory.entries["a"].Group, f.directory.entries["a"].ID = "ratings", "a"
			f.directory.entries["b"] = &entry{}
			f.directory.entries["b"].Group, f.directory.entries["b"].ID = "ratings", "b"
			groupGossip := message.GroupGossip{Group: "ratings", Row: row, UnansweredFor: c.ownZone}
			f.receiveGossip("z1-2", message.GossipState{Groups: []message.GroupGossip{groupGossip}})
			f.receiveGossip("z1-3", message.GossipState{Groups: []message.GroupGossip{groupGossip}})
			groupGossip.UnansweredFor, groupGossip.Observers, groupGossip.UnansweredObservers = c.otherZone, c.otherObservers[0], c.otherObservers[1]
			if c.isEarlierEpoch {
				groupGossip.Row.Epoch--
			}
			f.receiveGossip("z2-1", message.GossipState{Groups: []message.GroupGossip{groupGossip}, ViewAge: c.otherViewAge})
			groupGossip.Observers, groupGossip.UnansweredObservers = 1, 1
			f.receiveGossip("z2-2", message.GossipState{Groups: []message.GroupGossip{groupGossip}, ViewAge: c.otherViewAge})
			if _, needed := succession.FailoverReason(f.evidence("ratings", row)); needed != c.needed {
				t.Errorf("a failover is needed: %v, want %v (%+v)", needed, c.needed, f.evidence("ratings", row))
			}
		})
	}
}

// An instance that receives gossip only from the heads of its zone must still
// know the size of the fleet.
func TestFleetSizeFromHeads(t *testing.T) {
	leaf, head := newUnstartedFleet(5, 9), newUnstartedFleet(1, 9)
	for i := 2; i <= 9; i++ {
		head.receiveGossip(model.InstanceID(fmt.Sprintf("z1-%d", i)), message.GossipState{ZoneSize: 4})
	}
	head.receiveGossip("z2-1", message.GossipState{ZoneSize: 8})
	head.receiveGossip("z2-2", message.GossipState{ZoneSize: 9})
	head.receiveGossip("z3-1", message.GossipState{ZoneSize: 7})
	if diff := cmp.Diff(9+9+7, head.instanceCount()); diff != "" {
		t.Errorf("head: %s", diff)
	}
	state := head.gossip()
	leaf.receiveGossip("z1-1", state)
	if diff := cmp.Diff([]int{9, 25, 25}, []int{state.ZoneSize, state.FleetSize, leaf.instanceCount()}); diff != "" {
		t.Errorf("gossip of the head, and leaf: %s", diff)
	}
}

// A peer that has not read the row of a new member reports it as no member. An
// instance that was recently listed itself must then still count as a member,
// and one that was not must not.
func TestMembershipUnknownToPeer(t *testing.T) {
	f := newUnstartedFleet(1, 3)
	f.peers.isListed = false
	state := message.GossipState{ViewVersion: 12, Groups: nil}
	f.applyPeerView("z1-2", clock.Now(), state, nil)
	if f.Leases.View().IsMember {
		t.Error("a member, though neither the table nor the peer lists it")
	}
	members := f.peers.members
	members["z1-1"] = member{Address: addressOf(1, 1), Zone: "z1"}
	f.updateMembers(members, 13)
	state.ViewVersion = 14
	f.applyPeerView("z1-2", clock.Now(), state, nil)
	if !f.Leases.View().IsMember {
		t.Error("not a member, though the table listed it recently")
	}
}

// An instance was listed when it last read the table itself. It must no longer count as a
// member once a peer has read a newer version in which its row is gone or can't be
// decoded, and must not trust a peer's older version that lists it after it has read that.
func TestNewerListOfMembersDecides(t *testing.T) {
	f := newUnstartedFleet(1, 3) // has read the members at version 10
	version := uint64(10)
	for _, c := range []struct {
		membersVersion         uint64
		receiverIsMember, want bool
	}{{9, false, true}, {11, false, false}, {11, true, true}, {0, true, true}} {
		version++
		f.applyPeerView("z1-2", clock.Now(), message.GossipState{
			ViewVersion: version, MembersVersion: c.membersVersion, ReceiverIsMember: c.receiverIsMember,
		}, nil)
		if got := f.isMember(); got != c.want {
			t.Errorf("%+v: a member: %v", c, got)
		}
	}
	f.updateMembers(map[model.InstanceID]member{}, 20)
	f.applyPeerView("z1-2", clock.Now(), message.GossipState{ViewVersion: 21, MembersVersion: 19, ReceiverIsMember: true}, nil)
	if f.isMember() {
		t.Error("a member by a list that is older than the one without it")
	}
}

// Guards against an instance that does not know a new member until it happens to read the
// table again, and against one that reads it each time a peer reports members.
func TestTableIsReadAgainForOtherMembers(t *testing.T) {
	f := newUnstartedFleet(1, 3)
	own := f.peers.membersHash(f.options, "z1")
	for name, c := range map[string]struct {
		zone    model.ZoneID
		version uint64
		hash    uint64
		age     time.Duration
		want    bool
	}{
		"another member":               {"z1", 11, own + 1, changedMembersRefreshAge, true},
		"the same members":             {"z1", 11, own, changedMembersRefreshAge, false},
		"an older version":             {"z1", 10, own + 1, changedMembersRefreshAge, false},
		"of another availability zone": {"z2", 11, own + 1, changedMembersRefreshAge, false},
		"the own list is recent":       {"z1", 11, own + 1, changedMembersRefreshAge / 2, false},
	} {
		t.Run(name, func(t *testing.T) {
			f.Attach(hubLinks{hub: &hub{}, self: "z1-1"}, idleSessions{})
			f.peers.membersReadAt = clock.Now().Add(-c.age)
			f.handleGossip("z1-2", message.GossipState{Instance: "z1-2", Zone: c.zone, MembersVersion: c.version, MinViewMembersHash: c.hash})
			got := len(f.renewal.requested) > 0
			if got {
				<-f.renewal.requested
			}
			if got != c.want {
				t.Errorf("the table is read again: %v, want %v", got, c.want)
			}
		})
	}
}

// Each restart of an instance adds a peer, and each lost link an address: both
// must be removed in time, so that the state does not grow with the number of
// restarts.
func TestOldPeersArePruned(t *testing.T) {
	f := newUnstartedFleet(1, 3)
	f.receiveGossip("z1-2", message.GossipState{})
	f.receiveGossip("z1-3", message.GossipState{})
	f.Post(message.PeerDisconnected{Peer: "z1-3", Address: addressOf(1, 3)})
	now := clock.Now()
	f.peers.prune(now)
	kept := []int{len(f.peers.known), len(f.peers.lostLinks)}
	f.peers.prune(now.Add(2*memberExpiry + time.Second))
	kept = append(kept, len(f.peers.known), len(f.peers.lostLinks))
	if diff := cmp.Diff([]int{2, 1, 1, 0}, kept); diff != "" {
		t.Error(diff)
	}
}

// The view version that an earlier start of an instance has reported must not
// count for its present start, which may not have seen a claim in that view.
func TestViewVersionAfterRestart(t *testing.T) {
	f := newUnstartedFleet(1, 3)
	receive := func(id model.InstanceID, view uint64) {
		f.peers.getOrAdd(id).recordGossip(message.GossipState{Instance: "z1-2", Zone: "z1", ViewVersion: view}, clock.Now())
	}
	receive("z1-2-former", 20)
	viewVersions := []uint64{f.peers.viewVersions()["z1-2"]}
	receive("z1-2-present", 0)
	viewVersions = append(viewVersions, f.peers.viewVersions()["z1-2"])
	receive("z1-2-present", 21)
	viewVersions = append(viewVersions, f.peers.viewVersions()["z1-2"])
	if diff := cmp.Diff([]uint64{20, 0, 21}, viewVersions); diff != "" {
		t.Error(diff)
	}
}

// Whether an instance observes a group must not be computed from all members each time
// it is asked, several times a second for each group, but must follow the members.
func TestObserversFollowMembers(t *testing.T) {
	f := newUnstartedFleet(5, 9)
	observed := func() (count int) {
		for i := range 200 {
			if f.isObserver(model.GroupID(fmt.Sprintf("group-%d", i))) {
				count++
			}
		}
		return count
	}
	many := observed()
	if allocations := testing.AllocsPerRun(100, func() { f.isObserver("group-1") }); allocations > 0 {
		t.Errorf("%v allocations for a group that was asked before", allocations)
	}
	f.updateMembers(map[model.InstanceID]member{"z1-1": {}, f.options.InstanceName: {}}, 1<<40)
	if few := observed(); many >= 200 || few != 200 {
		t.Errorf("an observer of %d groups among many members and of %d among two, of 200", many, few)
	}
}
