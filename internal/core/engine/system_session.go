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

// defaultKind is the name of the request kind of requests that name none.
const defaultKind = "default"

// -----------------------------------------------------------------------------
// Sessions.

// openSession adds a session for a new connection of a caller.
func (e *Engine) openSession(opened message.SessionOpened) {
	e.sessions[opened.Session] = &session{
		id:              opened.Session,
		name:            opened.Group,
		group:           e.groupsByName[opened.Group],
		caller:          opened.Caller,
		written:         minPosition{position: opened.TokenPosition, asOf: e.now},
		observed:        minPosition{position: opened.TokenPosition, asOf: e.now},
		writesKnown:     !opened.TokenPosition.IsZero(),
		multiConnection: opened.Roaming,
	}
}

// closeSession deletes a session and cancels its open requests.
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

// admit enqueues a request or rejects it.
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
	kind, found := e.manifests.kind(arrived.Kind)
	if !found {
		e.refuse(arrived.Request, s.group.name, arrived.Kind, rank.Refusal{
			Reason: message.RefuseUnknownKind, Detail: "the manifest in force has no request kind " + strconv.Quote(arrived.Kind),
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

// newRequest creates the table entry for a request.
func (e *Engine) newRequest(arrived message.RequestArrived, s *session, kind manifest.RequestKind) *request {
	timeout := kind.Deadline
	if arrived.Deadline > 0 && arrived.Deadline < timeout {
		timeout = arrived.Deadline
	}
	return &request{
		id:            arrived.Request,
		session:       s,
		group:         s.group,
		kind:          kind,
		latencyTarget: e.manifests.latencyTarget(kind.Rank),
		key:           arrived.IdempotencyKey,
		callerKey:     arrived.CallerSuppliedKey,
		transaction:   arrived.Transaction,
		token:         arrived.TokenPosition,
		arrived:       e.now,
		deadline:      e.now.Add(timeout),
		waitReason:    message.RefuseDeadline,
	}
}

// work returns the description of the request for the scheduler.
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

// cancel cancels a request that its caller has withdrawn. A request that has
// committed, or may have, is completed nevertheless.
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
		e.emit(message.CancelStatement{Request: id, Attempt: r.attempt})
	case phaseAwaitingQuorum, phaseResolving, phaseResolved:
	}
}

// -----------------------------------------------------------------------------
// Ends of requests.

// refuseRequest ends a known request that did not run.
func (e *Engine) refuseRequest(r *request, refusal rank.Refusal) {
	e.removeRequest(r)
	e.refuse(r.id, r.group.name, r.kind.Name, refusal)
}

// refuse reports to a caller that its request did not run.
func (e *Engine) refuse(id model.RequestID, group model.GroupID, kind string, refusal rank.Refusal) {
	e.logEvent(event.RequestRefused,
		event.F("request", id), event.F("group", group), event.F("kind", kind), event.F("why", refusal.Reason.String()))
	e.emit(message.RefuseRequest{Request: id, Reason: refusal.Reason, RetryAfter: refusal.RetryAfter, Detail: refusal.Detail})
}

// abortRequest ends a request with an error after it was sent to a database.
func (e *Engine) abortRequest(r *request, outcomeUnknown bool, reason string) {
	e.removeRequest(r)
	if outcomeUnknown {
		e.logEvent(event.OutcomeUnknown,
			event.F("request", r.id), event.F("group", r.group.name), event.F("key", r.key), event.F("why", reason))
	} else {
		e.logEvent(event.RequestAbandoned,
			event.F("request", r.id), event.F("group", r.group.name), event.F("why", reason))
	}
	e.emit(message.AbortRequest{Request: r.id, Attempt: r.attempt, OutcomeUnknown: outcomeUnknown, Reason: reason})
}

// acknowledge ends a request whose commit is durable and sends the response to the
// caller.
func (e *Engine) acknowledge(r *request) {
	e.removeRequest(r)
	r.session.recordWrite(r.position, e.now)
	r.session.writesKnown = true
	e.logEvent(event.WriteAcknowledged,
		event.F("request", r.id), event.F("group", r.group.name), event.F("position", r.position.String()))
	token := model.Token{Group: r.group.name, Position: r.session.written.position}
	e.emit(message.AcknowledgeCommit{Request: r.id, Attempt: r.attempt, Token: token})
}

// removeRequest removes a request from all tables.
func (e *Engine) removeRequest(r *request) {
	e.releaseSlot(r, rank.SlotCompletion{})
	delete(e.requests.byID, r.id)
	delete(e.requests.inDoubt, r.id)
	delete(e.requests.byResolveID, r.resolveID)
	delete(r.group.held, r.id)
	delete(r.group.awaitingQuorum, r.id)
	delete(r.session.requests, r.id)
	if len(r.session.requests) == 0 {
		r.session.requests = nil
	}
}

// releaseSlot returns the slot of a running request to the scheduler.
func (e *Engine) releaseSlot(r *request, completion rank.SlotCompletion) {
	if r.phase != phaseRunning {
		return
	}
	r.database.runningRequests--
	e.scheduler.Finish(e.now, r.id, completion)
	r.phase = phaseAwaitingQuorum
}

// requeue puts a running request back into the queue.
func (e *Engine) requeue(r *request, completion rank.SlotCompletion, pause time.Duration) {
	delete(r.group.held, r.id)
	r.database.runningRequests--
	r.phase = phaseWaiting
	r.notBefore = e.now.Add(pause)
	r.closeRequested = false
	e.scheduler.Requeue(e.now, r.id, completion)
}
