package fleet

import (
	"maps"
	"net/netip"
	"sync"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/clock"
	"github.com/eelgrassfold/eelgrassfold/internal/core/gossip"
	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

const (
	// gossipInterval is the time between two gossip messages to each peer.
	// Urgent changes are sent at once.
	gossipInterval = 500 * time.Millisecond
	// aliveTimeout is how long an instance counts as alive after its last
	// message, unlinkedAliveTimeout how long if its link is broken as well.
	aliveTimeout         = 2*gossipInterval + 200*time.Millisecond
	unlinkedAliveTimeout = 400 * time.Millisecond
	// shareRetention is how long an instance keeps its share of the databases'
	// connections after its last message: the databases keep the connections of
	// a dead instance open for three seconds, and a restarted instance is back
	// within shareRetention.
	shareRetention = 15 * time.Second
	// memberCheckInterval is the time between two checks whether this instance is still
	// among the members.
	memberCheckInterval = time.Second
	// memberExpiry is the time without a message after which a member's row is
	// deleted.
	memberExpiry = 10 * time.Minute
	// maxMembersAge is the time since the last read of the members after which
	// this instance no longer counts as a member without a peer's report, and
	// no longer reports to a peer that the peer is a member: the row may have
	// been deleted since the read.
	maxMembersAge = 2 * time.Minute
	// membersRefreshAge is the time since the last read of the members after
	// which this instance reads the table itself, even if peers report newer
	// views.
	membersRefreshAge = time.Minute
	// changedMembersRefreshAge is the same if a peer in the same availability zone has
	// read a newer version with other members there. Where many instances start at once,
	// each still reads the table no more often than that.
	changedMembersRefreshAge = 5 * time.Second
)

// Links carries messages to peers.
type Links interface {
	HandleAction(action message.Action) bool
}

// peers holds the state of the other instances.
type peers struct {
	mu    sync.Mutex
	links Links
	// known holds the state of the other instances by start ID.
	known map[model.InstanceID]*peer
	// members holds the other members by instance name, as of membersVersion of the
	// table of groups; isListed is set if this instance was among them.
	members        map[model.InstanceID]member
	membersVersion uint64
	membersReadAt  time.Time
	isListed       bool
	// hasJoinedHeads is set until updateKeepers has used it if the first list that was read
	// had all heads of the own availability zone and not this instance.
	hasJoinedHeads bool
	// lostLinks holds the addresses to which a link was lost or could not be made.
	lostLinks map[netip.AddrPort]lostLink
	// viewRequestedAt is when a view was last requested from a peer.
	viewRequestedAt time.Time
	// gossipReceived is closed, and replaced, when gossip is received.
	gossipReceived chan struct{}
}

// member is the value of an instance's row among the members.
type member struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // The codec reads the tag.
	Address  netip.AddrPort
	Zone     model.ZoneID
	// isRejected is set if the row can't be decoded any more, and the value is that of
	// an earlier version: others wait for the member, which has to write its row again.
	isRejected bool
}

// peer is the state of another instance.
type peer struct {
	// isLinked is set while there is a link; lastMessageAt is when the last
	// message arrived.
	isLinked      bool
	lastMessageAt time.Time
	gossip        message.GossipState
	// groups holds what the peer has told about the groups.
	groups gossip.Received
	// gossipReceivedAt is when gossip was last received.
	gossipReceivedAt time.Time
}

// recordGossip records gossip that was received at a time. It reports whether all of the
// peer's groups are known.
func (p *peer) recordGossip(state message.GossipState, now time.Time) bool {
	hasGroups := p.groups.Apply(state)
	state.Groups = nil
	p.lastMessageAt, p.gossipReceivedAt, p.gossip = now, now, state
	return hasGroups
}

// groupGossip returns what the peer last sent about a group's primary, if it
// was about the given epoch.
func (p *peer) groupGossip(group model.GroupID, epoch uint64) (message.GroupGossip, bool) {
	groupGossip, found := p.groups.Group(group)
	return groupGossip, found && groupGossip.Row.Epoch == epoch
}

// isAlive reports whether the instance has sent a message recently enough to
// count as alive.
func (p *peer) isAlive(now time.Time) bool {
	sinceLastMessage := now.Sub(p.lastMessageAt)
	return sinceLastMessage < unlinkedAliveTimeout || p.isLinked && sinceLastMessage < aliveTimeout
}

func newPeers() peers {
	return peers{
		known: map[model.InstanceID]*peer{}, lostLinks: map[netip.AddrPort]lostLink{},
		gossipReceived: make(chan struct{}),
	}
}

// first returns the first instance, and whether it is this one. The first
// instance is the leader of the live instances: it reads the store for all. It
// is the one with the lowest start ID, among those that reach the store if
// there are any. Peers that are leaving do not count.
func (f *Fleet) first() (model.InstanceID, bool) {
	return f.firstOf(func(*peer) bool { return true })
}

// upstream returns the peer from which this instance requests views: the first
// of its availability zone or, if that is this instance, the first of all.
func (f *Fleet) upstream() model.InstanceID {
	zoneFirst, isZoneFirst := f.firstOf(func(p *peer) bool { return p.gossip.Zone == f.options.Zone })
	if !isZoneFirst {
		return zoneFirst
	}
	fleetFirst, _ := f.first()
	return fleetFirst
}

