package group

import (
	"fmt"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// -----------------------------------------------------------------------------
// Errors of control connections.

// StatementError reports an ErrorResponse that a database sent.
type StatementError struct {
	// SQLState is the SQLSTATE of the response.
	SQLState string
	// Message is the database's message text.
	Message string
}

// Error implements error.
func (e *StatementError) Error() string {
	return fmt.Sprintf("the database returned error %s: %s", e.SQLState, e.Message)
}

// ProtocolError reports a message that the protocol does not allow at that step.
type ProtocolError struct {
	// Step is the step of the protocol, such as "startup".
	Step string
	// MessageType describes the message.
	MessageType string
}

// Error implements error.
func (e *ProtocolError) Error() string {
	return fmt.Sprintf("unexpected %s during %s", e.MessageType, e.Step)
}

// UnexpectedDatabaseError reports that a database other than the expected one
// answers at an address.
type UnexpectedDatabaseError struct {
	Expected, Got model.DatabaseID
}

// Error implements error.
func (e *UnexpectedDatabaseError) Error() string {
	return fmt.Sprintf("database %s answered at the address of database %s", e.Got, e.Expected)
}

// ColumnError reports a column of an answer that is missing or has an invalid
// value.
type ColumnError struct {
	Column string
	// Value is the column's value, or empty if the column is missing.
	Value string
}

// Error implements error.
func (e *ColumnError) Error() string {
	return fmt.Sprintf("column %s of the answer is missing or invalid: %q", e.Column, e.Value)
}
