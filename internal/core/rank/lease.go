package rank

import (
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// leasing is how the instances divide the slots of one group: one of them, the
// group's arbiter, leases the slots to the ranks that wait on all instances.
// Nothing depends on the arbiter for safety: instances that do not hear from it
// go on with an equal share.
type leasing struct {
	holder holder
	// arbiter is nil while another instance is the arbiter.
	arbiter *arbiter
}

func newLeasing() *leasing {
	return &leasing{holder: holder{returned: map[uint64]uint64{}}}
}

// elect adopts the arbiter that the live instances give.
func (w *leasing) elect(s *Scheduler, now time.Time, g *group) {
	id := s.peers.arbiter(g.id)
	if id == w.holder.arbiter {
		return
	}
	s.note(now, arbiterChanged(g, w.holder.arbiter, id))
	w.holder.follow(id)
	w.arbiter = nil
	if id == s.self {
		w.arbiter = newArbiter(s.self, now)
	}
}

// hear takes in a Demand or Permit.
func (w *leasing) hear(s *Scheduler, now time.Time, g *group, from model.InstanceID, body message.PeerMessage) {
	switch body := body.(type) {
	case message.LeaseRequest:
		if w.arbiter != nil {
			w.arbiter.hear(s, now, g, from, &body)
		}
	case message.LeaseGrant:
		if from == w.holder.arbiter {
			w.holder.hear(s, now, &body)
		}
	}
}

// messages returns the demand of this instance, and the permits that it gives
// as the arbiter.
func (w *leasing) messages(s *Scheduler, now time.Time, g *group) []message.SendPeer {
	var out []message.SendPeer
	demand, due := w.holder.demand(s, now, g)
	switch {
	case due && w.arbiter != nil:
		w.arbiter.hear(s, now, g, s.self, &demand)
	case due && w.holder.arbiter != "":
		out = append(out, message.SendPeer{To: w.holder.arbiter, Body: demand})
	}
	if w.arbiter == nil {
		return out
	}
	w.arbiter.decide(s, now, g)
	for _, c := range w.arbiter.clients {
		permit, due := w.arbiter.permit(now, g, c)
		switch {
		case due && c.id == s.self:
			w.holder.hear(s, now, &permit)
		case due:
			out = append(out, message.SendPeer{To: c.id, Body: permit})
		}
	}
	return out
}

// equalShare returns the slots of d that this instance may use on average when
// all known instances use the same.
func (s *Scheduler) equalShare(d *database) float64 {
	return float64(s.limitOf(d)) / float64(max(1, len(s.peers.known)))
}

// -----------------------------------------------------------------------------
// What waits.

// wants returns the demand of this instance on a group.
func (g *group) wants(now time.Time) []message.SlotDemand {
	var wants []message.SlotDemand
	for _, q := range g.queues {
		for _, l := range q.lanes {
			mask := g.usable(now, l.mask)
			if mask == 0 || len(l.lines) == 0 {
				continue
			}
			wants = append(wants, message.SlotDemand{
				Databases:      g.names(mask),
				Rank:           q.rank,
				PastTarget:     l.class == classLate,
				Waiting:        l.waiting,
				TimeToDeadline: l.lines[0].items[0].work.Deadline.Sub(now),
			})
		}
	}
	return wants
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
