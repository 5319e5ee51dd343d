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
	// could not be made, another instance is linked in its place. If the link can't be
	// made after that either, the time doubles, up to maxLostLinkTimeout.
	lostLinkTimeout    = 3 * time.Second
	maxLostLinkTimeout = 16 * lostLinkTimeout
	// maxLostHeads is the maximum number of heads of an availability zone that are
	// dialed although the links to them are lost. Without a maximum, an instance that loses
	// link after link, because it or the network is overloaded, dials all others.
	maxLostHeads = 3 * headsPerZone
)

// lostLink is the loss of the link to an address, or of the last attempt to make one.
type lostLink struct {
	at time.Time
	// timeout is how long another instance is linked in place of this one.
	timeout time.Duration
}

// isInForce reports whether another instance is to be linked in place of the lost one.
func (l lostLink) isInForce(now time.Time) bool { return now.Sub(l.at) <= l.timeout }

// recordLostLink records that the link to an address was lost or could not be made. The
// peers must be locked.
func (p *peers) recordLostLink(address netip.AddrPort, now time.Time) {
	known, found := p.lostLinks[address]
	switch {
	case !found:
		known.timeout = lostLinkTimeout
	case !known.isInForce(now):
		known.timeout = min(2*known.timeout, maxLostLinkTimeout)
	}
	known.at = now
	p.lostLinks[address] = known
}

// recordRestoredLink records that a message has arrived from the instance at an address.
// The peers must be locked.
func (p *peers) recordRestoredLink(address netip.AddrPort) {
	if known, found := p.lostLinks[address]; found {
		known.timeout = lostLinkTimeout
		p.lostLinks[address] = known
	}
}

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
// the next instance becomes one as well; of the lost ones, maxLostHeads at most are dialed
// at the same time. The peers must be locked.
func (f *Fleet) heads(names []model.InstanceID) (addresses []netip.AddrPort, isHead bool) {
	slices.Sort(names)
	now := clock.Now()
	available, lost := 0, 0
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
		if known, found := f.peers.lostLinks[address]; found && known.isInForce(now) {
			lost++
			if lost > maxLostHeads {
				continue
			}
		} else {
			available++
		}
		addresses = append(addresses, address)
	}
	return addresses, isHead
}
