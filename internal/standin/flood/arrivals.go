package flood

import (
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/core/rank"
)

// -----------------------------------------------------------------------------
// Arrivals.

// scheduleArrival schedules the next arrival of a rank, after an exponentially
// distributed time.
func (sim *simulation) scheduleArrival(r model.Rank) {
	gapSeconds := sim.random.ExpFloat64() / sim.scenario.arrivalRate(r, sim.isFlooding())
	wait := time.Duration(gapSeconds * float64(time.Second))
	// The rate changes when the flood begins or ends. A Poisson process is
	// memoryless, so the next arrival can be drawn again at that moment.
	for _, rateChange := range []time.Duration{floodStart, floodEnd} {
		if sim.now < rateChange && sim.now+wait > rateChange {
			sim.scheduleAfter(rateChange-sim.now, func() { sim.scheduleArrival(r) })
			return
		}
	}
	sim.scheduleAfter(wait, func() {
		sim.generateRequest(r)
		sim.scheduleArrival(r)
	})
}

// generateRequest creates one request of a rank and enqueues it at a random
// instance that has not crashed, or at the first one where the flood has a
// single ingress.
func (sim *simulation) generateRequest(r model.Rank) {
	sim.lastRequestID++
	access := model.AccessRead
	if sim.random.Float64() < writeShare {
		access = model.AccessWrite
	}
	serviceTime := time.Duration((0.5 + 0.5*sim.random.ExpFloat64()) * float64(rankLoads[r].meanServiceTime))
	req := &request{id: sim.lastRequestID, rank: r, access: access, arrivedAt: sim.now, serviceTime: serviceTime}
	ingress := sim.instances[sim.random.IntN(len(sim.instances))]
	for ingress.crashed {
		ingress = sim.instances[sim.random.IntN(len(sim.instances))]
	}
	if sim.scenario.SingleIngress && sim.isFlooding() && r == sim.scenario.Rank {
		ingress = sim.instances[0]
	}
	sim.bins[r][sim.now/binWidth].offered++
	kind := sim.manifest.Ranks[r].Name + "-" + access.String()
	var deadline time.Duration
	for _, declared := range sim.manifest.Kinds {
		if declared.Name == kind {
			deadline = declared.Deadline
		}
	}
	work := rank.Work{
		Request: req.id, Group: "group", Rank: r, Caller: model.CallerID(rune('A' + sim.random.IntN(20))), Kind: kind,
		Arrived: sim.clock(), Deadline: sim.clock().Add(deadline),
	}
	if _, ok := ingress.scheduler.Enqueue(sim.clock(), work); !ok {
		sim.recordOutcome(req, outcomeRefused)
		return
	}
	ingress.requests[req.id] = req
	sim.runScheduler(ingress)
}
