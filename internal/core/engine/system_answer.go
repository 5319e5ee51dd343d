package engine

import (
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/rank"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

const (
	// tooManyConnectionsPause is the pause before the next attempt at a database
	// that accepts no further connection.
	tooManyConnectionsPause = 10 * time.Millisecond
	// unreachablePause is the time for which no request is sent to a database that
	// could not be reached or is shutting down.
	unreachablePause = 300 * time.Millisecond
	// primaryBehindPause is the pause before the next attempt after the primary
	// itself was behind the minimum position.
	primaryBehindPause = 50 * time.Millisecond
	// retryBudgetPause is the pause before the next attempt while the group's retry
	// budget is spent: the request keeps waiting without adding to a retry storm.
	retryBudgetPause = 300 * time.Millisecond
	// wrongTermPause is the pause before the next attempt after a database was in
	// another term. Its status is requested meanwhile.
	wrongTermPause = 5 * time.Millisecond
)

// -----------------------------------------------------------------------------
// Outcomes of attempts.

// handleAttemptEnded handles the outcome of an attempt.
func (e *Engine) handleAttemptEnded(attemptEnded message.AttemptEnded) {
	r, found := e.requests.byID[attemptEnded.Request]
	if !found || r.attempt != attemptEnded.Attempt || r.phase != phaseRunning {
		return
	}
	delete(r.group.held, r.id)
	switch outcome := attemptEnded.Outcome.(type) {
	case message.OutcomeCommitted:
		e.handleCommitted(r, outcome, attemptEnded)
	case message.OutcomeRead:
		e.handleRead(r, outcome, attemptEnded)
	case message.OutcomeBehind:
		e.handleBehind(r, outcome, attemptEnded)
	case message.OutcomeDatabaseError:
		e.updateLatency(r, attemptEnded)
		e.releaseSlot(r, slotCompletion(attemptEnded, false))
		e.removeRequest(r)
	case message.OutcomeNotStarted:
		e.handleNotStarted(r, outcome, attemptEnded)
	case message.OutcomeConnectionLost:
		e.handleConnectionLost(r, outcome, attemptEnded)
	}
}

// slotCompletion returns what the scheduler needs to know about the end of the use
// of a slot.
func slotCompletion(attemptEnded message.AttemptEnded, failed bool) rank.SlotCompletion {
	return rank.SlotCompletion{Elapsed: attemptEnded.Elapsed - attemptEnded.ConnectTime, Failed: failed}
}

// updateLatency updates the estimate of the database's latency.
func (e *Engine) updateLatency(r *request, attemptEnded message.AttemptEnded) {
	r.database.latency = smooth(r.database.latency, attemptEnded.Elapsed-attemptEnded.ConnectTime)
}

// handleCommitted waits until the commit is durable. A commit on a replaced primary
// is resolved instead: its outcome is queried from the group, since the commit may
// have been lost in the failover.
func (e *Engine) handleCommitted(r *request, outcome message.OutcomeCommitted, attemptEnded message.AttemptEnded) {
	e.updateLatency(r, attemptEnded)
	e.releaseSlot(r, slotCompletion(attemptEnded, false))
	r.position = outcome.Position
	r.answerComplete = true
	if r.term != r.group.term || outcome.Position.Term != r.term {
		e.startResolving(r)
		return
	}
	e.updatePrimaryPosition(r, outcome.Position)
	r.phase = phaseAwaitingQuorum
	r.group.awaitingQuorum[r.id] = r
}

// handleRead ends a request whose rows have gone to the caller.
func (e *Engine) handleRead(r *request, outcome message.OutcomeRead, attemptEnded message.AttemptEnded) {
	e.updateLatency(r, attemptEnded)
	e.releaseSlot(r, slotCompletion(attemptEnded, false))
	r.database.applied = r.database.applied.Max(outcome.Position)
	if r.isRead() {
		e.emit(message.IncrementCounter{Name: "reads", Key: r.database.status.Role.String()})
	}
	if r.database != r.group.primary {
		r.database.lag = min(r.database.lag, e.now.Sub(r.minimumAt))
	}
	r.session.observed.raise(outcome.Position, e.now)
	e.removeRequest(r)
}

// handleBehind requeues a read after the database was behind its minimum position.
func (e *Engine) handleBehind(r *request, outcome message.OutcomeBehind, attemptEnded message.AttemptEnded) {
	e.logEvent(event.ReadBehind,
		event.F("request", r.id), event.F("attempt", r.attempt), event.F("group", r.group.name),
		event.F("database", r.database.name), event.F("position", outcome.Position.String()),
		event.F("minimum", r.minimum.String()))
	r.behindAnswers++
	r.database.applied = r.database.applied.Max(outcome.Position)
	r.database.lag = max(r.database.lag+r.database.lag/4, e.now.Sub(r.minimumAt)) + time.Millisecond
	pause := time.Duration(0)
	if r.database == r.group.primary {
		// The session has observed a state that this primary has not reached:
		// either another database is primary, or the token is not of this group.
		pause = e.jitter(primaryBehindPause)
		e.probeGroup(r.group)
	}
	e.requeue(r, slotCompletion(attemptEnded, false), pause)
}

// handleNotStarted requeues a request whose attempt was not started.
func (e *Engine) handleNotStarted(r *request, outcome message.OutcomeNotStarted, attemptEnded message.AttemptEnded) {
	if outcome.Reason == message.NotStartedDuplicateKey {
		e.handleDuplicateKey(r, attemptEnded)
		return
	}
	e.logEvent(event.RequestRetried,
		event.F("request", r.id), event.F("attempt", r.attempt), event.F("group", r.group.name),
		event.F("database", r.database.name), event.F("why", outcome.Reason.String()))
	countsAsFailure := false
	pause := time.Duration(0)
	switch outcome.Reason {
	case message.NotStartedUnreachable:
		countsAsFailure = true
		r.database.unusableUntil = e.now.Add(unreachablePause)
		e.probeGroup(r.group)
	case message.NotStartedWrongTerm, message.NotStartedReadOnly:
		pause = wrongTermPause
		e.probeGroup(r.group)
	case message.NotStartedTooManyConnections:
		pause = e.jitter(tooManyConnectionsPause)
	case message.NotStartedShuttingDown:
		r.database.unusableUntil = e.now.Add(unreachablePause)
		e.probeGroup(r.group)
	case message.NotStartedBrokenConnection, message.NotStartedDuplicateKey:
	}
	e.retry(r, slotCompletion(attemptEnded, countsAsFailure), pause)
}

// retry queues another attempt, or ends the request after maxAttempts or at its
// deadline.
func (e *Engine) retry(r *request, completion rank.SlotCompletion, pause time.Duration) {
	if r.attempt >= maxAttempts || !e.now.Before(r.deadline) {
		e.releaseSlot(r, completion)
		e.refuseRequest(r, rank.Refusal{Reason: r.waitReason, Detail: "no attempt could be started within the deadline"})
		return
	}
	if !e.scheduler.TakeRetry(e.now, r.group.name) {
		pause = max(pause, e.jitter(retryBudgetPause))
	}
	e.requeue(r, completion, pause)
}

// handleDuplicateKey ends a request whose key has already been used in the group. If
// the caller chose the key, it belongs to an earlier request of the caller. If this
// instance chose it, an earlier attempt may have committed, so the outcome is queried
// from the group.
func (e *Engine) handleDuplicateKey(r *request, attemptEnded message.AttemptEnded) {
	e.releaseSlot(r, slotCompletion(attemptEnded, false))
	if r.callerKey {
		e.refuseRequest(r, rank.Refusal{
			Reason: message.RefuseDuplicateKey, Detail: "a request with this key has already been committed or resolved",
		})
		return
	}
	e.startResolving(r)
}

// handleLostCommit queries the outcome of a commit from the group. A retryable request,
// which may run twice without harm, is retried at once under a new key instead.
func (e *Engine) handleLostCommit(r *request, outcome message.OutcomeConnectionLost, completion rank.SlotCompletion) {
	if r.kind.Retryable && r.canRetry() && !outcome.PartlySent && e.now.Before(r.deadline) {
		r.key += "+"
		e.retry(r, completion, 0)
		return
	}
	e.releaseSlot(r, completion)
	e.startResolving(r)
}

// handleConnectionLost handles the loss of a connection before the response was
// complete.
func (e *Engine) handleConnectionLost(r *request, outcome message.OutcomeConnectionLost, attemptEnded message.AttemptEnded) {
	e.probeGroup(r.group)
	completion := slotCompletion(attemptEnded, true)
	if outcome.MayHaveCommitted && !r.isRead() {
		e.handleLostCommit(r, outcome, completion)
		return
	}
	if outcome.PartlySent {
		e.releaseSlot(r, completion)
		e.abortRequest(r, false, "the connection to the database was lost during the response")
		return
	}
	if r.transaction {
		e.releaseSlot(r, completion)
		e.abortRequest(r, false, "the connection to the transaction's database was lost before COMMIT was sent")
		return
	}
	if !e.now.Before(r.deadline) {
		e.releaseSlot(r, completion)
		e.refuseRequest(r, rank.Refusal{Reason: message.RefuseDeadline, Detail: "no response within the deadline; nothing was committed"})
		return
	}
	e.retry(r, completion, 0)
}
