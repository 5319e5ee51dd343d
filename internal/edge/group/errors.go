package group

import (
	"fmt"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// -----------------------------------------------------------------------------
// Failures of control connections.

// StatementError is an ErrorResponse of a database.
type StatementError struct {
	// SQLState is the SQLSTATE.
	SQLState string
	// Message is the database's own text.
	Message string
}

// Error implements error.
func (e *StatementError) Error() string {
	return fmt.Sprintf("the database answered %s: %s", e.SQLState, e.Message)
}

// ProtocolError reports a message that does not belong where it came.
type ProtocolError struct {
	// Step names the step, such as "startup".
	Step string
	// MessageType names the message.
	MessageType string
}

// Error implements error.
func (e *ProtocolError) Error() string {
	return fmt.Sprintf("unexpected %s during %s", e.MessageType, e.Step)
}

// UnexpectedDatabaseError reports that another database than expected answers at an
// address.
type UnexpectedDatabaseError struct {
	Expected, Got model.DatabaseID
}

// Error implements error.
func (e *UnexpectedDatabaseError) Error() string {
	return fmt.Sprintf("database %s answers in place of %s", e.Got, e.Expected)
}

// ColumnError reports a column of an answer that is absent or can't be read.
type ColumnError struct {
	Column string
	// Value is the value, empty where the column is absent.
	Value string
}

// Error implements error.
func (e *ColumnError) Error() string {
	return fmt.Sprintf("column %s of the answer can't be read: %q", e.Column, e.Value)
}
