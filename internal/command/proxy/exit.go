package proxy

import "errors"

// Exit is the code that the process ends with.
type Exit int

// The exit codes.
const (
	ExitOK Exit = iota
	ExitFailed
	ExitInput
	ExitConflict
	ExitUnavailable
	ExitUnknown
)

// exits lists the exit codes for help and documents.
var exits = []struct {
	code    Exit
	meaning string
}{
	{ExitOK, "done"},
	{ExitFailed, "failed, for a reason that is none of those below"},
	{ExitInput, "bad input: a wrong argument, or a file with faults"},
	{ExitConflict, "conflict: another manifest than expected is accepted; nothing changed"},
	{ExitUnavailable, "unavailable: the instance or the platform was not reached; nothing changed"},
	{ExitUnknown, "unknown outcome: the change may have happened; look before trying again"},
}

// -----------------------------------------------------------------------------
// Failures. Each has the exit code of its kind.

// failure is the sealed interface of what a verb may fail with.
type failure interface {
	error
	exit() Exit
}

// UsageError reports arguments that make no sense.
type UsageError struct{ Why string }

// Error implements error.
func (e *UsageError) Error() string {
	return e.Why + "; see '" + program + " help'"
}

// InputError reports a file that can't be read or has faults. The faults have
// been printed.
type InputError struct{ Why string }

// Error implements error.
func (e *InputError) Error() string { return e.Why }

// ConflictError reports that another manifest than expected is accepted.
type ConflictError struct{ Why string }

// Error implements error.
func (e *ConflictError) Error() string { return "conflict: " + e.Why }

// UnavailableError reports that the instance, or the platform behind it, was
// not reached; nothing changed.
type UnavailableError struct{ Why string }

// Error implements error.
func (e *UnavailableError) Error() string { return "unavailable: " + e.Why }

// UnknownError reports that a change may or may not have happened.
type UnknownError struct{ Why string }

// Error implements error.
func (e *UnknownError) Error() string { return "outcome unknown: " + e.Why }

// AnswerError reports an instance's answer that makes no sense here.
type AnswerError struct{ Why string }

// Error implements error.
func (e *AnswerError) Error() string { return e.Why }

func (*UsageError) exit() Exit       { return ExitInput }
func (*InputError) exit() Exit       { return ExitInput }
func (*ConflictError) exit() Exit    { return ExitConflict }
func (*UnavailableError) exit() Exit { return ExitUnavailable }
func (*UnknownError) exit() Exit     { return ExitUnknown }
func (*AnswerError) exit() Exit      { return ExitFailed }

func exitOf(err error) Exit {
	var typed failure
	if errors.As(err, &typed) {
		return typed.exit()
	}
	return ExitFailed
}
