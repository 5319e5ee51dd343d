package rank

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// reserveTime is how long an unreachable instance keeps its share of slots and
// connections.
const reserveTime = 30 * time.Second

// peers is what is known of the instances.
type peers struct {
	// live is sorted and holds this instance.
	live []model.InstanceID
	// known holds live and those that were live not long ago, sorted.
	known []model.InstanceID
	// until tells how long those that are not live keep their share.
	until map[model.InstanceID]time.Time
}

// set replaces the live instances and returns those that are gone.
func (p *peers) set(now time.Time, live []model.InstanceID) []model.InstanceID {
	var gone []model.InstanceID
	sorted := slices.Clone(live)
	slices.Sort(sorted)
	sorted = slices.Compact(sorted)
	for _, id := range p.live {
		if !slices.Contains(sorted, id) {
			p.until[id] = now.Add(reserveTime)
			gone = append(gone, id)
		}
	}
	p.live = sorted
	p.refresh(now)
	return gone
}

// refresh drops the shares that are no longer reserved.
func (p *peers) refresh(now time.Time) {
	p.known = append(p.known[:0], p.live...)
	for id, until := range p.until {
		switch {
		case slices.Contains(p.live, id) || !now.Before(until):
			delete(p.until, id)
		default:
			p.known = append(p.known, id)
		}
	}
	slices.Sort(p.known)
}

// arbiter returns the live instance that permits the slots of a group, by
// rendezvous hashing: a change of one instance moves only the groups that it
// has or gets.
func (p *peers) arbiter(g model.GroupID) model.InstanceID {
	var best model.InstanceID
	top := uint64(0)
	for _, id := range p.live {
		score := xxhash.Sum64String(string(g) + "/" + string(id))
		if best == "" || score > top {
			best, top = id, score
		}
	}
	return best
}
