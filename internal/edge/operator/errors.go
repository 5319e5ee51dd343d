package operator

import (
	"fmt"
	"net/http"
)

// -----------------------------------------------------------------------------
// Errors.

// StatusError reports a response of an instance with an unexpected status.
type StatusError struct {
	// Status is the HTTP status.
	Status int
	// Detail is the instance's explanation.
	Detail string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("the instance answered %d %s: %s", e.Status, http.StatusText(e.Status), e.Detail)
}

// ResponseTooLargeError reports a response body above the size limit.
type ResponseTooLargeError struct {
	// Limit is in bytes.
	Limit int
}

// Error implements error.
func (e *ResponseTooLargeError) Error() string {
	return fmt.Sprintf("response larger than %d bytes", e.Limit)
}
