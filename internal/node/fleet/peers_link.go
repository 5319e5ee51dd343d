package fleet

import (
	"net/netip"
	"slices"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/clock"
	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

const (
	// headsPerZone is the number of heads of an availability zone: the
	// instances that keep links to other zones. With two of them down the zone
	// is still linked.
	headsPerZone = 3
	// lostLinkTimeout is how long, after a link to an instance was lost or
	// could not be made, another instance is linked in its place.
	lostLinkTimeout = 3 * time.Second
)

// updateLinks sets the peers to which the peer edge keeps links. The members of
// an availability zone are ordered by name; the first ones are its heads. Every
// instance keeps links to the heads of its own zone, and a head also to those
// of the other zones. The number of an instance's links thus does not grow with
// the number of instances, except for a head's links to its own zone. The seeds
// are linked until there are members.
func (f *Fleet) updateLinks() {
	f.peers.mu.Lock()
	defer f.peers.mu.Unlock()
	var targets []message.PeerTarget
	add := func(address netip.AddrPort) {
		target := message.PeerTarget{Address: address}
		if address != f.options.PeerAddress && !slices.Contains(targets, target) {
			targets = append(targets, target)
		}
	}
	for _, address := range f.linkedHeads() {
		add(address)
	}
	if len(f.peers.members) == 0 {
		for _, seed := range f.options.SeedAddresses {
			add(seed)
		}
	}
	f.peers.links.HandleAction(message.SetPeers{Peers: targets})
}

// linkedHeads returns the addresses of the heads (see updateLinks) to which this
// instance keeps links. The peers must be locked.
func (f *Fleet) linkedHeads() []netip.AddrPort {
	zones := map[model.ZoneID][]model.InstanceID{f.options.Zone: {f.options.InstanceName}}
	for name, m := range f.peers.members {
		zones[m.Zone] = append(zones[m.Zone], name)
	}
	addresses, isHead := f.heads(zones[f.options.Zone])
	if !isHead {
		return addresses
	}
	for zone, names := range zones {
		if zone != f.options.Zone {
			others, _ := f.heads(names)
			addresses = append(addresses, others...)
		}
	}
	return addresses
}

// heads returns the addresses of the heads among the instances of an
// availability zone, without that of this instance, and whether this instance
// is one of them. It sorts names. A head whose link is lost remains a head, and
// the next instance becomes one as well. The peers must be locked.
func (f *Fleet) heads(names []model.InstanceID) (addresses []netip.AddrPort, isHead bool) {
	slices.Sort(names)
	available := 0
	for _, name := range names {
		if available == headsPerZone {
			break
		}
		if name == f.options.InstanceName {
			isHead = true
			available++
			continue
		}
		address := f.peers.members[name].Address
		addresses = append(addresses, address)
		if clock.Since(f.peers.lostAt[address]) > lostLinkTimeout {
			available++
		}
	}
	return addresses, isHead
}
