package caller

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// result describes how an exchange ended.
type result interface{ isResult() }

// resultComplete: the answer was read completely. The part that was not sent
// yet is in the workspace, without the ReadyForQuery.
type resultComplete struct {
	// commitPosition is the position of a commit, or zero.
	commitPosition model.Position
	// databaseError is the last error in the answer, or nil.
	databaseError *pgproto3.ErrorResponse
	// mustHold is true if the answer must be held until its position is
	// durable.
	mustHold bool
}

// resultConnectionLost: the backend connection broke or was given up.
type resultConnectionLost struct{ unresponsive bool }

// resultNotStarted: the database reported that it did not run the batch.
type resultNotStarted struct{ reason message.NotStartedReason }

// resultBehind: the position of the database is older than the minimum
// position.
type resultBehind struct{}

// resultAborted: the core or the relay ended the exchange with an error for the
// caller.
type resultAborted struct{ problem *problem }

// resultSessionEnded: the caller does not read its answer, or the instance is
// terminating.
type resultSessionEnded struct{ cause error }

func (resultComplete) isResult()       {}
func (resultConnectionLost) isResult() {}
func (resultNotStarted) isResult()     {}
func (resultBehind) isResult()         {}
func (resultAborted) isResult()        {}
func (resultSessionEnded) isResult()   {}
