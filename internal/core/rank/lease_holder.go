package rank

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// Time constants of leasing.
const (
	// minRequestInterval is the minimum time between two lease requests that
	// are sent because the demand changed. It does not apply if a rank demands
	// slots that did not in the last request, or if the instance is its own
	// arbiter.
	minRequestInterval = 2 * time.Millisecond
	// leaseDuration is how long a lease is valid after a grant that lists it.
	leaseDuration = 200 * time.Millisecond
	// leaseGrace is how much longer than leaseDuration the arbiter counts the
	// slot of a lease as used.
	leaseGrace = 50 * time.Millisecond
	// leaseQuantum is how long a lease is kept while another instance waits for
	// a slot of the same rank.
	leaseQuantum = 25 * time.Millisecond
	// renewInterval is the interval at which an instance with demand or leases
	// repeats its request, and the minimum time between two grants whose only
	// reason is such a request.
	renewInterval = 25 * time.Millisecond
	// demandExpiry is the age at which the arbiter drops a demand that was not
	// repeated.
	demandExpiry = 4 * renewInterval
	// arbiterTimeout is how long an instance waits for the arbiter's grant
	// before it continues with an equal share.
	arbiterTimeout = 100 * time.Millisecond
)

// leaseHolder is the state of an instance that requests leases from the
// arbiter.
type leaseHolder struct {
	arbiter         model.InstanceID
	requestSequence uint64
	lastGrantSeen   uint64
	// unansweredSince is when the oldest unanswered request with demand was
	// sent, or zero.
	unansweredSince time.Time
	requestSentAt   time.Time
	// digest is the digest of the demand last sent, demandedRanks the set of
	// its ranks. Demand of a rank that is not in this set is sent without
	// delay.
	digest, demandedRanks uint64
	// usesEqualShare is true if requests start under the equal share, since the
	// arbiter does not answer.
	usesEqualShare bool
	// mustSend is true if the next request is due at once: leases were returned,
	// or the arbiter is new.
	mustSend bool
	leases   []*heldLease
	// returned maps the IDs of returned leases to the sequence of the request
	// that reports the return. An entry is kept until the arbiter acknowledges
	// that request, so that an older grant does not bring the lease back.
	returned map[uint64]uint64
}

// heldLease is a lease that this instance holds.
type heldLease struct {
	leaseID    uint64
	database   *database
	rank       model.Rank
	validUntil time.Time
	// recalled is set once the arbiter has recalled the lease or lists it no longer:
	// no further request starts under it.
	recalled bool
	// item is the running request that uses the lease, or nil.
	item *item
}

// setArbiter switches to another arbiter.
func (h *leaseHolder) setArbiter(arbiter model.InstanceID) {
	h.arbiter = arbiter
	h.lastGrantSeen = 0
	h.unansweredSince = time.Time{}
	h.mustSend = true
	clear(h.returned)
}

// idleLease returns an unused lease under which a request of a rank may start
// on d, or nil.
func (h *leaseHolder) idleLease(now time.Time, d *database, r model.Rank) *heldLease {
	for _, l := range h.leases {
		if l.database == d && l.rank == r && l.item == nil && !l.recalled && now.Before(l.validUntil) {
			return l
		}
	}
	return nil
}

// allows reports whether a request of a rank may start on d: under a lease, or
// under the equal share while the arbiter does not answer.
func (h *leaseHolder) allows(s *Scheduler, now time.Time, d *database, r model.Rank) bool {
	if h.idleLease(now, d, r) != nil {
		return true
	}
	if !h.isArbiterUnresponsive(now) {
		return false
	}
	if !h.usesEqualShare {
		h.usesEqualShare = true
		s.staggerEqualShares(now, d.group)
	}
	return d.meter.allows(now, s.equalShare(d), d.rankUsage.slotsInUse())
}

// staggerEqualShares sets this instance's meters for the databases of g to a debt, a
// negative credit, that depends on the instance's index among the known instances.
// The debts of the instances differ, so that instances that lose the arbiter at
// the same time do not all start requests at once.
func (s *Scheduler) staggerEqualShares(now time.Time, g *group) {
	index, _ := slices.BinarySearch(s.peers.known, s.self)
	debt := defaultCost.Seconds() * float64(index) / float64(max(1, len(s.peers.known)))
	for _, d := range g.databases {
		d.meter = meter{credit: -debt, updatedAt: now, slotsInUse: d.rankUsage.slotsInUse()}
	}
}

// isArbiterUnresponsive reports whether a request has been unanswered for
// longer than arbiterTimeout.
func (h *leaseHolder) isArbiterUnresponsive(now time.Time) bool {
	return !h.unansweredSince.IsZero() && now.Sub(h.unansweredSince) > arbiterTimeout
}

// started assigns an idle lease, if there is one, to the item that has started.
func (h *leaseHolder) started(now time.Time, it *item) {
	r := it.database.group.queueOf(&it.work).rank
	if l := h.idleLease(now, it.database, r); l != nil {
		l.item = it
	}
}

// finished makes the lease that an item used idle again.
func (h *leaseHolder) finished(it *item) {
	for _, l := range h.leases {
		if l.item == it {
			l.item = nil
			return
		}
	}
}

