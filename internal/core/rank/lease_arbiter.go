package rank

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// arbiter is the state of an instance as the arbiter of a group.
type arbiter struct {
	createdAt time.Time
	clients   []*client
	leases    []*lease
	// leaseID is the ID of the last lease granted. Its upper 32 bits are a hash
	// of the instance and the time at which it became the arbiter, so that the
	// IDs of different arbiters differ.
	leaseID   uint64
	rankOrder []model.Rank
}

// client is the arbiter's state of one instance that requests leases.
type client struct {
	id              model.InstanceID
	requestSequence uint64
	lastGrantSeen   uint64
	lastRequestAt   time.Time
	demands         []slotDemand
	limits          []message.SlotLimit
	// grantSequence is the sequence of the last grant sent to the instance.
	grantSequence uint64
	grantSentAt   time.Time
	// roundTrip is the shortest recent time from a grant to the request that
	// acknowledges it. For this part of a lease, the slot can't be used.
	roundTrip time.Duration
	// leasesChanged is true if the instance's leases differ from the last grant
	// sent to it.
	leasesChanged bool
}

// slotDemand is a message.SlotDemand with its deadline on the arbiter's clock.
type slotDemand struct {
	mask     uint64
	rank     model.Rank
	late     bool
	waiting  int
	deadline time.Time
}

// lease is one slot that is leased to an instance.
type lease struct {
	leaseID   uint64
	holder    *client
	database  *database
	rank      model.Rank
	grantedAt time.Time
	expiresAt time.Time
	// firstGrant is the sequence of the first grant that lists the lease.
	firstGrant uint64
	recall     bool
}

func newArbiter(self model.InstanceID, now time.Time) *arbiter {
	start := strconv.FormatInt(now.UnixNano(), 36)
	return &arbiter{createdAt: now, leaseID: xxhash.Sum64String(string(self)+"/"+start) << 32}
}

// client returns the state of an instance, and creates it if there is none.
func (a *arbiter) client(id model.InstanceID) *client {
	for _, c := range a.clients {
		if c.id == id {
			return c
		}
	}
	// Sequences start at the creation time, so that the grants of an instance
	// that becomes the arbiter again have higher sequences than its earlier
	// ones.
	c := &client{id: id, grantSequence: uint64(a.createdAt.UnixNano())}
	a.clients = append(a.clients, c)
	return c
}

// -----------------------------------------------------------------------------
// Lease requests.

// receive handles a lease request. Requests that are not newer than the last
// one are ignored.
func (a *arbiter) receive(s *Scheduler, now time.Time, g *group, from model.InstanceID, request *message.LeaseRequest) {
	c := a.client(from)
	if request.Sequence <= c.requestSequence {
		return
	}
	c.updateRoundTrip(now, request.LastGrantSeen)
	c.requestSequence, c.lastGrantSeen, c.lastRequestAt = request.Sequence, request.LastGrantSeen, now
	c.limits = request.Limits
	c.demands = c.demands[:0]
	for _, demand := range request.Demands {
		c.demands = append(c.demands, slotDemand{
			mask: g.maskOf(demand.Databases), rank: s.clampRank(demand.Rank), late: demand.PastTarget,
			waiting: demand.Waiting, deadline: now.Add(demand.TimeToDeadline),
		})
	}
	a.reconcileLeases(s, now, c, request.HeldLeases)
}

// maxRoundTrip bounds the samples of client.roundTrip. With each sample,
// roundTrip first rises by one part in roundTripRises, so that it follows a
// round trip that became longer.
const (
	maxRoundTrip   = 10 * time.Millisecond
	roundTripRises = 64
)

// updateRoundTrip measures the round trip when a request acknowledges the
// newest grant for the first time.
func (c *client) updateRoundTrip(now time.Time, lastGrantSeen uint64) {
	if lastGrantSeen != c.grantSequence || c.lastGrantSeen == lastGrantSeen {
		return
	}
	c.roundTrip += c.roundTrip / roundTripRises
	sample := min(now.Sub(c.grantSentAt), maxRoundTrip)
	if c.roundTrip == 0 || sample < c.roundTrip {
		c.roundTrip = sample
	}
}

