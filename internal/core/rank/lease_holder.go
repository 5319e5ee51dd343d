package rank

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// Times of leases.
const (
	// demandGap is the least time between two demands with news.
	demandGap = 2 * time.Millisecond
	// leaseValid is how long a lease holds without renewal.
	leaseValid = 200 * time.Millisecond
	// leaseGrace is how much longer the arbiter counts it as used.
	leaseGrace = 50 * time.Millisecond
	// leaseQuantum is how long a lease is kept while another instance waits
	// for a slot of the same rank.
	leaseQuantum = 25 * time.Millisecond
	// permitKeep is the time after which a permit is repeated to an instance
	// that asks.
	permitKeep = 25 * time.Millisecond
	// wantFades is the age at which a demand that was not repeated no longer
	// counts.
	wantFades = 4 * permitKeep
	// arbiterPatience is how long an instance waits for the arbiter's answer
	// before it goes on with an equal share.
	arbiterPatience = 100 * time.Millisecond
)

// holder is the state of an instance that asks the arbiter for leases.
type holder struct {
	arbiter  model.InstanceID
	sequence uint64
	seen     uint64
	// asked is when the oldest unanswered demand was sent, or zero.
	asked time.Time
	sent  time.Time
	// told is the digest of the wants last sent, ranks the set of their ranks:
	// a rank that wants its first slot is not kept waiting.
	told, ranks uint64
	// alone says that the equal share is in use.
	alone bool
	// urgent says that leases were given back, or that the arbiter is new.
	urgent bool
	leases []*heldLease
	// returned holds the leases given back, with the demand that says so,
	// until the arbiter has heard it.
	returned map[uint64]uint64
}

// heldLease is a lease in the holder's hands.
type heldLease struct {
	number   uint64
	database *database
	rank     model.Rank
	valid    time.Time
	recall   bool
	item     *item
}

// follow turns to another arbiter.
func (h *holder) follow(arbiter model.InstanceID) {
	h.arbiter = arbiter
	h.seen = 0
	h.asked = time.Time{}
	h.urgent = true
	clear(h.returned)
}

// idle returns a lease with which work of a rank may start on d.
func (h *holder) idle(now time.Time, d *database, r model.Rank) *heldLease {
	for _, l := range h.leases {
		if l.database == d && l.rank == r && l.item == nil && !l.recall && now.Before(l.valid) {
			return l
		}
	}
	return nil
}

// allows reports whether work of a rank may start on d: under a lease, or under
// the equal share while the arbiter does not answer.
func (h *holder) allows(s *Scheduler, now time.Time, d *database, r model.Rank) bool {
	if h.idle(now, d, r) != nil {
		return true
	}
	if !h.isAlone(now) {
		return false
	}
	if !h.alone {
		h.alone = true
		s.stagger(now, d.group)
	}
	return d.meter.allows(now, s.equalShare(d), d.ledger.busy())
}

// stagger lets the instances that lose the arbiter at the same time begin with
// their equal shares one after another.
func (s *Scheduler) stagger(now time.Time, g *group) {
	place, _ := slices.BinarySearch(s.peers.known, s.self)
	debt := defaultCost.Seconds() * float64(place) / float64(max(1, len(s.peers.known)))
	for _, d := range g.databases {
		d.meter = meter{saved: -debt, since: now, busy: d.ledger.busy()}
	}
}

// isAlone reports whether the arbiter has left demands unanswered for long.
func (h *holder) isAlone(now time.Time) bool {
	return !h.asked.IsZero() && now.Sub(h.asked) > arbiterPatience
}

// started binds a lease to the item that uses it.
func (h *holder) started(now time.Time, it *item) {
	r := it.database.group.queueOf(&it.work).rank
	if l := h.idle(now, it.database, r); l != nil {
		l.item = it
	}
}

// finished frees the lease that an item used.
func (h *holder) finished(it *item) {
	for _, l := range h.leases {
		if l.item == it {
			l.item = nil
			return
		}
	}
}