// receive handles a lease grant. Grants that are not newer than the last one
// are ignored; leases that the grant does not list are treated as recalled.
func (h *leaseHolder) receive(s *Scheduler, now time.Time, grant *message.LeaseGrant) {
	if grant.Sequence <= h.lastGrantSeen {
		return
	}
	h.lastGrantSeen = grant.Sequence
	h.unansweredSince, h.usesEqualShare = time.Time{}, false
	for leaseID, sequence := range h.returned {
		if sequence <= grant.LastRequestSeen {
			delete(h.returned, leaseID)
		}
	}
	listed := map[uint64]bool{}
	for _, lease := range grant.Leases {
		listed[lease.ID] = true
		h.acceptLease(s, now.Add(grant.ValidFor), lease)
	}
	for _, l := range h.leases {
		l.recalled = l.recalled || !listed[l.leaseID]
	}
}

// acceptLease adds or renews one lease. Leases that this instance has returned
// and leases on unknown databases are ignored.
func (h *leaseHolder) acceptLease(s *Scheduler, validUntil time.Time, lease message.Lease) {
	if _, isReturned := h.returned[lease.ID]; isReturned {
		return
	}
	for _, l := range h.leases {
		if l.leaseID == lease.ID {
			l.validUntil, l.recalled = validUntil, lease.Recalled
			return
		}
	}
	d := s.databases[lease.Database]
	if d == nil {
		return
	}
	h.leases = append(h.leases, &heldLease{
		leaseID: lease.ID, database: d, rank: lease.Rank, validUntil: validUntil, recalled: lease.Recalled,
	})
}

// returnIdleLeases returns all leases that no running request uses.
func (h *leaseHolder) returnIdleLeases() {
	kept := h.leases[:0]
	for _, l := range h.leases {
		if l.item != nil {
			kept = append(kept, l)
			continue
		}
		h.returned[l.leaseID] = h.requestSequence + 1
		h.mustSend = true
	}
	clear(h.leases[len(kept):])
	h.leases = kept
}

// leaseRequest returns the request to the arbiter, and whether it is due. It is
// called after slots were assigned, so that no waiting request can use a lease
// that is still idle: such leases are returned. If the request is due and the
// arbiter is unresponsive, this is logged.
func (h *leaseHolder) leaseRequest(s *Scheduler, now time.Time, g *group) (message.LeaseRequest, bool) {
	h.returnIdleLeases()
	slotDemands := g.slotDemands(now)
	digest := demandDigest(now, slotDemands, s.limits.MaxConcurrentStatements)
	elapsed := now.Sub(h.requestSentAt)
	active := len(slotDemands) > 0 || len(h.leases) > 0
	demandedRanks := ranksOf(slotDemands)
	hasNewDemand := demandedRanks&^h.demandedRanks != 0 ||
		(digest != h.digest && (elapsed >= minRequestInterval || h.arbiter == s.self))
	if !h.mustSend && !hasNewDemand && (!active || elapsed < renewInterval) {
		return message.LeaseRequest{}, false
	}
	h.requestSequence++
	h.requestSentAt, h.digest, h.demandedRanks, h.mustSend = now, digest, demandedRanks, false
	if len(slotDemands) > 0 && h.unansweredSince.IsZero() {
		h.unansweredSince = now
	}
	if h.isArbiterUnresponsive(now) {
		s.logEvent(now, arbiterUnresponsive(g, h.arbiter))
	}
	leaseRequest := message.LeaseRequest{
		Group: g.id, Sequence: h.requestSequence, LastGrantSeen: h.lastGrantSeen, Demands: slotDemands,
	}
	for _, l := range h.leases {
		leaseRequest.HeldLeases = append(leaseRequest.HeldLeases, message.HeldLease{
			ID: l.leaseID, Database: l.database.id, Rank: l.rank,
		})
	}
	leaseRequest.Limits = s.loweredLimits(g)
	return leaseRequest, true
}

// ranksOf returns the set of ranks that demand slots.
func ranksOf(demands []message.SlotDemand) uint64 {
	ranks := uint64(0)
	for _, demand := range demands {
		ranks |= 1 << demand.Rank
	}
	return ranks
}

// demandDigest returns a digest that changes if the demand changes in a way
// that matters to the arbiter. Deadlines are rounded to deadlineStep, and
// waiting requests count up to twice slots, the slots of one database. Of a
// demand's databases, only the first and their number are included.
func demandDigest(now time.Time, demands []message.SlotDemand, slots int) uint64 {
	const deadlineStep = 10 * time.Millisecond
	hash := uint64(len(demands))
	mix := func(n uint64) { hash = (hash ^ n) * 0x9e3779b97f4a7c15 }
	for _, demand := range demands {
		mix(uint64(demand.Rank) << 1)
		if demand.PastTarget {
			mix(1)
		}
		mix(uint64(min(demand.Waiting, 2*slots)))
		mix(uint64(now.Add(demand.TimeToDeadline).UnixNano() / int64(deadlineStep)))
		mix(xxhash.Sum64String(string(demand.Databases[0])) + uint64(len(demand.Databases)))
	}
	return hash
}
