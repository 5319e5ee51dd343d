package database

import (
	"fmt"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// AcquireError reports that no connection could be had. Nothing was sent.
type AcquireError struct {
	Database model.DatabaseID
	Why      message.RefusedWhy
	// Cause is the failure below, or nil.
	Cause error
}

// Error implements error.
func (e *AcquireError) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("no connection to database %s: %s", e.Database, e.Why)
	}
	return fmt.Sprintf("no connection to database %s: %s: %v", e.Database, e.Why, e.Cause)
}

// Unwrap returns the cause.
func (e *AcquireError) Unwrap() error { return e.Cause }

// CheckError reports that a database did not answer on a new connection.
type CheckError struct {
	Database model.DatabaseID
	Cause    error
}

// Error implements error.
func (e *CheckError) Error() string {
	return fmt.Sprintf("database %s does not answer on a new connection: %v", e.Database, e.Cause)
}

// Unwrap returns the cause.
func (e *CheckError) Unwrap() error { return e.Cause }

// StatusError reports an answer to a status question that can't be read.
type StatusError struct{ Detail string }

// Error implements error.
func (e *StatusError) Error() string { return "status of the database: " + e.Detail }
