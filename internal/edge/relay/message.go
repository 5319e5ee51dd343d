package relay

import (
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/core/statement"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/backend"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/peer"
)

// protocol is what the two ends speak. A statement and an answer of 1 MiB each fit into a
// frame.
var protocol = peer.Protocol{Name: "relay", Version: 1, MaxFrame: maxContent + frameOverhead}

const (
	// maxContent is the maximum size of a message, in bytes. frameOverhead is more than
	// what its frame adds.
	maxContent    = 4 << 20
	frameOverhead = 64
)

// -----------------------------------------------------------------------------
// Messages.

// kind is the first byte of a frame.
type kind byte

// The values of kind. The end that has opened the link, the caller, sends the first three.
const (
	// kindRun asks the relay to run a statement; a kindReply answers it.
	kindRun kind = iota + 1
	// kindEnd ends a transaction, which the relay rolls back if it is open.
	kindEnd
	// kindPing asks for a kindPong.
	kindPing
	kindReply
	kindPong
)

// run is the body of a kindRun. Times are durations, since the clocks of two instances
// can't be compared.
type run struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // The codec reads the tag.
	// Call numbers the statements of a link; the reply repeats it. Transaction is the
	// call that opened the transaction of the statement; zero outside any.
	Call, Transaction uint64
	// Database, Address and Incarnation identify the database, as the caller knows it.
	// NeedsPrimary is true if only the group's primary may run the statement.
	Group        model.GroupID
	Database     model.DatabaseID
	Address      netip.AddrPort
	Incarnation  int64
	NeedsPrimary bool
	Tenant       model.TenantID
	Rank         model.Rank
	// Age is the time since the statement arrived at the caller. Target is the time left
	// to its latency target if HasTarget is set, and may be negative. Wait is the time
	// that it may spend in the queue, Remaining the time until its timeout.
	Age, Target, Wait, Remaining time.Duration
	HasTarget                    bool
	Variables                    backend.Variables
	// Prepared is the prepared statement that Statement executes, or nil. Begin opens
	// the transaction, with its minimum position, or is nil.
	Prepared  *statement.Prepare
	Begin     *begin
	RequestID string
	// MinPosition is the position that the database must have reached, written
	// PositionAge ago.
	MinPosition model.Position
	PositionAge time.Duration
	Statement   wireStatement
}

// begin is a BEGIN in a run.
type begin struct {
	_msgpack    struct{} `msgpack:",as_array"` //nolint:unused // The codec reads the tag.
	ReadOnly    bool
	MinPosition model.Position
}

// end is the body of a kindEnd.
type end struct {
	_msgpack    struct{} `msgpack:",as_array"` //nolint:unused // The codec reads the tag.
	Transaction uint64
}

// reply is the body of a kindReply. One of Reason, Lost and Answered is set.
type reply struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // The codec reads the tag.
	Call     uint64
	// Reason is why the statement was not sent to the database. Text describes it or
	// Lost; Wait is the time after which a reservation was expected, or zero.
	Reason Reason
	Text   string
	Wait   time.Duration
	// Lost is true if the statement was sent and the relay has got no answer.
	Lost bool
	// Answered is true if the database has answered. Took is the time from sending the
	// statement to its answer.
	Answered         bool
	Rows             []string
	Signature        string
	Failure          *statement.FailureError
	TransactionState statement.TransactionState
	Position         model.Position
	Took             time.Duration
}

// wireStatement is a statement in a run.
type wireStatement struct {
	_msgpack   struct{} `msgpack:",as_array"` //nolint:unused // The codec reads the tag.
	Type       statementType
	Name, Text string
}

// statementType distinguishes the statements that are relayed.
type statementType byte

// The values of statementType.
const (
	statementRead statementType = iota + 1
	statementWrite
	statementExecute
	statementCommit
	// statementAsk runs nothing: the reply says how long ago the database has answered the
	// relay, in Took.
	statementAsk
)

// encodeStatement returns the form of a statement in a run. It returns false for one that
// is not relayed.
func encodeStatement(s statement.Statement) (wireStatement, bool) {
	switch s := s.(type) {
	case statement.Read:
		return wireStatement{Type: statementRead, Text: s.Text}, true
	case statement.Write:
		return wireStatement{Type: statementWrite, Text: s.Text}, true
	case statement.Execute:
		return wireStatement{Type: statementExecute, Name: s.Name, Text: s.Arguments}, true
	case statement.Commit:
		return wireStatement{Type: statementCommit}, true
	default:
		return wireStatement{}, false
	}
}

// decode returns the statement. It returns false if the type is not known.
func (w wireStatement) decode() (statement.Statement, bool) {
	switch w.Type {
	case statementRead:
		return statement.Read{Text: w.Text}, true
	case statementWrite:
		return statement.Write{Text: w.Text}, true
	case statementExecute:
		return statement.Execute{Name: w.Name, Arguments: w.Text}, true
	case statementCommit:
		return statement.Commit{}, true
	default:
		return nil, false
	}
}

