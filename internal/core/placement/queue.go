package placement

import (
	"slices"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/clock"
	"github.com/eelgrassfold/eelgrassfold/internal/core/lease"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/core/outage"
)

const (
	// paceWeight is the weight of the newest sample in the average time between two
	// reservations.
	paceWeight = 0.1
	// paceValidity is the time without an answer to statements in flight after which a
	// database's pace says nothing about the next reservation: the database may have
	// failed, and the queue moves again as soon as it is back.
	paceValidity = 150 * time.Millisecond
	// minPaceSamples is the number of samples before which a pace says too little.
	minPaceSamples = 8
)

// pace is how fast the waiters of one rank get reservations at one database.
type pace struct {
	// interval is the average time between two reservations while others waited; zero
	// before the first sample. lastAt is the time of the last one, or zero if the
	// queue has been empty since.
	interval time.Duration
	samples  int
	lastAt   time.Time
}

func (p *pace) record(now time.Time) {
	if !p.lastAt.IsZero() {
		elapsed := now.Sub(p.lastAt)
		if p.interval == 0 {
			p.interval = elapsed
		}
		p.interval += time.Duration(paceWeight * float64(elapsed-p.interval))
		p.samples++
	}
	p.lastAt = now
}

// expected returns the expected time between two reservations; zero if unknown. A rank
// that has waited for longer than its average is taken to be slower than that.
func (p *pace) expected(now time.Time) time.Duration {
	if p.samples < minPaceSamples || p.lastAt.IsZero() {
		return 0
	}
	return max(p.interval, now.Sub(p.lastAt))
}

// pace returns the pace of a rank at the database.
func (db *databaseState) pace(rank model.Rank) *pace {
	if db.paces == nil {
		db.paces = map[model.Rank]*pace{}
	}
	p, found := db.paces[rank]
	if !found {
		p = &pace{}
		db.paces[rank] = p
	}
	return p
}

// rate returns how many waiters of a rank get a reservation at the database in a
// second; zero if that is unknown.
func (db *databaseState) rate(now time.Time, rank model.Rank) float64 {
	if now.Before(db.blockedUntil) || !db.unansweredSince.IsZero() && now.Sub(db.unansweredSince) > paceValidity {
		return 0
	}
	expected := db.pace(rank).expected(now)
	if expected == 0 {
		return 0
	}
	return float64(time.Second) / float64(expected)
}

// waitEstimator estimates, for the waiters of a group in the order of its queue, how
// long each will still wait.
type waitEstimator struct {
	now     time.Time
	g       *group
	primary *databaseState
	// ahead counts the waiters passed so far, by rank and by whether only the primary
	// can serve them; inTime counts those of them that can still meet their target.
	ahead, inTime map[lane]int
}

// lane identifies waiters that compete for the same databases.
type lane struct {
	rank        model.Rank
	primaryOnly bool
}

// rejectOrDelay decides about a waiter that got no reservation. It returns true if the
// waiter can't be served in time any more and is rejected now rather than at its
// deadline. A waiter that can't meet its target any more is marked as late: it goes
// behind those that can.
func (e *waitEstimator) rejectOrDelay(w *waiter, primaryOnly bool) (isRejected bool) {
	key := lane{rank: w.requirements.Rank, primaryOnly: primaryOnly}
	defer func() {
		if isRejected {
			return
		}
		e.ahead[key]++
		if !w.late {
			e.inTime[key]++
		}
	}()
	rate := e.rate(key)
	if rate == 0 {
		return false
	}
	wait := time.Duration(float64(e.ahead[key]+1) / rate * float64(time.Second))
	w.expectedWait = wait
	if !w.requirements.Deadline.IsZero() && e.now.Add(wait).After(w.requirements.Deadline) {
		return true
	}
	if !w.requirements.Target.IsZero() && e.now.Add(wait).After(w.requirements.Target) {
		w.late = true
	}
	return w.late && e.inTime[key] > 0
}

// rate returns how many waiters of a lane are served in a second; zero if unknown.
func (e *waitEstimator) rate(key lane) float64 {
	if key.primaryOnly {
		if e.primary == nil {
			return 0
		}
		return e.primary.rate(e.now, key.rank)
	}
	rate := 0.0
	for _, db := range e.g.databases {
		rate += db.rate(e.now, key.rank)
	}
	return rate
}