// reconcileLeases renews the leases that an instance still holds, frees those
// that it has returned, and adopts those that an earlier arbiter granted to it.
func (a *arbiter) reconcileLeases(s *Scheduler, now time.Time, c *client, held []message.HeldLease) {
	kept := a.leases[:0]
	for _, l := range a.leases {
		switch {
		case l.holder != c:
		case isHeld(held, l.leaseID):
			l.expiresAt = now.Add(leaseDuration + leaseGrace)
		case l.firstGrant <= c.lastGrantSeen:
			l.database.fleetUsage.stop(now, l.rank)
			l.database.fleetUsage.refund(l.rank, c.roundTrip)
			continue
		}
		kept = append(kept, l)
	}
	clear(a.leases[len(kept):])
	a.leases = kept
	for _, h := range held {
		if d := s.databases[h.Database]; d != nil && !a.hasLease(h.ID) {
			a.addLease(now, &lease{leaseID: h.ID, holder: c, database: d, rank: s.clampRank(h.Rank)})
		}
	}
}

func isHeld(held []message.HeldLease, leaseID uint64) bool {
	for _, h := range held {
		if h.ID == leaseID {
			return true
		}
	}
	return false
}

func (a *arbiter) hasLease(leaseID uint64) bool {
	for _, l := range a.leases {
		if l.leaseID == leaseID {
			return true
		}
	}
	return false
}

// addLease records a lease and counts its slot as used from now on.
func (a *arbiter) addLease(now time.Time, l *lease) {
	l.grantedAt = now
	l.expiresAt = now.Add(leaseDuration + leaseGrace)
	l.firstGrant = l.holder.grantSequence + 1
	l.holder.leasesChanged = true
	l.database.fleetUsage.start(now, l.rank)
	a.leases = append(a.leases, l)
}

// expireLeases frees the leases that were not renewed in time.
func (a *arbiter) expireLeases(now time.Time) {
	kept := a.leases[:0]
	for _, l := range a.leases {
		if now.Before(l.expiresAt) {
			kept = append(kept, l)
			continue
		}
		l.database.fleetUsage.stop(now, l.rank)
		l.holder.leasesChanged = true
	}
	clear(a.leases[len(kept):])
	a.leases = kept
}

// -----------------------------------------------------------------------------
// Decisions.

// removeStaleClients drops the demands of instances that are not live or have
// sent no request for demandExpiry, and drops instances that are not live once
// they hold no leases.
func (a *arbiter) removeStaleClients(s *Scheduler, now time.Time) {
	kept := a.clients[:0]
	for _, c := range a.clients {
		isLive := slices.Contains(s.peers.live, c.id)
		if !isLive || now.Sub(c.lastRequestAt) > demandExpiry {
			c.demands = c.demands[:0]
		}
		if isLive || a.holdsLeases(c) {
			kept = append(kept, c)
		}
	}
	clear(a.clients[len(kept):])
	a.clients = kept
}

// holdsLeases reports whether an instance holds leases.
func (a *arbiter) holdsLeases(c *client) bool {
	for _, l := range a.leases {
		if l.holder == c {
			return true
		}
	}
	return false
}

// grantAndRecall grants free slots to waiting requests, and recalls leases for
// waiting requests with a better claim.
func (a *arbiter) grantAndRecall(s *Scheduler, now time.Time, g *group) {
	a.expireLeases(now)
	a.removeStaleClients(s, now)
	if !a.hasDemand() || !a.isReady(s, now) {
		return
	}
	for progress := true; progress; {
		progress = false
		for _, d := range g.databases {
			if a.hasFreeSlot(s, now, d) && a.grantSlot(s, now, d) {
				progress = true
			}
		}
	}
	for _, d := range g.databases {
		a.recall(s, now, d)
	}
}

// hasDemand reports whether any instance waits for a slot.
func (a *arbiter) hasDemand() bool {
	for _, c := range a.clients {
		if len(c.demands) > 0 {
			return true
		}
	}
	return false
}

// isReady reports whether this arbiter has a complete list of the leases that an
// earlier arbiter granted: either every live instance has sent a request, or
// those leases have expired.
func (a *arbiter) isReady(s *Scheduler, now time.Time) bool {
	if now.Sub(a.createdAt) > leaseDuration+leaseGrace {
		return true
	}
	for _, id := range s.peers.live {
		if a.client(id).lastRequestAt.IsZero() {
			return false
		}
	}
	return true
}

