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
	// inquireTimeout bounds the question for a database's standing.
	inquireTimeout = 400 * time.Millisecond
	// stepDownWait is how long a change waits for the old primary's standing once
	// nobody uses it any more. One that answers at all answers within it.
	stepDownWait = 60 * time.Millisecond
	// catchUpLimit is how long a planned change waits for a replica to receive
	// all that the old primary has: several times the delay of a slow link.
	catchUpLimit = 600 * time.Millisecond
	// promoteTimeout bounds one call to the platform.
	promoteTimeout = 900 * time.Millisecond
	// leadTimeout is how long a promoted database may take to lead: three times
	// what the platform states.
	leadTimeout = 3 * time.Second
	// stewardPause is the pause between two looks during a change.
	stewardPause = 50 * time.Millisecond
	// rowSeenWait bounds the wait for one's own row in a view: two reads of it.
	rowSeenWait = 2 * renewTimeout
	// challengeWait is how long a challenge of the duty's holder stands before
	// the challenger takes the duty: the holder sees it within a renewal.
	challengeWait = 1600 * time.Millisecond
	// resumeAfter is how long a change that nobody works on rests before this
	// instance begins it anew.
	resumeAfter = 500 * time.Millisecond
)

// stewardship is the state of the changes that this instance makes.
type stewardship struct {
	// busy holds the groups that a goroutine changes; it belongs to the tick.
	busy map[model.GroupID]chan struct{}
	// challenge is the version of the duty's row that holds this instance's
	// challenge, since when.
	challenge  uint64
	challenged time.Time
}

// steward begins changes of primary where they are needed and this instance's
// to make.
func (f *Fleet) steward(ctx context.Context) {
	view := f.Leases.View()
	if f.leaving.Load() || !f.Leases.IsConfirmed(clock.Now()) {
		return
	}
	f.answerChallenge(ctx, view.CoordinatorLease)
	for name, row := range view.Rows {
		if ended, found := f.stewardship.busy[name]; found {
			select {
			case <-ended:
				delete(f.stewardship.busy, name)
			default:
				continue
			}
		}
		reason, needed := "the change was left unfinished", row.Phase == lease.PhaseChanging
		if !needed {
			reason, needed = succession.FailoverReason(f.evidence(name, row))
		}
		if !needed || !f.isSteward(ctx, view.CoordinatorLease) {
			continue
		}
		ended := make(chan struct{})
		f.stewardship.busy[name] = ended
		f.running.Add(1)
		go func() {
			defer f.running.Done()
			defer close(ended)
			f.change(ctx, name, row, view.CoordinatorLease, reason)
		}()
	}
}

// evidence gathers what is known of a group's primary.
func (f *Fleet) evidence(name model.GroupID, row lease.GroupRow) succession.Evidence {
	e := succession.Evidence{}
	e.Observers, e.UnansweredObservers = f.witnessed(name, row.Epoch, f.Scheduler.FailureDuration(name))
	for _, note := range f.otherZones(name, row.Epoch) {
		e.Observers += note.Observers
		e.UnansweredObservers += note.UnansweredObservers
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

// otherZones returns what is known of a group's primary in each other availability
// zone: the word of the instance there that has heard the most of them.
func (f *Fleet) otherZones(name model.GroupID, epoch uint64) map[model.ZoneID]message.GroupGossip {
	f.peers.mu.Lock()
	defer f.peers.mu.Unlock()
	now := clock.Now()
	notes := map[model.ZoneID]message.GroupGossip{}
	for _, p := range f.peers.known {
		zone := p.bulletin.Zone
		if zone == f.options.Zone || !p.isAlive(now) || p.bulletin.ViewAge >= lease.Duration {
			continue
		}
		if note, found := p.note(name, epoch); found && note.Observers > notes[zone].Observers {
			notes[zone] = note
		}
	}
	return notes
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
func (f *Fleet) write(ctx context.Context, change store.Transaction) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	version, err := f.options.Store.Write(ctx, change)
	f.noteStored(err)
	return version, err
}
