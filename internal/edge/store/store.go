// Package store is the platform's table store as the fleet uses it.
//
// # What flows in and out
//
// The package has the port only: reads, watches and conditional writes of rows,
// and what a failure of each means. An adapter implements Store in the words of
// one platform; tests implement it in memory.
//
// # Usage
//
//	rows, err := s.Read(ctx, "groups")
//	version, err := s.Write(ctx, store.Change{Expected: []store.Row{{Table: "groups", Key: "g", Version: 4}}, Set: ...})
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
	// Version is that of the row's last change; zero stands for a row that does
	// not exist.
	Version uint64
	// Deleted says, in a watch, that the row does not exist any more.
	Deleted bool
}

// Rows is the answer to a read or a watch.
type Rows struct {
	Rows []Row
	// Version is the store's counter at the moment of the answer.
	Version uint64
}

// Transaction is one transaction: it is carried out whole where every row of Expected
// has the version that it names, and not at all otherwise.
type Transaction struct {
	Preconditions []Row
	Upserts       []Row
	Deletes       []Row
}

// Store is the table store.
type Store interface {
	// Read returns all rows of a table as of one moment.
	Read(ctx context.Context, table string) (Rows, error)
	// Watch returns the rows of a table that have changed after a version, as
	// soon as there are any, or none after the wait.
	Watch(ctx context.Context, table string, after uint64, wait time.Duration) (Rows, error)
	// Write carries out a change and returns the store's version after it.
	Write(ctx context.Context, change Transaction) (uint64, error)
}

// Promotion asks the platform to make a database the primary of its group.
type Promotion struct {
	Group    model.GroupID
	Database model.DatabaseID
	// Holder is the instance that has the duty, Token the number that rises
	// with each change of the holder.
	Holder       model.InstanceID
	FencingToken uint64
}

// Promoter carries out promotions.
type Promoter interface {
	// Promote returns once the platform has accepted the promotion. After an
	// error with OutcomeUnknown it may still take effect; no byte of the call
	// is left on its way.
	Promote(ctx context.Context, promotion Promotion) error
}

// Outcome tells what a failed call has done.
type Outcome int

// The values of Outcome.
const (
	// OutcomeUnknown: there was no answer; a change may be made yet.
	OutcomeUnknown Outcome = iota
	// OutcomeRefused: nothing was done.
	OutcomeRefused
	// OutcomeConflict: a row was not at the expected version; nothing was done.
	OutcomeConflict
	// OutcomeCompacted: the changes after that version can't be told any
	// more; the table has to be read anew.
	OutcomeCompacted
)

// String names o for log lines.
func (o Outcome) String() string {
	return [...]string{"unknown", "refused", "conflict", "history-gone"}[o]
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

// OutcomeOf returns what a failed call has done.
func OutcomeOf(err error) Outcome {
	var failed *Error
	if errors.As(err, &failed) {
		return failed.Outcome
	}
	return OutcomeUnknown
}
