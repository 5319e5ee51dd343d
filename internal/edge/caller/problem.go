package caller

import (
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
)

// SQLSTATEs that the proxy sends to callers, or recognizes in errors of
// databases.
const (
	stateFeatureNotSupported   = "0A000"
	stateProtocolViolation     = "08P01"
	stateUnknownOutcome        = "08007"
	stateInvalidParameter      = "22023"
	stateUniqueViolation       = "23505"
	stateReadOnly              = "25006"
	stateIdleInTransaction     = "25P03"
	stateInFailedTransaction   = "25P02"
	stateInvalidPassword       = "28P01"
	stateInvalidAuth           = "28000"
	stateUnknownDatabase       = "3D000"
	stateSerialization         = "40001"
	stateInsufficientResources = "53000"
	stateTooManyConnections    = "53300"
	stateConfigurationLimit    = "53400"
	stateProgramLimit          = "54000"
	stateNotReady              = "55000"
	stateCanceled              = "57014"
	stateShutdown              = "57P01"
	stateCannotConnect         = "57P03"

	// stateWrongTerm and stateDuplicateKey belong to the protocol of the
	// databases.
	stateWrongTerm    = "EG002"
	stateDuplicateKey = "EG003"
)

// problem is an error that the proxy sends to a caller.
type problem struct {
	sqlState string
	message  string
	detail   string
	hint     string
	// fatal is true if the connection is closed after it.
	fatal bool
}

// encode appends the problem to buffer to, as an ErrorResponse.
func (p *problem) encode(to []byte) []byte {
	severity := "ERROR"
	if p.fatal {
		severity = "FATAL"
	}
	response := pgproto3.ErrorResponse{
		Severity:            severity,
		SeverityUnlocalized: severity,
		Code:                p.sqlState,
		Message:             p.message,
		Detail:              p.detail,
		Hint:                p.hint,
	}
	to, _ = response.Encode(to)
	return to
}

// withDetail returns a copy of the problem with another detail.
func (p problem) withDetail(detail string) *problem {
	p.detail = detail
	return &p
}

var (
	problemFlush = &problem{
		sqlState: stateFeatureNotSupported,
		message:  "not run: Flush without Sync is not supported",
	}
	problemFunctionCall = &problem{
		sqlState: stateFeatureNotSupported,
		message:  "not run: the function call message is not supported",
		hint:     "Call the function in a SELECT.",
	}
	problemCopy = &problem{
		sqlState: stateFeatureNotSupported,
		message:  "not run: COPY is not supported",
		hint:     "Send rows by INSERT, several in one statement.",
	}
	problemListen = &problem{
		sqlState: stateFeatureNotSupported,
		message:  "not run: LISTEN is not supported",
	}
	problemTooLarge = &problem{
		sqlState: stateProgramLimit,
		message:  "not run: the messages of one batch are too large",
	}
	problemTooManyStatements = &problem{
		sqlState: stateConfigurationLimit,
		message:  "not run: too many prepared statements in this session",
		hint:     "Close some of them, or DEALLOCATE ALL.",
	}
	problemTooManySettings = &problem{
		sqlState: stateConfigurationLimit,
		message:  "not run: too many settings in this session",
		hint:     "RESET some of them, or DISCARD ALL.",
	}
	problemInFailedTransaction = &problem{
		sqlState: stateInFailedTransaction,
		message:  "current transaction is aborted, commands ignored until end of transaction block",
	}
	problemDeadlinePassed = &problem{
		sqlState: stateIdleInTransaction,
		message:  "the transaction was rolled back: its deadline passed before its end",
	}
	problemConnectionLost = &problem{
		sqlState: stateSerialization,
		message:  "the transaction was rolled back: the connection to the database was lost before the commit",
		hint:     "Run the whole transaction again.",
	}
	problemBehind = &problem{
		sqlState: stateSerialization,
		message:  "the work was stopped: the database's state is older than the session has seen",
		hint:     "It may be sent again.",
	}
	problemFenced = &problem{
		sqlState: stateSerialization,
		message:  "the work was stopped and nothing of it was committed: the primary has been replaced",
		hint:     "Run the whole transaction again.",
	}
	problemChained = &problem{
		sqlState: stateFeatureNotSupported,
		message:  "a transaction may not follow a commit in the same batch; the commit is done, the new transaction was rolled back",
	}
	problemShuttingDown = &problem{
		sqlState: stateShutdown,
		message:  "not run: the proxy is shutting down",
		hint:     "Connect again.",
		fatal:    true,
	}
	problemTerminated = &problem{
		sqlState: stateShutdown,
		message:  "terminating connection: the proxy is shutting down",
		hint:     "Connect again.",
		fatal:    true,
	}
)

// -----------------------------------------------------------------------------
// Rejections and aborts by the core.

// refusalProblems maps each message.RefusalReason to the SQLSTATE and text for
// the caller.
var refusalProblems = map[message.RefusalReason]problem{
	message.RefuseOverload:        {sqlState: stateInsufficientResources, message: "not run: overloaded"},
	message.RefuseNoPrimary:       {sqlState: stateCannotConnect, message: "not run: no primary of the group is proven"},
	message.RefuseNoFreshDatabase: {sqlState: stateNotReady, message: "not run: no database of the group is fresh enough"},
	message.RefuseUnknownGroup:    {sqlState: stateUnknownDatabase, message: "not run: unknown group"},
	message.RefuseUnknownKind:     {sqlState: stateInvalidParameter, message: "not run: unknown kind of work"},
	message.RefuseDraining:        {sqlState: stateShutdown, message: "not run: the proxy is shutting down"},
	message.RefuseNotCommitted:    {sqlState: stateSerialization, message: "not run: the group has proven that the work was not committed"},
	message.RefuseDeadline:        {sqlState: stateCanceled, message: "not run: the deadline passed before the work was sent"},
	message.RefuseCanceled:        {sqlState: stateCanceled, message: "not run: canceled by the caller"},
	message.RefuseDuplicateKey:    {sqlState: stateUniqueViolation, message: "not run: the key was committed or settled before"},
}

// refusalProblem returns the error that a caller receives for a rejected
// request.
func refusalProblem(action message.RefuseRequest) *problem {
	p := refusalProblems[action.Reason]
	p.detail = action.Detail
	if action.RetryAfter > 0 {
		p.hint = "Come again in " + action.RetryAfter.Round(time.Millisecond).String() + "."
	}
	return &p
}

// abortProblem returns the error that a caller receives for an aborted request.
func abortProblem(action message.AbortRequest) *problem {
	if action.OutcomeUnknown {
		return &problem{
			sqlState: stateUnknownOutcome,
			message:  "outcome unknown: the work may or may not have been committed",
			detail:   action.Reason,
			hint:     "Look for its effect before it is sent again.",
		}
	}
	return &problem{
		sqlState: stateSerialization,
		message:  "the work was stopped and nothing of it was committed",
		detail:   action.Reason,
		hint:     "It may be sent again.",
	}
}

func hintProblem(err error) *problem {
	return &problem{sqlState: stateInvalidParameter, message: "not run: " + err.Error()}
}

// tooManyConnectionsProblem rejects a connection above the limit.
func tooManyConnectionsProblem(limit int) *problem {
	return &problem{
		sqlState: stateTooManyConnections,
		message:  "too many connections",
		detail:   "This instance takes " + strconv.Itoa(limit) + ".",
		fatal:    true,
	}
}
