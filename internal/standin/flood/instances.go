package flood

import (
	"github.com/vmihailenco/msgpack/v5"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/core/rank"
)

// -----------------------------------------------------------------------------
// Instances.

// tick lets an instance step even when nothing happens.
func (sim *simulation) tick(i *instance) {
	sim.step(i)
	sim.after(tickTime, func() { sim.tick(i) })
}

// step lets an instance decide.
func (sim *simulation) step(i *instance) {
	if i.down {
		return
	}
	for _, id := range i.schedule.TakeExpired(sim.clock()) {
		sim.end(i.requests[id], outcomeRefused)
		delete(i.requests, id)
	}
	grants := i.schedule.AssignSlots(sim.clock(), func(work rank.Work) []model.DatabaseID { return sim.candidates(i, work) })
	for _, grant := range grants {
		sim.send(i, i.requests[grant.Request], grant.Database)
	}
	for _, sent := range i.schedule.TakeMessages(sim.clock()) {
		sim.pass(i, sent)
	}
}

// candidates names the primary for writes; for reads the replicas, in turns,
// and the primary last.
func (sim *simulation) candidates(i *instance, work rank.Work) []model.DatabaseID {
	if i.requests[work.Request].access == model.AccessWrite {
		return []model.DatabaseID{sim.databases[0].id}
	}
	i.turn++
	replicas := len(sim.databases) - 1
	var list []model.DatabaseID
	for n := range replicas {
		list = append(list, sim.databases[1+(i.turn+n)%replicas].id)
	}
	return append(list, sim.databases[0].id)
}

// pass carries a message to a peer.
func (sim *simulation) pass(i *instance, sent message.SendPeer) {
	sim.messages++
	if body, err := msgpack.Marshal(sent.Body); err == nil {
		sim.bytes += len(body)
	}
	for _, to := range sim.instances {
		if to.id == sent.To && !sim.isCut(i, to) {
			sim.after(sim.delay(i.zone, to.zone), func() {
				to.schedule.HandlePeerMessage(sim.clock(), i.id, sent.Body)
				sim.step(to)
			})
		}
	}
}

// send carries a request to a database.
func (sim *simulation) send(i *instance, req *request, id model.DatabaseID) {
	for _, d := range sim.databases {
		if d.id != id {
			continue
		}
		d.inUse++
		req.sent = sim.now
		sim.result.MaxExcessRequests = max(sim.result.MaxExcessRequests, d.inUse-sim.scenario.Topology.Slots)
		sim.after(sim.delay(i.zone, d.zone), func() { sim.receive(d, job{from: i, req: req}) })
	}
}
