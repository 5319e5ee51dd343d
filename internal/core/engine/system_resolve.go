package engine

import (
	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/core/rank"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

// -----------------------------------------------------------------------------
// Resolution of in-doubt commits.

// startResolving starts to ask the group for the outcome of a request's key.
func (e *Engine) startResolving(r *request) {
	delete(r.group.awaitingQuorum, r.id)
	r.phase = phaseResolving
	r.resolveAt = e.now
	e.requests.inDoubt[r.id] = r
}

// runResolve requests the outcome of each in-doubt commit from the primary of the
// newest confirmed term.
func (e *Engine) runResolve() {
	if len(e.requests.inDoubt) == 0 {
		return
	}
	for _, r := range sortedRequests(e.requests.inDoubt) {
		if !e.now.Before(r.deadline) {
			e.abortRequest(r, true, "the outcome could not be determined within the deadline")
			continue
		}
		if r.resolveID != 0 || e.now.Before(r.resolveAt) {
			continue
		}
		if !r.group.isTermConfirmed(e.now) {
			continue
		}
		e.requestOutcome(r)
	}
}

// requestOutcome requests the outcome of one commit.
func (e *Engine) requestOutcome(r *request) {
	g := r.group
	r.resolveID = e.correlationID()
	r.term = g.term
	r.database = g.primary
	e.requests.byResolveID[r.resolveID] = r
	e.logEvent(event.OutcomeAsked,
		event.F("request", r.id), event.F("group", g.name), event.F("database", g.primary.name),
		event.F("term", g.term), event.F("key", r.key))
	e.emit(message.ResolveInDoubt{
		Database: g.primary.name, CorrelationID: r.resolveID, IdempotencyKey: r.key, Term: g.term, Timeout: controlTimeout,
	})
}

// handleInDoubtResolved handles the outcome of a key.
func (e *Engine) handleInDoubtResolved(resolved message.InDoubtResolved) {
	r, found := e.requests.byResolveID[resolved.CorrelationID]
	if !found {
		return
	}
	delete(e.requests.byResolveID, resolved.CorrelationID)
	r.resolveID = 0
	if resolved.Result != message.ControlOK || r.term != r.group.term {
		r.resolveAt = e.now.Add(e.jitter(retryPause))
		e.probeGroup(r.group)
		return
	}
	delete(e.requests.inDoubt, r.id)
	r.phase = phaseResolved
	r.committed = resolved.Committed
	r.position = e.resolvedPosition(r, resolved.Position)
	e.updatePrimaryPosition(r, resolved.Position)
	r.group.awaitingQuorum[r.id] = r
}

// resolvedPosition returns the position that must be durable before the outcome is
// final. A commit of an earlier term is in the log before the entry that opened the
// current term, so any durable position of the current term covers it.
func (e *Engine) resolvedPosition(r *request, position model.Position) model.Position {
	if position.Term == r.group.term {
		return position
	}
	return model.Position{Term: r.group.term}
}

// finishResolved ends a request whose outcome is final.
func (e *Engine) finishResolved(r *request) {
	e.logEvent(event.OutcomeSettled,
		event.F("request", r.id), event.F("group", r.group.name), event.F("key", r.key),
		event.F("committed", r.committed), event.F("position", r.position.String()))
	switch {
	case r.committed:
		// If the response was lost, the edge reports that to the caller, with the
		// token.
		e.acknowledge(r)
	case r.canRetry() && e.now.Before(r.deadline):
		e.retryWithNewKey(r)
	default:
		e.refuseRequest(r, rank.Refusal{
			Reason: message.RefuseNotCommitted, Detail: "the request was not committed and can no longer be committed",
		})
	}
}

// canRetry reports whether the proxy can run a request again once it is known not
// to have committed. The statements of a transaction are not stored, and a key that
// the caller chose can't be used again.
func (r *request) canRetry() bool { return !r.transaction && !r.callerKey }

// retryWithNewKey queues a request again under a new key, since the group rejects
// the old one from now on.
func (e *Engine) retryWithNewKey(r *request) {
	r.key += "+"
	r.phase = phaseWaiting
	r.answerComplete = false
	r.closeRequested = false
	r.notBefore = e.now
	r.position = model.Position{}
	e.scheduler.Readmit(e.now, r.work())
}
