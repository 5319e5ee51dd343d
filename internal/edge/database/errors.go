package database

import (
	"fmt"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// AcquireError reports that no connection to a database could be obtained.
// Nothing was sent to the database.
type AcquireError struct {
	Database model.DatabaseID
	Reason   message.NotStartedReason
	// Cause is the underlying error, or nil.
	Cause error
}

// Error implements error.
func (e *AcquireError) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("no connection to database %s: %s", e.Database, e.Reason)
	}
	return fmt.Sprintf("no connection to database %s: %s: %v", e.Database, e.Reason, e.Cause)
}

// Unwrap returns Cause.
func (e *AcquireError) Unwrap() error { return e.Cause }

// UnresponsiveError reports that a database gave no readable answer on a new
// connection.
type UnresponsiveError struct {
	Database model.DatabaseID
	Cause    error
}

// Error implements error.
func (e *UnresponsiveError) Error() string {
	return fmt.Sprintf("database %s does not answer on a new connection: %v", e.Database, e.Cause)
}

// Unwrap returns Cause.
func (e *UnresponsiveError) Unwrap() error { return e.Cause }

// StatusDecodeError reports that a database's status could not be read.
type StatusDecodeError struct{ Detail string }

// Error implements error.
func (e *StatusDecodeError) Error() string { return "reading the database's status: " + e.Detail }
