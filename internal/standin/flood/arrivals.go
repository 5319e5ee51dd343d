package flood

import (
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/core/rank"
)

// -----------------------------------------------------------------------------
// Arrivals.

// arrive plans the next arrival of a rank.
func (sim *simulation) arrive(r model.Rank) {
	gap := sim.random.ExpFloat64() / sim.scenario.arrivals(r, sim.isFlooding())
	wait := time.Duration(gap * float64(time.Second))
	// The rate changes when the flood begins or ends; the process has no
	// memory, so that it may be drawn anew there.
	for _, change := range []time.Duration{floodStart, floodEnd} {
		if sim.now < change && sim.now+wait > change {
			sim.after(change-sim.now, func() { sim.arrive(r) })
			return
		}
	}
	sim.after(wait, func() {
		sim.offer(r)
		sim.arrive(r)
	})
}

// offer lets one request arrive.
func (sim *simulation) offer(r model.Rank) {
	sim.next++
	access := model.AccessRead
	if sim.random.Float64() < writeShare {
		access = model.AccessWrite
	}
	service := time.Duration((0.5 + 0.5*sim.random.ExpFloat64()) * float64(loads[r].mean))
	req := &request{id: sim.next, rank: r, access: access, arrived: sim.now, service: service}
	at := sim.instances[sim.random.IntN(len(sim.instances))]
	for at.down {
		at = sim.instances[sim.random.IntN(len(sim.instances))]
	}
	if sim.scenario.SingleIngress && sim.isFlooding() && r == sim.scenario.Rank {
		at = sim.instances[0]
	}
	sim.bins[r][sim.now/binTime].offered++
	kind := sim.manifest.Ranks[r].Name + "-" + access.String()
	var limit time.Duration
	for _, k := range sim.manifest.Kinds {
		if k.Name == kind {
			limit = k.Deadline
		}
	}
	work := rank.Work{
		Request: req.id, Group: "group", Rank: r, Caller: model.CallerID(rune('A' + sim.random.IntN(20))), Kind: kind,
		Arrived: sim.clock(), Deadline: sim.clock().Add(limit),
	}
	if _, ok := at.schedule.Enqueue(sim.clock(), work); !ok {
		sim.end(req, outcomeRefused)
		return
	}
	at.requests[req.id] = req
	sim.step(at)
}
