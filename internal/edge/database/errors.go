package database

import (
	"fmt"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// AcquireError reports that no connection could be had. Nothing was sent.
type AcquireError struct {
	Database model.DatabaseID
	Reason   message.NotStartedReason
	// Cause is the failure below, or nil.
	Cause error
}

// Error implements error.
func (e *AcquireError) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("no connection to database %s: %s", e.Database, e.Reason)
	}
	return fmt.Sprintf("no connection to database %s: %s: %v", e.Database, e.Reason, e.Cause)
}

// Unwrap returns the cause.
func (e *AcquireError) Unwrap() error { return e.Cause }

// UnresponsiveError reports that a database did not answer on a new connection.
type UnresponsiveError struct {
	Database model.DatabaseID
	Cause    error
}

// Error implements error.
func (e *UnresponsiveError) Error() string {
	return fmt.Sprintf("database %s does not answer on a new connection: %v", e.Database, e.Cause)
}

// Unwrap returns the cause.
func (e *UnresponsiveError) Unwrap() error { return e.Cause }

// StatusDecodeError reports an answer to a status question that can't be read.
type StatusDecodeError struct{ Detail string }

// Error implements error.
func (e *StatusDecodeError) Error() string { return "status of the database: " + e.Detail }
