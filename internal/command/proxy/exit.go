package proxy

import "errors"

// ExitCode is the code that the process ends with.
type ExitCode int

// The exit codes.
const (
	ExitOK ExitCode = iota
	ExitFailed
	ExitInvalidInput
	ExitConflict
	ExitUnavailable
	ExitOutcomeUnknown
)

// exits lists the exit codes for help and documents.
var exits = []struct {
	code    ExitCode
	meaning string
}{
	{ExitOK, "done"},
	{ExitFailed, "failed, for a reason that is none of those below"},
	{ExitInvalidInput, "bad input: a wrong argument, or a file with faults"},
	{ExitConflict, "conflict: another manifest than expected is accepted; nothing changed"},
	{ExitUnavailable, "unavailable: the instance or the platform was not reached; nothing changed"},
	{ExitOutcomeUnknown, "unknown outcome: the change may have happened; look before trying again"},
}

// -----------------------------------------------------------------------------
// Failures. Each has the exit code of its kind.

// failure is the sealed interface of what a verb may fail with.
type failure interface {
	error
	exit() ExitCode
}

// UsageError reports arguments that make no sense.
type UsageError struct{ Reason string }

// Error implements error.
func (e *UsageError) Error() string {
	return e.Reason + "; see '" + program + " help'"
}

// InputError reports a file that can't be read or has faults. The faults have
// been printed.
type InputError struct{ Reason string }

// Error implements error.
func (e *InputError) Error() string { return e.Reason }

// ConflictError reports that another manifest than expected is accepted.
type ConflictError struct{ Reason string }

// Error implements error.
func (e *ConflictError) Error() string { return "conflict: " + e.Reason }

// UnavailableError reports that the instance, or the platform behind it, was
// not reached; nothing changed.
type UnavailableError struct{ Reason string }

// Error implements error.
func (e *UnavailableError) Error() string { return "unavailable: " + e.Reason }

// OutcomeUnknownError reports that a change may or may not have happened.
type OutcomeUnknownError struct{ Reason string }

// Error implements error.
func (e *OutcomeUnknownError) Error() string { return "outcome unknown: " + e.Reason }

// InvalidResponseError reports an instance's answer that makes no sense here.
type InvalidResponseError struct{ Reason string }

// Error implements error.
func (e *InvalidResponseError) Error() string { return e.Reason }

func (*UsageError) exit() ExitCode           { return ExitInvalidInput }
func (*InputError) exit() ExitCode           { return ExitInvalidInput }
func (*ConflictError) exit() ExitCode        { return ExitConflict }
func (*UnavailableError) exit() ExitCode     { return ExitUnavailable }
func (*OutcomeUnknownError) exit() ExitCode  { return ExitOutcomeUnknown }
func (*InvalidResponseError) exit() ExitCode { return ExitFailed }

func exitOf(err error) ExitCode {
	var typed failure
	if errors.As(err, &typed) {
		return typed.exit()
	}
	return ExitFailed
}
