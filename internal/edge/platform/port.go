package platform

import (
	"context"
	"fmt"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
)

// -----------------------------------------------------------------------------
// The port.

// Service is the platform's service as this package uses it. Another client of
// the platform takes its place by implementing it.
//
// Its errors are *OutcomeError. An error of another type counts as
// message.PlatformUnknown, which claims the least. The context carries the
// question's timeout.
type Service interface {
	// ReadRow returns one row.
	ReadRow(ctx context.Context, table, key string) (message.Row, error)
	// ScanRows returns the rows whose keys begin with prefix, by key.
	ScanRows(ctx context.Context, table, prefix string) ([]message.Row, error)
	// WriteRows changes rows in one transaction and returns them with their
	// new versions, or, with message.PlatformConflict, as they stand. It
	// sends the change at most once.
	WriteRows(ctx context.Context, rows []message.Row) ([]message.Row, error)
	// ReadObject returns an object's body.
	ReadObject(ctx context.Context, name string) ([]byte, error)
	// WriteObject stores an object.
	WriteObject(ctx context.Context, name string, body []byte) error
	// ListInstances returns the lagging list of instances.
	ListInstances(ctx context.Context) ([]message.ListedInstance, error)
}

// -----------------------------------------------------------------------------
// Failures.

// OutcomeError tells how a question failed and what that means for its effect.
type OutcomeError struct {
	Outcome message.PlatformErr
	Cause   error
}

// Error implements error.
func (e *OutcomeError) Error() string { return e.Outcome.String() + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *OutcomeError) Unwrap() error { return e.Cause }

// HTTPStatusError reports an HTTP status that is not a success.
type HTTPStatusError struct {
	Status int
	// Body is the head of the answer's body.
	Body string
}

// Error implements error.
func (e *HTTPStatusError) Error() string { return fmt.Sprintf("HTTP status %d: %s", e.Status, e.Body) }

// ResponseTooLargeError reports an answer that is larger than its bound.
type ResponseTooLargeError struct {
	// Limit is the bound in bytes.
	Limit int
}

// Error implements error.
func (e *ResponseTooLargeError) Error() string {
	return fmt.Sprintf("answer larger than %d bytes", e.Limit)
}

// RowMismatchError reports an answer that names other rows than were written.
type RowMismatchError struct {
	Requested, Returned int
}

// Error implements error.
func (e *RowMismatchError) Error() string {
	return fmt.Sprintf("answer to %d rows names %d or others", e.Requested, e.Returned)
}

// UnsentError reports a question that was never sent.
type UnsentError struct{ Reason string }

// Error implements error.
func (e *UnsentError) Error() string { return "not sent: " + e.Reason }

// AbandonedConnError reports a write on a connection that was given up.
type AbandonedConnError struct{}

// Error implements error.
func (e *AbandonedConnError) Error() string { return "the connection was given up" }
