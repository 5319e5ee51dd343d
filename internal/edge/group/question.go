package group

import (
	"strconv"
	"strings"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// -----------------------------------------------------------------------------
// Questions.

// question is one control question that has not been answered yet.
type question struct {
	action   message.Action
	database model.DatabaseID
	ask      uint64
	timeout  time.Duration
	expires  time.Time

	// asked is when the statement was last sent.
	asked time.Time
	// timer answers the question when its time is over.
	timer *time.Timer
	// done says that the question was answered. The lane's lock guards it.
	done bool
}

// newQuestion makes a question of an action; false where the action is none.
func newQuestion(action message.Action) (*question, bool) {
	switch a := action.(type) {
	case message.Probe:
		return &question{action: a, database: a.Database, ask: a.CorrelationID, timeout: a.Timeout}, true
	case message.AwaitPosition:
		return &question{action: a, database: a.Database, ask: a.CorrelationID, timeout: a.Timeout}, true
	case message.Fence:
		return &question{action: a, database: a.Database, ask: a.CorrelationID, timeout: a.Timeout}, true
	case message.Promote:
		return &question{action: a, database: a.Database, ask: a.CorrelationID, timeout: a.Timeout}, true
	case message.Follow:
		return &question{action: a, database: a.Database, ask: a.CorrelationID, timeout: a.Timeout}, true
	case message.ResolveInDoubt:
		return &question{action: a, database: a.Database, ask: a.CorrelationID, timeout: a.Timeout}, true
	default:
		return nil, false
	}
}

// shares reports whether one answer may serve this question and the other: both
// are probes, or both wait for a position.
func (q *question) shares(other *question) bool {
	switch q.action.(type) {
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

// isMet reports whether status is what the question waits for.
func (q *question) isMet(status message.DatabaseStatus) bool {
	await, found := q.action.(message.AwaitPosition)
	if !found {
		return true
	}
	return !status.Received.Less(await.Position) || status.Term > await.Position.Term
}

// comparePositions orders questions that wait for a position by the position.
// All others are equal.
func comparePositions(a, b *question) int {
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

// isSettle reports whether the question has an answer of its own form.
func (q *question) isSettle() bool {
	_, found := q.action.(message.ResolveInDoubt)
	return found
}

// name is the statement's name for log lines.
func (q *question) name() string {
	head, _, _ := strings.Cut(q.statement(q.expires), "(")
	return strings.TrimPrefix(head, "CALL ")
}

// statement is the text to send at the time now.
func (q *question) statement(now time.Time) string {
	switch a := q.action.(type) {
	case message.AwaitPosition:
		return call("group_wait", quote(a.Position.String()), milliseconds(awaitTime(q.expires.Sub(now))))
	case message.Fence:
		return call("group_fence", number(a.Term), quote(string(a.Nonce)))
	case message.Promote:
		return call("group_promote", number(a.Term), quote(string(a.Nonce)))
	case message.Follow:
		return call("group_follow", number(a.Term), quote(string(a.Source)), quote(a.Address.String()))
	case message.ResolveInDoubt:
		return call("group_settle", number(a.Term), quote(a.IdempotencyKey))
	default:
		return call("group_status")
	}
}

// failed is the answer to a question that got none of use.
func (q *question) failed(why message.ControlErr) message.Event {
	if settle, found := q.action.(message.ResolveInDoubt); found {
		return message.InDoubtResolved{Database: q.database, CorrelationID: q.ask, IdempotencyKey: settle.IdempotencyKey, Err: why}
	}
	return message.ControlAnswered{Database: q.database, CorrelationID: q.ask, SentAt: q.asked, Err: why}
}

// -----------------------------------------------------------------------------
// Statement text.

const (
	// awaitMargin is how much earlier than the question's end the database is
	// told to answer, so that its answer arrives in time.
	awaitMargin = 50 * time.Millisecond
	// awaitShare is the greatest part of the time left that goes into the
	// margin.
	awaitShare = 4
)

// awaitTime is how long the database may wait, of the time left.
func awaitTime(left time.Duration) time.Duration {
	margin := min(awaitMargin, left/awaitShare)
	return max(left-margin, 0)
}

func call(name string, arguments ...string) string {
	return "CALL " + name + "(" + strings.Join(arguments, ", ") + ")"
}

func quote(text string) string { return "'" + strings.ReplaceAll(text, "'", "''") + "'" }

func number(term model.Term) string { return strconv.FormatUint(uint64(term), 10) }

func milliseconds(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }

// isSendable reports whether the protocol can carry the statement: it ends
// texts with a zero byte.
func isSendable(statement string) bool { return !strings.Contains(statement, "\x00") }
