package operator

import (
	"fmt"
	"net/http"
)

// -----------------------------------------------------------------------------
// Failures.

// StatusError is an instance's answer other than a success.
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

// AnswerTooLargeError reports an answer above its bound.
type AnswerTooLargeError struct {
	// Limit is the bound in bytes.
	Limit int
}

// Error implements error.
func (e *AnswerTooLargeError) Error() string {
	return fmt.Sprintf("answer larger than %d bytes", e.Limit)
}
