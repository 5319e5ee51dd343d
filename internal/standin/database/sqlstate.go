package database

import "fmt"

// sqlError is an error that is sent to a client.
type sqlError struct {
	state   string
	message string
	// fatal is true if the connection is closed after the error.
	fatal bool
}

// Error implements error.
func (e *sqlError) Error() string { return fmt.Sprintf("%s (SQLSTATE %s)", e.message, e.state) }

// severity returns the protocol's name for the severity of the error.
func (e *sqlError) severity() string {
	if e.fatal {
		return "FATAL"
	}
	return "ERROR"
}

// The SQLSTATEs that are sent to clients.
const (
	stateUnsupported        = "0A000"
	stateInvalidParameter   = "22023"
	stateNullValue          = "22004"
	stateUniqueViolation    = "23505"
	stateActiveTransaction  = "25001"
	stateReadOnly           = "25006"
	stateFailedTransaction  = "25P02"
	stateUnknownStatement   = "26000"
	stateInvalidPassword    = "28P01"
	stateUnknownPortal      = "34000"
	stateSyntax             = "42601"
	stateUnknownSetting     = "42704"
	stateTooManyConnections = "53300"
	stateCanceled           = "57014"
	stateLeaving            = "57P01"
	stateNotReady           = "57P03"
	stateIOError            = "58030"
	stateProtocol           = "08P01"

	// stateTermConflict: a control statement names a term or nonce that does not fit
	// the database's term, nonce or role.
	stateTermConflict = "EG001"
	// stateTermMismatch: the session expects another term, or the database stopped
	// being primary during the transaction.
	stateTermMismatch = "EG002"
	// stateDuplicateKey: the commit with the idempotency key has taken place, or was
	// resolved as not committed.
	stateDuplicateKey = "EG003"
)

// newSQLError returns an error that does not close the connection.
func newSQLError(state, format string, args ...any) *sqlError {
	return &sqlError{state: state, message: fmt.Sprintf(format, args...)}
}