// isWrite reports whether only a primary carries the statement of a run out.
func (r *run) isWrite() bool {
	return r.Statement.Type == statementWrite || r.Statement.Type == statementExecute && r.Prepared != nil && r.Prepared.Access == model.AccessWrite
}

// encode returns the content of a frame.
func encode(k kind, body any) ([]byte, error) {
	encoded, err := msgpack.Marshal(body)
	if err != nil {
		return nil, &peer.MessageCodingError{MessageName: "relay", Cause: errors.WithStack(err)}
	}
	return append([]byte{byte(k)}, encoded...), nil
}

// decode decodes the body of a frame. Its error is a *peer.MessageCodingError.
func decode[T any](content []byte) (T, error) {
	var body T
	if err := msgpack.Unmarshal(content[1:], &body); err != nil {
		return body, &peer.MessageCodingError{MessageName: "relay", Cause: errors.WithStack(err)}
	}
	return body, nil
}

// -----------------------------------------------------------------------------
// Outcomes.

// Reason is why a relay, or the way to it, did not send a statement to its database.
type Reason byte

// The values of Reason.
const (
	// ReasonUnreachable: no link to the relay could be established, or it ended before
	// the statement was sent over it.
	ReasonUnreachable Reason = iota + 1
	// ReasonQueueFull: too much waits to be sent to the relay.
	ReasonQueueFull
	// ReasonTooLarge: the statement does not fit into a frame.
	ReasonTooLarge
	// ReasonFull: the relay serves as many statements of peers as it may.
	ReasonFull
	// ReasonDraining: the relay is draining.
	ReasonDraining
	// ReasonUnknownDatabase: the relay does not know the database, or knows another start
	// or address of it.
	ReasonUnknownDatabase
	// ReasonNotPrimary: the database is not the primary as far as the relay knows.
	ReasonNotPrimary
	// ReasonNoWay: the relay does not reach the database either.
	ReasonNoWay
	// ReasonRejected: others are served first, so that the statement can't be in time.
	ReasonRejected
	// ReasonNoRoom: the database had no room in time.
	ReasonNoRoom
	// ReasonRefused: the database refused the session's variables, the prepared
	// statement or the BEGIN.
	ReasonRefused
	// ReasonTransactionEnded: the relay has ended the transaction.
	ReasonTransactionEnded
)

// String returns the name of r in log lines.
func (r Reason) String() string {
	names := [...]string{
		"none", "unreachable", "queue-full", "too-large", "full", "draining", "unknown-database",
		"not-primary", "no-way", "rejected", "no-room", "refused", "transaction-ended",
	}
	if int(r) >= len(names) {
		return "other"
	}
	return names[r]
}

// isFailure reports whether the relay should not be chosen for some time, for no database.
func (r Reason) isFailure() bool {
	switch r {
	case ReasonUnreachable, ReasonQueueFull, ReasonFull, ReasonDraining:
		return true
	case ReasonUnknownDatabase, ReasonNotPrimary, ReasonNoWay, ReasonTooLarge, ReasonRejected, ReasonNoRoom, ReasonRefused, ReasonTransactionEnded:
	}
	return false
}

// isFailureOfDatabase reports whether the relay should not be chosen for some time, for the
// database of the statement.
func (r Reason) isFailureOfDatabase() bool {
	return r == ReasonUnknownDatabase || r == ReasonNotPrimary || r == ReasonNoWay
}

// NotRunError reports a statement that was not sent to its database.
type NotRunError struct {
	Relay  netip.AddrPort
	Reason Reason
	Text   string
	// ExpectedWait is the time after which a reservation was expected; set with
	// ReasonRejected only.
	ExpectedWait time.Duration
}

// Error implements error.
func (e *NotRunError) Error() string {
	return "relay " + e.Relay.String() + " did not run it (" + e.Reason.String() + "): " + e.Text
}

// LostError reports a statement that was sent to a relay, or by a relay to its database,
// and whose answer was lost. It may have run.
type LostError struct {
	Relay netip.AddrPort
	Text  string
	// IsRelayFailure is true if the relay has lost its own way to the database. The end of
	// a link is recorded as a failure by itself, and a late answer is none.
	IsRelayFailure bool
}

// Error implements error.
func (e *LostError) Error() string {
	return "the answer through relay " + e.Relay.String() + " was lost: " + e.Text
}

// SilentError is the reason of closing a link to a relay that sends nothing although
// answers are due.
type SilentError struct{}

// Error implements error.
func (e *SilentError) Error() string { return "the relay is silent" }

// LinkClosedError is the reason of closing a link that is not needed any more.
type LinkClosedError struct{}

// Error implements error.
func (e *LinkClosedError) Error() string { return "closed by this instance" }

// TimeoutError reports that no answer has arrived within the time of a statement.
type TimeoutError struct{}

// Error implements error.
func (e *TimeoutError) Error() string { return "no answer in time" }

// QueueFullError reports that too much waits to be sent over a link.
type QueueFullError struct{}

// Error implements error.
func (e *QueueFullError) Error() string { return "the queue of the link is full" }
