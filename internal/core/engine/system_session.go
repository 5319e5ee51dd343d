package engine

import (
	"strconv"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/config/manifest"
	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/core/rank"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

// defaultKind is the name of the kind of work that a request has which names
// none.
const defaultKind = "default"

// -----------------------------------------------------------------------------
// Sessions.

// openSession notes a new connection of a caller.
func (e *Engine) openSession(opened message.SessionOpened) {
	e.sessions[opened.Session] = &session{
		id:       opened.Session,
		name:     opened.Group,
		group:    e.byGroup[opened.Group],
		caller:   opened.Caller,
		written:  floor{position: opened.TokenPosition, at: e.now},
		seen:     floor{position: opened.TokenPosition, at: e.now},
		anchored: !opened.TokenPosition.IsZero(),
		roaming:  opened.Roaming,
	}
}

// closeSession forgets a session and gives up what it still wanted.
func (e *Engine) closeSession(id model.SessionID) {
	s, found := e.sessions[id]
	if !found {
		return
	}
	for _, r := range sortedRequests(s.requests) {
		e.cancel(r.id)
	}
	delete(e.sessions, id)
}

// -----------------------------------------------------------------------------
// Arrival of requests.

// admit takes a request into the queue or refuses it.
func (e *Engine) admit(arrived message.RequestArrived) {
	s, found := e.sessions[arrived.Session]
	if !found {
		e.refuse(arrived.Request, "", arrived.Kind, rank.Refusal{Reason: message.RefuseCanceled, Detail: "the session is closed"})
		return
	}
	if s.group == nil {
		e.refuse(arrived.Request, "", arrived.Kind, rank.Refusal{
			Reason: message.RefuseUnknownGroup, Detail: "the manifest in force has no such group",
		})
		return
	}
	kind, found := e.declared.kind(arrived.Kind)
	if !found {
		e.refuse(arrived.Request, s.group.name, arrived.Kind, rank.Refusal{
			Reason: message.RefuseUnknownKind, Detail: "the manifest in force has no kind of work " + strconv.Quote(arrived.Kind),
		})
		return
	}
	r := e.newRequest(arrived, s, kind)
	refusal, admitted := e.scheduler.Enqueue(e.now, r.work())
	if !admitted {
		e.refuse(r.id, r.group.name, kind.Name, refusal)
		return
	}
	e.requests.byID[r.id] = r
	if s.requests == nil {
		s.requests = map[model.RequestID]*request{}
	}
	s.requests[r.id] = r
}

// newRequest makes the table's entry for an arrival.
func (e *Engine) newRequest(arrived message.RequestArrived, s *session, kind manifest.RequestKind) *request {
	limit := kind.Deadline
	if arrived.Deadline > 0 && arrived.Deadline < limit {
		limit = arrived.Deadline
	}
	return &request{
		id:          arrived.Request,
		session:     s,
		group:       s.group,
		kind:        kind,
		target:      e.declared.target(kind.Rank),
		key:         arrived.IdempotencyKey,
		ownKey:      arrived.CallerSuppliedKey,
		transaction: arrived.Transaction,
		token:       arrived.TokenPosition,
		arrived:     e.now,
		deadline:    e.now.Add(limit),
		why:         message.RefuseDeadline,
	}
}

// work describes the request to the scheduler.
func (r *request) work() rank.Work {
	return rank.Work{
		Request:     r.id,
		Group:       r.group.name,
		Rank:        r.kind.Rank,
		Caller:      r.session.caller,
		Kind:        r.kind.Name,
		Arrived:     r.arrived,
		Deadline:    r.deadline,
		Transaction: r.transaction,
	}
}

// cancel gives up a request that its caller has withdrawn.
func (e *Engine) cancel(id model.RequestID) {
	r, found := e.requests.byID[id]
	if !found {
		return
	}
	switch r.phase {
	case phaseWaiting:
		e.scheduler.Cancel(id)
		e.refuseRequest(r, rank.Refusal{Reason: message.RefuseCanceled})
	case phaseRunning:
		e.do(message.CancelStatement{Request: id, Attempt: r.attempt})
	case phaseProving, phaseSettling, phaseSettled:
	}
}

// -----------------------------------------------------------------------------
// Ends of requests.

// refuseRequest ends a known request that did not run.
func (e *Engine) refuseRequest(r *request, refusal rank.Refusal) {
	e.forget(r)
	e.refuse(r.id, r.group.name, r.kind.Name, refusal)
}

// refuse tells a caller that its request did not run.
func (e *Engine) refuse(id model.RequestID, group model.GroupID, kind string, refusal rank.Refusal) {
	e.note(event.RequestRefused,
		event.F("request", id), event.F("group", group), event.F("kind", kind), event.F("why", refusal.Reason.String()))
	e.do(message.RefuseRequest{Request: id, Reason: refusal.Reason, RetryAfter: refusal.RetryAfter, Detail: refusal.Detail})
}

// abandon ends a request with an error after it was sent.
func (e *Engine) abandon(r *request, unknown bool, why string) {
	e.forget(r)
	if unknown {
		e.note(event.OutcomeUnknown,
			event.F("request", r.id), event.F("group", r.group.name), event.F("key", r.key), event.F("why", why))
	} else {
		e.note(event.RequestAbandoned,
			event.F("request", r.id), event.F("group", r.group.name), event.F("why", why))
	}
	e.do(message.AbortRequest{Request: r.id, Attempt: r.attempt, OutcomeUnknown: unknown, Reason: why})
}

// acknowledge lets the answer of a commit go to the caller.
func (e *Engine) acknowledge(r *request) {
	e.forget(r)
	r.session.wrote(r.position, e.now)
	r.session.anchored = true
	e.note(event.WriteAcknowledged,
		event.F("request", r.id), event.F("group", r.group.name), event.F("position", r.position.String()))
	token := model.Token{Group: r.group.name, Position: r.session.written.position}
	e.do(message.AcknowledgeCommit{Request: r.id, Attempt: r.attempt, Token: token})
}

// forget takes a request out of all tables.
func (e *Engine) forget(r *request) {
	e.free(r, rank.SlotCompletion{})
	delete(e.requests.byID, r.id)
	delete(e.requests.settling, r.id)
	delete(e.requests.bySettle, r.settleAsk)
	delete(r.group.held, r.id)
	delete(r.group.proving, r.id)
	delete(r.session.requests, r.id)
	if len(r.session.requests) == 0 {
		r.session.requests = nil
	}
}

// free gives back the slot of a running request.
func (e *Engine) free(r *request, ending rank.SlotCompletion) {
	if r.phase != phaseRunning {
		return
	}
	r.database.running--
	e.scheduler.Finish(e.now, r.id, ending)
	r.phase = phaseProving
}

// again puts a running request back into the queue.
func (e *Engine) again(r *request, ending rank.SlotCompletion, pause time.Duration) {
	delete(r.group.held, r.id)
	r.database.running--
	r.phase = phaseWaiting
	r.notBefore = e.now.Add(pause)
	r.dropped = false
	e.scheduler.Requeue(e.now, r.id, ending)
}
