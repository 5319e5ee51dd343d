package load

import (
	"context"
	"strings"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/pkg/errors"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// outcome is the outcome of a statement as the client knows it.
type outcome int

// The values of outcome.
const (
	// outcomeDone: the statement succeeded.
	outcomeDone outcome = iota
	// outcomeNotRun: the statement was rejected before it ran, or never sent.
	outcomeNotRun
	// outcomeUnknown: it is unknown whether a write was committed.
	outcomeUnknown
	// outcomeFailed: the statement failed with another error and committed nothing.
	outcomeFailed
)

const (
	// unknownOutcomeState is the SQLSTATE of an unknown outcome.
	unknownOutcomeState = "08007"
	// notRunPrefix is the prefix of the messages of all errors that say that a
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

// classify returns the outcome of a statement that was passed to a connection. If the
// statement did not succeed, it also returns the SQLSTATE or another cause. A broken
// connection or a timeout makes the outcome of a write unknown.
func classify(err error, access model.Access) (outcome, string) {
	var pgErr *pgconn.PgError
	switch {
	case err == nil:
		return outcomeDone, ""
	case errors.As(err, &pgErr):
		return classifyPgError(pgErr), pgErr.Code
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

// classifyPgError returns the outcome of a statement that the server answered with an
// error.
func classifyPgError(pgErr *pgconn.PgError) outcome {
	switch {
	case pgErr.Code == unknownOutcomeState:
		return outcomeUnknown
	case strings.HasPrefix(pgErr.Message, notRunPrefix):
		return outcomeNotRun
	}
	return outcomeFailed
}

// connectCause returns the cause for which a connection could not be opened: the
// SQLSTATE if the server sent one, or causeConnect.
func connectCause(err error) string {
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) {
		return pgErr.Code
	}
	return causeConnect
}
