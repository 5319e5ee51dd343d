package engine

import (
	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/core/rank"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

// -----------------------------------------------------------------------------
// Settlement of unknown outcomes.

// settle begins to ask the group what became of a request's key.
func (e *Engine) settle(r *request) {
	delete(r.group.proving, r.id)
	r.phase = phaseSettling
	r.settleAt = e.now
	e.requests.settling[r.id] = r
}

// runSettle asks the primary of the newest proven term for each open outcome.
func (e *Engine) runSettle() {
	if len(e.requests.settling) == 0 {
		return
	}
	for _, r := range sortedRequests(e.requests.settling) {
		if !e.now.Before(r.deadline) {
			e.abandon(r, true, "the group could not be asked for the outcome inside the deadline")
			continue
		}
		if r.settleAsk != 0 || e.now.Before(r.settleAt) {
			continue
		}
		if !r.group.isProven(e.now) {
			continue
		}
		e.askOutcome(r)
	}
}

// askOutcome sends the question for one request's outcome.
func (e *Engine) askOutcome(r *request) {
	g := r.group
	r.settleAsk = e.ask()
	r.term = g.term
	r.database = g.primary
	e.requests.bySettle[r.settleAsk] = r
	e.note(event.OutcomeAsked,
		event.F("request", r.id), event.F("group", g.name), event.F("database", g.primary.name),
		event.F("term", g.term), event.F("key", r.key))
	e.do(message.ResolveInDoubt{
		Database: g.primary.name, CorrelationID: r.settleAsk, IdempotencyKey: r.key, Term: g.term, Timeout: controlTimeout,
	})
}

// takeSettled learns the outcome of a key.
func (e *Engine) takeSettled(answered message.InDoubtResolved) {
	r, found := e.requests.bySettle[answered.CorrelationID]
	if !found {
		return
	}
	delete(e.requests.bySettle, answered.CorrelationID)
	r.settleAsk = 0
	if answered.Err != message.ControlOK || r.term != r.group.term {
		r.settleAt = e.now.Add(e.jitter(retryPause))
		e.probeGroup(r.group)
		return
	}
	delete(e.requests.settling, r.id)
	r.phase = phaseSettled
	r.committed = answered.Committed
	r.position = e.settledPosition(r, answered.Position)
	e.learnPrimary(r, answered.Position)
	r.group.proving[r.id] = r
}

// settledPosition returns the position whose proof settles an outcome. A commit
// of an earlier term stands in the log before the entry that opened the present
// one, so any proven position of the present term covers it.
func (e *Engine) settledPosition(r *request, position model.Position) model.Position {
	if position.Term == r.group.term {
		return position
	}
	return model.Position{Term: r.group.term}
}

// endSettled ends a request whose outcome is proven.
func (e *Engine) endSettled(r *request) {
	e.note(event.OutcomeSettled,
		event.F("request", r.id), event.F("group", r.group.name), event.F("key", r.key),
		event.F("committed", r.committed), event.F("position", r.position.String()))
	switch {
	case r.committed:
		// Where the answer was lost, the edge tells the caller so, with the token.
		e.acknowledge(r)
	case r.isRepeatable() && e.now.Before(r.deadline):
		e.repeat(r)
	default:
		e.refuseRequest(r, rank.Refusal{
			Reason: message.RefuseNotCommitted, Detail: "the group has proved that the work was not committed and never will be",
		})
	}
}

// isRepeatable reports whether the proxy can run a request again after proof
// that it did not commit. A transaction's statements are not kept, and a key
// that the caller chose is spent.
func (r *request) isRepeatable() bool { return !r.transaction && !r.ownKey }

// repeat queues a request again under a new key: the old one is forbidden.
func (e *Engine) repeat(r *request) {
	r.key += "+"
	r.phase = phaseWaiting
	r.answered = false
	r.dropped = false
	r.notBefore = e.now
	r.position = model.Position{}
	e.scheduler.Readmit(e.now, r.work())
}
