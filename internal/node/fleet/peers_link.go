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
	// headsPerZone is the number of instances of an availability zone that have
	// links to other zones: with two of them gone a zone is still linked.
	headsPerZone = 3
	// lostLinkTimeout is how long an instance to which a link was lost, or could not be
	// made, has another one linked in its place.
	lostLinkTimeout = 3 * time.Second
)

// updateLinks tells the peer edge whom to keep a link to. The members of an
// availability zone are in the order of their names; the first ones are its
// heads. Every instance keeps links to the heads of its own zone, and a head also
// to those of the others, so that the links of an instance do not grow with the
// number of instances but for a head's to its own zone. The seeds are linked
// until there are members.
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

// linkedHeads returns the addresses of the heads to link to. The peers are locked.
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

// heads returns the addresses of the heads among the instances of an availability
// zone, and whether this instance is one of them. One that is lost stays among
// them, and the next one takes its place beside it.
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
