package caller

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// result is how an exchange ended.
type result interface{ isResult() }

// resultWhole: the answer was read to its end; what is left of it waits in the
// workspace, without the ReadyForQuery.
type resultWhole struct {
	// commit is the position of a commit, or zero.
	commit model.Position
	// failure is the last error in the answer, or nil.
	failure *pgproto3.ErrorResponse
	// unproven says that the answer has to wait for the proof of its position.
	unproven bool
}

// resultLost: the connection broke, or was given up.
type resultLost struct{ silent bool }

// resultRefused: the database proved that it did not run the work.
type resultRefused struct{ why message.NotStartedReason }

// resultBehind: the database's state is older than was asked for.
type resultBehind struct{}

// resultStopped: the core or the edge ended the exchange with an error for the
// caller.
type resultStopped struct{ problem *problem }

// resultUnread: the caller does not take its answer.
type resultUnread struct{ cause error }

func (resultWhole) isResult()   {}
func (resultLost) isResult()    {}
func (resultRefused) isResult() {}
func (resultBehind) isResult()  {}
func (resultStopped) isResult() {}
func (resultUnread) isResult()  {}
