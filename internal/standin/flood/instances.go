package flood

import (
	"github.com/vmihailenco/msgpack/v5"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/core/rank"
)

// -----------------------------------------------------------------------------
// Instances.

// tick runs the scheduler of an instance at each tick interval, so that time limits
// take effect even when no request or message arrives.
func (sim *simulation) tick(i *instance) {
	sim.runScheduler(i)
	sim.scheduleAfter(tickInterval, func() { sim.tick(i) })
}

// runScheduler ends expired requests of an instance, sends those that are assigned a
// slot to their databases, and sends the messages to peers.
func (sim *simulation) runScheduler(i *instance) {
	if i.crashed {
		return
	}
	for _, id := range i.scheduler.TakeExpired(sim.clock()) {
		sim.recordOutcome(i.requests[id], outcomeRefused)
		delete(i.requests, id)
	}
	assignments := i.scheduler.AssignSlots(sim.clock(), func(work rank.Work) []model.DatabaseID { return sim.candidates(i, work) })
	for _, assignment := range assignments {
		sim.sendRequest(i, i.requests[assignment.Request], assignment.Database)
	}
	for _, outgoing := range i.scheduler.TakeMessages(sim.clock()) {
		sim.sendMessage(i, outgoing)
	}
}

// candidates returns the databases that may serve a request, the preferred one first:
// the primary for writes; for reads the replicas, rotated by one at each call, and
// then the primary.
func (sim *simulation) candidates(i *instance, work rank.Work) []model.DatabaseID {
	if i.requests[work.Request].access == model.AccessWrite {
		return []model.DatabaseID{sim.databases[0].id}
	}
	i.replicaOffset++
	replicas := len(sim.databases) - 1
	var list []model.DatabaseID
	for n := range replicas {
		list = append(list, sim.databases[1+(i.replicaOffset+n)%replicas].id)
	}
	return append(list, sim.databases[0].id)
}

// sendMessage delivers a message to a peer after the delay between their zones, unless
// the two are disconnected.
func (sim *simulation) sendMessage(i *instance, outgoing message.SendPeer) {
	sim.messageCount++
	if body, err := msgpack.Marshal(outgoing.Body); err == nil {
		sim.byteCount += len(body)
	}
	for _, peer := range sim.instances {
		if peer.id == outgoing.To && !sim.isDisconnected(i, peer) {
			sim.scheduleAfter(sim.delay(i.zone, peer.zone), func() {
				peer.scheduler.HandlePeerMessage(sim.clock(), i.id, outgoing.Body)
				sim.runScheduler(peer)
			})
		}
	}
}

// sendRequest sends a request to a database.
func (sim *simulation) sendRequest(i *instance, req *request, id model.DatabaseID) {
	for _, d := range sim.databases {
		if d.id != id {
			continue
		}
		d.outstanding++
		req.sentAt = sim.now
		sim.result.MaxExcessRequests = max(sim.result.MaxExcessRequests, d.outstanding-sim.scenario.Topology.Slots)
		sim.scheduleAfter(sim.delay(i.zone, d.zone), func() { sim.startOrQueue(d, job{instance: i, request: req}) })
	}
}
