package fleet

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/clock"
	"github.com/eelgrassfold/eelgrassfold/internal/core/fresh"
	"github.com/eelgrassfold/eelgrassfold/internal/core/lease"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/core/placement"
	"github.com/eelgrassfold/eelgrassfold/internal/core/statement"
)

const (
	// probeAfter is the time without an answer after which the status of a
	// primary is queried.
	probeAfter = time.Second
	// observersPerGroup is the number of instances that probe each primary
	// although they have no work for it: enough that a majority of them can
	// detect a failure while two availability zones or some instances are down.
	observersPerGroup = 7
	// partitionedAfter is the time without a confirmation, or without an answer
	// of a primary that answers other instances, after which callers are sent
	// to other instances.
	partitionedAfter = 300 * time.Millisecond
	// peerProbedAfter is the time after which a peer has queried the primary as
	// well.
	peerProbedAfter = 200 * time.Millisecond
	// viewWait is how long a confirmation waits for a view, from the store or a
	// peer, before the databases themselves are surveyed: several times the
	// duration of a renewal.
	viewWait = 60 * time.Millisecond
)

// ConfirmPrimary implements session.PrimaryConfirmer. A view of the table of
// groups confirms the primary; if none arrives within viewWait, the status of
// all databases of the group is queried.
func (f *Fleet) ConfirmPrimary(
	ctx context.Context, grant lease.Grant, answeredAt time.Time,
) lease.Validity {
	row, found := f.Leases.Row(grant.Group)
	validity := f.confirmLease(ctx, grant, answeredAt)
	// Within an epoch, a group is guarded from its beginning or not at all.
	if validity == lease.ValidityConfirmed && found && row.Epoch == grant.Epoch && row.Phase == lease.PhaseGuarded {
		return f.confirmGuard(ctx, grant, answeredAt)
	}
	return validity
}

// confirmLease returns the validity of a grant by the views and surveys alone.
func (f *Fleet) confirmLease(
	ctx context.Context, grant lease.Grant, answeredAt time.Time,
) lease.Validity {
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

// confirmBySurvey surveys the group repeatedly until a survey confirms the
// primary, a view decides, or ctx ends.
func (f *Fleet) confirmBySurvey(
	ctx context.Context, grant lease.Grant, answeredAt time.Time,
) lease.Validity {
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

// hasConfirmedPrimary reports whether the primary of at least one group can be
// confirmed now: by the view, which serves all groups, or by a survey.
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

// IsPartitioned implements session.PrimaryConfirmer. It reports whether this
// instance can't confirm the primary, or does not reach it while a peer does that
// does not serve as a relay either.
func (f *Fleet) IsPartitioned(name model.GroupID) bool {
	now := clock.Now()
	if !f.Leases.IsConfirmed(now) && !f.surveys.isRecent(now, name) {
		return clock.Since(f.Leases.View().ReadStartedAt) > lease.Duration+partitionedAfter
	}
	failureDuration := f.Scheduler.FailureDuration(name)
	if failureDuration < partitionedAfter || f.isReachedThroughRelays(name) {
		return false
	}
	// known is the time from which on a peer has queried the primary as well.
	// Gossip that arrived earlier is no evidence.
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

// surveyUnconfirmed starts a survey of each group while no view confirms the
// primaries, except for groups with a recent one.
func (f *Fleet) surveyUnconfirmed() {
	now := clock.Now()
	if f.Leases.IsConfirmed(now) {
		return
	}
	for name := range f.Leases.View().Rows {
		if f.surveys.isRecent(now, name) {
			continue
		}
		f.surveys.startIfIdle(f, name)
	}
}

// probePrimaries probes the primaries that have not answered this instance for
// probeAfter, so that a failure is detected without requests of callers.
func (f *Fleet) probePrimaries(ctx context.Context) {
	for _, d := range f.Scheduler.PrimariesToProbe(probeAfter, f.isObserver) {
		f.startProbe(ctx, d)
	}
}

// startProbe probes a primary in the background, unless it is being probed already.
func (f *Fleet) startProbe(ctx context.Context, d placement.Database) {
	if _, running := f.probing.LoadOrStore(d.ID, true); running {
		return
	}
	f.running.Add(1)
	go func() {
		defer f.running.Done()
		defer f.probing.Delete(d.ID)
		f.probe(ctx, d)
	}()
}

// observedGroups caches, for a version of the members, whether this instance is an
// observer of a group: that takes a hash of each member, and is asked for each idle
// primary several times a second.
type observedGroups struct {
	mu      sync.Mutex
	version uint64
	byGroup map[model.GroupID]bool
}

// isObserver reports whether this instance probes a group's primary although it
// has no work for it.
func (f *Fleet) isObserver(name model.GroupID) bool {
	c := &f.observed
	c.mu.Lock()
	defer c.mu.Unlock()
	if version := f.membersVersion(); c.byGroup == nil || c.version != version {
		c.version, c.byGroup = version, map[model.GroupID]bool{}
	}
	result, found := c.byGroup[name]
	if !found {
		result = model.RendezvousRank(f.options.InstanceName, f.memberNames(), name) < observersPerGroup
		c.byGroup[name] = result
	}
	return result
}

// probe queries the status of a primary. If the primary is suspected, or does
// not answer on a pooled connection, it is queried on a new connection: the
// pooled ones may have become unresponsive by themselves, as connections do
// that a partition has interrupted.
//
// The answer of a confirmed primary is a position sample: without one, after a time
// without statements, the first reads of all instances would go to the primary.
func (f *Fleet) probe(ctx context.Context, d placement.Database) {
	grant, _ := f.Leases.Grant(d.Group)
	isSuspected := f.Scheduler.IsSuspected(d.ID)
	var status statement.ServerStatus
	var err error
	sentAt := clock.Now()
	if !isSuspected {
		status, err = f.sendControl(ctx, d, statement.QueryStatus{})
	}
	if isSuspected || err != nil && !isAnswer(err) {
		f.Pool.CloseIdle(d.ID)
		sentAt = clock.Now()
		status, err = f.sendControl(ctx, d, statement.QueryStatus{})
	}
	f.Scheduler.RecordProbe(d.ID, err == nil || isAnswer(err))
	if err == nil && grant.Primary == d.ID && status.Role == model.RolePrimary {
		f.samplePrimary(ctx, grant, sentAt, status.ReceivedPosition)
	}
}

// samplePrimary adds a position sample if the database that reported the position is
// confirmed to have been the primary at that time.
func (f *Fleet) samplePrimary(ctx context.Context, grant lease.Grant, sentAt time.Time, position model.Position) {
	ctx, cancel := context.WithTimeout(ctx, lease.Duration)
	defer cancel()
	answeredAt := clock.Now()
	if validity := f.Leases.AwaitValidity(grant, answeredAt, ctx.Done()); validity == lease.ValidityConfirmed {
		f.SamplesOf(grant.Group).AddSpaced(fresh.PositionSample{At: sentAt, Position: position})
	}
}

// isAnswer reports whether an error shows that the database itself has
// answered.
func isAnswer(err error) bool {
	var failure *statement.FailureError
	return errors.As(err, &failure) && failure.Code != statement.CodeWrongDatabase
}

// ReportSuspectedPrimary implements session.PrimaryConfirmer. It requests a
// newer view unless the present one is at most minRenewInterval old.
func (f *Fleet) ReportSuspectedPrimary(model.GroupID) {
	if clock.Since(f.Leases.View().ReadStartedAt) > minRenewInterval {
		f.refreshView()
	}
}
