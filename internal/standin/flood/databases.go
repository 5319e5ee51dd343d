package flood

import (
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/rank"
)

// -----------------------------------------------------------------------------
// Databases.

// failTime is how soon a failing database answers.
const failTime = time.Millisecond

// receive lets a request run, or wait in line for a slot.
func (sim *simulation) receive(d *database, j job) {
	if d.busy >= sim.scenario.Topology.Slots {
		d.line = append(d.line, j)
		return
	}
	d.busy++
	failed := d.failing > 0 && sim.random.Float64() < d.failing
	took := time.Duration(float64(j.req.service) * d.slow)
	if failed {
		took = failTime
	}
	sim.after(took, func() { sim.answer(d, j, failed) })
}

// answer ends a request at the database and carries the answer back.
func (sim *simulation) answer(d *database, j job, failed bool) {
	d.busy--
	if len(d.line) > 0 {
		next := d.line[0]
		d.line = d.line[1:]
		sim.receive(d, next)
	}
	sim.after(sim.delay(d.zone, j.from.zone), func() {
		d.inUse--
		sim.answered(j, failed)
	})
}

// maxTries bounds the tries of a request that a database fails.
const maxTries = 3

// answered takes an answer in at the instance.
func (sim *simulation) answered(j job, failed bool) {
	if j.from.down {
		sim.end(j.req, outcomeFailed)
		return
	}
	j.req.tries++
	ending := rank.SlotCompletion{Elapsed: sim.now - j.req.sent, Failed: failed}
	if sim.now >= sim.scenario.countedFrom() && sim.now < floodEnd {
		sim.held[j.req.rank] += sim.now - j.req.sent
	}
	switch {
	case failed && j.req.tries < maxTries && sim.mayRetry(j.from):
		j.from.schedule.Requeue(sim.clock(), j.req.id, ending)
	case failed:
		j.from.schedule.Finish(sim.clock(), j.req.id, ending)
		delete(j.from.requests, j.req.id)
		sim.end(j.req, outcomeFailed)
	default:
		j.from.schedule.Finish(sim.clock(), j.req.id, ending)
		delete(j.from.requests, j.req.id)
		sim.end(j.req, outcomeServed)
	}
	sim.step(j.from)
}

// mayRetry asks the instance's retry budget; the baseline has none.
func (sim *simulation) mayRetry(i *instance) bool {
	s, ok := i.schedule.(*rank.Scheduler)
	return !ok || s.TakeRetry(sim.clock(), "group")
}
