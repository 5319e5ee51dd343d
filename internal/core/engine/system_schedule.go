package engine

import (
	"slices"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/core/rank"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

// targetShare is the part of a rank's target that a read may spend on waiting
// for a replica to catch up.
const targetShare = 4

// -----------------------------------------------------------------------------
// Grants.

// runSchedule ends what has passed its deadline and dispatches what the
// scheduler grants.
func (e *Engine) runSchedule() {
	for _, id := range e.scheduler.TakeExpired(e.now) {
		if r, found := e.requests.byID[id]; found {
			e.refuseRequest(r, rank.Refusal{Reason: r.missing(), Detail: "the deadline ended before the work could be sent"})
		}
	}
	for _, g := range e.groups {
		g.wanting = time.Time{}
	}
	for _, grant := range e.scheduler.AssignSlots(e.now, e.candidates) {
		r, found := e.requests.byID[grant.Request]
		if !found {
			e.scheduler.Finish(e.now, grant.Request, rank.SlotCompletion{})
			continue
		}
		e.dispatch(r, e.databases[grant.Database])
	}
	for _, g := range e.groups {
		e.probeWanted(g)
	}
	for _, send := range e.scheduler.TakeMessages(e.now) {
		e.do(send)
	}
	for _, note := range e.scheduler.TakeLogEvents() {
		e.do(note)
	}
}

// missing tells what the request lacked at its deadline.
func (r *request) missing() message.RefusalReason {
	if r.behind >= maxBehind {
		return message.RefuseNoFreshDatabase
	}
	return r.why
}

// probeWanted asks at once for the sample that a waiting read wants.
func (e *Engine) probeWanted(g *group) {
	if g.wanting.IsZero() {
		return
	}
	for _, d := range g.databases {
		if e.isProbeDue(g, d) {
			e.probe(d)
		}
	}
}

// candidates names the databases that may serve a work now, the best first. The
// list is valid until the next call.
func (e *Engine) candidates(work rank.Work) []model.DatabaseID {
	r, found := e.requests.byID[work.Request]
	if !found || e.now.Before(r.notBefore) {
		return nil
	}
	if r.isRead() {
		return e.readCandidates(r)
	}
	return e.writeCandidates(r)
}

// writeCandidates names the primary, under fresh proof of its term.
func (e *Engine) writeCandidates(r *request) []model.DatabaseID {
	g := r.group
	r.why = message.RefuseNoPrimary
	if !g.isProven(e.now) || !g.primary.isUsable(e.now) {
		return nil
	}
	r.why = message.RefuseDeadline
	return []model.DatabaseID{g.primary.name}
}

// -----------------------------------------------------------------------------
// Reads.

// readCandidates names the databases that are thought to be fresh enough.
func (e *Engine) readCandidates(r *request) []model.DatabaseID {
	r.why = message.RefuseNoFreshDatabase
	if !e.findMinimum(r) {
		return nil
	}
	ready, soonest := e.readyReplicas(r)
	primary := e.primaryForRead(r)
	if len(ready) == 0 && primary != nil && e.isWorthWaiting(r, soonest) {
		return nil
	}
	if len(ready) > 0 && e.now.Sub(r.arrived) < e.patience(r) {
		primary = nil
	}
	names := e.names[:0]
	for _, d := range ready {
		names = append(names, d.name)
	}
	if primary != nil {
		names = append(names, primary.name)
	}
	e.names = names
	if len(names) > 0 {
		r.why = message.RefuseDeadline
	}
	return names
}

// findMinimum works out the oldest state that the read may see now. It reports
// false while the sample that this takes is still to come.
func (e *Engine) findMinimum(r *request) bool {
	s := r.session
	from := r.floor()
	r.minimum, r.minimumAt = from.position, from.at
	if r.minimum.Less(r.token) {
		r.minimum, r.minimumAt = r.token, r.arrived
	}
	since, wanted := e.sampleWanted(r)
	if !wanted {
		return true
	}
	found, ok := r.group.sampleSince(since)
	if !ok {
		e.want(r.group, since)
		return false
	}
	if r.minimum.Less(found.position) {
		r.minimum, r.minimumAt = found.position, found.at
	}
	if !s.anchored && !since.Before(r.arrived) {
		s.wrote(found.position, found.at)
		r.given = model.Token{Group: r.group.name, Position: s.written.position}
		s.anchored = !s.roaming
	}
	return true
}

// sampleWanted returns the time since which a sample is wanted: the arrival,
// for a session whose earlier writes are not known here, or the age that the
// kind of work bears.
func (e *Engine) sampleWanted(r *request) (time.Time, bool) {
	if !r.session.anchored && r.token.IsZero() {
		return r.arrived, true
	}
	if !r.kind.HasStalenessBound {
		return time.Time{}, false
	}
	if r.kind.MaxStaleness < barrierBound {
		return r.arrived, true
	}
	return e.now.Add(staleMargin - r.kind.MaxStaleness), true
}

// want asks for a sample that is not older than since. Questions are sent now,
// so that they serve all reads that wait.
func (e *Engine) want(g *group, since time.Time) {
	if g.wanting.Before(since) {
		g.wanting = since
	}
}

// readyReplicas returns the replicas that should show the minimum by now, the
// best first, and the time at which the first of the others should. The list is
// valid until the next call.
func (e *Engine) readyReplicas(r *request) ([]*database, time.Time) {
	ready := e.ready[:0]
	var soonest time.Time
	if r.behind >= maxBehind {
		return nil, soonest
	}
	for _, d := range r.group.databases {
		if d == r.group.primary || d.status.Role != model.RoleReplica || d.status.Term < r.group.term || !d.isUsable(e.now) {
			continue
		}
		due := r.minimumAt.Add(d.lag)
		if !d.applied.Less(r.minimum) || !e.now.Before(due) && d.status.Streaming {
			ready = append(ready, d)
			continue
		}
		if d.status.Streaming && (soonest.IsZero() || due.Before(soonest)) {
			soonest = due
		}
	}
	e.ready = ready
	slices.SortStableFunc(ready, func(a, b *database) int {
		switch {
		case e.isBetter(a, b):
			return -1
		case e.isBetter(b, a):
			return 1
		}
		return 0
	})
	return ready, soonest
}

// isBetter prefers the instance's own availability zone, then the database that
// answers faster, then the less loaded.
func (e *Engine) isBetter(a, b *database) bool {
	if near, other := a.declared.Zone == e.options.Zone, b.declared.Zone == e.options.Zone; near != other {
		return near
	}
	const clearlyFaster = 2
	if a.latency > 0 && b.latency > 0 && (a.latency > clearlyFaster*b.latency || b.latency > clearlyFaster*a.latency) {
		return a.latency < b.latency
	}
	return a.running < b.running
}

// primaryForRead returns the primary where it may serve the read.
func (e *Engine) primaryForRead(r *request) *database {
	g := r.group
	if g.primary == nil || !g.primary.isUsable(e.now) || !g.isProven(e.now) {
		return nil
	}
	return g.primary
}

// isWorthWaiting reports whether a replica should be ready soon enough for the
// read to wait for it instead of burdening the primary.
func (e *Engine) isWorthWaiting(r *request, soonest time.Time) bool {
	if soonest.IsZero() {
		return false
	}
	return soonest.Sub(r.arrived) <= e.patience(r) && soonest.Before(r.deadline)
}

// patience is the time for which a read leaves the primary to the writes: until
// a replica has caught up, or has a slot free.
func (e *Engine) patience(r *request) time.Duration {
	return min(readPatience, r.target/targetShare)
}

// -----------------------------------------------------------------------------
// Dispatch.

// dispatch sends a granted request to its database.
func (e *Engine) dispatch(r *request, d *database) {
	r.phase = phaseRunning
	r.attempt++
	r.database = d
	r.dropped = false
	r.term = d.status.Term
	d.running++
	primary := d == r.group.primary
	key := r.key
	if r.isRead() {
		key = ""
	}
	e.noteDispatch(r, d, primary)
	e.do(message.Dispatch{
		Request:          r.id,
		Attempt:          r.attempt,
		Database:         d.name,
		Access:           r.kind.Access,
		HoldUntilDurable: primary || e.isGated(r.group, d),
		Term:             r.term,
		IdempotencyKey:   key,
		MinPosition:      r.minimum,
		Token:            r.given,
		Deadline:         r.deadline,
		SilenceTimeout:   silentAfter,
	})
}

// isGated reports whether a replica's state may hold entries that a promotion
// could take back. In a group of three, what a streaming replica shows is held
// by two.
func (e *Engine) isGated(g *group, d *database) bool {
	const pair = 2
	return !d.status.Streaming || g.majority() > pair
}

// noteDispatch logs where a request goes and why.
func (e *Engine) noteDispatch(r *request, d *database, primary bool) {
	if !r.isRead() {
		e.note(event.WriteRouted,
			event.F("request", r.id), event.F("attempt", r.attempt), event.F("group", r.group.name),
			event.F("kind", r.kind.Name), event.F("database", d.name), event.F("term", r.term), event.F("key", r.key))
		return
	}
	reason := "replica is fresh enough"
	switch {
	case primary && r.behind >= maxBehind:
		reason = "replicas answered with older states"
	case primary:
		reason = "no replica is free and fresh enough"
	case d.applied.Less(r.minimum):
		reason = "replica should have caught up by now"
	}
	e.note(event.ReadRouted,
		event.F("request", r.id), event.F("attempt", r.attempt), event.F("group", r.group.name),
		event.F("kind", r.kind.Name), event.F("database", d.name), event.F("role", d.status.Role.String()),
		event.F("minimum", r.minimum.String()), event.F("reason", reason))
}
