package group

import (
	"fmt"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// -----------------------------------------------------------------------------
// Failures of control connections.

// StatementError is an ErrorResponse of a database.
type StatementError struct {
	// State is the SQLSTATE.
	State string
	// Message is the database's own text.
	Message string
}

// Error implements error.
func (e *StatementError) Error() string {
	return fmt.Sprintf("the database answered %s: %s", e.State, e.Message)
}

// ProtocolError reports a message that does not belong where it came.
type ProtocolError struct {
	// Where names the step, such as "startup".
	Where string
	// Got names the message.
	Got string
}

// Error implements error.
func (e *ProtocolError) Error() string {
	return fmt.Sprintf("unexpected %s during %s", e.Got, e.Where)
}

// IdentityError reports that another database than expected answers at an
// address.
type IdentityError struct {
	Expected, Got model.DatabaseID
}

// Error implements error.
func (e *IdentityError) Error() string {
	return fmt.Sprintf("database %s answers in place of %s", e.Got, e.Expected)
}

// ColumnError reports a column of an answer that is absent or can't be read.
type ColumnError struct {
	Column string
	// Text is the value, empty where the column is absent.
	Text string
}

// Error implements error.
func (e *ColumnError) Error() string {
	return fmt.Sprintf("column %s of the answer can't be read: %q", e.Column, e.Text)
}
