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
	Name   string
	Access model.Access
	Shape  string
}

// Execute runs a prepared statement. Arguments are passed on as they are.
type Execute struct{ Name, Arguments string }

// Deallocate forgets the name of a prepared statement.
type Deallocate struct{ Name string }

// Discard clears the values and prepared statements of a connection to a
// database. Only the proxy uses it.
type Discard struct{}

// Inquire asks a database for its Standing. Only the proxy uses it.
type Inquire struct{}

// StepDown makes a primary of a lower term a replica. Only the proxy uses it.
type StepDown struct{ Term model.Term }

// Malformed is a statement that the caller's codec could not read.
type Malformed struct{}

func (Begin) isStatement()      {}
func (Commit) isStatement()     {}
func (Rollback) isStatement()   {}
func (Read) isStatement()       {}
func (Write) isStatement()      {}
func (Set) isStatement()        {}
func (Prepare) isStatement()    {}
func (Execute) isStatement()    {}
func (Deallocate) isStatement() {}
func (Discard) isStatement()    {}
func (Inquire) isStatement()    {}
func (StepDown) isStatement()   {}
func (Malformed) isStatement()  {}

// Call is one statement on its way to a database.
type Call struct {
	// ID is the request's id as the caller gave it; it is empty for the proxy's
	// own statements.
	ID        string
	Statement Statement
	// After is the position that the database's log must have reached; zero
	// asks for nothing.
	After model.Position
}

// -----------------------------------------------------------------------------
// Answers.

// State tells where a session stands after an answer.
type State int

// The values of State.
const (
	// StateIdle: no transaction is open.
	StateIdle State = iota
	// StateOpen: a transaction is open.
	StateOpen
	// StateFailed: a transaction has failed and waits for its end.
	StateFailed
)

// Answer is what came back for one statement.
type Answer struct {
	// Rows are passed on as they came.
	Rows []string
	// Signature is the database's receipt; it is empty for an answer of the
	// proxy itself.
	Signature string
	// Failure is nil for a success.
	Failure *FailureError
	State   State
	// Position is how far the database's log reached.
	Position model.Position
}

// FailureError is an answer that is no success. It implements error.
type FailureError struct {
	Code Code
	// Text goes to the caller beside the code.
	Text string
	// Verbatim is the code as the database wrote it, where Code is CodeOther.
	Verbatim string
}

// Error implements error.
func (f *FailureError) Error() string {
	if f.Code == CodeOther {
		return f.Verbatim + ": " + f.Text
	}
	return f.Code.String() + ": " + f.Text
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
	// CodeReadOnly: the database is no primary.
	CodeReadOnly
	// CodeWrongDatabase: another database answers at this address.
	CodeWrongDatabase
	// CodeConnectionLimit: the database takes no further connection.
	CodeConnectionLimit

	// CodeNoStatement: no prepared statement has that name; it did not run.
	CodeNoStatement
	// CodeMalformed: the statement could not be read, or does not fit the
	// session's state; it did not run.
	CodeMalformed
	// CodeNoGroup: no group has that name.
	CodeNoGroup

	// CodeFailed: it ran and failed.
	CodeFailed
	// CodeTimeout: it may have run, and took too long.
	CodeTimeout
	// CodeUnknown: it can't be known whether it was committed.
	CodeUnknown
	// CodeOther: a code of the database that has no meaning here.
	CodeOther
)

// String names c for log lines.
func (c Code) String() string {
	return [...]string{
		"busy", "aborted", "behind", "read-only", "wrong-database", "connection-limit",
		"no-statement", "malformed", "no-group", "failed", "timeout", "unknown", "other",
	}[c]
}

// IsNotRun reports whether the code says that the statement did not run.
func (c Code) IsNotRun() bool {
	return c <= CodeConnectionLimit && c != CodeAborted || c == CodeNoStatement
}

// Standing is what a database says of itself.
type Standing struct {
	Role model.Role
	// Term is the newest that the database has accepted.
	Term model.Term
	// Received is how far its log reaches.
	Received model.Position
	// Busy is the number of slots in use, Connections that of its connections.
	Busy, Connections int
}
