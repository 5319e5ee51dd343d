package engine

import (
	"slices"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/core/rank"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

// latencyTargetDivisor divides the latency target of a read's rank; the result is an
// upper bound of the time that the read waits for a replica to catch up.
const latencyTargetDivisor = 4

// -----------------------------------------------------------------------------
// Slot assignments.

// runSchedule ends the requests that have passed their deadline and dispatches
// those to which the scheduler assigns a slot. requiredSampleTime of each group is
// computed anew: AssignSlots calls candidates, which sets it for the reads that wait
// for a sample.
func (e *Engine) runSchedule() {
	for _, id := range e.scheduler.TakeExpired(e.now) {
		if r, found := e.requests.byID[id]; found {
			e.refuseRequest(r, rank.Refusal{Reason: r.expiryReason(), Detail: "the deadline passed before the request could be sent"})
		}
	}
	for _, g := range e.groups {
		g.requiredSampleTime = time.Time{}
	}
	for _, assignment := range e.scheduler.AssignSlots(e.now, e.candidates) {
		r, found := e.requests.byID[assignment.Request]
		if !found {
			e.scheduler.Finish(e.now, assignment.Request, rank.SlotCompletion{})
			continue
		}
		e.dispatch(r, e.databases[assignment.Database])
	}
	for _, g := range e.groups {
		e.probeForSample(g)
	}
	for _, send := range e.scheduler.TakeMessages(e.now) {
		e.emit(send)
	}
	for _, logEvent := range e.scheduler.TakeLogEvents() {
		e.emit(logEvent)
	}
}

// expiryReason returns what the request was waiting for at its deadline.
func (r *request) expiryReason() message.RefusalReason {
	if r.behindAnswers >= maxBehindAnswers {
		return message.RefuseNoFreshDatabase
	}
	return r.waitReason
}

// probeForSample probes the databases at once for the sample that a waiting read
// needs.
func (e *Engine) probeForSample(g *group) {
	if g.requiredSampleTime.IsZero() {
		return
	}
	for _, d := range g.databases {
		if e.isProbeDue(g, d) {
			e.probe(d)
		}
	}
}

// candidates returns the databases that may serve the work now, the best first. The
// slice is valid until the next call.
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

// writeCandidates returns the primary if its term is confirmed and it is usable.
func (e *Engine) writeCandidates(r *request) []model.DatabaseID {
	g := r.group
	r.waitReason = message.RefuseNoPrimary
	if !g.isTermConfirmed(e.now) || !g.primary.isUsable(e.now) {
		return nil
	}
	r.waitReason = message.RefuseDeadline
	return []model.DatabaseID{g.primary.name}
}

// -----------------------------------------------------------------------------
// Reads.

// readCandidates returns the databases that are expected to be fresh enough.
func (e *Engine) readCandidates(r *request) []model.DatabaseID {
	r.waitReason = message.RefuseNoFreshDatabase
	if !e.computeMinimum(r) {
		return nil
	}
	ready, nextReadyAt := e.readyReplicas(r)
	primary := e.primaryForRead(r)
	if len(ready) == 0 && primary != nil && e.isWorthWaiting(r, nextReadyAt) {
		return nil
	}
	if len(ready) > 0 && e.now.Sub(r.arrived) < e.replicaWait(r) {
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
		r.waitReason = message.RefuseDeadline
	}
	return names
}

// computeMinimum computes the oldest state that the read may show now. It reports
// false while the sample that this needs has not arrived; see sample in
// table_group.go. If the session's earlier writes are not known, a sample from the
// arrival of the request or later covers them: its position is recorded as the
// session's write position and becomes the barrier token of the response.
func (e *Engine) computeMinimum(r *request) bool {
	s := r.session
	minPos := r.minPosition()
	r.minimum, r.minimumAt = minPos.position, minPos.asOf
	if r.minimum.Less(r.token) {
		r.minimum, r.minimumAt = r.token, r.arrived
	}
	sampleTime, needed := e.requiredSample(r)
	if !needed {
		return true
	}
	match, ok := r.group.sampleSince(sampleTime)
	if !ok {
		e.requestSample(r.group, sampleTime)
		return false
	}
	if r.minimum.Less(match.position) {
		r.minimum, r.minimumAt = match.position, match.asOf
	}
	if !s.writesKnown && !sampleTime.Before(r.arrived) {
		s.recordWrite(match.position, match.asOf)
		r.barrierToken = model.Token{Group: r.group.name, Position: s.written.position}
		s.writesKnown = !s.multiConnection
	}
	return true
}

// requiredSample returns the time of which a sample is needed, if any: the arrival
// of the request, if the session's earlier writes are not known here, or the time
// given by the staleness bound of the request kind.
func (e *Engine) requiredSample(r *request) (time.Time, bool) {
	if !r.session.writesKnown && r.token.IsZero() {
		return r.arrived, true
	}
	if !r.kind.HasStalenessBound {
		return time.Time{}, false
	}
	if r.kind.MaxStaleness < barrierThreshold {
		return r.arrived, true
	}
	return e.now.Add(stalenessMargin - r.kind.MaxStaleness), true
}

// requestSample requests a sample that is not older than sampleTime. The probes are
// sent after all reads have been examined, so that they serve all reads that wait.
func (e *Engine) requestSample(g *group, sampleTime time.Time) {
	if g.requiredSampleTime.Before(sampleTime) {
		g.requiredSampleTime = sampleTime
	}
}

// readyReplicas returns the replicas that are expected to show the minimum by now,
// the best first, and the time at which the first of the others is expected to. The
// slice is valid until the next call.
func (e *Engine) readyReplicas(r *request) ([]*database, time.Time) {
	ready := e.ready[:0]
	var nextReadyAt time.Time
	if r.behindAnswers >= maxBehindAnswers {
		return nil, nextReadyAt
	}
	for _, d := range r.group.databases {
		if d == r.group.primary || d.status.Role != model.RoleReplica || d.status.Term < r.group.term || !d.isUsable(e.now) {
			continue
		}
		expectedAt := r.minimumAt.Add(d.lag)
		if !d.applied.Less(r.minimum) || !e.now.Before(expectedAt) && d.status.Streaming {
			ready = append(ready, d)
			continue
		}
		if d.status.Streaming && (nextReadyAt.IsZero() || expectedAt.Before(nextReadyAt)) {
			nextReadyAt = expectedAt
		}
	}
	e.ready = ready
	slices.SortStableFunc(ready, func(a, b *database) int {
		switch {
		case e.isPreferred(a, b):
			return -1
		case e.isPreferred(b, a):
			return 1
		}
		return 0
	})
	return ready, nextReadyAt
}

// isPreferred reports whether a is preferred to b: a database in the instance's own
// availability zone, then one with a clearly lower latency, then the less loaded
// one.
func (e *Engine) isPreferred(a, b *database) bool {
	if aIsLocal, bIsLocal := a.declared.Zone == e.options.Zone, b.declared.Zone == e.options.Zone; aIsLocal != bIsLocal {
		return aIsLocal
	}
	const clearlyFaster = 2
	if a.latency > 0 && b.latency > 0 && (a.latency > clearlyFaster*b.latency || b.latency > clearlyFaster*a.latency) {
		return a.latency < b.latency
	}
	return a.runningRequests < b.runningRequests
}

// primaryForRead returns the primary if it may serve the read, else nil.
func (e *Engine) primaryForRead(r *request) *database {
	g := r.group
	if g.primary == nil || !g.primary.isUsable(e.now) || !g.isTermConfirmed(e.now) {
		return nil
	}
	return g.primary
}

// isWorthWaiting reports whether a replica is expected to be ready soon enough for
// the read to wait for it instead of loading the primary.
func (e *Engine) isWorthWaiting(r *request, nextReadyAt time.Time) bool {
	if nextReadyAt.IsZero() {
		return false
	}
	return nextReadyAt.Sub(r.arrived) <= e.replicaWait(r) && nextReadyAt.Before(r.deadline)
}

// replicaWait returns the time for which a read waits for a replica to catch up or
// to have a free slot, before it may use the primary.
func (e *Engine) replicaWait(r *request) time.Duration {
	return min(maxReplicaWait, r.latencyTarget/latencyTargetDivisor)
}

// -----------------------------------------------------------------------------
// Dispatch.

// dispatch sends a request to the database of its granted slot.
func (e *Engine) dispatch(r *request, d *database) {
	r.phase = phaseRunning
	r.attempt++
	r.database = d
	r.closeRequested = false
	r.term = d.status.Term
	d.runningRequests++
	primary := d == r.group.primary
	key := r.key
	if r.isRead() {
		key = ""
	}
	e.logDispatch(r, d, primary)
	e.emit(message.Dispatch{
		Request:          r.id,
		Attempt:          r.attempt,
		Database:         d.name,
		Access:           r.kind.Access,
		HoldUntilDurable: primary || e.mustHold(r.group, d),
		Term:             r.term,
		IdempotencyKey:   key,
		MinPosition:      r.minimum,
		Token:            r.barrierToken,
		Deadline:         r.deadline,
		SilenceTimeout:   silenceTimeout,
	})
}

// mustHold reports whether results of a replica are held until their position is
// durable, because its state may include entries that a promotion could discard. The
// state of a streaming replica is already held by two databases, the replica and its
// source. In a group of two or three these are a majority, so that only results of a
// replica that does not stream are held there.
func (e *Engine) mustHold(g *group, d *database) bool {
	const pairSize = 2
	return !d.status.Streaming || g.majority() > pairSize
}

// logDispatch logs where a request is sent and why.
func (e *Engine) logDispatch(r *request, d *database, isPrimary bool) {
	if !r.isRead() {
		e.logEvent(event.WriteRouted,
			event.F("request", r.id), event.F("attempt", r.attempt), event.F("group", r.group.name),
			event.F("kind", r.kind.Name), event.F("database", d.name), event.F("term", r.term), event.F("key", r.key))
		return
	}
	reason := "replica is fresh enough"
	switch {
	case isPrimary && r.behindAnswers >= maxBehindAnswers:
		reason = "replicas were behind the minimum position"
	case isPrimary:
		reason = "no replica is free and fresh enough"
	case d.applied.Less(r.minimum):
		reason = "replica should have caught up by now"
	}
	e.logEvent(event.ReadRouted,
		event.F("request", r.id), event.F("attempt", r.attempt), event.F("group", r.group.name),
		event.F("kind", r.kind.Name), event.F("database", d.name), event.F("role", d.status.Role.String()),
		event.F("minimum", r.minimum.String()), event.F("reason", reason))
}
