package flood

import (
	"sort"
	"time"
)

// -----------------------------------------------------------------------------
// Figures.

// outcome is how a request ended. Expired requests count as refused.
type outcome int

const (
	outcomeServed outcome = iota
	outcomeRefused
	outcomeFailed
)

// recordOutcome counts a request under its outcome. Requests that arrived outside the
// measured time count for the recovery time only.
func (sim *simulation) recordOutcome(req *request, result outcome) {
	latency := sim.now - req.arrivedAt
	inTarget := result == outcomeServed && latency <= sim.manifest.Ranks[req.rank].LatencyTarget
	if inTarget {
		sim.bins[req.rank][req.arrivedAt/binWidth].inTarget++
	}
	if req.arrivedAt < sim.scenario.measurementStart() || req.arrivedAt >= floodEnd {
		return
	}
	rankResult := &sim.result.Ranks[req.rank]
	switch {
	case inTarget:
		rankResult.InTarget++
	case result == outcomeServed:
		rankResult.Late++
	case result == outcomeRefused:
		rankResult.Refused++
	default:
		rankResult.Failed++
	}
	if result == outcomeServed {
		sim.latencies[req.rank] = append(sim.latencies[req.rank], latency)
	}
}

// computeResult computes the result of the run from what was counted.
func (sim *simulation) computeResult() Result {
	start := sim.scenario.measurementStart()
	duration := floodEnd - start
	first, last := int(start/binWidth), int(floodEnd/binWidth)
	sim.result.GoodputByRank = make([]float64, len(rankLoads))
	sim.result.OfferedByRank = make([]float64, len(rankLoads))
	worth := 0.0
	for r := range rankLoads {
		result := &sim.result.Ranks[r]
		for _, b := range sim.bins[r][first:last] {
			result.Offered += b.offered
		}
		slotTimeShare := rankLoads[r].meanServiceTime.Seconds() / (sim.scenario.capacity() * duration.Seconds())
		sim.result.GoodputByRank[r] = float64(result.InTarget) * slotTimeShare
		sim.result.OfferedByRank[r] = float64(result.Offered) * slotTimeShare
		sim.result.Goodput += sim.result.GoodputByRank[r]
		worth += float64(result.InTarget) * sim.manifest.Ranks[r].Value
		result.P99 = percentile(sim.latencies[r], 0.99)
	}
	sim.result.SlotShareByRank = fractions(sim.slotTime)
	sim.result.Worth = worth / sim.maxWorth()
	sim.result.Recovery = sim.recoveryTime()
	sim.result.MessagesPerSecond = float64(sim.messageCount) / runEnd.Seconds() / float64(len(sim.instances))
	sim.result.BytesPerSecond = float64(sim.byteCount) / runEnd.Seconds() / float64(len(sim.instances))
	return sim.result
}

// fractions returns each amount as a fraction of the sum. The sum starts at 1 ns, so
// that it is never zero.
func fractions(amounts []time.Duration) []float64 {
	sum := time.Duration(1)
	for _, amount := range amounts {
		sum += amount
	}
	var result []float64
	for _, amount := range amounts {
		result = append(result, float64(amount)/float64(sum))
	}
	return result
}

// maxWorth returns the maximum worth that the capacity allows: the ranks with the
// highest value for their slot-time are served first.
func (sim *simulation) maxWorth() float64 {
	order := make([]int, len(rankLoads))
	for r := range order {
		order[r] = r
	}
	worthPerSlotTime := func(r int) float64 { return sim.manifest.Ranks[r].Value / rankLoads[r].meanServiceTime.Seconds() }
	sort.Slice(order, func(i, j int) bool { return worthPerSlotTime(order[i]) > worthPerSlotTime(order[j]) })
	remaining, worth := 1.0, 0.0
	for _, r := range order {
		used := min(remaining, sim.result.OfferedByRank[r])
		remaining -= used
		if sim.result.OfferedByRank[r] > 0 {
			worth += used / sim.result.OfferedByRank[r] * float64(sim.result.Ranks[r].Offered) * sim.manifest.Ranks[r].Value
		}
	}
	return worth
}

// recoveryTime returns the time from the end of the flood to the first bin from which
// the arrivals of one second meet their targets again, or -1 where there is none.
func (sim *simulation) recoveryTime() time.Duration {
	end := int(floodEnd / binWidth)
	for from := end; from < int(runEnd/binWidth)-25; from++ {
		if sim.meetsTargets(from, from+10) {
			return time.Duration(from-end) * binWidth
		}
	}
	return -1
}

// meetsTargets reports whether at least 99% of the requests of each rank that arrived
// in a range of bins were answered within their target.
func (sim *simulation) meetsTargets(from, to int) bool {
	for r := range rankLoads {
		var sum bin
		for _, b := range sim.bins[r][from:to] {
			sum.offered += b.offered
			sum.inTarget += b.inTarget
		}
		if float64(sum.inTarget) < 0.99*float64(sum.offered) {
			return false
		}
	}
	return true
}

// percentile returns the latency that a fraction of the latencies do not exceed. It
// sorts the latencies.
func percentile(latencies []time.Duration, fraction float64) time.Duration {
	if len(latencies) == 0 {
		return 0
	}
	sort.Slice(latencies, func(i, j int) bool { return latencies[i] < latencies[j] })
	return latencies[int(fraction*float64(len(latencies)-1))]
}
