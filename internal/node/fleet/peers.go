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
	// bulletinInterval is the time between two bulletins to each peer. What is
	// urgent is sent at once.
	bulletinInterval = 500 * time.Millisecond
	// aliveFor is how long an instance counts as alive after its last message,
	// and unlinkedFor where its link is broken besides.
	aliveFor    = 2*bulletinInterval + 200*time.Millisecond
	unlinkedFor = 400 * time.Millisecond
	// rememberedFor is how long an instance that was heard once keeps its share
	// of the databases' connections: the databases keep those of a dead one
	// open for three seconds, and a restarted one comes back within it.
	rememberedFor = 15 * time.Second
	// forgottenAfter is how long a member must not have been heard before its
	// row is deleted. listedFor is how old a read of the members may be for
	// peers to rely on it: a member that was deleted must not be told that it
	// is one.
	forgottenAfter = 10 * time.Minute
	listedFor      = 2 * time.Minute
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
	membersRead    time.Time
	isListed       bool
	// lost is when a link to an address was last lost or could not be made.
	lost map[netip.AddrPort]time.Time
	// asked is when a peer was last asked for a bulletin.
	asked time.Time
	// news is closed when a bulletin was heard, and replaced then.
	news chan struct{}
}

// member is an instance's row among the members.
type member struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // The codec reads the tag.
	Address  netip.AddrPort
	Zone     model.ZoneID
}

// peer is what is known of another instance.
type peer struct {
	linked   bool
	heard    time.Time
	bulletin message.GossipState
	// notes are those of the bulletin, by group.
	notes map[model.GroupID]message.GroupGossip
	// told is when the bulletin came.
	told time.Time
}

// learn takes in a bulletin that came at a time.
func (p *peer) learn(b message.GossipState, now time.Time) {
	p.heard, p.told, p.bulletin = now, now, b
	p.notes = make(map[model.GroupID]message.GroupGossip, len(b.Groups))
	for _, note := range b.Groups {
		p.notes[note.Group] = note
	}
}

// note returns what the peer said last of a group's primary of an epoch.
func (p *peer) note(name model.GroupID, epoch uint64) (message.GroupGossip, bool) {
	note, found := p.notes[name]
	return note, found && note.Row.Epoch == epoch
}

// isAlive reports whether the instance was heard lately.
func (p *peer) isAlive(now time.Time) bool {
	silent := now.Sub(p.heard)
	return silent < unlinkedFor || p.linked && silent < aliveFor
}

func newPeers() peers {
	return peers{known: map[model.InstanceID]*peer{}, lost: map[netip.AddrPort]time.Time{}, news: make(chan struct{})}
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
	near, isNear := f.firstOf(func(p *peer) bool { return p.bulletin.Zone == f.options.Zone })
	if !isNear {
		return near
	}
	far, _ := f.first()
	return far
}

// firstOf is first among this instance and some peers.
func (f *Fleet) firstOf(counts func(*peer) bool) (model.InstanceID, bool) {
	f.peers.mu.Lock()
	defer f.peers.mu.Unlock()
	now := clock.Now()
	least, isStored := f.options.StartID, f.stored.Load()
	for id, p := range f.peers.known {
		if !p.isAlive(now) || p.bulletin.Leaving || !counts(p) {
			continue
		}
		if p.bulletin.StoreReachable && !isStored || p.bulletin.StoreReachable == isStored && id < least {
			least, isStored = id, p.bulletin.StoreReachable
		}
	}
	return least, least == f.options.StartID
}

// isFirst reports whether this instance is the first.
func (f *Fleet) isFirst() bool {
	_, is := f.first()
	return is
}

// instances returns the number of instances that share the databases.
func (f *Fleet) instances() int {
	f.peers.mu.Lock()
	defer f.peers.mu.Unlock()
	_, fleet := f.peers.sizes(f.options, func(p *peer, now time.Time) bool { return now.Sub(p.heard) < rememberedFor })
	for _, p := range f.peers.known {
		if clock.Since(p.heard) < rememberedFor {
			fleet = max(fleet, p.bulletin.FleetSize)
		}
	}
	return max(fleet, min(len(f.peers.members)+1, f.options.ExpectedInstances))
}

// isMajority reports whether the instances that are alive, as far as they are
// known here, are more than half of all.
func (f *Fleet) isMajority() bool {
	all := f.instances()
	f.peers.mu.Lock()
	defer f.peers.mu.Unlock()
	_, alive := f.peers.sizes(f.options, func(p *peer, now time.Time) bool {
		return p.isAlive(now) && !p.bulletin.Leaving
	})
	return 2*alive > all
}

// sizes counts this instance and the peers that count: in its own availability
// zone, and in all. Of another zone its peers there tell the number. The peers
// are locked.
func (p *peers) sizes(self Options, counts func(*peer, time.Time) bool) (zone, fleet int) {
	now := clock.Now()
	names := map[model.ZoneID]map[model.InstanceID]bool{self.Zone: {self.InstanceName: true}}
	told := map[model.ZoneID]int{}
	for _, known := range p.known {
		if !counts(known, now) {
			continue
		}
		of := known.bulletin.Zone
		if names[of] == nil {
			names[of] = map[model.InstanceID]bool{}
		}
		names[of][known.bulletin.Instance] = true
		told[of] = max(told[of], known.bulletin.ZoneSize)
	}
	zone = len(names[self.Zone])
	for of, heard := range names {
		if of == self.Zone {
			fleet += zone
			continue
		}
		fleet += max(len(heard), told[of])
	}
	return zone, fleet
}

// hears reports whether an instance is this one or was heard lately, and the store
// answers it.
func (f *Fleet) hears(id model.InstanceID) bool {
	if id == f.options.StartID {
		return f.stored.Load() && !f.leaving.Load()
	}
	f.peers.mu.Lock()
	defer f.peers.mu.Unlock()
	p, found := f.peers.known[id]
	return found && p.isAlive(clock.Now()) && p.bulletin.StoreReachable && !p.bulletin.Leaving
}

// Post implements message.Sink for the peer edge.
func (f *Fleet) Post(incoming message.Event) {
	switch incoming := incoming.(type) {
	case message.PeerConnected:
		f.peers.mu.Lock()
		f.peers.get(incoming.Peer).linked = true
		f.peers.mu.Unlock()
		f.greet(incoming.Peer)
	case message.PeerDisconnected:
		f.peers.mu.Lock()
		if p, found := f.peers.known[incoming.Peer]; found {
			p.linked = false
		}
		f.peers.lost[incoming.Address] = clock.Now()
		f.peers.mu.Unlock()
	case message.PeerMessageReceived:
		f.hear(incoming.From, incoming.Body)
	}
}

// prune drops what no decision uses any more: starts of instances that were not
// heard for longer than a member is kept, and links lost long ago.
func (p *peers) prune(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.known, func(_ model.InstanceID, known *peer) bool {
		return !known.linked && now.Sub(known.heard) > 2*forgottenAfter
	})
	maps.DeleteFunc(p.lost, func(_ netip.AddrPort, at time.Time) bool { return now.Sub(at) > lostFor })
}

func (p *peers) get(id model.InstanceID) *peer {
	entry, found := p.known[id]
	if !found {
		entry = &peer{}
		p.known[id] = entry
	}
	return entry
}
