// Package statement defines the statements of callers and the answers of databases,
// independently of any protocol.
//
// # What flows in and out
//
// The package defines values only. A codec of a caller's protocol decodes statements
// and encodes answers; a codec of a database's protocol encodes statements and
// decodes answers. The session between them distinguishes statements by a type
// switch.
//
// # Usage
//
//	switch s := request.Statement.(type) {
//	case statement.Begin:
//		...
//	}
package statement

import "github.com/eelgrassfold/eelgrassfold/internal/core/model"

// -----------------------------------------------------------------------------
// Statements.

// Statement is a statement that a caller, or the proxy itself, sends to a database.
type Statement interface{ isStatement() }

// Begin starts a transaction. A ReadOnly transaction may run at a replica.
type Begin struct{ ReadOnly bool }

// Commit ends a transaction and makes its writes permanent.
type Commit struct{}

// Rollback ends a transaction and discards its writes.
type Rollback struct{}

// Read reads items. Text is the statement as the caller wrote it.
type Read struct{ Text string }

// Write changes items. Text is the statement as the caller wrote it.
type Write struct{ Text string }

// Set assigns a value to a session variable.
type Set struct{ Name, Value string }

// Prepare names a statement template for later use by Execute.
type Prepare struct {
	Name     string
	Access   model.Access
	Template string
}

// Execute runs a prepared statement. Arguments are forwarded unchanged.
type Execute struct{ Name, Arguments string }

// Deallocate removes a prepared statement.
type Deallocate struct{ Name string }

// Discard clears the session variables and prepared statements of a connection to a
// database. Only the proxy uses it.
type Discard struct{}

// QueryStatus asks a database for its ServerStatus. Only the proxy uses it.
type QueryStatus struct{}

// StepDown demotes a primary of a term lower than Term to a replica. Only the proxy
// uses it.
type StepDown struct{ Term model.Term }

// Malformed is a statement that the caller's codec could not parse.
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

// Request is one statement to be sent to a database.
type Request struct {
	// ID is the ID that the caller gave to the request. It is empty for the proxy's
	// own statements.
	ID        string
	Statement Statement
	// MinPosition is the position that the database's log must have reached; zero
	// means no requirement.
	MinPosition model.Position
	// Forward, if set, gets rows of an answer that is too large to be held whole, in their
	// order. The answer then has the rows after those. An error ends the exchange.
	Forward func(rows []string) error
}

// -----------------------------------------------------------------------------
// Answers.

// TransactionState is the state of a session's transaction after an answer.
type TransactionState int

// The values of TransactionState.
const (
	// TransactionStateIdle: no transaction is open.
	TransactionStateIdle TransactionState = iota
	// TransactionStateOpen: a transaction is open.
	TransactionStateOpen
	// TransactionStateFailed: a transaction has failed and has not been ended yet.
	TransactionStateFailed
)

// Answer is the response to one statement.
type Answer struct {
	// Rows are forwarded unchanged.
	Rows []string
	// Signature is the receipt that the database sends with a successful answer. It
	// is forwarded to the caller unchanged, and empty for an answer of the proxy
	// itself.
	Signature string
	// Failure is nil on success.
	Failure          *FailureError
	TransactionState TransactionState
	// Position is the end of the database's log.
	Position model.Position
}

// FailureError is the error of an answer.
type FailureError struct {
	Code Code
	// Message is sent to the caller with the code.
	Message string
	// RawCode is the code as the database sent it, if Code is CodeUnrecognized.
	RawCode string
}

// Error implements error.
func (f *FailureError) Error() string {
	if f.Code == CodeUnrecognized {
		return f.RawCode + ": " + f.Message
	}
	return f.Code.String() + ": " + f.Message
}

// Code classifies a failure by what it guarantees about the statement.
type Code int

// The values of Code. The first group guarantees that no write was kept. The second
// group rejects a name that does not exist, a key, or a statement that is not valid. In the
// third group, the statement ran or may have run.
const (
	// CodeBusy: the statement did not run, since the database had no free slot.
	CodeBusy Code = iota
	// CodeAborted: the transaction was rolled back.
	CodeAborted
	// CodeBehind: the database's log lacks the minimum position.
	CodeBehind
	// CodeNotPrimary: the database is not a primary.
	CodeNotPrimary
	// CodeWrongDatabase: another database answers at this address.
	CodeWrongDatabase
	// CodeConnectionLimit: the database accepts no further connection.
	CodeConnectionLimit

	// CodePreparedStatementNotFound: no prepared statement has that name; nothing ran.
	CodePreparedStatementNotFound
	// CodeMalformed: the statement could not be parsed, or is not allowed in the
	// session's state; it did not run.
	CodeMalformed
	// CodeGroupNotFound: no group has that name.
	CodeGroupNotFound
	// CodeAccessDenied: the caller's key identifies no tenant; nothing ran.
	CodeAccessDenied

	// CodeExecutionFailed: the statement ran and failed.
	CodeExecutionFailed
	// CodeTimeout: the statement timed out; it may have run.
	CodeTimeout
	// CodeOutcomeUnknown: it cannot be determined whether the statement was committed.
	CodeOutcomeUnknown
	// CodeUnrecognized: the database sent a code that is not known here.
	CodeUnrecognized
)

// String returns the name of c for log lines.
func (c Code) String() string {
	return [...]string{
		"busy", "aborted", "behind", "read-only", "wrong-database", "connection-limit",
		"no-statement", "malformed", "no-group", "denied", "failed", "timeout", "unknown", "other",
	}[c]
}

// GuaranteesNotExecuted reports whether the code guarantees that the statement did not
// run; sessions may then retry it. It returns false for CodeMalformed,
// CodeGroupNotFound and CodeAccessDenied although nothing ran: these are sent to the caller
// at once.
func (c Code) GuaranteesNotExecuted() bool {
	return c <= CodeConnectionLimit && c != CodeAborted || c == CodePreparedStatementNotFound
}

// ServerStatus is the status that a database reports.
type ServerStatus struct {
	Role model.Role
	// Term is the newest term that the database has accepted.
	Term model.Term
	// ReceivedPosition is the end of its log.
	ReceivedPosition model.Position
	// SlotsInUse and ConnectionsInUse are the numbers of its slots and connections in
	// use.
	SlotsInUse, ConnectionsInUse int
}
