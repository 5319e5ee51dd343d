package flood

import (
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/rank"
)

// -----------------------------------------------------------------------------
// Databases.

// errorResponseTime is the time that a database takes to answer with an error.
const errorResponseTime = time.Millisecond

// startOrQueue starts a request that has reached a database, or queues it where
// all slots of the database are in use.
func (sim *simulation) startOrQueue(d *database, j job) {
	if d.busySlots >= sim.scenario.Topology.Slots {
		d.queue = append(d.queue, j)
		return
	}
	d.busySlots++
	failed := d.errorShare > 0 && sim.random.Float64() < d.errorShare
	serviceTime := time.Duration(float64(j.request.serviceTime) * d.slowFactor)
	if failed {
		serviceTime = errorResponseTime
	}
	sim.scheduleAfter(serviceTime, func() { sim.completeService(d, j, failed) })
}

// completeService frees the slot of a request, starts the next queued one and sends
// the response back to the instance.
func (sim *simulation) completeService(d *database, j job, failed bool) {
	d.busySlots--
	if len(d.queue) > 0 {
		next := d.queue[0]
		d.queue = d.queue[1:]
		sim.startOrQueue(d, next)
	}
	sim.scheduleAfter(sim.delay(d.zone, j.instance.zone), func() {
		d.outstanding--
		sim.handleResponse(j, failed)
	})
}

// maxAttempts is the maximum number of attempts for a request that a database
// answers with an error.
const maxAttempts = 3

// handleResponse handles the response to a request at the instance that sent it:
// the request ends, or is queued again after an error.
func (sim *simulation) handleResponse(j job, failed bool) {
	if j.instance.crashed {
		sim.recordOutcome(j.request, outcomeFailed)
		return
	}
	j.request.attempts++
	completion := rank.SlotCompletion{Elapsed: sim.now - j.request.sentAt, Failed: failed}
	if sim.now >= sim.scenario.measurementStart() && sim.now < floodEnd {
		sim.slotTime[j.request.rank] += sim.now - j.request.sentAt
	}
	switch {
	case failed && j.request.attempts < maxAttempts && sim.mayRetry(j.instance):
		j.instance.scheduler.Requeue(sim.clock(), j.request.id, completion)
	case failed:
		j.instance.scheduler.Finish(sim.clock(), j.request.id, completion)
		delete(j.instance.requests, j.request.id)
		sim.recordOutcome(j.request, outcomeFailed)
	default:
		j.instance.scheduler.Finish(sim.clock(), j.request.id, completion)
		delete(j.instance.requests, j.request.id)
		sim.recordOutcome(j.request, outcomeServed)
	}
	sim.runScheduler(j.instance)
}

// mayRetry takes one retry from the instance's retry budget and reports whether one
// was available. The baseline has no budget and may always retry.
func (sim *simulation) mayRetry(i *instance) bool {
	s, ok := i.scheduler.(*rank.Scheduler)
	return !ok || s.TakeRetry(sim.clock(), "group")
}
