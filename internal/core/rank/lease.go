package rank

import (
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// leasing divides the slots of one group among the instances. One of them, the
// group's arbiter, leases the slots to the ranks that wait on all instances.
// Safety does not depend on the arbiter: an instance that gets no answer from
// it continues with an equal share of the slots.
type leasing struct {
	leaseHolder leaseHolder
	// arbiter is nil while another instance is the arbiter.
	arbiter *arbiter
}

func newLeasing() *leasing {
	return &leasing{leaseHolder: leaseHolder{returned: map[uint64]uint64{}}}
}

// updateArbiter sets the arbiter to the one that peers.arbiter chooses among
// the live instances, and starts with new state if that changes it.
func (l *leasing) updateArbiter(s *Scheduler, now time.Time, g *group) {
	id := s.peers.arbiter(g.id)
	if id == l.leaseHolder.arbiter {
		return
	}
	s.logEvent(now, arbiterChanged(g, l.leaseHolder.arbiter, id))
	l.leaseHolder.setArbiter(id)
	l.arbiter = nil
	if id == s.self {
		l.arbiter = newArbiter(s.self, now)
	}
}

// receive handles a LeaseRequest or LeaseGrant. A LeaseRequest is ignored
// unless this instance is the arbiter, a LeaseGrant unless it comes from the
// arbiter.
func (l *leasing) receive(s *Scheduler, now time.Time, g *group, from model.InstanceID, body message.PeerMessage) {
	switch body := body.(type) {
	case message.LeaseRequest:
		if l.arbiter != nil {
			l.arbiter.receive(s, now, g, from, &body)
		}
	case message.LeaseGrant:
		if from == l.leaseHolder.arbiter {
			l.leaseHolder.receive(s, now, &body)
		}
	}
}

// messages returns the messages that are due: the lease request of this
// instance, and the lease grants if it is the arbiter. Messages of the instance
// to itself are handled at once.
func (l *leasing) messages(s *Scheduler, now time.Time, g *group) []message.SendPeer {
	var out []message.SendPeer
	leaseRequest, due := l.leaseHolder.leaseRequest(s, now, g)
	switch {
	case due && l.arbiter != nil:
		l.arbiter.receive(s, now, g, s.self, &leaseRequest)
	case due && l.leaseHolder.arbiter != "":
		out = append(out, message.SendPeer{To: l.leaseHolder.arbiter, Body: leaseRequest})
	}
	if l.arbiter == nil {
		return out
	}
	l.arbiter.grantAndRecall(s, now, g)
	for _, c := range l.arbiter.clients {
		leaseGrant, due := l.arbiter.leaseGrant(now, g, c)
		switch {
		case due && c.id == s.self:
			l.leaseHolder.receive(s, now, &leaseGrant)
		case due:
			out = append(out, message.SendPeer{To: c.id, Body: leaseGrant})
		}
	}
	return out
}

// equalShare returns the mean number of slots of d that this instance may use
// if all known instances use the same number.
func (s *Scheduler) equalShare(d *database) float64 {
	return float64(s.limitOf(d)) / float64(max(1, len(s.peers.known)))
}

// -----------------------------------------------------------------------------
// Demand of the waiting requests.

// slotDemands returns the demand of this instance for slots of a group, an
// entry for each set of databases, rank and class.
func (g *group) slotDemands(now time.Time) []message.SlotDemand {
	var slotDemands []message.SlotDemand
	for _, q := range g.queues {
		for _, cq := range q.candidateQueues {
			mask := g.usableMask(now, cq.mask)
			if mask == 0 || len(cq.callerQueues) == 0 {
				continue
			}
			slotDemands = append(slotDemands, message.SlotDemand{
				Databases:      g.names(mask),
				Rank:           q.rank,
				PastTarget:     cq.class == classLate,
				Waiting:        cq.waiting,
				TimeToDeadline: cq.callerQueues[0].items[0].work.Deadline.Sub(now),
			})
		}
	}
	return slotDemands
}

// names returns the databases of a set.
func (g *group) names(mask uint64) []model.DatabaseID {
	var names []model.DatabaseID
	for _, d := range g.databases {
		if d.bit&mask != 0 {
			names = append(names, d.id)
		}
	}
	return names
}