// firstOf is like first, among this instance and the peers that include
// selects.
func (f *Fleet) firstOf(include func(*peer) bool) (model.InstanceID, bool) {
	f.peers.mu.Lock()
	defer f.peers.mu.Unlock()
	now := clock.Now()
	first, hasStore := f.options.StartID, f.storeReachable.Load()
	for id, p := range f.peers.known {
		if !p.isAlive(now) || p.gossip.Leaving || !include(p) {
			continue
		}
		if p.gossip.StoreReachable && !hasStore || p.gossip.StoreReachable == hasStore && id < first {
			first, hasStore = id, p.gossip.StoreReachable
		}
	}
	return first, first == f.options.StartID
}

// isFirst reports whether this instance is the first.
func (f *Fleet) isFirst() bool {
	_, ok := f.first()
	return ok
}

// instanceCount returns the number of instances that share the databases: the
// highest of this instance's own count, the counts of all zones that its peers
// report, and the number of members, which is used up to
// Options.ExpectedInstances only.
func (f *Fleet) instanceCount() int {
	f.peers.mu.Lock()
	defer f.peers.mu.Unlock()
	_, count := f.peers.sizes(f.options, func(p *peer, now time.Time) bool {
		return now.Sub(p.lastMessageAt) < shareRetention
	})
	for _, p := range f.peers.known {
		if clock.Since(p.lastMessageAt) < shareRetention {
			count = max(count, p.gossip.FleetSize)
		}
	}
	return max(count, min(len(f.peers.members)+1, f.options.ExpectedInstances))
}

// isMajorityAlive reports whether more than half of all instances are alive and
// not leaving, as far as this instance can observe.
func (f *Fleet) isMajorityAlive() bool {
	total := f.instanceCount()
	f.peers.mu.Lock()
	defer f.peers.mu.Unlock()
	_, alive := f.peers.sizes(f.options, func(p *peer, now time.Time) bool {
		return p.isAlive(now) && !p.gossip.Leaving
	})
	return 2*alive > total
}

// sizes counts this instance and the peers that include selects: in this
// instance's availability zone, and in all zones. The size of another zone is
// the highest ZoneSize that the peers there report, since this instance is not
// linked to all of them, or the number of those peers if that is higher. The
// peers must be locked.
func (p *peers) sizes(self Options, include func(*peer, time.Time) bool) (zoneSize, fleetSize int) {
	now := clock.Now()
	namesByZone := map[model.ZoneID]map[model.InstanceID]bool{self.Zone: {self.InstanceName: true}}
	reported := map[model.ZoneID]int{}
	for _, known := range p.known {
		if !include(known, now) {
			continue
		}
		zone := known.gossip.Zone
		if namesByZone[zone] == nil {
			namesByZone[zone] = map[model.InstanceID]bool{}
		}
		namesByZone[zone][known.gossip.Instance] = true
		reported[zone] = max(reported[zone], known.gossip.ZoneSize)
	}
	zoneSize = len(namesByZone[self.Zone])
	for zone, names := range namesByZone {
		if zone == self.Zone {
			fleetSize += zoneSize
			continue
		}
		fleetSize += max(len(names), reported[zone])
	}
	return zoneSize, fleetSize
}

// isAvailable reports whether an instance is alive, reaches the store and is
// not leaving. The instance may be this one.
func (f *Fleet) isAvailable(id model.InstanceID) bool {
	if id == f.options.StartID {
		return f.storeReachable.Load() && !f.leaving.Load()
	}
	f.peers.mu.Lock()
	defer f.peers.mu.Unlock()
	p, found := f.peers.known[id]
	return found && p.isAlive(clock.Now()) && p.gossip.StoreReachable && !p.gossip.Leaving
}

// Post implements message.Sink for the peer edge.
func (f *Fleet) Post(incoming message.Event) {
	switch incoming := incoming.(type) {
	case message.PeerConnected:
		f.peers.mu.Lock()
		p := f.peers.getOrAdd(incoming.Peer)
		isNew := p.lastMessageAt.IsZero()
		p.isLinked = true
		f.peers.mu.Unlock()
		f.sendInitialGossip(incoming.Peer, isNew)
	case message.PeerDisconnected:
		f.peers.mu.Lock()
		if p, found := f.peers.known[incoming.Peer]; found {
			p.isLinked = false
		}
		f.peers.recordLostLink(incoming.Address, clock.Now())
		f.peers.mu.Unlock()
	case message.PeerMessageReceived:
		f.handlePeerMessage(incoming.From, incoming.Body)
	}
}

// prune removes state that no decision uses any more: the entries of start IDs
// without a link and without a message for longer than twice memberExpiry, and
// links lost longer than twice their timeout ago.
func (p *peers) prune(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.known, func(_ model.InstanceID, known *peer) bool {
		return !known.isLinked && now.Sub(known.lastMessageAt) > 2*memberExpiry
	})
	maps.DeleteFunc(p.lostLinks, func(_ netip.AddrPort, l lostLink) bool { return now.Sub(l.at) > 2*l.timeout })
}

// getOrAdd returns the state of a peer, which is added if there is none. The
// peers must be locked.
func (p *peers) getOrAdd(id model.InstanceID) *peer {
	result, found := p.known[id]
	if !found {
		result = &peer{}
		p.known[id] = result
	}
	return result
}
