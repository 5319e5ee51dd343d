package message

import (
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// DatabaseStatus is the status that a database reports.
type DatabaseStatus struct {
	Role model.Role
	// Term is the highest term that the database has accepted, by Fence, Promote or
	// Follow.
	Term model.Term
	// Nonce is the nonce of the Fence or Promote of Term.
	Nonce model.Nonce
	// Received is the last position that is persisted in the database's log. It
	// counts toward the majority that makes a commit durable.
	Received model.Position
	// Applied is the last position visible to reads.
	Applied model.Position
	// Source is the database whose log a replica follows.
	Source model.DatabaseID
	// Streaming is true if the replica is receiving the log of Source.
	Streaming bool
	// Leaving is true if the database is shutting down.
	Leaving bool
	// Slots is the number of statements that the database can run at once, SlotsInUse
	// the number that it is running.
	Slots, SlotsInUse int
}

// ControlAnswered carries the response to a control request: Probe, AwaitPosition,
// Fence, Promote or Follow.
type ControlAnswered struct {
	Database model.DatabaseID
	// CorrelationID is the correlation ID of the request.
	CorrelationID uint64
	// SentAt is when the request was sent, on this instance's clock.
	SentAt time.Time
	// Status is the database's status after the request took effect. It is valid if
	// Result is ControlOK or ControlConflict.
	Status DatabaseStatus
	Result ControlResult
}

// InDoubtResolved carries the response to ResolveInDoubt.
type InDoubtResolved struct {
	Database       model.DatabaseID
	CorrelationID  uint64
	IdempotencyKey string
	// Committed is true if the key was committed at Position. Otherwise the database
	// has logged at Position that the key never will be committed. Either result is
	// final only once Position is durable.
	Committed bool
	Position  model.Position
	Result    ControlResult
}

// ControlResult is the result of a control request.
type ControlResult int

// The values of ControlResult.
const (
	// ControlOK: the request was answered.
	ControlOK ControlResult = iota
	// ControlUnreachable: there was no connection, or it broke.
	ControlUnreachable
	// ControlTimeout: no response arrived in time.
	ControlTimeout
	// ControlConflict: the database is in a later term or holds another nonce.
	ControlConflict
	// ControlRefused: the database responded with another error.
	ControlRefused
)

// String returns the name of r for log lines.
func (r ControlResult) String() string {
	return [...]string{"ok", "unreachable", "timeout", "conflict", "refused"}[r]
}

func (ControlAnswered) isEvent() {}
func (InDoubtResolved) isEvent() {}
