package fleet

import (
	"maps"
	"net/netip"
	"sync"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/clock"
	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

const (
	// gossipInterval is the time between two bulletins to each peer. What is
	// urgent is sent at once.
	gossipInterval = 500 * time.Millisecond
	// aliveTimeout is how long an instance counts as alive after its last message,
	// and unlinkedFor where its link is broken besides.
	aliveTimeout         = 2*gossipInterval + 200*time.Millisecond
	unlinkedAliveTimeout = 400 * time.Millisecond
	// shareRetention is how long an instance that was heard once keeps its share
	// of the databases' connections: the databases keep those of a dead one
	// open for three seconds, and a restarted one comes back within it.
	shareRetention = 15 * time.Second
	// memberExpiry is how long a member must not have been heard before its
	// row is deleted. listedFor is how old a read of the members may be for
	// peers to rely on it: a member that was deleted must not be told that it
	// is one.
	memberExpiry  = 10 * time.Minute
	maxMembersAge = 2 * time.Minute
	// membersAge is the age at which the members are read again, whatever the
	// peers tell.
	membersAge = time.Minute
)

// Links carries messages to peers.
type Links interface {
	HandleAction(action message.Action) bool
}

// peers holds the other instances.
type peers struct {
	mu    sync.Mutex
	links Links
	known map[model.InstanceID]*peer
	// members holds the other members, by name, as of a version of the table of
	// groups; isListed says that this instance was among them.
	members        map[model.InstanceID]member
	membersVersion uint64
	membersReadAt  time.Time
	isListed       bool
	// lostAt is when a link to an address was last lostAt or could not be made.
	lostAt map[netip.AddrPort]time.Time
	// viewRequestedAt is when a peer was last viewRequestedAt for a bulletin.
	viewRequestedAt time.Time
	// gossipReceived is closed when a bulletin was heard, and replaced then.
	gossipReceived chan struct{}
}

// member is an instance's row among the members.
type member struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // The codec reads the tag.
	Address  netip.AddrPort
	Zone     model.ZoneID
}

// peer is what is peer of another instance.
type peer struct {
	isLinked      bool
	lastMessageAt time.Time
	gossip        message.GossipState
	// groups are those of the bulletin, by group.
	groups map[model.GroupID]message.GroupGossip
	// gossipReceivedAt is when the bulletin came.
	gossipReceivedAt time.Time
}

// recordGossip takes in a bulletin that came at a time.
func (p *peer) recordGossip(state message.GossipState, now time.Time) {
	p.lastMessageAt, p.gossipReceivedAt, p.gossip = now, now, state
	p.groups = make(map[model.GroupID]message.GroupGossip, len(state.Groups))
	for _, group := range state.Groups {
		p.groups[group.Group] = group
	}
}

// groupGossip returns what the peer said last of a group's primary of an epoch.
func (p *peer) groupGossip(group model.GroupID, epoch uint64) (message.GroupGossip, bool) {
	groupGossip, found := p.groups[group]
	return groupGossip, found && groupGossip.Row.Epoch == epoch
}

// isAlive reports whether the instance was heard lately.
func (p *peer) isAlive(now time.Time) bool {
	sinceLastMessage := now.Sub(p.lastMessageAt)
	return sinceLastMessage < unlinkedAliveTimeout || p.isLinked && sinceLastMessage < aliveTimeout
}

func newPeers() peers {
	return peers{known: map[model.InstanceID]*peer{}, lostAt: map[netip.AddrPort]time.Time{}, gossipReceived: make(chan struct{})}
}

// first returns the live instance whose ID comes before all others, of those
// whose last call the store has answered where there are any, and whether that
// is this one: it asks the store for all.
func (f *Fleet) first() (model.InstanceID, bool) {
	return f.firstOf(func(*peer) bool { return true })
}

// upstream returns the instance that this one asks for views: the first of its
// availability zone, or the first of all where it is that itself.
func (f *Fleet) upstream() model.InstanceID {
	zoneFirst, isZoneFirst := f.firstOf(func(p *peer) bool { return p.gossip.Zone == f.options.Zone })
	if !isZoneFirst {
		return zoneFirst
	}
	fleetFirst, _ := f.first()
	return fleetFirst
}

// firstOf is first among this instance and some peers.
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

// instanceCount returns the number of instanceCount that share the databases.
func (f *Fleet) instanceCount() int {
	f.peers.mu.Lock()
	defer f.peers.mu.Unlock()
	_, count := f.peers.sizes(f.options, func(p *peer, now time.Time) bool { return now.Sub(p.lastMessageAt) < shareRetention })
	for _, p := range f.peers.known {
		if clock.Since(p.lastMessageAt) < shareRetention {
			count = max(count, p.gossip.FleetSize)
		}
	}
	return max(count, min(len(f.peers.members)+1, f.options.ExpectedInstances))
}

// isMajorityAlive reports whether the instances that are alive, as far as they are
// known here, are more than half of all.
func (f *Fleet) isMajorityAlive() bool {
	total := f.instanceCount()
	f.peers.mu.Lock()
	defer f.peers.mu.Unlock()
	_, alive := f.peers.sizes(f.options, func(p *peer, now time.Time) bool {
		return p.isAlive(now) && !p.gossip.Leaving
	})
	return 2*alive > total
}

// sizes counts this instance and the peers that count: in its own availability
// zone, and in all. Of another zone its peers there tell the number. The peers
// are locked.
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

// isAvailable reports whether an instance is this one or was heard lately, and the store
// answers it.
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
		f.peers.getOrAdd(incoming.Peer).isLinked = true
		f.peers.mu.Unlock()
		f.sendInitialGossip(incoming.Peer)
	case message.PeerDisconnected:
		f.peers.mu.Lock()
		if p, found := f.peers.known[incoming.Peer]; found {
			p.isLinked = false
		}
		f.peers.lostAt[incoming.Address] = clock.Now()
		f.peers.mu.Unlock()
	case message.PeerMessageReceived:
		f.handlePeerMessage(incoming.From, incoming.Body)
	}
}

// prune drops what no decision uses any more: starts of instances that were not
// heard for longer than a member is kept, and links lost long ago.
func (p *peers) prune(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.known, func(_ model.InstanceID, known *peer) bool {
		return !known.isLinked && now.Sub(known.lastMessageAt) > 2*memberExpiry
	})
	maps.DeleteFunc(p.lostAt, func(_ netip.AddrPort, at time.Time) bool { return now.Sub(at) > lostLinkTimeout })
}

func (p *peers) getOrAdd(id model.InstanceID) *peer {
	result, found := p.known[id]
	if !found {
		result = &peer{}
		p.known[id] = result
	}
	return result
}
