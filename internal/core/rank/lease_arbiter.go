package rank

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// arbiter is the state of the instance that is a group's arbiter.
type arbiter struct {
	since   time.Time
	clients []*client
	leases  []*lease
	// number is the last lease's; its upper half tells arbiters apart.
	number uint64
	order  []model.Rank
}

// client is what the arbiter knows of one instance.
type client struct {
	id       model.InstanceID
	sequence uint64
	seen     uint64
	heard    time.Time
	wants    []want
	limits   []message.SlotLimit
	// permits counts the permits sent to the instance.
	permits uint64
	sent    time.Time
	// roundTrip is the shortest time lately from a permit to the demand that has
	// seen it: the part of a lease in which nothing can run.
	roundTrip time.Duration
	// changed says that the instance's leases are not what it was told.
	changed bool
}

// want is one Want on the arbiter's clock.
type want struct {
	mask    uint64
	rank    model.Rank
	late    bool
	waiting int
	due     time.Time
}

// lease is one slot given to an instance.
type lease struct {
	number   uint64
	to       *client
	database *database
	rank     model.Rank
	since    time.Time
	expires  time.Time
	// permit is the sequence of the first permit that lists it.
	permit uint64
	recall bool
}

func newArbiter(self model.InstanceID, now time.Time) *arbiter {
	start := strconv.FormatInt(now.UnixNano(), 36)
	return &arbiter{since: now, number: xxhash.Sum64String(string(self)+"/"+start) << 32}
}

// client returns the state of an instance.
func (a *arbiter) client(id model.InstanceID) *client {
	for _, p := range a.clients {
		if p.id == id {
			return p
		}
	}
	// Permits of a later reign count higher than those of an earlier one.
	p := &client{id: id, permits: uint64(a.since.UnixNano())}
	a.clients = append(a.clients, p)
	return p
}

// -----------------------------------------------------------------------------
// Demands.

// hear takes in a demand.
func (a *arbiter) hear(s *Scheduler, now time.Time, g *group, from model.InstanceID, demand *message.LeaseRequest) {
	p := a.client(from)
	if demand.Sequence <= p.sequence {
		return
	}
	p.measure(now, demand.LastGrantSeen)
	p.sequence, p.seen, p.heard = demand.Sequence, demand.LastGrantSeen, now
	p.limits = demand.Limits
	p.wants = p.wants[:0]
	for _, w := range demand.Demands {
		p.wants = append(p.wants, want{
			mask: g.maskOf(w.Databases), rank: s.clamp(w.Rank), late: w.PastTarget, waiting: w.Waiting, due: now.Add(w.TimeToDeadline),
		})
	}
	a.settle(s, now, p, demand.HeldLeases)
}

// maxRoundTrip bounds what is taken for the way there and back, and roundTripRises is the
// inverse of the part by which it rises with each sample.
const (
	maxRoundTrip   = 10 * time.Millisecond
	roundTripRises = 64
)

// measure takes in how long the newest permit took to be seen.
func (p *client) measure(now time.Time, seen uint64) {
	if seen != p.permits || p.seen == seen {
		return
	}
	p.roundTrip += p.roundTrip / roundTripRises
	sample := min(now.Sub(p.sent), maxRoundTrip)
	if p.roundTrip == 0 || sample < p.roundTrip {
		p.roundTrip = sample
	}
}

// settle renews the leases that an instance still holds, frees those it gave
// back, and adopts those it has from an earlier arbiter.
func (a *arbiter) settle(s *Scheduler, now time.Time, p *client, held []message.HeldLease) {
	kept := a.leases[:0]
	for _, l := range a.leases {
		switch {
		case l.to != p:
		case isHeld(held, l.number):
			l.expires = now.Add(leaseValid + leaseGrace)
		case l.permit <= p.seen:
			l.database.fleet.stop(now, l.rank)
			l.database.fleet.refund(l.rank, p.roundTrip)
			continue
		}
		kept = append(kept, l)
	}
	clear(a.leases[len(kept):])
	a.leases = kept
	for _, h := range held {
		if d := s.databases[h.Database]; d != nil && !a.has(h.ID) {
			a.add(now, &lease{number: h.ID, to: p, database: d, rank: s.clamp(h.Rank)})
		}
	}
}

func isHeld(held []message.HeldLease, number uint64) bool {
	for _, h := range held {
		if h.ID == number {
			return true
		}
	}
	return false
}

func (a *arbiter) has(number uint64) bool {
	for _, l := range a.leases {
		if l.number == number {
			return true
		}
	}
	return false
}

