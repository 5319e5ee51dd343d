package fleet

import (
	"context"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/clock"
	"github.com/eelgrassfold/eelgrassfold/internal/core/lease"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/store"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

// isCoordinator reports whether failovers are to be carried out by this
// instance: it holds the coordinator lease, or the holder is not available and
// this instance is the first of those that are. If the live instances are not a
// majority of all, the holder is challenged first.
func (f *Fleet) isCoordinator(ctx context.Context, held lease.CoordinatorLease) bool {
	switch {
	case held.Holder == f.options.StartID:
		return true
	case !f.isFirst():
		return false
	case held.Holder == "":
		return true
	case f.isAvailable(held.Holder) || f.isReportedAlive(held.Holder):
		return false
	case f.isMajorityAlive():
		return true
	default:
		return f.hasChallenged(ctx, held)
	}
}

// replaceLostHolder takes the coordinator lease if its holder has been unavailable for
// lostHolderDelay and this instance is the first of those that are available, so that
// the next failover need not wait for that.
func (f *Fleet) replaceLostHolder(ctx context.Context, held lease.CoordinatorLease) {
	c := &f.coordination
	isLost := held.Holder != "" && held.Holder != f.options.StartID && f.isFirst() &&
		!f.isAvailable(held.Holder) && !f.isReportedAlive(held.Holder)
	switch {
	case !isLost:
		c.lostHolder = ""
		return
	case c.lostHolder != held.Holder:
		c.lostHolder, c.holderLostAt = held.Holder, clock.Now()
		return
	case clock.Since(c.holderLostAt) < lostHolderDelay:
		return
	case !f.isMajorityAlive() && !f.hasChallenged(ctx, held):
		return
	}
	c.holderLostAt = clock.Now()
	updated := f.ownLease(held)
	updated.Version = held.Version
	// If the write fails, or if its outcome is unknown, the next view decides.
	_, _ = f.writeCoordinatorLease(ctx, updated)
}

// ownLease returns the coordinator lease with which this instance replaces the holder.
func (f *Fleet) ownLease(held lease.CoordinatorLease) lease.CoordinatorLease {
	return lease.CoordinatorLease{
		Holder: f.options.StartID, HolderName: f.options.InstanceName, FencingToken: held.FencingToken + 1,
	}
}

// recordHolder records since when this instance has been the holder of the coordinator
// lease, as far as its views show it: a write with an unknown outcome may have taken
// effect at any time.
func (f *Fleet) recordHolder(held lease.CoordinatorLease) {
	c := &f.coordination
	switch {
	case held.Holder != f.options.StartID:
		c.holderSince.Store(0)
	case c.holderSince.Load() == 0:
		c.holderSince.Store(int64(sinceBoot(clock.Now())))
	}
}

// newestLease returns the newer of the view's row of the coordinator lease and the one
// that this instance has written: a claim with the view's version would conflict with
// the instance's own write.
func (f *Fleet) newestLease(shown lease.CoordinatorLease) lease.CoordinatorLease {
	if written := f.coordination.written; written.Version > shown.Version {
		return written
	}
	return shown
}

// isSettledHolder reports whether this instance has held the coordinator lease for so
// long that an earlier holder no longer acts: all views that show it have expired.
func (f *Fleet) isSettledHolder(held lease.CoordinatorLease) bool {
	since := time.Duration(f.coordination.holderSince.Load())
	return held.Holder == f.options.StartID && since != 0 && sinceBoot(clock.Now())-since >= lease.Duration
}

// hasChallenged reports whether this instance's challenge of the holder has
// stood for longer than challengeWait. It writes a challenge if there is none.
func (f *Fleet) hasChallenged(ctx context.Context, held lease.CoordinatorLease) bool {
	c := &f.coordination
	if c.challengeVersion == held.Version {
		return clock.Since(c.challengedAt) > challengeWait
	}
	held.Challenger = f.options.StartID
	if version, err := f.writeCoordinatorLease(ctx, held); err == nil {
		c.challengeVersion, c.challengedAt = version, clock.Now()
	}
	return false
}

// clearChallenge removes a challenge of this instance as the holder of the
// coordinator lease.
func (f *Fleet) clearChallenge(ctx context.Context, held lease.CoordinatorLease) {
	if held.Holder != f.options.StartID || held.Challenger == "" {
		return
	}
	held.Challenger = ""
	// If the write fails, the next view shows the challenge again.
	_, _ = f.writeCoordinatorLease(ctx, held)
}

// writeCoordinatorLease replaces the row of the coordinator lease, if it is
// still at the version of updated. Only startFailovers and what it calls may use it.
func (f *Fleet) writeCoordinatorLease(
	ctx context.Context, updated lease.CoordinatorLease,
) (uint64, error) {
	version, err := f.write(ctx, store.Transaction{
		Preconditions: []store.Row{{
			Table: groupTable, Key: coordinatorLeaseKey, Version: updated.Version,
		}},
		Upserts: []store.Row{{
			Table: groupTable, Key: coordinatorLeaseKey, Value: f.encode(&updated),
		}},
	})
	f.logEvent(event.CoordinatorLeaseWritten, event.F("holder", updated.Holder),
		event.F("token", updated.FencingToken),
		event.F("challenger", updated.Challenger), event.F("outcome", outcome(err)))
	f.requestRenewal()
	if err == nil {
		updated.Version = version
		f.coordination.written = updated
	}
	return version, err
}

// isReportedAlive reports whether a live peer reports the holder of the
// coordinator lease as available. The holder's own gossip does not count:
// isAvailable has evaluated it already.
func (f *Fleet) isReportedAlive(holder model.InstanceID) bool {
	f.peers.mu.Lock()
	defer f.peers.mu.Unlock()
	now := clock.Now()
	for id, p := range f.peers.known {
		if id != holder && p.isAlive(now) && p.gossip.CoordinatorLease.Holder == holder && p.gossip.HolderAlive {
			return true
		}
	}
	return false
}

// CoordinatorReplacedError reports that another instance has taken over the
// coordinator lease.
type CoordinatorReplacedError struct{ Holder model.InstanceID }

// Error implements error.
func (e *CoordinatorReplacedError) Error() string {
	return "the coordinator lease is held by " + string(e.Holder)
}
