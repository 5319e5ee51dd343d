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
	// observersPerGroup is the number of instances that ask each primary although they
	// have no work for it: enough for a majority of them to tell a failure while
	// two availability zones or some instances are gone.
	observersPerGroup = 7
	// partitionedAfter is the time without a proof, or without an answer of a primary
	// that answers others, after which callers are sent elsewhere.
	partitionedAfter = 300 * time.Millisecond
	// peerProbedAfter is the time after which a peer has asked the primary as well.
	peerProbedAfter = 200 * time.Millisecond
	// viewWait is how long a verdict waits for the store or a peer before the
	// databases themselves are surveyed: several times what a renewal takes.
	viewWait = 60 * time.Millisecond
)

// ConfirmPrimary implements session.PrimaryConfirmer. The proof is a view of the table of groups;
// where none comes, all databases of the group are asked.
func (f *Fleet) ConfirmPrimary(ctx context.Context, grant lease.Grant, answeredAt time.Time) lease.Validity {
	if validity := f.Leases.Validate(grant, answeredAt); validity != lease.ValidityPending {
		return validity
	}
	f.refreshView()
	viewCtx, cancel := context.WithTimeout(ctx, viewWait)
	defer cancel()
	if validity := f.Leases.AwaitValidity(grant, answeredAt, viewCtx.Done()); validity != lease.ValidityPending {
		return validity
	}
	return f.confirmBySurvey(ctx, grant, answeredAt)
}

// confirmBySurvey surveys the group until that or a view tells, or ctx ends.
func (f *Fleet) confirmBySurvey(ctx context.Context, grant lease.Grant, answeredAt time.Time) lease.Validity {
	for {
		if f.surveys.confirm(ctx, f, grant, answeredAt) {
			return lease.ValidityConfirmed
		}
		pauseCtx, cancel := context.WithTimeout(ctx, surveyPause)
		validity := f.Leases.AwaitValidity(grant, answeredAt, pauseCtx.Done())
		cancel()
		if validity != lease.ValidityPending || ctx.Err() != nil {
			return validity
		}
	}
}

// hasConfirmedPrimary reports whether a primary can be proven now, by a view or by surveys.
func (f *Fleet) hasConfirmedPrimary(now time.Time) bool {
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
		return clock.Since(f.Leases.View().ReadStartedAt) > lease.Duration+partitionedAfter
	}
	failureDuration := f.Scheduler.FailureDuration(name)
	if failureDuration < partitionedAfter {
		return false
	}
	// A peer that was heard before it could know says nothing.
	known := now.Add(peerProbedAfter - failureDuration)
	epoch := f.Leases.View().Rows[name].Epoch
	f.peers.mu.Lock()
	defer f.peers.mu.Unlock()
	for _, p := range f.peers.known {
		if !p.isAlive(now) || p.gossip.Leaving || p.gossipReceivedAt.Before(known) {
			continue
		}
		if groupGossip, found := p.groupGossip(name, epoch); found && groupGossip.UnansweredFor == 0 {
			return true
		}
	}
	return false
}

// surveyUnconfirmed surveys all groups while no view proves their primaries.
func (f *Fleet) surveyUnconfirmed(ctx context.Context) {
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
			f.surveys.runIfIdle(ctx, f, name)
		}()
	}
}

// probePrimaries asks the primaries that have given this instance no answer for
// a while, so that a failure is found without the help of callers.
func (f *Fleet) probePrimaries(ctx context.Context) {
	for _, d := range f.Scheduler.PrimariesToProbe(probeAfter, f.isObserver) {
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

// isObserver reports whether this instance asks a group's primary although it has
// no work for it.
func (f *Fleet) isObserver(name model.GroupID) bool {
	return model.RendezvousRank(f.options.InstanceName, f.memberNames(), name) < observersPerGroup
}

// probe asks a primary. Where it is in doubt, or does not answer on a connection
// that was kept, it is asked on a new one: the old ones may have gone silent by
// themselves, as those do that a partition held up.
func (f *Fleet) probe(ctx context.Context, d placement.Database) {
	isSuspected := f.Scheduler.IsSuspected(d.ID)
	var err error
	if !isSuspected {
		_, err = f.sendControl(ctx, d, statement.QueryStatus{})
	}
	if isSuspected || err != nil && !isAnswer(err) {
		f.Pool.CloseIdle(d.ID)
		_, err = f.sendControl(ctx, d, statement.QueryStatus{})
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
	if clock.Since(f.Leases.View().ReadStartedAt) > minRenewInterval {
		f.refreshView()
	}
}