// add counts a lease.
func (a *arbiter) add(now time.Time, l *lease) {
	l.since = now
	l.expires = now.Add(leaseValid + leaseGrace)
	l.permit = l.to.permits + 1
	l.to.changed = true
	l.database.fleet.start(now, l.rank)
	a.leases = append(a.leases, l)
}

// expire frees the leases that were not renewed.
func (a *arbiter) expire(now time.Time) {
	kept := a.leases[:0]
	for _, l := range a.leases {
		if now.Before(l.expires) {
			kept = append(kept, l)
			continue
		}
		l.database.fleet.stop(now, l.rank)
		l.to.changed = true
	}
	clear(a.leases[len(kept):])
	a.leases = kept
}

// -----------------------------------------------------------------------------
// Decisions.

// forget drops the wants of instances that are gone or no longer ask, and the
// instances themselves once their leases have ended.
func (a *arbiter) forget(s *Scheduler, now time.Time) {
	kept := a.clients[:0]
	for _, p := range a.clients {
		isLive := slices.Contains(s.peers.live, p.id)
		if !isLive || now.Sub(p.heard) > wantFades {
			p.wants = p.wants[:0]
		}
		if isLive || a.holds(p) {
			kept = append(kept, p)
		}
	}
	clear(a.clients[len(kept):])
	a.clients = kept
}

// holds reports whether an instance has leases.
func (a *arbiter) holds(p *client) bool {
	for _, l := range a.leases {
		if l.to == p {
			return true
		}
	}
	return false
}

// decide gives free slots to the demand and recalls leases to demand that has
// a better claim.
func (a *arbiter) decide(s *Scheduler, now time.Time, g *group) {
	a.expire(now)
	a.forget(s, now)
	if !a.isWanted() || !a.isReady(s, now) {
		return
	}
	for progress := true; progress; {
		progress = false
		for _, d := range g.databases {
			if a.hasFree(s, now, d) && a.grant(s, now, d) {
				progress = true
			}
		}
	}
	for _, d := range g.databases {
		a.recall(s, now, d)
	}
}

// isWanted reports whether any instance waits for a slot.
func (a *arbiter) isWanted() bool {
	for _, c := range a.clients {
		if len(c.wants) > 0 {
			return true
		}
	}
	return false
}

// isReady reports whether the arbiter knows which leases an earlier arbiter
// gave: all live instances have spoken, or such leases have ended.
func (a *arbiter) isReady(s *Scheduler, now time.Time) bool {
	if now.Sub(a.since) > leaseValid+leaseGrace {
		return true
	}
	for _, id := range s.peers.live {
		if a.client(id).heard.IsZero() {
			return false
		}
	}
	return true
}

// hasFree reports whether a slot of d may be leased. While instances are
// unreachable, their share stays free for them.
func (a *arbiter) hasFree(s *Scheduler, now time.Time, d *database) bool {
	slots := float64(a.limit(s, d)+slotsAhead) * float64(len(s.peers.live)) / float64(max(1, len(s.peers.known)))
	return d.fleetMeter.allows(now, slots, d.fleet.busy())
}

// limit returns the slots of d that all may use: the mean of what the instances
// would use, so that the bad luck of one does not slow all.
func (a *arbiter) limit(s *Scheduler, d *database) int {
	sum := 0
	for _, p := range a.clients {
		sum += p.limitOf(d.id, s.limits.MaxConcurrentStatements)
	}
	count := max(1, len(a.clients))
	return max(1, (sum+count/2)/count)
}

// limitOf returns the slots of a database that the instance would use.
func (p *client) limitOf(id model.DatabaseID, slots int) int {
	for _, l := range p.limits {
		if l.Database == id {
			return min(max(1, l.Slots), slots)
		}
	}
	return slots
}

// unmet returns how many requests of a want have no lease on its way.
func (a *arbiter) unmet(p *client, w *want) int {
	n := w.waiting
	for _, l := range a.leases {
		if l.to == p && l.rank == w.rank && l.permit > p.seen && l.database.bit&w.mask != 0 {
			n--
		}
	}
	return n
}

// claim is a want that has a claim on a slot of a database.
type claim struct {
	from  *client
	want  *want
	unmet int
	due   time.Time
	// full says that the instance has all the slots of the database that one
	// instance may use: it can only change one rank for another.
	full bool
}

// before reports whether c is served before other: prompt work before late
// work, then the earliest deadline.
func (c *claim) before(other *claim) bool {
	if c.want.late != other.want.late {
		return other.want.late
	}
	return c.due.Before(other.due)
}

