package message

import (
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// Status is what a database says of itself.
type Status struct {
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
	// Slots and Busy are the statements it can run and is running.
	Slots, Busy int
}

// DatabaseAnswered carries the answer to a control question: Probe, Await,
// Fence, Promote or Follow.
type DatabaseAnswered struct {
	Database model.DatabaseID
	// Ask repeats the number of the question.
	Ask uint64
	// Asked is when the question was sent, on this instance's clock.
	Asked time.Time
	// Status holds the database's state after the question took effect. It
	// is valid where Err is AskOK or AskConflict.
	Status Status
	Err    AskErr
}

// SettleAnswered carries the answer to Settle.
type SettleAnswered struct {
	Database model.DatabaseID
	Ask      uint64
	Key      string
	// Committed says that the key was committed, at Position. Without it the
	// database has logged, at Position, that the key never will be. Both
	// count only once Position is proven.
	Committed bool
	Position  model.Position
	Err       AskErr
}

// AskErr tells how a control question failed.
type AskErr int

// The values of AskErr.
const (
	// AskOK: it was answered.
	AskOK AskErr = iota
	// AskUnreachable: no connection, or it broke.
	AskUnreachable
	// AskTimeout: no answer in time.
	AskTimeout
	// AskConflict: the database is in a later term or holds another nonce.
	AskConflict
	// AskRefused: the database answered with another error.
	AskRefused
)

// String names e for log lines.
func (e AskErr) String() string {
	return [...]string{"ok", "unreachable", "timeout", "conflict", "refused"}[e]
}

func (DatabaseAnswered) isEvent() {}
func (SettleAnswered) isEvent()   {}
