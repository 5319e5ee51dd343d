package flood

import (
	"sort"
	"time"
)

// -----------------------------------------------------------------------------
// Figures.

type outcome int

const (
	outcomeServed outcome = iota
	outcomeRefused
	outcomeFailed
)

// end counts what became of a request.
func (sim *simulation) end(req *request, what outcome) {
	latency := sim.now - req.arrived
	inside := what == outcomeServed && latency <= sim.manifest.Ranks[req.rank].LatencyTarget
	if inside {
		sim.bins[req.rank][req.arrived/binTime].inside++
	}
	if req.arrived < sim.scenario.countedFrom() || req.arrived >= floodEnd {
		return
	}
	r := &sim.result.Ranks[req.rank]
	switch {
	case inside:
		r.InTarget++
	case what == outcomeServed:
		r.Late++
	case what == outcomeRefused:
		r.Refused++
	default:
		r.Failed++
	}
	if what == outcomeServed {
		sim.worst[req.rank] = append(sim.worst[req.rank], latency)
	}
}

// finish works the figures out.
func (sim *simulation) finish() Result {
	from := sim.scenario.countedFrom()
	span := floodEnd - from
	first, last := int(from/binTime), int(floodEnd/binTime)
	sim.result.GoodputByRank = make([]float64, len(loads))
	sim.result.OfferedByRank = make([]float64, len(loads))
	worth := 0.0
	for r := range loads {
		result := &sim.result.Ranks[r]
		for _, b := range sim.bins[r][first:last] {
			result.Offered += b.offered
		}
		slot := loads[r].mean.Seconds() / (sim.scenario.capacity() * span.Seconds())
		sim.result.GoodputByRank[r] = float64(result.InTarget) * slot
		sim.result.OfferedByRank[r] = float64(result.Offered) * slot
		sim.result.Goodput += sim.result.GoodputByRank[r]
		worth += float64(result.InTarget) * sim.manifest.Ranks[r].Value
		result.P99 = percentile(sim.worst[r], 0.99)
	}
	sim.result.SlotShareByRank = shares(sim.held)
	sim.result.Worth = worth / sim.best()
	sim.result.Recovery = sim.recovery()
	sim.result.MessagesPerSecond = float64(sim.messages) / runEnd.Seconds() / float64(len(sim.instances))
	sim.result.BytesPerSecond = float64(sim.bytes) / runEnd.Seconds() / float64(len(sim.instances))
	return sim.result
}

// shares returns the parts of a sum.
func shares(amounts []time.Duration) []float64 {
	sum := time.Duration(1)
	for _, amount := range amounts {
		sum += amount
	}
	var parts []float64
	for _, amount := range amounts {
		parts = append(parts, float64(amount)/float64(sum))
	}
	return parts
}

// best returns the worth of serving the most worth for its slot-time first, up
// to the capacity.
func (sim *simulation) best() float64 {
	order := make([]int, len(loads))
	for r := range order {
		order[r] = r
	}
	value := func(r int) float64 { return sim.manifest.Ranks[r].Value / loads[r].mean.Seconds() }
	sort.Slice(order, func(i, j int) bool { return value(order[i]) > value(order[j]) })
	left, sum := 1.0, 0.0
	for _, r := range order {
		part := min(left, sim.result.OfferedByRank[r])
		left -= part
		if sim.result.OfferedByRank[r] > 0 {
			sum += part / sim.result.OfferedByRank[r] * float64(sim.result.Ranks[r].Offered) * sim.manifest.Ranks[r].Value
		}
	}
	return sum
}

// recovery returns the time from the end of the flood to the first bin from
// which on a second's arrivals are answered inside their targets.
func (sim *simulation) recovery() time.Duration {
	end := int(floodEnd / binTime)
	for from := end; from < int(runEnd/binTime)-25; from++ {
		if sim.isWell(from, from+10) {
			return time.Duration(from-end) * binTime
		}
	}
	return -1
}

func (sim *simulation) isWell(from, to int) bool {
	for r := range loads {
		var sum bin
		for _, b := range sim.bins[r][from:to] {
			sum.offered += b.offered
			sum.inside += b.inside
		}
		if float64(sum.inside) < 0.99*float64(sum.offered) {
			return false
		}
	}
	return true
}

func percentile(all []time.Duration, part float64) time.Duration {
	if len(all) == 0 {
		return 0
	}
	sort.Slice(all, func(i, j int) bool { return all[i] < all[j] })
	return all[int(part*float64(len(all)-1))]
}
