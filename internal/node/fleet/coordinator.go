package fleet

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/eelgrassfold/eelgrassfold/internal/core/clock"
	"github.com/eelgrassfold/eelgrassfold/internal/core/lease"
	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/core/succession"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/store"
)

const (
	// controlTimeout bounds a control statement to a database.
	controlTimeout = 400 * time.Millisecond
	// stepDownWait is how long a failover waits for the old primary's status
	// once no instance uses that primary any more. A primary that answers at
	// all answers within this time.
	stepDownWait = 60 * time.Millisecond
	// catchUpTimeout is how long a planned failover waits for a replica to
	// receive all that the old primary has: several times the delay of a slow
	// link.
	catchUpTimeout = 600 * time.Millisecond
	// promoteTimeout bounds one call to the platform.
	promoteTimeout = 900 * time.Millisecond
	// failoverPollInterval is the time between two checks during a failover.
	failoverPollInterval = 50 * time.Millisecond
	// rowVisibleTimeout bounds the wait until a view shows a row that this
	// instance has written: two reads of the table.
	rowVisibleTimeout = 2 * renewTimeout
	// challengeWait is how long a challenge of the holder of the coordinator
	// lease must remain in the row before the challenger takes the lease: a
	// live holder reads the challenge with its next view and removes it.
	challengeWait = 1600 * time.Millisecond
	// failoverRetryDelay is how long this instance waits before it starts an
	// unfinished failover again.
	failoverRetryDelay = 500 * time.Millisecond
	// lostHolderDelay is how long the holder of the coordinator lease must have been
	// unavailable before another instance takes the lease without a failover being
	// needed: longer than an instance takes to find its peers after its start.
	lostHolderDelay = time.Second
)

// coordination is the state of the failovers that this instance carries out.
type coordination struct {
	// active holds, for each group with a failover running here, a channel that
	// is closed at its end. Only startFailovers uses it.
	active map[model.GroupID]chan struct{}
	// challengeVersion is the version of the coordinator lease's row with this
	// instance's challenge, which was written at challengedAt.
	challengeVersion uint64
	challengedAt     time.Time
	// lostHolder is the holder of the coordinator lease that has been unavailable
	// since holderLostAt.
	lostHolder   model.InstanceID
	holderLostAt time.Time
	// written is the row of the coordinator lease that this instance has written last.
	// It is newer than the view's until a view shows it.
	written lease.CoordinatorLease
	// holderSince is the time since boot, in nanoseconds, at which a view first showed
	// this instance as the holder of the coordinator lease; zero if it is not.
	holderSince atomic.Int64
}

// startFailovers starts the failovers that are needed, if this instance is the
// coordinator.
func (f *Fleet) startFailovers(ctx context.Context) {
	view := f.Leases.View()
	if f.leaving.Load() || !f.Leases.IsConfirmed(clock.Now()) {
		return
	}
	f.recordHolder(view.CoordinatorLease)
	f.clearChallenge(ctx, f.newestLease(view.CoordinatorLease))
	f.replaceLostHolder(ctx, f.newestLease(view.CoordinatorLease))
	held := f.newestLease(view.CoordinatorLease)
	if held.Holder != f.options.StartID && !f.isFirst() {
		// Only these two carry out failovers (see isCoordinator). The others need not
		// collect the evidence about each group ten times a second.
		return
	}
	for name, row := range view.Rows {
		if ended, found := f.coordination.active[name]; found {
			select {
			case <-ended:
				delete(f.coordination.active, name)
			default:
				continue
			}
		}
		reason, needed := "the change was left unfinished", row.Phase == lease.PhaseChanging
		if row.Phase == lease.PhaseGuarded && held.Holder == f.options.StartID && f.watchGuard(ctx, name, row) {
			reason, needed = "an abandoned promotion has taken effect", true
		}
		if !needed {
			reason, needed = succession.FailoverReason(f.evidence(name, row))
		}
		if !needed || !f.isCoordinator(ctx, held) {
			continue
		}
		ended := make(chan struct{})
		f.coordination.active[name] = ended
		f.running.Add(1)
		go func() {
			defer f.running.Done()
			defer close(ended)
			f.failover(ctx, name, row, held, reason)
		}()
		if held.Holder != f.options.StartID {
			// This failover takes the coordinator lease. The others would conflict
			// with it; they start once the view shows the lease.
			return
		}
	}
}

// evidence collects what is known about a group's primary.
func (f *Fleet) evidence(name model.GroupID, row lease.GroupRow) succession.Evidence {
	e := succession.Evidence{}
	e.Observers, e.UnansweredObservers = f.countObservers(name, row.Epoch,
		f.Scheduler.FailureDuration(name))
	for _, groupGossip := range f.otherZoneGossip(name, row.Epoch) {
		e.Observers += groupGossip.Observers
		e.UnansweredObservers += groupGossip.UnansweredObservers
	}
	for _, d := range f.databasesOf(name) {
		switch {
		case d.ID == row.Primary:
			e.PrimaryListed = true
			e.PrimaryLeaving = d.Leaving
		case !d.Leaving:
			e.Replacements++
		}
	}
	return e
}

// otherZoneGossip returns the gossip about a group's primary for each other
// availability zone: that of the peer there which counts the most observers.
func (f *Fleet) otherZoneGossip(name model.GroupID, epoch uint64) map[model.ZoneID]message.GroupGossip {
	f.peers.mu.Lock()
	defer f.peers.mu.Unlock()
	now := clock.Now()
	gossipByZone := map[model.ZoneID]message.GroupGossip{}
	for _, p := range f.peers.known {
		zone := p.gossip.Zone
		if zone == f.options.Zone || !p.isAlive(now) || p.gossip.ViewAge >= lease.Duration {
			continue
		}
		if groupGossip, found := p.groupGossip(name, epoch); found && groupGossip.Observers > gossipByZone[zone].Observers {
			gossipByZone[zone] = groupGossip
		}
	}
	return gossipByZone
}

// encode encodes the value of a row.
func (f *Fleet) encode(value any) []byte {
	body, err := msgpack.Marshal(value)
	if err != nil {
		// The values are plain types of this package, which can always be
		// encoded.
		panic(err)
	}
	return body
}

// write carries out a transaction of the store and returns its version.
func (f *Fleet) write(ctx context.Context, tx store.Transaction) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	version, err := f.options.Store.Write(ctx, tx)
	f.recordStoreOutcome(err)
	return version, err
}
