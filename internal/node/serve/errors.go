package serve

import (
	"fmt"
	"os"

	"go.uber.org/dig"
)

// StartError reports that an instance could not start.
type StartError struct{ Cause error }

// Error implements error.
func (e *StartError) Error() string { return "can't start: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *StartError) Unwrap() error { return e.Cause }

// StopError reports that a component did not end in time.
type StopError struct{ Cause error }

// Error implements error.
func (e *StopError) Error() string { return "can't stop: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *StopError) Unwrap() error { return e.Cause }

// ComponentError reports that a component of the process ended with an error.
type ComponentError struct {
	Component string
	Cause     error
}

// Error implements error.
func (e *ComponentError) Error() string { return e.Component + " failed: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ComponentError) Unwrap() error { return e.Cause }

// InterruptedError reports that a second signal ended the process before the
// drain was complete.
type InterruptedError struct{ Signal os.Signal }

// Error implements error.
func (e *InterruptedError) Error() string {
	return fmt.Sprintf("ended at once by %s, before the drain was complete", e.Signal)
}

// CertificateError reports a certificate file that can't be loaded.
type CertificateError struct {
	// Path is the file.
	Path   string
	Reason string
}

// Error implements error.
func (e *CertificateError) Error() string { return e.Path + ": " + e.Reason }

// rootCause returns the error of a constructor without the wrapping that fx adds.
func rootCause(err error) error { return dig.RootCause(err) }
