package group

import (
	"strconv"
	"strings"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// -----------------------------------------------------------------------------
// Requests.

// request is one control request that has not been answered yet.
type request struct {
	action        message.Action
	database      model.DatabaseID
	correlationID uint64
	timeout       time.Duration
	expires       time.Time

	// sentAt is the time at which the statement was last sent. The queue's goroutine
	// writes it while holding the queue's lock.
	sentAt time.Time
	// timer answers the request when it expires.
	timer *time.Timer
	// answered is true if the request was answered. The queue's lock guards it.
	answered bool
}

// newRequest returns the request for an action. It returns false if the action is
// not a control request.
func newRequest(action message.Action) (*request, bool) {
	switch a := action.(type) {
	case message.Probe:
		return &request{action: a, database: a.Database, correlationID: a.CorrelationID, timeout: a.Timeout}, true
	case message.AwaitPosition:
		return &request{action: a, database: a.Database, correlationID: a.CorrelationID, timeout: a.Timeout}, true
	case message.Fence:
		return &request{action: a, database: a.Database, correlationID: a.CorrelationID, timeout: a.Timeout}, true
	case message.Promote:
		return &request{action: a, database: a.Database, correlationID: a.CorrelationID, timeout: a.Timeout}, true
	case message.Follow:
		return &request{action: a, database: a.Database, correlationID: a.CorrelationID, timeout: a.Timeout}, true
	case message.ResolveInDoubt:
		return &request{action: a, database: a.Database, correlationID: a.CorrelationID, timeout: a.Timeout}, true
	default:
		return nil, false
	}
}

// sharesAnswerWith reports whether one answer may serve r and other: both are a
// Probe, or both are an AwaitPosition.
func (r *request) sharesAnswerWith(other *request) bool {
	switch r.action.(type) {
	case message.Probe:
		_, found := other.action.(message.Probe)
		return found
	case message.AwaitPosition:
		_, found := other.action.(message.AwaitPosition)
		return found
	default:
		return false
	}
}

// isSatisfiedBy reports whether status answers the request. It answers an
// AwaitPosition if the position has been received, or if the database's term is
// higher than the position's: a changed term ends the wait (see
// message.AwaitPosition).
func (r *request) isSatisfiedBy(status message.DatabaseStatus) bool {
	await, found := r.action.(message.AwaitPosition)
	if !found {
		return true
	}
	return !status.Received.Less(await.Position) || status.Term > await.Position.Term
}

// comparePositions orders AwaitPosition requests by their position. Requests of any
// other type are equal. Both requests must be of the same type, as in a batch.
func comparePositions(a, b *request) int {
	first, found := a.action.(message.AwaitPosition)
	if !found {
		return 0
	}
	second := b.action.(message.AwaitPosition)
	switch {
	case first.Position.Less(second.Position):
		return -1
	case second.Position.Less(first.Position):
		return 1
	default:
		return 0
	}
}

// isResolveInDoubt reports whether the request is a ResolveInDoubt, whose answer
// has other columns than that of all other requests.
func (r *request) isResolveInDoubt() bool {
	_, found := r.action.(message.ResolveInDoubt)
	return found
}

// statementName returns the name of the called procedure, for log lines.
func (r *request) statementName() string {
	// The time given to statement only affects the arguments, which are cut off.
	prefix, _, _ := strings.Cut(r.statement(r.expires), "(")
	return strings.TrimPrefix(prefix, "CALL ")
}

// statement returns the text of the statement if it is sent at the time now.
func (r *request) statement(now time.Time) string {
	switch a := r.action.(type) {
	case message.AwaitPosition:
		return callStatement("group_wait", quoteLiteral(a.Position.String()), formatMilliseconds(databaseWaitTime(r.expires.Sub(now))))
	case message.Fence:
		return callStatement("group_fence", formatTerm(a.Term), quoteLiteral(string(a.Nonce)))
	case message.Promote:
		return callStatement("group_promote", formatTerm(a.Term), quoteLiteral(string(a.Nonce)))
	case message.Follow:
		return callStatement("group_follow", formatTerm(a.Term), quoteLiteral(string(a.Source)), quoteLiteral(a.Address.String()))
	case message.ResolveInDoubt:
		return callStatement("group_settle", formatTerm(a.Term), quoteLiteral(a.IdempotencyKey))
	default:
		return callStatement("group_status")
	}
}

// failureEvent returns the event that answers the request with an error. For a queued
// request, the queue's lock must be held, because sentAt may be written at any time.
func (r *request) failureEvent(controlResult message.ControlResult) message.Event {
	if resolve, found := r.action.(message.ResolveInDoubt); found {
		return message.InDoubtResolved{Database: r.database, CorrelationID: r.correlationID, IdempotencyKey: resolve.IdempotencyKey, Result: controlResult}
	}
	return message.ControlAnswered{Database: r.database, CorrelationID: r.correlationID, SentAt: r.sentAt, Result: controlResult}
}

// -----------------------------------------------------------------------------
// Statement text.

const (
	// awaitMargin is the time between the end of the database's wait and the
	// expiry of the request, so that the answer arrives in time.
	awaitMargin = 50 * time.Millisecond
	// awaitMarginDivisor limits the margin to this fraction of the remaining
	// time: 4 stands for a quarter.
	awaitMarginDivisor = 4
)

// databaseWaitTime returns how long the database may wait for a position if the
// request expires after remaining.
func databaseWaitTime(remaining time.Duration) time.Duration {
	margin := min(awaitMargin, remaining/awaitMarginDivisor)
	return max(remaining-margin, 0)
}

// callStatement returns the statement that calls a procedure.
func callStatement(name string, arguments ...string) string {
	return "CALL " + name + "(" + strings.Join(arguments, ", ") + ")"
}

// quoteLiteral returns text as an SQL string literal.
func quoteLiteral(text string) string { return "'" + strings.ReplaceAll(text, "'", "''") + "'" }

func formatTerm(term model.Term) string { return strconv.FormatUint(uint64(term), 10) }

func formatMilliseconds(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }

// isSendable reports whether the protocol can carry the statement. A zero byte
// ends a string in the protocol, so the statement must not contain one.
func isSendable(statement string) bool { return !strings.Contains(statement, "\x00") }
