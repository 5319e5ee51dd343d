package fleet

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/eelgrassfold/eelgrassfold/internal/core/clock"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/store"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

const (
	// readTimeout bounds a read of the store: a read on a connection that went
	// silent must end and be repeated well inside the bound for configurations.
	readTimeout = 700 * time.Millisecond
	// watchWait is how long the store holds a watch without a change for the
	// first instance: a watch that went silent must be found out inside the
	// bound for configurations. The others hear of changes from it as well, and
	// spare calls.
	watchWait  = 1600 * time.Millisecond
	watchSpare = 9 * time.Second
	// writeTimeout bounds a write to the store.
	writeTimeout = time.Second
	// pauseFirst and pauseMost bound the pause after a failed call.
	pauseFirst = 50 * time.Millisecond
	pauseMost  = 500 * time.Millisecond
)

// newPause returns growing pauses with jitter.
func newPause() *backoff.ExponentialBackOff {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = pauseFirst
	pause.MaxInterval = pauseMost
	return pause
}

// watch follows a table until ctx ends: take gets all rows first, with whole
// set, and then those that change.
func (f *Fleet) watch(ctx context.Context, table string, take func(rows store.Rows, whole bool)) {
	pause := newPause()
	var version uint64
	whole := true
	var lost time.Time
	for ctx.Err() == nil {
		rows, err := f.follow(ctx, table, version, whole)
		if err == nil {
			if !lost.IsZero() {
				f.note(event.DependencyBack, event.F("dependency", "store/"+table), event.F("away", clock.Since(lost).String()))
				lost = time.Time{}
			}
			pause.Reset()
			version = rows.Version
			take(rows, whole)
			whole = false
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if store.OutcomeOf(err) == store.OutcomeHistoryGone {
			whole = true
			continue
		}
		if lost.IsZero() {
			lost = clock.Now()
			f.note(event.DependencyLost, event.F("dependency", "store/"+table), event.F("error", err.Error()))
		}
		sleep(ctx, pause.NextBackOff())
	}
}

// follow reads a table whole, or waits for its next changes.
func (f *Fleet) follow(ctx context.Context, table string, version uint64, whole bool) (store.Rows, error) {
	if whole {
		ctx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		return f.options.Store.Read(ctx, table)
	}
	wait := watchSpare
	if f.isFirst() {
		wait = watchWait
	}
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	rows, err := f.options.Store.Watch(ctx, table, version, wait)
	if err == nil {
		f.stored.Store(int64(sinceBoot(clock.Now())))
	}
	return rows, err
}

// sleep waits for d, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