// assignReservations gives reservations to a group's waiters, in the order of the
// queue, as far as databases have capacity, and rejects those that can't be served in
// time any more.
func (s *Scheduler) assignReservations(now time.Time, g *group) {
	if len(g.waiting) == 0 && g.outage.Stage() == outage.StageServing {
		return
	}
	grant, hasGrant := s.leases.Grant(g.name)
	s.observePrimary(now, g, grant, hasGrant)
	if len(g.waiting) == 0 {
		return
	}
	estimator := waitEstimator{now: now, g: g, ahead: map[lane]int{}, inTime: map[lane]int{}}
	if hasGrant {
		estimator.primary = s.byID[grant.Primary]
	}
	if g.usage != nil {
		g.usage.orderFairly(now, g.waiting)
	}
	stillWaiting := g.waiting[:0]
	g.passedOver = noRank
	for _, w := range g.waiting {
		reservation := s.choose(now, g, w, grant, hasGrant)
		if reservation.IsRelayed {
			w.decided <- decision{reservation: reservation}
			continue
		}
		if db := reservation.databaseState; db != nil {
			db.inFlight++
			db.connectionsInUse++
			db.recordSent(now)
			db.pace(w.requirements.Rank).record(now)
			db.recordReserved(g.demand, w.requirements.Rank)
			if g.usage != nil {
				g.usage.record(now, w.requirements.Tenant)
			}
			s.recordSentOutside(g, db, &w.requirements)
			w.decided <- decision{reservation: reservation}
			continue
		}
		if !w.isHeld && (s.rejectInOutage(&estimator, w, grant) || estimator.rejectOrDelay(w, s.needsPrimary(now, g, &w.requirements, grant))) {
			w.decided <- decision{rejected: true, expectedWait: w.expectedWait, stage: g.outage.Stage()}
			continue
		}
		g.passedOver = min(g.passedOver, w.requirements.Rank)
		stillWaiting = append(stillWaiting, w)
	}
	clear(g.waiting[len(stillWaiting):])
	g.waiting = stillWaiting
	slices.SortStableFunc(g.waiting, compareOrder)
	g.endIdlePaces()
	s.scheduleWakeUp(now, g)
}

// endIdlePaces records that no waiters of some ranks are left: the time until the next
// one says nothing about how fast the rank is served.
func (g *group) endIdlePaces() {
	waiting := map[model.Rank]bool{}
	for _, w := range g.waiting {
		waiting[w.requirements.Rank] = true
	}
	for _, db := range g.databases {
		for rank, p := range db.paces {
			if !waiting[rank] {
				p.lastAt = time.Time{}
			}
		}
	}
}

// needsPrimary reports whether only the primary can serve a waiter at present.
func (s *Scheduler) needsPrimary(now time.Time, g *group, requirements *Requirements, grant lease.Grant) bool {
	if requirements.RequiresPrimary || requirements.Database != "" && requirements.Database == grant.Primary {
		return true
	}
	minPosition, asOf, hasSample := requirements.minReplicaPosition()
	for _, db := range g.databases {
		if db.ID != grant.Primary && hasSample && s.isReader(now, db, requirements) && db.hasProbablyReached(now, minPosition, asOf) {
			return false
		}
	}
	return true
}

// scheduleWakeUp has the group's waiters considered again when the earliest pause of
// its databases ends, and from time to time while the primary does not answer.
func (s *Scheduler) scheduleWakeUp(now time.Time, g *group) {
	if len(g.waiting) == 0 {
		return
	}
	var earliest time.Time
	for _, db := range g.databases {
		if until := db.limit.pausedUntil; until.After(now) && (earliest.IsZero() || until.Before(earliest)) {
			earliest = until
		}
	}
	for _, check := range []time.Time{s.nextOutageCheck(now, g), s.nextZoneCheck(now, g)} {
		if !check.IsZero() && (earliest.IsZero() || check.Before(earliest)) {
			earliest = check
		}
	}
	if earliest.IsZero() || !g.wakeAt.IsZero() && !g.wakeAt.After(earliest) {
		return
	}
	g.wakeAt = earliest
	time.AfterFunc(earliest.Sub(now), func() { s.wakeUp(g, earliest) })
}

func (s *Scheduler) wakeUp(g *group, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if g.wakeAt.Equal(at) {
		g.wakeAt = time.Time{}
	}
	s.assignReservations(clock.Now(), g)
}
