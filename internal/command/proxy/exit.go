package proxy

import "errors"

// ExitCode is the exit code of the process.
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

// exitCodes lists the exit codes with their meanings, for the help.
var exitCodes = []struct {
	code    ExitCode
	meaning string
}{
	{ExitOK, "done"},
	{ExitFailed, "failed for any reason other than those below"},
	{ExitInvalidInput, "bad input: a wrong argument, or a file with faults"},
	{ExitConflict, "conflict: another manifest than expected is accepted; nothing changed"},
	{ExitUnavailable, "unavailable: the instance or the platform was not reached; nothing changed"},
	{ExitOutcomeUnknown, "unknown outcome: the change may have happened; check before trying again"},
}

// -----------------------------------------------------------------------------
// Errors. Each type has its exit code.

// exitError is implemented by the errors of this package that determine the exit
// code. It is sealed by the unexported method.
type exitError interface {
	error
	exitCode() ExitCode
}

// UsageError reports invalid arguments.
type UsageError struct{ Reason string }

// Error implements error.
func (e *UsageError) Error() string {
	return e.Reason + "; see '" + program + " help'"
}

// InputError reports invalid input, such as a file that can't be read or has
// errors. The errors of a file have already been printed.
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

// InvalidResponseError reports an unexpected or undecodable response of an
// instance.
type InvalidResponseError struct{ Reason string }

// Error implements error.
func (e *InvalidResponseError) Error() string { return e.Reason }

func (*UsageError) exitCode() ExitCode           { return ExitInvalidInput }
func (*InputError) exitCode() ExitCode           { return ExitInvalidInput }
func (*ConflictError) exitCode() ExitCode        { return ExitConflict }
func (*UnavailableError) exitCode() ExitCode     { return ExitUnavailable }
func (*OutcomeUnknownError) exitCode() ExitCode  { return ExitOutcomeUnknown }
func (*InvalidResponseError) exitCode() ExitCode { return ExitFailed }

func exitCodeOf(err error) ExitCode {
	var typed exitError
	if errors.As(err, &typed) {
		return typed.exitCode()
	}
	return ExitFailed
}