// hasFreeSlot reports whether a slot of d may be leased. The share of
// unreachable instances stays free for them.
func (a *arbiter) hasFreeSlot(s *Scheduler, now time.Time, d *database) bool {
	slots := float64(a.slotLimit(s, d)+inTransitRequests) * float64(len(s.peers.live)) / float64(max(1, len(s.peers.known)))
	return d.fleetMeter.allows(now, slots, d.fleetUsage.slotsInUse())
}

// slotLimit returns the number of slots of d that all instances together may
// use: the mean of the limits that they report, so that one instance that sees
// slow answers does not lower the limit for all.
func (a *arbiter) slotLimit(s *Scheduler, d *database) int {
	sum := 0
	for _, c := range a.clients {
		sum += c.reportedLimit(d.id, s.limits.MaxConcurrentStatements)
	}
	count := max(1, len(a.clients))
	return max(1, (sum+count/2)/count)
}

// reportedLimit returns the number of slots of a database that all instances
// together should use according to this one.
func (c *client) reportedLimit(id model.DatabaseID, maxSlots int) int {
	for _, l := range c.limits {
		if l.Database == id {
			return min(max(1, l.Slots), maxSlots)
		}
	}
	return maxSlots
}

// unmetRequests returns the number of waiting requests of a demand for which no
// granted lease is on its way to the instance.
func (a *arbiter) unmetRequests(c *client, demand *slotDemand) int {
	n := demand.waiting
	for _, l := range a.leases {
		if l.holder == c && l.rank == demand.rank && l.firstGrant > c.lastGrantSeen && l.database.bit&demand.mask != 0 {
			n--
		}
	}
	return n
}

// claim is the claim of one demand on a slot of a database.
type claim struct {
	requester     *client
	slotDemand    *slotDemand
	unmetRequests int
	deadline      time.Time
	// atSlotLimit is true if the instance holds all the slots of the database
	// that one instance may use: it can get a slot for one rank only by
	// returning a slot of another.
	atSlotLimit bool
}

// before reports whether c is served before other: on-time work before late
// work, then the earliest deadline.
func (c *claim) before(other *claim) bool {
	if c.slotDemand.late != other.slotDemand.late {
		return other.slotDemand.late
	}
	return c.deadline.Before(other.deadline)
}

// bestClaim returns the claim of a rank on d that is served first, and whether
// there is one. With needsExtraSlot, instances that are at their slot limit are
// passed over.
func (a *arbiter) bestClaim(s *Scheduler, d *database, r model.Rank, needsExtraSlot bool) (claim, bool) {
	best, found := claim{}, false
	for _, c := range a.clients {
		atSlotLimit := a.leaseCount(c, d) >= s.perInstance(d)
		if atSlotLimit && needsExtraSlot {
			continue
		}
		for i := range c.demands {
			demand := &c.demands[i]
			if demand.rank != r || demand.mask&d.bit == 0 {
				continue
			}
			unmet := a.unmetRequests(c, demand)
			// The leases on their way are used for the earliest deadlines of
			// the demand, so the deadline of the next request is estimated.
			candidate := claim{
				requester: c, slotDemand: demand, unmetRequests: unmet,
				deadline:    demand.deadline.Add(time.Duration(demand.waiting-unmet) * defaultCost),
				atSlotLimit: atSlotLimit,
			}
			if unmet > 0 && (!found || candidate.before(&best)) {
				best, found = candidate, true
			}
		}
	}
	return best, found
}

// leaseCount returns the number of leases that an instance holds on d.
func (a *arbiter) leaseCount(c *client, d *database) int {
	n := 0
	for _, l := range a.leases {
		if l.holder == c && l.database == d {
			n++
		}
	}
	return n
}

// grantSlot leases one free slot of d to the best claim of the first rank that
// has one. It reports whether there was a claim.
func (a *arbiter) grantSlot(s *Scheduler, now time.Time, d *database) bool {
	a.rankOrder = d.fleetUsage.rankOrder(now, s.minShares, a.rankOrder)
	for _, r := range a.rankOrder {
		best, found := a.bestClaim(s, d, r, true)
		if !found {
			continue
		}
		a.leaseID++
		granted := &lease{leaseID: a.leaseID, holder: best.requester, database: d, rank: r}
		a.addLease(now, granted)
		s.logLeaseGranted(now, granted)
		return true
	}
	return false
}

