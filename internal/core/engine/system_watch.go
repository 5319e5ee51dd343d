package engine

import (
	"sort"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

// maxPendingProbes bounds the pending probes of one database: one that was sent
// before a read arrived, and one sent after it.
const maxPendingProbes = 2

// -----------------------------------------------------------------------------
// Responses.

// handleControlAnswer handles the response to a control request.
func (e *Engine) handleControlAnswer(answered message.ControlAnswered) {
	d, found := e.databases[answered.Database]
	if !found {
		return
	}
	if answered.CorrelationID == d.awaitID {
		d.awaitID = 0
	} else if !e.handleFailoverAnswer(d, answered) && d.pendingProbes > 0 {
		d.pendingProbes--
	}
	if answered.Result != message.ControlOK && answered.Result != message.ControlConflict {
		e.recordFailure(d, answered)
		return
	}
	e.recordStatus(d, answered)
}

// recordFailure records since when a database has not responded.
func (e *Engine) recordFailure(d *database, answered message.ControlAnswered) {
	if answered.SentAt.Before(d.answeredAt) {
		return
	}
	if d.failingSince.IsZero() {
		d.failingSince = e.now
		e.logEvent(event.DatabaseUnreachable,
			event.F("group", d.group.name), event.F("database", d.name),
			event.F("error", answered.Result.String()), event.F("silent", e.now.Sub(d.answeredAt).String()))
	}
}

// recordStatus records the status that a database has reported. A response to a
// request that was sent before that of the last recorded status is dropped, since
// it is older.
func (e *Engine) recordStatus(d *database, answered message.ControlAnswered) {
	if d.statusKnown && answered.SentAt.Before(d.statusRequestedAt) {
		return
	}
	status := answered.Status
	if !d.statusKnown || !d.failingSince.IsZero() {
		e.logEvent(event.DatabaseReachable,
			event.F("group", d.group.name), event.F("database", d.name), event.F("role", status.Role.String()),
			event.F("term", status.Term), event.F("received", status.Received.String()))
	}
	if status.Leaving && !d.isLeaving() {
		e.reportLeaving(d, "database")
	}
	if answered.SentAt.After(d.leavingHintAt) {
		d.leavingHint = false
	}
	d.status = status
	d.applied = status.Applied
	d.statusKnown = true
	d.statusRequestedAt = answered.SentAt
	d.answeredAt = e.now
	d.failingSince = time.Time{}
	e.adoptTerm(d)
	d.group.refreshConfirmation()
	e.updateLag(d)
	e.recordSample(d.group)
}

// reportLeaving logs that a database is leaving and broadcasts it if the database
// itself has reported it.
func (e *Engine) reportLeaving(d *database, source string) {
	e.logEvent(event.DatabaseLeaving,
		event.F("group", d.group.name), event.F("database", d.name), event.F("source", source))
	if source == "database" {
		e.broadcast(message.DatabaseLeaving{Database: d.name, Leaving: true})
	}
}

// adoptTerm adopts the term and primary of a database that is primary in a newer
// term.
func (e *Engine) adoptTerm(d *database) {
	g := d.group
	if d.status.Role != model.RolePrimary || d.status.Term <= g.term && g.primary != nil {
		return
	}
	previousTerm := g.term
	g.term = d.status.Term
	g.primary = d
	g.durable = model.Position{}
	e.logEvent(event.TermAdopted,
		event.F("group", g.name), event.F("term", g.term), event.F("primary", d.name), event.F("before", previousTerm))
	e.endOlderAttempts(g)
}

// endOlderAttempts closes the attempts that run under an older term and resolves
// the commits of older terms, since their positions can't become durable any more.
func (e *Engine) endOlderAttempts(g *group) {
	for _, r := range sortedRequests(e.requests.byID) {
		if r.group != g || r.term == 0 || r.term >= g.term {
			continue
		}
		switch r.phase {
		case phaseRunning:
			e.closeAttempt(r)
		case phaseAwaitingQuorum, phaseResolved:
			e.startResolving(r)
		case phaseWaiting, phaseResolving:
		}
	}
}

// closeAttempt emits a CloseConnection for a running attempt, once.
func (e *Engine) closeAttempt(r *request) {
	if r.closeRequested {
		return
	}
	r.closeRequested = true
	e.logEvent(event.AttemptDropped,
		event.F("request", r.id), event.F("attempt", r.attempt), event.F("group", r.group.name),
		event.F("database", r.database.name), event.F("term", r.term))
	e.emit(message.CloseConnection{Request: r.id, Attempt: r.attempt})
}

// recordSample stores a sample of the position that the latest responses confirm
// together.
func (e *Engine) recordSample(g *group) {
	if g.confirmedAt.IsZero() {
		return
	}
	g.addSample(e.now, sample{asOf: g.confirmedAt, observedAt: e.now, position: g.primary.status.Received})
}

// updateLag refines the estimate of a replica's lag from the samples: the oldest
// position that it has not applied gives a lower bound, the position that it has
// applied an upper bound.
func (e *Engine) updateLag(d *database) {
	if d.status.Role == model.RolePrimary {
		d.lag = 0
		return
	}
	samples := d.group.samples
	appliedCount := len(samples)
	for appliedCount > 0 && d.applied.Less(samples[appliedCount-1].position) {
		appliedCount--
	}
	if appliedCount < len(samples) {
		d.lag = max(d.lag, d.statusRequestedAt.Sub(samples[appliedCount].observedAt))
		return
	}
	shown := sort.Search(appliedCount, func(i int) bool { return !samples[i].position.Less(d.applied) })
	if shown < appliedCount && samples[shown].position == d.applied {
		d.lag = min(d.lag, e.now.Sub(samples[shown].asOf))
	}
}

// smooth returns an exponentially weighted moving average.
func smooth(mean, value time.Duration) time.Duration {
	const weight = 4
	return mean + (value-mean)/weight
}

// -----------------------------------------------------------------------------
// Probes.

// runWatch probes databases: at regular intervals, and at once if a read waits for
// a sample.
func (e *Engine) runWatch() {
	for _, g := range e.groups {
		for _, d := range g.databases {
			if e.isProbeDue(g, d) {
				e.probe(d)
			}
		}
	}
}

// isProbeDue reports whether a database must be probed now.
func (e *Engine) isProbeDue(g *group, d *database) bool {
	if d.pendingProbes >= maxPendingProbes {
		return false
	}
	if e.now.Sub(d.lastProbeAt) >= probeInterval && d.pendingProbes == 0 {
		return true
	}
	// A probe that was sent after the read arrived serves it too.
	return d.lastProbeAt.Before(g.requiredSampleTime)
}

// probe requests a database's status.
func (e *Engine) probe(d *database) {
	d.pendingProbes++
	d.lastProbeAt = e.now
	e.emit(message.Probe{Database: d.name, CorrelationID: e.correlationID(), Timeout: probeTimeout})
}

// probeGroup probes all databases of a group that have no pending probe.
func (e *Engine) probeGroup(g *group) {
	for _, d := range g.databases {
		if d.pendingProbes == 0 {
			e.probe(d)
		}
	}
}
