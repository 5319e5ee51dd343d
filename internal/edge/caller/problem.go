package caller

import (
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
)

// SQLSTATEs that the proxy gives to callers, or finds in answers of databases.
const (
	stateFeatureNotSupported = "0A000"
	stateProtocolViolation   = "08P01"
	stateUnknownOutcome      = "08007"
	stateInvalidParameter    = "22023"
	stateUniqueViolation     = "23505"
	stateReadOnly            = "25006"
	stateIdleInTransaction   = "25P03"
	stateInFailedTransaction = "25P02"
	stateInvalidPassword     = "28P01"
	stateInvalidAuth         = "28000"
	stateUnknownDatabase     = "3D000"
	stateSerialization       = "40001"
	stateInsufficient        = "53000"
	stateTooManyConnections  = "53300"
	stateConfigurationLimit  = "53400"
	stateProgramLimit        = "54000"
	stateNotReady            = "55000"
	stateCanceled            = "57014"
	stateShutdown            = "57P01"
	stateCannotConnect       = "57P03"

	// stateTerm and stateDuplicate are those of the databases' protocol.
	stateTerm      = "EG002"
	stateDuplicate = "EG003"
)

// problem is an error that the proxy itself gives to a caller.
type problem struct {
	state   string
	message string
	detail  string
	hint    string
	// fatal says that the connection ends with it.
	fatal bool
}

// encode appends the problem as an ErrorResponse.
func (p *problem) encode(to []byte) []byte {
	severity := "ERROR"
	if p.fatal {
		severity = "FATAL"
	}
	response := pgproto3.ErrorResponse{
		Severity:            severity,
		SeverityUnlocalized: severity,
		Code:                p.state,
		Message:             p.message,
		Detail:              p.detail,
		Hint:                p.hint,
	}
	to, _ = response.Encode(to)
	return to
}

// with returns the problem with another detail.
func (p problem) with(detail string) *problem {
	p.detail = detail
	return &p
}

var (
	problemFlush = &problem{
		state:   stateFeatureNotSupported,
		message: "not run: Flush without Sync is not supported",
	}
	problemFunctionCall = &problem{
		state:   stateFeatureNotSupported,
		message: "not run: the function call message is not supported",
		hint:    "Call the function in a SELECT.",
	}
	problemCopy = &problem{
		state:   stateFeatureNotSupported,
		message: "not run: COPY is not supported",
		hint:    "Send rows by INSERT, several in one statement.",
	}
	problemListen = &problem{
		state:   stateFeatureNotSupported,
		message: "not run: LISTEN is not supported",
	}
	problemTooLarge = &problem{
		state:   stateProgramLimit,
		message: "not run: the messages of one batch are too large",
	}
	problemStatements = &problem{
		state:   stateConfigurationLimit,
		message: "not run: too many prepared statements in this session",
		hint:    "Close some of them, or DEALLOCATE ALL.",
	}
	problemSettings = &problem{
		state:   stateConfigurationLimit,
		message: "not run: too many settings in this session",
		hint:    "RESET some of them, or DISCARD ALL.",
	}
	problemFailed = &problem{
		state:   stateInFailedTransaction,
		message: "current transaction is aborted, commands ignored until end of transaction block",
	}
	problemIdle = &problem{
		state:   stateIdleInTransaction,
		message: "the transaction was rolled back: its deadline passed before its end",
	}
	problemBroken = &problem{
		state:   stateSerialization,
		message: "the transaction was rolled back: the connection to the database was lost before the commit",
		hint:    "Run the whole transaction again.",
	}
	problemBehind = &problem{
		state:   stateSerialization,
		message: "the work was stopped: the database's state is older than the session has seen",
		hint:    "It may be sent again.",
	}
	problemFenced = &problem{
		state:   stateSerialization,
		message: "the work was stopped and nothing of it was committed: the primary has been replaced",
		hint:    "Run the whole transaction again.",
	}
	problemChained = &problem{
		state:   stateFeatureNotSupported,
		message: "a transaction may not follow a commit in the same batch; the commit is done, the new transaction was rolled back",
	}
	problemEnding = &problem{
		state:   stateShutdown,
		message: "not run: the proxy is shutting down",
		hint:    "Connect again.",
		fatal:   true,
	}
	problemDrained = &problem{
		state:   stateShutdown,
		message: "terminating connection: the proxy is shutting down",
		hint:    "Connect again.",
		fatal:   true,
	}
)

// -----------------------------------------------------------------------------
// Refusals of the core.

// refusals gives the SQLSTATE and the text of each message.RefusalReason.
var refusals = map[message.RefusalReason]problem{
	message.RefuseOverload:        {state: stateInsufficient, message: "not run: overloaded"},
	message.RefuseNoPrimary:       {state: stateCannotConnect, message: "not run: no primary of the group is proven"},
	message.RefuseNoFreshDatabase: {state: stateNotReady, message: "not run: no database of the group is fresh enough"},
	message.RefuseUnknownGroup:    {state: stateUnknownDatabase, message: "not run: unknown group"},
	message.RefuseUnknownKind:     {state: stateInvalidParameter, message: "not run: unknown kind of work"},
	message.RefuseDraining:        {state: stateShutdown, message: "not run: the proxy is shutting down"},
	message.RefuseNotCommitted:    {state: stateSerialization, message: "not run: the group has proven that the work was not committed"},
	message.RefuseDeadline:        {state: stateCanceled, message: "not run: the deadline passed before the work was sent"},
	message.RefuseCanceled:        {state: stateCanceled, message: "not run: canceled by the caller"},
	message.RefuseDuplicateKey:    {state: stateUniqueViolation, message: "not run: the key was committed or settled before"},
}

// refusalProblem returns the error that a caller gets for a refusal.
func refusalProblem(refuse message.RefuseRequest) *problem {
	p := refusals[refuse.Reason]
	p.detail = refuse.Detail
	if refuse.RetryAfter > 0 {
		p.hint = "Come again in " + refuse.RetryAfter.Round(time.Millisecond).String() + "."
	}
	return &p
}

// abandonProblem returns the error that a caller gets for an abandoned request.
func abandonProblem(abandon message.AbortRequest) *problem {
	if abandon.OutcomeUnknown {
		return &problem{
			state:   stateUnknownOutcome,
			message: "outcome unknown: the work may or may not have been committed",
			detail:  abandon.Reason,
			hint:    "Look for its effect before it is sent again.",
		}
	}
	return &problem{
		state:   stateSerialization,
		message: "the work was stopped and nothing of it was committed",
		detail:  abandon.Reason,
		hint:    "It may be sent again.",
	}
}

func hintProblem(err error) *problem {
	return &problem{state: stateInvalidParameter, message: "not run: " + err.Error()}
}

// limitProblem refuses a connection above the limit.
func limitProblem(limit int) *problem {
	return &problem{
		state:   stateTooManyConnections,
		message: "too many connections",
		detail:  "This instance takes " + strconv.Itoa(limit) + ".",
		fatal:   true,
	}
}
