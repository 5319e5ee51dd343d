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
	readTimeout    = 700 * time.Millisecond
	maxReadTimeout = 4 * readTimeout
	// watchWait is how long the store holds a watch without a change: a watch that
	// went silent must be found out inside the bound for configurations.
	watchWait = 1600 * time.Millisecond
	// fallbackReadAge is the age of what peers have confirmed at which an instance that
	// watches nothing reads the table itself: a watch, and a bulletin on its way.
	fallbackReadAge = watchWait + gossipInterval + 100*time.Millisecond
	// fallbackCheckInterval is the time between two looks whether that age is reached, and
	// spareRetry the least pause after a failed call of such an instance: the
	// first one tells when the store is back.
	fallbackCheckInterval = 100 * time.Millisecond
	fallbackRetryPause    = 1500 * time.Millisecond
	// writeTimeout bounds a write to the store.
	writeTimeout = time.Second
	// initialBackoff and pauseMost bound the pause after a failed call.
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond
)

// newBackoff returns growing pauses with jitter.
func newBackoff() *backoff.ExponentialBackOff {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = initialBackoff
	pause.MaxInterval = maxBackoff
	return pause
}

// watchTable follows a table until ctx ends: take gets all rows first, with whole
// set, and then those that change. Only the first instance watches; the others
// hear of changes from it, and read the table when what they know has not been
// confirmed for long.
func (f *Fleet) watchTable(ctx context.Context, table string, confirmedAt func() time.Time, apply func(rows store.Rows, readAll bool)) {
	pause := newBackoff()
	var version uint64
	readAll := true
	var lostAt time.Time
	for ctx.Err() == nil {
		if !f.isFirst() {
			readAll = true
			if clock.Since(confirmedAt()) < fallbackReadAge {
				sleep(ctx, fallbackCheckInterval)
				continue
			}
		}
		rows, err := f.readOrWatch(ctx, table, version, readAll)
		if err == nil {
			if !lostAt.IsZero() {
				f.logEvent(event.DependencyBack, event.F("dependency", "store/"+table), event.F("away", clock.Since(lostAt).String()))
				lostAt = time.Time{}
			}
			pause.Reset()
			version = rows.Version
			apply(rows, readAll)
			readAll = false
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if store.OutcomeOf(err) == store.OutcomeCompacted {
			readAll = true
			continue
		}
		if lostAt.IsZero() {
			lostAt = clock.Now()
			f.logEvent(event.DependencyLost, event.F("dependency", "store/"+table), event.F("error", err.Error()))
		}
		sleep(ctx, f.retryPause(pause))
	}
}

// retryPause returns the pause after a failed call.
func (f *Fleet) retryPause(pause *backoff.ExponentialBackOff) time.Duration {
	next := pause.NextBackOff()
	if f.isFirst() {
		return next
	}
	return max(next, fallbackRetryPause)
}

// readOrWatch reads a table whole, or waits for its next changes.
func (f *Fleet) readOrWatch(ctx context.Context, table string, version uint64, readAll bool) (store.Rows, error) {
	if readAll {
		return f.readTable(ctx, table)
	}
	ctx, cancel := context.WithTimeout(ctx, watchWait+readTimeout)
	defer cancel()
	rows, err := f.options.Store.Watch(ctx, table, version, watchWait)
	f.recordStoreOutcome(err)
	return rows, err
}

// readTable reads a table whole.
func (f *Fleet) readTable(ctx context.Context, table string) (store.Rows, error) {
	ctx, cancel := context.WithTimeout(ctx, f.readTimeouts.timeoutFor(table))
	defer cancel()
	rows, err := f.options.Store.Read(ctx, table)
	f.readTimeouts.record(table, ctx.Err() != nil)
	f.recordStoreOutcome(err)
	return rows, err
}

// readTimeouts is how long reads of the tables may take.
type readTimeouts struct {
	mu       sync.Mutex
	timeouts map[string]time.Duration
}

// timeoutFor returns the limit for the next read timeoutFor a table.
func (r *readTimeouts) timeoutFor(table string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(r.timeouts[table], readTimeout)
}

// record takes in whether a read of a table has run into its limit.
func (r *readTimeouts) record(table string, timedOut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !timedOut {
		delete(r.timeouts, table)
		return
	}
	r.timeouts[table] = min(2*max(r.timeouts[table], readTimeout), maxReadTimeout)
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
