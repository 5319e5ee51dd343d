package session

import (
	"math/rand/v2"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/outage"
	"github.com/eelgrassfold/eelgrassfold/internal/core/placement"
	"github.com/eelgrassfold/eelgrassfold/internal/core/statement"
	"github.com/eelgrassfold/eelgrassfold/internal/report/metrics"
)

const (
	// minRetryAfter and maxRetryAfter bound the time after which a caller whose
	// statement was rejected for its expected wait should retry.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// rejection returns the failure for a statement that the scheduler has rejected. The
// text tells when to retry.
func rejection(rejected *placement.RejectedError) *statement.FailureError {
	metrics.Observe("rejections", rejected.Stage.String(), rejected.ExpectedWait)
	pause := retryAfter(rejected.ExpectedWait)
	if rejected.Stage != outage.StageServing {
		// The scheduler has spread these over the time after the outage.
		pause = max(minRetryAfter, rejected.ExpectedWait).Round(time.Millisecond)
	}
	return &statement.FailureError{Code: statement.CodeBusy, Message: rejected.Error() + "; retry after " + pause.String()}
}

// retryAfter returns when a caller should retry whose statement was rejected for its
// expected wait: once that time has passed, with a quarter of it more or less, so that
// callers that were rejected together do not return together.
func retryAfter(expectedWait time.Duration) time.Duration {
	mean := min(max(expectedWait, minRetryAfter), maxRetryAfter)
	return (mean*3/4 + rand.N(mean/2)).Round(time.Millisecond)
}
