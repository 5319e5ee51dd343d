package platform

import (
	"context"
	"fmt"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
)

// -----------------------------------------------------------------------------
// Service.

// Service executes requests to the platform. HTTPService implements it; another
// client of the platform can be used instead.
//
// Errors should be of type *OutcomeError. An error of another type is treated as
// message.PlatformUnknown, which makes no assumption about the effect of the
// request. The context carries the deadline of the request.
type Service interface {
	// ReadRow returns one row.
	ReadRow(ctx context.Context, table, key string) (message.Row, error)
	// ScanRows returns the rows whose keys begin with prefix, ordered by key.
	ScanRows(ctx context.Context, table, prefix string) ([]message.Row, error)
	// WriteRows changes rows in one transaction and returns them with their new
	// versions. With an error of outcome message.PlatformConflict it returns the
	// current rows. It must send the change at most once.
	WriteRows(ctx context.Context, rows []message.Row) ([]message.Row, error)
	// ReadObject returns the body of an object.
	ReadObject(ctx context.Context, name string) ([]byte, error)
	// WriteObject stores an object.
	WriteObject(ctx context.Context, name string, body []byte) error
	// ListInstances returns the platform's list of instances, which may be out of
	// date.
	ListInstances(ctx context.Context) ([]message.ListedInstance, error)
}

// -----------------------------------------------------------------------------
// Errors.

// OutcomeError reports a failed request, and what is known of its effect.
type OutcomeError struct {
	Outcome message.PlatformResult
	Cause   error
}

// Error implements error.
func (e *OutcomeError) Error() string { return e.Outcome.String() + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *OutcomeError) Unwrap() error { return e.Cause }

// HTTPStatusError reports an HTTP status that is not a success.
type HTTPStatusError struct {
	Status int
	// Body is the start of the response body.
	Body string
}

// Error implements error.
func (e *HTTPStatusError) Error() string { return fmt.Sprintf("HTTP status %d: %s", e.Status, e.Body) }

// ResponseTooLargeError reports a response body above the size limit.
type ResponseTooLargeError struct {
	// Limit is in bytes.
	Limit int
}

// Error implements error.
func (e *ResponseTooLargeError) Error() string {
	return fmt.Sprintf("response larger than %d bytes", e.Limit)
}

// RowMismatchError reports a response that names other rows than were written.
type RowMismatchError struct {
	// Requested and Returned are numbers of rows.
	Requested, Returned int
}

// Error implements error.
func (e *RowMismatchError) Error() string {
	return fmt.Sprintf("response does not match the request: %d rows written, %d or other rows returned", e.Requested, e.Returned)
}

// UnsentError reports a request that was not sent.
type UnsentError struct{ Reason string }

// Error implements error.
func (e *UnsentError) Error() string { return "not sent: " + e.Reason }

// SealedConnError reports a write to a sealed connection: its request has failed.
type SealedConnError struct{}

// Error implements error.
func (e *SealedConnError) Error() string {
	return "the request of this connection has already failed"
}
