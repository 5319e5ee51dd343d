package database

import "fmt"

// sqlError is a failure as a client gets it.
type sqlError struct {
	state   string
	message string
	// fatal says that the connection ends.
	fatal bool
}

// Error implements error.
func (e *sqlError) Error() string { return fmt.Sprintf("%s (SQLSTATE %s)", e.message, e.state) }

// severity names how grave the failure is, as the protocol does.
func (e *sqlError) severity() string {
	if e.fatal {
		return "FATAL"
	}
	return "ERROR"
}

// The SQLSTATEs in use.
const (
	stateUnsupported        = "0A000"
	stateInvalidParameter   = "22023"
	stateNullValue          = "22004"
	stateUniqueViolation    = "23505"
	stateActiveTransaction  = "25001"
	stateReadOnly           = "25006"
	stateFailedTransaction  = "25P02"
	stateNoStatement        = "26000"
	stateInvalidPassword    = "28P01"
	stateNoPortal           = "34000"
	stateSyntax             = "42601"
	stateUnknownSetting     = "42704"
	stateTooManyConnections = "53300"
	stateCanceled           = "57014"
	stateLeaving            = "57P01"
	stateNotYet             = "57P03"
	stateInputOutput        = "58030"
	stateProtocol           = "08P01"

	// stateConflict: a control statement names a lower term, or another nonce.
	stateConflict = "EG001"
	// stateTerm: the statement expects another term.
	stateTerm = "EG002"
	// stateDuplicate: the idempotency key was committed or settled before.
	stateDuplicate = "EG003"
)

func failure(state, format string, args ...any) *sqlError {
	return &sqlError{state: state, message: fmt.Sprintf(format, args...)}
}
