// Package statement holds what callers ask for and what databases answer, in
// the words of no protocol.
//
// # What flows in and out
//
// Nothing flows: the package has values only. A codec of a caller's protocol
// makes statements and writes answers; a codec of a database's protocol writes
// statements and makes answers. The session between them decides by a type
// switch.
//
// # Usage
//
//	switch s := asked.(type) {
//	case statement.Begin:
//		...
//	}
package statement

import "github.com/eelgrassfold/eelgrassfold/internal/core/model"

// -----------------------------------------------------------------------------
// Statements.

// Statement is what a caller, or the proxy itself, wants of a database.
type Statement interface{ isStatement() }

// Begin opens a transaction. One that is ReadOnly may run at a replica.
type Begin struct{ ReadOnly bool }

// Commit ends a transaction and keeps what it wrote.
type Commit struct{}

// Rollback ends a transaction and drops what it wrote.
type Rollback struct{}

// Read reads items. Text is the statement as the caller wrote it.
type Read struct{ Text string }

// Write changes items. Text is the statement as the caller wrote it.
type Write struct{ Text string }

// Set gives a session value.
type Set struct{ Name, Value string }

// Prepare names a statement of a shape for later use by Execute.
type Prepare struct {
	Name     string
	Access   model.Access
	Template string
}

// Execute runs a prepared statement. Arguments are passed on as they are.
type Execute struct{ Name, Arguments string }

// Deallocate forgets the name of a prepared statement.
type Deallocate struct{ Name string }

// Discard clears the values and prepared statements of a connection to a
// database. Only the proxy uses it.
type Discard struct{}

// QueryStatus asks a database for its Standing. Only the proxy uses it.
type QueryStatus struct{}

// StepDown makes a primary of a lower term a replica. Only the proxy uses it.
type StepDown struct{ Term model.Term }

// Malformed is a statement that the caller's codec could not read.
type Malformed struct{}

func (Begin) isStatement()       {}
func (Commit) isStatement()      {}
func (Rollback) isStatement()    {}
func (Read) isStatement()        {}
func (Write) isStatement()       {}
func (Set) isStatement()         {}
func (Prepare) isStatement()     {}
func (Execute) isStatement()     {}
func (Deallocate) isStatement()  {}
func (Discard) isStatement()     {}
func (QueryStatus) isStatement() {}
func (StepDown) isStatement()    {}
func (Malformed) isStatement()   {}

// Request is one statement on its way to a database.
type Request struct {
	// ID is the request's id as the caller gave it; it is empty for the proxy's
	// own statements.
	ID        string
	Statement Statement
	// MinPosition is the position that the database's log must have reached; zero
	// asks for nothing.
	MinPosition model.Position
}

// -----------------------------------------------------------------------------
// Answers.

// TransactionState tells where a session stands after an answer.
type TransactionState int

// The values of State.
const (
	// TransactionStateIdle: no transaction is open.
	TransactionStateIdle TransactionState = iota
	// TransactionStateOpen: a transaction is open.
	TransactionStateOpen
	// TransactionStateFailed: a transaction has failed and waits for its end.
	TransactionStateFailed
)

// Answer is what came back for one statement.
type Answer struct {
	// Rows are passed on as they came.
	Rows []string
	// Signature is the database's receipt; it is empty for an answer of the
	// proxy itself.
	Signature string
	// Failure is nil for a success.
	Failure          *FailureError
	TransactionState TransactionState
	// Position is how far the database's log reached.
	Position model.Position
}

// FailureError is an answer that is no success. It implements error.
type FailureError struct {
	Code Code
	// Message goes to the caller beside the code.
	Message string
	// RawCode is the code as the database wrote it, where Code is CodeUnrecognized.
	RawCode string
}

// Error implements error.
func (f *FailureError) Error() string {
	if f.Code == CodeUnrecognized {
		return f.RawCode + ": " + f.Message
	}
	return f.Code.String() + ": " + f.Message
}

// Code tells what a failure promises.
type Code int

// The values of Code. The first group promises that nothing is kept.
const (
	// CodeBusy: it did not run, for lack of room.
	CodeBusy Code = iota
	// CodeAborted: the transaction was rolled back.
	CodeAborted
	// CodeBehind: the database's log lacks the position asked for.
	CodeBehind
	// CodeNotPrimary: the database is no primary.
	CodeNotPrimary
	// CodeWrongDatabase: another database answers at this address.
	CodeWrongDatabase
	// CodeConnectionLimit: the database takes no further connection.
	CodeConnectionLimit

	// CodePreparedStatementNotFound: no prepared statement has that name; it did not run.
	CodePreparedStatementNotFound
	// CodeMalformed: the statement could not be read, or does not fit the
	// session's state; it did not run.
	CodeMalformed
	// CodeGroupNotFound: no group has that name.
	CodeGroupNotFound

	// CodeExecutionFailed: it ran and failed.
	CodeExecutionFailed
	// CodeTimeout: it may have run, and took too long.
	CodeTimeout
	// CodeOutcomeUnknown: it can't be known whether it was committed.
	CodeOutcomeUnknown
	// CodeUnrecognized: a code of the database that has no meaning here.
	CodeUnrecognized
)

// String names c for log lines.
func (c Code) String() string {
	return [...]string{
		"busy", "aborted", "behind", "read-only", "wrong-database", "connection-limit",
		"no-statement", "malformed", "no-group", "failed", "timeout", "unknown", "other",
	}[c]
}

// GuaranteesNotExecuted reports whether the code says that the statement did not run.
func (c Code) GuaranteesNotExecuted() bool {
	return c <= CodeConnectionLimit && c != CodeAborted || c == CodePreparedStatementNotFound
}

// ServerStatus is what a database says of itself.
type ServerStatus struct {
	Role model.Role
	// Term is the newest that the database has accepted.
	Term model.Term
	// ReceivedPosition is how far its log reaches.
	ReceivedPosition model.Position
	// SlotsInUse is the number of slots in use, ConnectionsInUse that of its connections.
	SlotsInUse, ConnectionsInUse int
}
