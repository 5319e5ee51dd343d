package fleet

import (
	"context"
	"errors"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/clock"
	"github.com/eelgrassfold/eelgrassfold/internal/core/lease"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/core/placement"
	"github.com/eelgrassfold/eelgrassfold/internal/core/statement"
)

const (
	// probeAfter is the time without an answer after which a primary is asked
	// for its standing.
	probeAfter = time.Second
	// witnesses is the number of instances that ask each primary although they
	// have no work for it: enough for a majority of them to tell a failure while
	// two availability zones or some instances are gone.
	witnesses = 7
	// cutOffAfter is the time without a proof, or without an answer of a primary
	// that answers others, after which callers are sent elsewhere.
	cutOffAfter = 300 * time.Millisecond
	// peerKnowsAfter is the time after which a peer has asked the primary as well.
	peerKnowsAfter = 200 * time.Millisecond
	// storeWait is how long a verdict waits for the store or a peer before the
	// databases themselves are surveyed: several times what a renewal takes.
	storeWait = 60 * time.Millisecond
)

// ConfirmPrimary implements session.PrimaryConfirmer. The proof is a view of the table of groups;
// where none comes, all databases of the group are asked.
func (f *Fleet) ConfirmPrimary(ctx context.Context, grant lease.Grant, answered time.Time) lease.Validity {
	if verdict := f.Leases.Validate(grant, answered); verdict != lease.ValidityPending {
		return verdict
	}
	f.wantView()
	soon, cancel := context.WithTimeout(ctx, storeWait)
	defer cancel()
	if verdict := f.Leases.AwaitValidity(grant, answered, soon.Done()); verdict != lease.ValidityPending {
		return verdict
	}
	return f.proveBySurvey(ctx, grant, answered)
}

// proveBySurvey surveys the group until that or a view tells, or ctx ends.
func (f *Fleet) proveBySurvey(ctx context.Context, grant lease.Grant, answered time.Time) lease.Validity {
	for {
		if f.surveys.confirm(ctx, f, grant, answered) {
			return lease.ValidityConfirmed
		}
		pause, cancel := context.WithTimeout(ctx, surveyPause)
		verdict := f.Leases.AwaitValidity(grant, answered, pause.Done())
		cancel()
		if verdict != lease.ValidityPending || ctx.Err() != nil {
			return verdict
		}
	}
}

// isProven reports whether a primary can be proven now, by a view or by surveys.
func (f *Fleet) isProven(now time.Time) bool {
	if f.Leases.IsConfirmed(now) {
		return true
	}
	for name := range f.Leases.View().Rows {
		if f.surveys.isRecent(now, name) {
			return true
		}
	}
	return false
}

// IsPartitioned implements session.PrimaryConfirmer: this instance can't prove the primary, or
// does not reach it while a peer does.
func (f *Fleet) IsPartitioned(name model.GroupID) bool {
	now := clock.Now()
	if !f.Leases.IsConfirmed(now) && !f.surveys.isRecent(now, name) {
		return clock.Since(f.Leases.View().ReadStartedAt) > lease.Duration+cutOffAfter
	}
	failing := f.Scheduler.FailureDuration(name)
	if failing < cutOffAfter {
		return false
	}
	// A peer that was heard before it could know says nothing.
	known := now.Add(peerKnowsAfter - failing)
	epoch := f.Leases.View().Rows[name].Epoch
	f.peers.mu.Lock()
	defer f.peers.mu.Unlock()
	for _, p := range f.peers.known {
		if !p.isAlive(now) || p.bulletin.Leaving || p.told.Before(known) {
			continue
		}
		if note, found := p.note(name, epoch); found && note.UnansweredFor == 0 {
			return true
		}
	}
	return false
}

// surveyUnproven surveys all groups while no view proves their primaries.
func (f *Fleet) surveyUnproven(ctx context.Context) {
	now := clock.Now()
	if f.Leases.IsConfirmed(now) {
		return
	}
	for name := range f.Leases.View().Rows {
		if f.surveys.isRecent(now, name) {
			continue
		}
		f.running.Add(1)
		go func() {
			defer f.running.Done()
			f.surveys.run(ctx, f, name)
		}()
	}
}

// probePrimaries asks the primaries that have given this instance no answer for
// a while, so that a failure is found without the help of callers.
func (f *Fleet) probePrimaries(ctx context.Context) {
	for _, d := range f.Scheduler.PrimariesToProbe(probeAfter, f.isWitness) {
		if _, running := f.probing.LoadOrStore(d.ID, true); running {
			continue
		}
		f.running.Add(1)
		go func() {
			defer f.running.Done()
			defer f.probing.Delete(d.ID)
			f.probe(ctx, d)
		}()
	}
}

// isWitness reports whether this instance asks a group's primary although it has
// no work for it.
func (f *Fleet) isWitness(name model.GroupID) bool {
	return model.RendezvousRank(f.options.InstanceName, f.memberNames(), name) < witnesses
}

// probe asks a primary. Where it is in doubt, or does not answer on a connection
// that was kept, it is asked on a new one: the old ones may have gone silent by
// themselves, as those do that a partition held up.
func (f *Fleet) probe(ctx context.Context, d placement.Database) {
	inDoubt := f.Scheduler.IsSuspected(d.ID)
	var err error
	if !inDoubt {
		_, err = f.ask(ctx, d, statement.QueryStatus{})
	}
	if inDoubt || err != nil && !isAnswer(err) {
		f.Pool.CloseIdle(d.ID)
		_, err = f.ask(ctx, d, statement.QueryStatus{})
	}
	f.Scheduler.RecordProbe(d.ID, err == nil || isAnswer(err))
}

// isAnswer reports whether an error shows that the database answers.
func isAnswer(err error) bool {
	var failure *statement.FailureError
	return errors.As(err, &failure) && failure.Code != statement.CodeWrongDatabase
}

// ReportSuspectedPrimary implements session.PrimaryConfirmer: a newer view is asked for where the present
// one is not quite new.
func (f *Fleet) ReportSuspectedPrimary(model.GroupID) {
	if clock.Since(f.Leases.View().ReadStartedAt) > renewPause {
		f.wantView()
	}
}