// hear takes in a permit.
func (h *holder) hear(s *Scheduler, now time.Time, permit *message.LeaseGrant) {
	if permit.Sequence <= h.seen {
		return
	}
	h.seen = permit.Sequence
	h.asked, h.alone = time.Time{}, false
	for number, sequence := range h.returned {
		if sequence <= permit.LastRequestSeen {
			delete(h.returned, number)
		}
	}
	listed := map[uint64]bool{}
	for _, lease := range permit.Leases {
		listed[lease.ID] = true
		h.accept(s, now.Add(permit.ValidFor), lease)
	}
	for _, l := range h.leases {
		l.recall = l.recall || !listed[l.number]
	}
}

// accept takes in or renews one lease.
func (h *holder) accept(s *Scheduler, valid time.Time, lease message.Lease) {
	if _, gone := h.returned[lease.ID]; gone {
		return
	}
	for _, l := range h.leases {
		if l.number == lease.ID {
			l.valid, l.recall = valid, lease.Recalled
			return
		}
	}
	d := s.databases[lease.Database]
	if d == nil {
		return
	}
	h.leases = append(h.leases, &heldLease{
		number: lease.ID, database: d, rank: lease.Rank, valid: valid, recall: lease.Recalled,
	})
}

// giveBack drops the leases that no waiting work can use.
func (h *holder) giveBack() {
	kept := h.leases[:0]
	for _, l := range h.leases {
		if l.item != nil {
			kept = append(kept, l)
			continue
		}
		h.returned[l.number] = h.sequence + 1
		h.urgent = true
	}
	clear(h.leases[len(kept):])
	h.leases = kept
}

// demand returns what the arbiter shall hear, and whether it is due. It is
// called after Grant, so that a lease without work has no use here.
func (h *holder) demand(s *Scheduler, now time.Time, g *group) (message.LeaseRequest, bool) {
	h.giveBack()
	wants := g.wants(now)
	told := digest(now, wants, s.limits.MaxConcurrentStatements)
	elapsed := now.Sub(h.sent)
	active := len(wants) > 0 || len(h.leases) > 0
	ranks := ranksOf(wants)
	isNew := ranks&^h.ranks != 0 || (told != h.told && (elapsed >= demandGap || h.arbiter == s.self))
	if !h.urgent && !isNew && (!active || elapsed < permitKeep) {
		return message.LeaseRequest{}, false
	}
	h.sequence++
	h.sent, h.told, h.ranks, h.urgent = now, told, ranks, false
	if len(wants) > 0 && h.asked.IsZero() {
		h.asked = now
	}
	if h.isAlone(now) {
		s.note(now, arbiterSilent(g, h.arbiter))
	}
	demand := message.LeaseRequest{Group: g.id, Sequence: h.sequence, LastGrantSeen: h.seen, Demands: wants}
	for _, l := range h.leases {
		demand.HeldLeases = append(demand.HeldLeases, message.HeldLease{ID: l.number, Database: l.database.id, Rank: l.rank})
	}
	demand.Limits = s.lowered(g)
	return demand, true
}

// ranksOf returns the set of ranks that want slots.
func ranksOf(wants []message.SlotDemand) uint64 {
	ranks := uint64(0)
	for _, want := range wants {
		ranks |= 1 << want.Rank
	}
	return ranks
}

// digest tells whether wants differ in a way that matters to the arbiter.
func digest(now time.Time, wants []message.SlotDemand, slots int) uint64 {
	const coarse = 10 * time.Millisecond
	sum := uint64(len(wants))
	mix := func(n uint64) { sum = (sum ^ n) * 0x9e3779b97f4a7c15 }
	for _, want := range wants {
		mix(uint64(want.Rank) << 1)
		if want.PastTarget {
			mix(1)
		}
		mix(uint64(min(want.Waiting, 2*slots)))
		mix(uint64(now.Add(want.TimeToDeadline).UnixNano() / int64(coarse)))
		mix(xxhash.Sum64String(string(want.Databases[0])) + uint64(len(want.Databases)))
	}
	return sum
}
