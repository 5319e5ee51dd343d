package operator

import (
	"fmt"
	"net/http"
)

// -----------------------------------------------------------------------------
// Failures.

// AnswerError is an instance's answer other than a success.
type AnswerError struct {
	// Status is the HTTP status.
	Status int
	// Detail is the instance's explanation.
	Detail string
}

// Error implements error.
func (e *AnswerError) Error() string {
	return fmt.Sprintf("the instance answered %d %s: %s", e.Status, http.StatusText(e.Status), e.Detail)
}

// SizeError reports an answer above its bound.
type SizeError struct {
	// Limit is the bound in bytes.
	Limit int
}

// Error implements error.
func (e *SizeError) Error() string { return fmt.Sprintf("answer larger than %d bytes", e.Limit) }
