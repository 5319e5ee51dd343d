package engine

import (
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/rank"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

const (
	// fullPause is the pause before another try at a database that accepts no
	// further connection.
	fullPause = 10 * time.Millisecond
	// unreachablePause is the time for which a database that could not be
	// reached gets no work.
	unreachablePause = 300 * time.Millisecond
	// behindPause is the pause before another try after the primary itself was
	// found behind.
	behindPause = 50 * time.Millisecond
	// budgetPause is the pause before another try while the group's budget of
	// retries is spent: the request waits on, without adding to a storm.
	budgetPause = 300 * time.Millisecond
	// termPause is the pause before another try after a database was found in
	// another term, in which its status is asked for.
	termPause = 5 * time.Millisecond
)

// -----------------------------------------------------------------------------
// Ends of attempts.

// takeAnswer learns how an attempt ended.
func (e *Engine) takeAnswer(ended message.AttemptEnded) {
	r, found := e.requests.byID[ended.Request]
	if !found || r.attempt != ended.Attempt || r.phase != phaseRunning {
		return
	}
	delete(r.group.held, r.id)
	switch answer := ended.Outcome.(type) {
	case message.OutcomeCommitted:
		e.takeCommitted(r, answer, ended)
	case message.OutcomeRead:
		e.takeRead(r, answer, ended)
	case message.OutcomeBehind:
		e.takeBehind(r, answer, ended)
	case message.OutcomeDatabaseError:
		e.measure(r, ended)
		e.free(r, endingOf(ended, false))
		e.forget(r)
	case message.OutcomeNotStarted:
		e.takeRefused(r, answer, ended)
	case message.OutcomeConnectionLost:
		e.takeLost(r, answer, ended)
	}
}

// endingOf tells the scheduler how the use of a slot ended.
func endingOf(ended message.AttemptEnded, failed bool) rank.SlotCompletion {
	return rank.SlotCompletion{Elapsed: ended.Elapsed - ended.ConnectTime, Failed: failed}
}

// measure updates the estimate of how fast the database answers.
func (e *Engine) measure(r *request, ended message.AttemptEnded) {
	r.database.latency = smooth(r.database.latency, ended.Elapsed-ended.ConnectTime)
}

// takeCommitted waits for the proof of a commit. One of a replaced primary is
// settled instead: the group alone knows whether it survived.
func (e *Engine) takeCommitted(r *request, answer message.OutcomeCommitted, ended message.AttemptEnded) {
	e.measure(r, ended)
	e.free(r, endingOf(ended, false))
	r.position = answer.Position
	r.answered = true
	if r.term != r.group.term || answer.Position.Term != r.term {
		e.settle(r)
		return
	}
	e.learnPrimary(r, answer.Position)
	r.phase = phaseProving
	r.group.proving[r.id] = r
}

// takeRead ends a request whose rows have gone to the caller.
func (e *Engine) takeRead(r *request, answer message.OutcomeRead, ended message.AttemptEnded) {
	e.measure(r, ended)
	e.free(r, endingOf(ended, false))
	r.database.applied = r.database.applied.Max(answer.Position)
	if r.isRead() {
		e.do(message.IncrementCounter{Name: "reads", Key: r.database.status.Role.String()})
	}
	if r.database != r.group.primary {
		r.database.lag = min(r.database.lag, e.now.Sub(r.minimumAt))
	}
	r.session.seen.raise(answer.Position, e.now)
	e.forget(r)
}

// takeBehind runs a read again after a replica was found to lag too far.
func (e *Engine) takeBehind(r *request, answer message.OutcomeBehind, ended message.AttemptEnded) {
	e.note(event.ReadBehind,
		event.F("request", r.id), event.F("attempt", r.attempt), event.F("group", r.group.name),
		event.F("database", r.database.name), event.F("position", answer.Position.String()),
		event.F("minimum", r.minimum.String()))
	r.behind++
	r.database.applied = r.database.applied.Max(answer.Position)
	r.database.lag = max(r.database.lag+r.database.lag/4, e.now.Sub(r.minimumAt)) + time.Millisecond
	pause := time.Duration(0)
	if r.database == r.group.primary {
		// The session has seen a state that this primary has not reached: another
		// one reigns, or the token is not of this group.
		pause = e.jitter(behindPause)
		e.probeGroup(r.group)
	}
	e.again(r, endingOf(ended, false), pause)
}

// takeRefused runs a request again that was not started.
func (e *Engine) takeRefused(r *request, answer message.OutcomeNotStarted, ended message.AttemptEnded) {
	if answer.Reason == message.NotStartedDuplicateKey {
		e.takeDuplicate(r, ended)
		return
	}
	e.note(event.RequestRetried,
		event.F("request", r.id), event.F("attempt", r.attempt), event.F("group", r.group.name),
		event.F("database", r.database.name), event.F("why", answer.Reason.String()))
	failed := false
	pause := time.Duration(0)
	switch answer.Reason {
	case message.NotStartedUnreachable:
		failed = true
		r.database.unusable = e.now.Add(unreachablePause)
		e.probeGroup(r.group)
	case message.NotStartedWrongTerm, message.NotStartedReadOnly:
		pause = termPause
		e.probeGroup(r.group)
	case message.NotStartedTooManyConnections:
		pause = e.jitter(fullPause)
	case message.NotStartedShuttingDown:
		r.database.unusable = e.now.Add(unreachablePause)
		e.probeGroup(r.group)
	case message.NotStartedBrokenConnection, message.NotStartedDuplicateKey:
	}
	e.retry(r, endingOf(ended, failed), pause)
}

// retry queues another attempt, or ends the request where there have been too
// many.
func (e *Engine) retry(r *request, ending rank.SlotCompletion, pause time.Duration) {
	if r.attempt >= maxAttempts || !e.now.Before(r.deadline) {
		e.free(r, ending)
		e.refuseRequest(r, rank.Refusal{Reason: r.why, Detail: "no attempt could be started inside the deadline"})
		return
	}
	if !e.scheduler.TakeRetry(e.now, r.group.name) {
		pause = max(pause, e.jitter(budgetPause))
	}
	e.again(r, ending, pause)
}

// takeDuplicate ends a request whose key the group already knows. A key that
// the caller chose tells of its own earlier request; for one of this instance
// the group is asked what became of it.
func (e *Engine) takeDuplicate(r *request, ended message.AttemptEnded) {
	e.free(r, endingOf(ended, false))
	if r.ownKey {
		e.refuseRequest(r, rank.Refusal{
			Reason: message.RefuseDuplicateKey, Detail: "a request with this key was committed or settled before",
		})
		return
	}
	e.settle(r)
}

// takeLostCommit asks the group what became of a commit. Work that may be done
// twice without harm is sent again at once instead, under a new key.
func (e *Engine) takeLostCommit(r *request, answer message.OutcomeConnectionLost, ending rank.SlotCompletion) {
	if r.kind.Retryable && r.isRepeatable() && !answer.PartlySent && e.now.Before(r.deadline) {
		r.key += "+"
		e.retry(r, ending, 0)
		return
	}
	e.free(r, ending)
	e.settle(r)
}

// takeLost decides after a connection broke with an answer outstanding.
func (e *Engine) takeLost(r *request, answer message.OutcomeConnectionLost, ended message.AttemptEnded) {
	e.probeGroup(r.group)
	ending := endingOf(ended, true)
	if answer.MayHaveCommitted && !r.isRead() {
		e.takeLostCommit(r, answer, ending)
		return
	}
	if answer.PartlySent {
		e.free(r, ending)
		e.abandon(r, false, "the connection to the database broke inside the answer")
		return
	}
	if r.transaction {
		e.free(r, ending)
		e.abandon(r, false, "the transaction's database was lost before its COMMIT was sent")
		return
	}
	if !e.now.Before(r.deadline) {
		e.free(r, ending)
		e.refuseRequest(r, rank.Refusal{Reason: message.RefuseDeadline, Detail: "no answer inside the deadline; nothing was committed"})
		return
	}
	e.retry(r, ending, 0)
}
