package message

import (
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// DatabaseStatus is what a database says of itself.
type DatabaseStatus struct {
	Role model.Role
	// Term is the highest term that the database has accepted, by fence,
	// promotion or following.
	Term model.Term
	// Nonce is that of the fence or promotion of Term.
	Nonce model.Nonce
	// Received is the last position durable in the database's log. It counts
	// for the proof of a commit.
	Received model.Position
	// Applied is the last position visible to reads.
	Applied model.Position
	// Source is the database whose log a replica follows.
	Source model.DatabaseID
	// Streaming says that the replica's stream from Source is alive.
	Streaming bool
	// Leaving says that the database is shutting down.
	Leaving bool
	// Slots and SlotsInUse are the statements it can run and is running.
	Slots, SlotsInUse int
}

// ControlAnswered carries the answer to a control question: Probe, Await,
// Fence, Promote or Follow.
type ControlAnswered struct {
	Database model.DatabaseID
	// CorrelationID repeats the number of the question.
	CorrelationID uint64
	// SentAt is when the question was sent, on this instance's clock.
	SentAt time.Time
	// Status holds the database's state after the question took effect. It
	// is valid where Err is ControlOK or ControlConflict.
	Status DatabaseStatus
	Err    ControlErr
}

// InDoubtResolved carries the answer to Settle.
type InDoubtResolved struct {
	Database       model.DatabaseID
	CorrelationID  uint64
	IdempotencyKey string
	// Committed says that the key was committed, at Position. Without it the
	// database has logged, at Position, that the key never will be. Both
	// count only once Position is proven.
	Committed bool
	Position  model.Position
	Err       ControlErr
}

// ControlErr tells how a control question failed.
type ControlErr int

// The values of ControlErr.
const (
	// ControlOK: it was answered.
	ControlOK ControlErr = iota
	// ControlUnreachable: no connection, or it broke.
	ControlUnreachable
	// ControlTimeout: no answer in time.
	ControlTimeout
	// ControlConflict: the database is in a later term or holds another nonce.
	ControlConflict
	// ControlRefused: the database answered with another error.
	ControlRefused
)

// String names e for log lines.
func (e ControlErr) String() string {
	return [...]string{"ok", "unreachable", "timeout", "conflict", "refused"}[e]
}

func (ControlAnswered) isEvent() {}
func (InDoubtResolved) isEvent() {}
