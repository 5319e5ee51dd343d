package fleet

import (
	"context"
	"errors"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/lease"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/core/statement"
)

// probeAfter is the time without an answer after which a primary is asked for its
// standing.
const probeAfter = time.Second

// Prove implements session.Prover.
func (f *Fleet) Prove(ctx context.Context, grant lease.Grant, answered time.Time) lease.Verdict {
	if verdict := f.Leases.Judge(grant, answered); verdict != lease.VerdictPending {
		return verdict
	}
	f.wantRenewal()
	return f.Leases.Await(grant, answered, ctx.Done())
}

// probePrimaries asks the primaries that have given this instance no answer for
// a while, so that a failure is found without the help of callers.
func (f *Fleet) probePrimaries(ctx context.Context) {
	for _, d := range f.Scheduler.Unheard(probeAfter) {
		f.running.Add(1)
		go func() {
			defer f.running.Done()
			_, err := f.ask(ctx, d, statement.Inquire{})
			f.Scheduler.Observe(d.ID, err == nil || isAnswer(err))
		}()
	}
}

// isAnswer reports whether an error shows that the database answers.
func isAnswer(err error) bool {
	var failure *statement.FailureError
	return errors.As(err, &failure) && failure.Code != statement.CodeWrongDatabase
}

// Doubt implements session.Prover: the table of groups is read at once.
func (f *Fleet) Doubt(model.GroupID) { f.wantRenewal() }
