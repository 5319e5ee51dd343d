package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/eelgrassfold/eelgrassfold/internal/core/clock"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/store"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

const (
	// readTimeout bounds a read of the store: a read on a connection that went
	// silent must end and be repeated well inside the bound for configurations.
	// After each time-out the next read of that table has twice as long, up to
	// readMost: a large configuration takes a slow link that long.
	readTimeout = 700 * time.Millisecond
	readMost    = 4 * readTimeout
	// watchWait is how long the store holds a watch without a change: a watch that
	// went silent must be found out inside the bound for configurations.
	watchWait = 1600 * time.Millisecond
	// spareAge is the age of what peers have confirmed at which an instance that
	// watches nothing reads the table itself: a watch, and a bulletin on its way.
	spareAge = watchWait + bulletinInterval + 100*time.Millisecond
	// sparePause is the time between two looks whether that age is reached, and
	// spareRetry the least pause after a failed call of such an instance: the
	// first one tells when the store is back.
	sparePause = 100 * time.Millisecond
	spareRetry = 1500 * time.Millisecond
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
// set, and then those that change. Only the first instance watches; the others
// hear of changes from it, and read the table when what they know has not been
// confirmed for long.
func (f *Fleet) watch(ctx context.Context, table string, confirmed func() time.Time, take func(rows store.Rows, whole bool)) {
	pause := newPause()
	var version uint64
	whole := true
	var lost time.Time
	for ctx.Err() == nil {
		if !f.isFirst() {
			whole = true
			if clock.Since(confirmed()) < spareAge {
				sleep(ctx, sparePause)
				continue
			}
		}
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
		if store.OutcomeOf(err) == store.OutcomeCompacted {
			whole = true
			continue
		}
		if lost.IsZero() {
			lost = clock.Now()
			f.note(event.DependencyLost, event.F("dependency", "store/"+table), event.F("error", err.Error()))
		}
		sleep(ctx, f.pauseOf(pause))
	}
}

// pauseOf returns the pause after a failed call.
func (f *Fleet) pauseOf(pause *backoff.ExponentialBackOff) time.Duration {
	next := pause.NextBackOff()
	if f.isFirst() {
		return next
	}
	return max(next, spareRetry)
}

// follow reads a table whole, or waits for its next changes.
func (f *Fleet) follow(ctx context.Context, table string, version uint64, whole bool) (store.Rows, error) {
	if whole {
		return f.read(ctx, table)
	}
	ctx, cancel := context.WithTimeout(ctx, watchWait+readTimeout)
	defer cancel()
	rows, err := f.options.Store.Watch(ctx, table, version, watchWait)
	f.noteStored(err)
	return rows, err
}

// read reads a table whole.
func (f *Fleet) read(ctx context.Context, table string) (store.Rows, error) {
	ctx, cancel := context.WithTimeout(ctx, f.patience.of(table))
	defer cancel()
	rows, err := f.options.Store.Read(ctx, table)
	f.patience.learn(table, ctx.Err() != nil)
	f.noteStored(err)
	return rows, err
}

// patience is how long reads of the tables may take.
type patience struct {
	mu     sync.Mutex
	limits map[string]time.Duration
}

// of returns the limit for the next read of a table.
func (p *patience) of(table string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.limits[table], readTimeout)
}

// learn takes in whether a read of a table has run into its limit.
func (p *patience) learn(table string, ranOut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !ranOut {
		delete(p.limits, table)
		return
	}
	p.limits[table] = min(2*max(p.limits[table], readTimeout), readMost)
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
