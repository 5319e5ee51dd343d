package fleet

import (
	"context"
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
	// controlTimeout bounds the question for a database's standing.
	controlTimeout = 400 * time.Millisecond
	// stepDownWait is how long a change waits for the old primary's standing once
	// nobody uses it any more. One that answers at all answers within it.
	stepDownWait = 60 * time.Millisecond
	// catchUpTimeout is how long a planned change waits for a replica to receive
	// all that the old primary has: several times the delay of a slow link.
	catchUpTimeout = 600 * time.Millisecond
	// promoteTimeout bounds one call to the platform.
	promoteTimeout = 900 * time.Millisecond
	// becomePrimaryTimeout is how long a promoted database may take to lead: three times
	// what the platform states.
	becomePrimaryTimeout = 3 * time.Second
	// failoverPollInterval is the pause between two looks during a change.
	failoverPollInterval = 50 * time.Millisecond
	// rowVisibleTimeout bounds the wait for one's own row in a view: two reads of it.
	rowVisibleTimeout = 2 * renewTimeout
	// challengeWait is how long a challenge of the duty's holder stands before
	// the challenger takes the duty: the holder sees it within a renewal.
	challengeWait = 1600 * time.Millisecond
	// failoverRetryDelay is how long a change that nobody works on rests before this
	// instance begins it anew.
	failoverRetryDelay = 500 * time.Millisecond
)

// coordination is the state of the changes that this instance makes.
type coordination struct {
	// active holds the groups that a goroutine changes; it belongs to the tick.
	active map[model.GroupID]chan struct{}
	// challengeVersion is the version of the duty's row that holds this instance's
	// challengeVersion, since when.
	challengeVersion uint64
	challengedAt     time.Time
}

// startFailovers begins changes of primary where they are needed and this instance's
// to make.
func (f *Fleet) startFailovers(ctx context.Context) {
	view := f.Leases.View()
	if f.leaving.Load() || !f.Leases.IsConfirmed(clock.Now()) {
		return
	}
	f.clearChallenge(ctx, view.CoordinatorLease)
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
		if !needed {
			reason, needed = succession.FailoverReason(f.evidence(name, row))
		}
		if !needed || !f.isCoordinator(ctx, view.CoordinatorLease) {
			continue
		}
		ended := make(chan struct{})
		f.coordination.active[name] = ended
		f.running.Add(1)
		go func() {
			defer f.running.Done()
			defer close(ended)
			f.failover(ctx, name, row, view.CoordinatorLease, reason)
		}()
	}
}

// evidence gathers what is known of a group's primary.
func (f *Fleet) evidence(name model.GroupID, row lease.GroupRow) succession.Evidence {
	e := succession.Evidence{}
	e.Observers, e.UnansweredObservers = f.countObservers(name, row.Epoch, f.Scheduler.FailureDuration(name))
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

// otherZoneGossip returns what is known of a group's primary in each other availability
// zone: the word of the instance there that has heard the most of them.
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

// encode writes a value for a row.
func (f *Fleet) encode(value any) []byte {
	body, err := msgpack.Marshal(value)
	if err != nil {
		// The values are of this package's own plain types.
		panic(err)
	}
	return body
}

// write carries out a change of the store.
func (f *Fleet) write(ctx context.Context, tx store.Transaction) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	version, err := f.options.Store.Write(ctx, tx)
	f.recordStoreOutcome(err)
	return version, err
}
