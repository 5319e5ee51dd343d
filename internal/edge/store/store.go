// Package store defines the interface to the platform's table store that the fleet
// uses.
//
// # What flows in and out
//
// The package defines the interface only: reads, watches and conditional writes of
// rows, and the meaning of their failures. An adapter implements Store for the
// protocol of one platform; tests implement it in memory.
//
// # Usage
//
//	rows, err := s.Read(ctx, "groups")
//	version, err := s.Write(ctx, store.Transaction{
//		Preconditions: []store.Row{{Table: "groups", Key: "g", Version: 4}},
//		Upserts:       ...,
//	})
package store

import (
	"context"
	"errors"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// Row is one row of a table.
type Row struct {
	Table, Key string
	Value      []byte
	// Version is the store's version at the row's last change; zero stands for a
	// row that does not exist.
	Version uint64
	// Deleted is set in the result of a watch if the row no longer exists.
	Deleted bool
}

// Rows is the result of a read or a watch.
type Rows struct {
	Rows []Row
	// Version is the store's version at the time of the result.
	Version uint64
}

// Transaction is an atomic write. It is carried out completely if every row of
// Preconditions has the version given there, and not at all otherwise.
type Transaction struct {
	Preconditions []Row
	Upserts       []Row
	Deletes       []Row
}

// Store is the table store.
type Store interface {
	// Read returns all rows of a table as of one version.
	Read(ctx context.Context, table string) (Rows, error)
	// Watch returns the rows of a table that have changed after a version. It
	// returns as soon as there are any, or with no rows once wait has passed.
	Watch(ctx context.Context, table string, after uint64, wait time.Duration) (Rows, error)
	// Write carries out a transaction and returns the store's version after it.
	Write(ctx context.Context, transaction Transaction) (uint64, error)
}

// Promotion asks the platform to make a database the primary of its group.
type Promotion struct {
	Group    model.GroupID
	Database model.DatabaseID
	// Holder is the instance that holds the coordinator lease. FencingToken is the
	// lease's number, which increases each time the holder changes.
	Holder       model.InstanceID
	FencingToken uint64
}

// Promoter carries out promotions.
type Promoter interface {
	// Promote returns once the platform has accepted the promotion. After an
	// error with OutcomeUnknown the promotion may still take effect, but only if
	// the platform has received the call already: no byte of it remains in
	// transit. After one with OutcomeRefused or OutcomeNotRunning, this call has
	// no effect; an earlier one still may.
	Promote(ctx context.Context, promotion Promotion) error
}

// Outcome is the effect of a failed call on the store.
type Outcome int

// The values of Outcome.
const (
	// OutcomeUnknown: there was no response; the change may have been made, or may
	// still be made.
	OutcomeUnknown Outcome = iota
	// OutcomeRefused: nothing was changed.
	OutcomeRefused
	// OutcomeConflict: a row was not at the expected version; nothing was changed.
	OutcomeConflict
	// OutcomeCompacted: the store no longer has the changes after the given
	// version; the whole table has to be read again.
	OutcomeCompacted
	// OutcomeNotRunning: the database to promote is not running, or the platform refuses
	// it for another reason; nothing was changed.
	OutcomeNotRunning
	// OutcomeFailed: the response is an error that does not tell whether the change was
	// made.
	OutcomeFailed
)

// String returns the name of o for log lines.
func (o Outcome) String() string {
	return [...]string{"unknown", "refused", "conflict", "history-gone", "not-running", "failed"}[o]
}

// Error reports a failed call.
type Error struct {
	Outcome Outcome
	Cause   error
}

// Error implements error.
func (e *Error) Error() string { return e.Outcome.String() + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// OutcomeOf returns the outcome of a failed call: that of the *Error in err's chain,
// or OutcomeUnknown if there is none.
func OutcomeOf(err error) Outcome {
	var storeErr *Error
	if errors.As(err, &storeErr) {
		return storeErr.Outcome
	}
	return OutcomeUnknown
}
