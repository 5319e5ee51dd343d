package rank

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// shareReserveTime is how long the share of slots and connections of an
// unreachable instance stays reserved.
const shareReserveTime = 30 * time.Second

// peers holds the known instances.
type peers struct {
	// live lists the live instances, including this one, sorted.
	live []model.InstanceID
	// known lists the live instances and those whose share is still reserved,
	// sorted.
	known []model.InstanceID
	// reservedUntil is the time until which the share of an instance that is
	// not live stays reserved.
	reservedUntil map[model.InstanceID]time.Time
}

// set replaces the live instances and returns those that are no longer live.
// Their share is reserved for shareReserveTime.
func (p *peers) set(now time.Time, live []model.InstanceID) []model.InstanceID {
	var removed []model.InstanceID
	sorted := slices.Clone(live)
	slices.Sort(sorted)
	sorted = slices.Compact(sorted)
	for _, id := range p.live {
		if !slices.Contains(sorted, id) {
			p.reservedUntil[id] = now.Add(shareReserveTime)
			removed = append(removed, id)
		}
	}
	p.live = sorted
	p.refresh(now)
	return removed
}

// remove deletes an instance, with the reservation of its share.
func (p *peers) remove(now time.Time, id model.InstanceID) {
	p.live = slices.DeleteFunc(p.live, func(live model.InstanceID) bool { return live == id })
	delete(p.reservedUntil, id)
	p.refresh(now)
}

// refresh ends the reservations that have expired and updates known.
func (p *peers) refresh(now time.Time) {
	p.known = append(p.known[:0], p.live...)
	for id, reservedUntil := range p.reservedUntil {
		switch {
		case slices.Contains(p.live, id) || !now.Before(reservedUntil):
			delete(p.reservedUntil, id)
		default:
			p.known = append(p.known, id)
		}
	}
	slices.Sort(p.known)
}

// arbiter returns the live instance that is the arbiter of a group. It is
// chosen by rendezvous hashing: when one instance comes or goes, only the
// groups change their arbiter that it takes over or gives up.
func (p *peers) arbiter(g model.GroupID) model.InstanceID {
	var best model.InstanceID
	topScore := uint64(0)
	for _, id := range p.live {
		score := xxhash.Sum64String(string(g) + "/" + string(id))
		if best == "" || score > topScore {
			best, topScore = id, score
		}
	}
	return best
}
