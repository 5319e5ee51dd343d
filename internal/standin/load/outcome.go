package load

import (
	"context"
	"strings"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/pkg/errors"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// outcome is what a client was told of a statement.
type outcome int

// The values of outcome.
const (
	// outcomeDone: it was answered.
	outcomeDone outcome = iota
	// outcomeNotRun: it was refused, or never sent.
	outcomeNotRun
	// outcomeUnknown: a write may have been committed or not.
	outcomeUnknown
	// outcomeFailed: it was answered by another error, and committed nothing.
	outcomeFailed
)

const (
	// unknownState is the SQLSTATE of an unknown outcome.
	unknownState = "08007"
	// notRunPrefix begins the message of each error that says that a
	// statement did not run.
	notRunPrefix = "not run:"
)

// Causes that have no SQLSTATE.
const (
	causeConnect = "connect"
	causeUnsent  = "unsent"
	causeTimeout = "timeout"
	causeBroken  = "broken"
)

// classify tells the outcome of a statement that was given to a connection,
// and the SQLSTATE or other cause where it was not done.
func classify(err error, access model.Access) (outcome, string) {
	var answered *pgconn.PgError
	switch {
	case err == nil:
		return outcomeDone, ""
	case errors.As(err, &answered):
		return classifyAnswer(answered), answered.Code
	case pgconn.SafeToRetry(err):
		return outcomeNotRun, causeUnsent
	}
	cause := causeBroken
	if errors.Is(err, context.DeadlineExceeded) {
		cause = causeTimeout
	}
	if access == model.AccessRead {
		return outcomeFailed, cause
	}
	return outcomeUnknown, cause
}

func classifyAnswer(answered *pgconn.PgError) outcome {
	switch {
	case answered.Code == unknownState:
		return outcomeUnknown
	case strings.HasPrefix(answered.Message, notRunPrefix):
		return outcomeNotRun
	}
	return outcomeFailed
}

// classifyConnect tells the cause of a connection that could not be opened.
func classifyConnect(err error) string {
	var answered *pgconn.PgError
	if errors.As(err, &answered) {
		return answered.Code
	}
	return causeConnect
}