// recall recalls leases on d whose claim is worse than that of waiting
// requests.
func (a *arbiter) recall(s *Scheduler, now time.Time, d *database) {
	a.rankOrder = d.fleetUsage.rankOrder(now, s.minShares, a.rankOrder)
	pendingReturns := a.recalledCount(d)
	for rankIndex, r := range a.rankOrder {
		best, found := a.bestClaim(s, d, r, false)
		if !found {
			continue
		}
		for n := best.unmetRequests; n > 0; n-- {
			if pendingReturns > 0 {
				pendingReturns--
				continue
			}
			victim := a.victim(now, d, rankIndex, best)
			if victim == nil {
				break
			}
			victim.recall = true
			victim.holder.leasesChanged = true
			s.logLeaseRecalled(now, victim, best)
		}
	}
}

// recalledCount returns the number of leases on d that are recalled and not yet
// returned.
func (a *arbiter) recalledCount(d *database) int {
	n := 0
	for _, l := range a.leases {
		if l.database == d && l.recall {
			n++
		}
	}
	return n
}

// victim returns the lease to recall for a claim whose rank is at rankIndex of
// the rank order, or nil. A lease of a rank later in the order is recalled at
// once, a lease of the same rank if mayRecall allows it. For an instance at its
// slot limit, only one of its own leases is recalled.
func (a *arbiter) victim(now time.Time, d *database, rankIndex int, c claim) *lease {
	var worst *lease
	worstIndex := rankIndex
	for _, l := range a.leases {
		if l.database != d || l.recall || (c.atSlotLimit && l.holder != c.requester) {
			continue
		}
		index := indexInOrder(a.rankOrder, l.rank)
		if index < worstIndex || (index == rankIndex && !mayRecall(now, l, c)) {
			continue
		}
		if worst == nil || index > worstIndex || l.grantedAt.Before(worst.grantedAt) {
			worst, worstIndex = l, index
		}
	}
	return worst
}

// mayRecall reports whether a lease of another instance may be recalled for a
// claim of the same rank: at once if its holder has no waiting requests for it,
// or only late ones while the claim is on time; after its quantum if the claim
// is served before all of them.
func mayRecall(now time.Time, l *lease, c claim) bool {
	if l.holder == c.requester {
		return false
	}
	quantumOver := now.Sub(l.grantedAt) >= leaseQuantum
	for i := range l.holder.demands {
		demand := &l.holder.demands[i]
		if demand.rank != l.rank || demand.mask&l.database.bit == 0 {
			continue
		}
		holderClaim := claim{slotDemand: demand, deadline: demand.deadline}
		if holderClaim.before(&c) || (!quantumOver && demand.late == c.slotDemand.late) {
			return false
		}
	}
	return true
}

func indexInOrder(order []model.Rank, r model.Rank) int {
	for index, other := range order {
		if other == r {
			return index
		}
	}
	return len(order)
}

// -----------------------------------------------------------------------------
// Lease grants.

// leaseGrant returns the grant for an instance, and whether it is due: when its
// leases have changed, or when it has sent a request and the last grant is
// renewInterval old.
func (a *arbiter) leaseGrant(now time.Time, g *group, c *client) (message.LeaseGrant, bool) {
	renewalDue := c.lastRequestAt.After(c.grantSentAt) && now.Sub(c.grantSentAt) >= renewInterval
	if !c.leasesChanged && !renewalDue {
		return message.LeaseGrant{}, false
	}
	c.grantSequence++
	c.grantSentAt, c.leasesChanged = now, false
	leaseGrant := message.LeaseGrant{
		Group: g.id, Sequence: c.grantSequence, LastRequestSeen: c.requestSequence, ValidFor: leaseDuration,
	}
	for _, l := range a.leases {
		if l.holder == c {
			leaseGrant.Leases = append(leaseGrant.Leases, message.Lease{
				ID: l.leaseID, Database: l.database.id, Rank: l.rank, Recalled: l.recall,
			})
		}
	}
	return leaseGrant, true
}