// claimOf returns the best claim of a rank on d: the earliest deadline. For a
// loan, it is one of an instance that is not full.
func (a *arbiter) claimOf(s *Scheduler, d *database, r model.Rank, loan bool) (claim, bool) {
	best, found := claim{}, false
	for _, p := range a.clients {
		full := a.heldBy(p, d) >= s.perInstance(d)
		if full && loan {
			continue
		}
		for i := range p.wants {
			w := &p.wants[i]
			if w.rank != r || w.mask&d.bit == 0 {
				continue
			}
			n := a.unmet(p, w)
			// What was leased already took the earliest deadlines of the want.
			c := claim{from: p, want: w, unmet: n, due: w.due.Add(time.Duration(w.waiting-n) * defaultCost), full: full}
			if n > 0 && (!found || c.before(&best)) {
				best, found = c, true
			}
		}
	}
	return best, found
}

// heldBy counts the leases of an instance on d.
func (a *arbiter) heldBy(p *client, d *database) int {
	n := 0
	for _, l := range a.leases {
		if l.to == p && l.database == d {
			n++
		}
	}
	return n
}

// grant leases one free slot of d to the best claim. It reports whether there
// was one.
func (a *arbiter) grant(s *Scheduler, now time.Time, d *database) bool {
	a.order = d.fleet.order(now, s.floors, a.order)
	for _, r := range a.order {
		best, found := a.claimOf(s, d, r, true)
		if !found {
			continue
		}
		a.number++
		granted := &lease{number: a.number, to: best.from, database: d, rank: r}
		a.add(now, granted)
		s.noteGranted(now, granted)
		return true
	}
	return false
}

// recall asks for leases on d back that have a worse claim than what waits.
func (a *arbiter) recall(s *Scheduler, now time.Time, d *database) {
	a.order = d.fleet.order(now, s.floors, a.order)
	coming := a.recalled(d)
	for place, r := range a.order {
		best, found := a.claimOf(s, d, r, false)
		if !found {
			continue
		}
		for n := best.unmet; n > 0; n-- {
			if coming > 0 {
				coming--
				continue
			}
			victim := a.victim(now, d, place, best)
			if victim == nil {
				break
			}
			victim.recall = true
			victim.to.changed = true
			s.noteRecalled(now, victim, best)
		}
	}
}

// recalled counts the leases on d that are on their way back.
func (a *arbiter) recalled(d *database) int {
	n := 0
	for _, l := range a.leases {
		if l.database == d && l.recall {
			n++
		}
	}
	return n
}

// victim returns the lease that gives way to a claim of the rank at a place of
// the order: one of a later rank at once, one of the same rank after its
// quantum.
func (a *arbiter) victim(now time.Time, d *database, place int, c claim) *lease {
	var worst *lease
	worstPlace := place
	for _, l := range a.leases {
		if l.database != d || l.recall || (c.full && l.to != c.from) {
			continue
		}
		at := placeOf(a.order, l.rank)
		if at < worstPlace || (at == place && !isOver(now, l, c)) {
			continue
		}
		if worst == nil || at > worstPlace || l.since.Before(worst.since) {
			worst, worstPlace = l, at
		}
	}
	return worst
}

// isOver reports whether a lease gives way to a claim of its rank: at once where
// its holder has only late work left for it and the claim is prompt, and after
// its quantum where the holder's own work may wait longer than the claim.
func isOver(now time.Time, l *lease, c claim) bool {
	if l.to == c.from {
		return false
	}
	quantum := now.Sub(l.since) >= leaseQuantum
	for i := range l.to.wants {
		w := &l.to.wants[i]
		if w.rank != l.rank || w.mask&l.database.bit == 0 {
			continue
		}
		own := claim{want: w, due: w.due}
		if own.before(&c) || (!quantum && w.late == c.want.late) {
			return false
		}
	}
	return true
}

func placeOf(order []model.Rank, r model.Rank) int {
	for place, known := range order {
		if known == r {
			return place
		}
	}
	return len(order)
}

// -----------------------------------------------------------------------------
// Permits.

// permit returns what an instance shall hear, and whether it is due.
func (a *arbiter) permit(now time.Time, g *group, p *client) (message.LeaseGrant, bool) {
	asks := p.heard.After(p.sent) && now.Sub(p.sent) >= permitKeep
	if !p.changed && !asks {
		return message.LeaseGrant{}, false
	}
	p.permits++
	p.sent, p.changed = now, false
	permit := message.LeaseGrant{Group: g.id, Sequence: p.permits, LastRequestSeen: p.sequence, ValidFor: leaseValid}
	for _, l := range a.leases {
		if l.to == p {
			permit.Leases = append(permit.Leases, message.Lease{
				ID: l.number, Database: l.database.id, Rank: l.rank, Recalled: l.recall,
			})
		}
	}
	return permit, true
}
