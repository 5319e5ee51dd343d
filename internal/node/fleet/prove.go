package fleet

import (
	"context"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/lease"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// Prove implements session.Prover.
func (f *Fleet) Prove(ctx context.Context, grant lease.Grant, answered time.Time) lease.Verdict {
	if verdict := f.Leases.Judge(grant, answered); verdict != lease.VerdictPending {
		return verdict
	}
	f.wantRenewal()
	return f.Leases.Await(grant, answered, ctx.Done())
}

// Doubt implements session.Prover: the table of groups is read at once.
func (f *Fleet) Doubt(model.GroupID) { f.wantRenewal() }
