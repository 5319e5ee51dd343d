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
	// readTimeout bounds a read of the store: a read on a connection that has
	// become unresponsive must end and be repeated well within the time in
	// which a new configuration has to reach all instances. (That time is a
	// requirement on the fleet; there is no constant for it.) After each timeout
	// the limit of the next read of that table doubles, up to maxReadTimeout: a
	// large configuration takes that long on a slow link.
	readTimeout    = 700 * time.Millisecond
	maxReadTimeout = 4 * readTimeout
	// watchWait is how long the store holds a watch without a change: an
	// unresponsive watch must be detected within the same time.
	watchWait = 1600 * time.Millisecond
	// fallbackReadAge is the time since the last confirmation by peers after
	// which an instance that does not watch the store reads the table itself:
	// the duration of a watch, the interval until the next gossip, and the time
	// of that gossip on its way.
	fallbackReadAge = watchWait + gossipInterval + 100*time.Millisecond
	// fallbackCheckInterval is the maximum time between two checks of that age and of
	// which instance is the first: an instance that becomes the first watches the store
	// within this time.
	fallbackCheckInterval = 400 * time.Millisecond
	// minFallbackCheckInterval is the minimum time between two checks.
	minFallbackCheckInterval = 20 * time.Millisecond
	// fallbackRetryPause is the minimum pause after a failed call of such an
	// instance. It may exceed maxBackoff, since the first instance reports when
	// the store is back.
	fallbackRetryPause = 1500 * time.Millisecond
	// firstWatchDelay is the time after the start of an instance before which it does
	// not watch: until it knows its peers it takes itself for the first, and the
	// instances of a fleet that starts would all watch the store.
	firstWatchDelay = 600 * time.Millisecond
	// writeTimeout bounds a write to the store.
	writeTimeout = time.Second
	// initialBackoff and maxBackoff bound the pause after a failed call.
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

// watchTable follows a table until ctx ends: apply gets all rows first, with
// readAll set, and then those that change. Only the first instance (see first)
// watches the store. The others receive the changes from it, and read the table
// when their content has not been confirmed for fallbackReadAge.
func (f *Fleet) watchTable(
	ctx context.Context, table string, confirmedAt func() time.Time,
	apply func(rows store.Rows, readAll bool),
) {
	pause := newBackoff()
	var version uint64
	readAll := true
	var lostAt time.Time
	for ctx.Err() == nil {
		if !f.isFirst() {
			readAll = true
			if remaining := fallbackReadAge - clock.Since(confirmedAt()); remaining > 0 {
				sleep(ctx, min(max(remaining, minFallbackCheckInterval), fallbackCheckInterval))
				continue
			}
		}
		if remaining := firstWatchDelay - clock.Since(f.startedAt); !readAll && remaining > 0 {
			sleep(ctx, remaining)
			continue
		}
		rows, err := f.readOrWatch(ctx, table, version, readAll)
		if err == nil {
			if !lostAt.IsZero() {
				f.logEvent(event.DependencyBack, event.F("dependency", "store/"+table),
					event.F("away", clock.Since(lostAt).String()))
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
			f.logEvent(event.DependencyLost, event.F("dependency", "store/"+table),
				event.F("error", err.Error()))
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

// readOrWatch reads all rows of a table if readAll is set, otherwise it waits
// for the next changes.
func (f *Fleet) readOrWatch(
	ctx context.Context, table string, version uint64, readAll bool,
) (store.Rows, error) {
	if readAll {
		return f.readTable(ctx, table)
	}
	ctx, cancel := context.WithTimeout(ctx, watchWait+readTimeout)
	defer cancel()
	return f.options.Store.Watch(ctx, table, version, watchWait)
}

// readTable reads all rows of a table.
func (f *Fleet) readTable(ctx context.Context, table string) (store.Rows, error) {
	ctx, cancel := context.WithTimeout(ctx, f.readTimeouts.timeoutFor(table))
	defer cancel()
	rows, err := f.options.Store.Read(ctx, table)
	f.readTimeouts.record(table, ctx.Err() != nil)
	return rows, err
}

// readTimeouts holds the time limit of the next read of each table, by the table's
// name. The limit of a table that is not in it is readTimeout.
type readTimeouts struct {
	mu       sync.Mutex
	timeouts map[string]time.Duration
}

// timeoutFor returns the time limit of the next read of a table.
func (r *readTimeouts) timeoutFor(table string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(r.timeouts[table], readTimeout)
}

// record records whether a read of a table has timed out.
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
