package fleet

import (
	"context"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/clock"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

const (
	// livenessInterval is the time between two checks whether the instance can serve
	// statements. Without one for livenessTimeout it is not ready.
	livenessInterval = 250 * time.Millisecond
	livenessTimeout  = 2 * time.Second
)

// recordLiveness records, until ctx ends, that the parts that each statement passes through
// respond: the directory, the scheduler and the pool.
func (f *Fleet) recordLiveness(ctx context.Context) {
	for ctx.Err() == nil {
		f.ConfigurationVersion()
		f.Scheduler.DatabaseOf("")
		f.Pool.HasIdle("", "")
		f.liveAt.Store(int64(sinceBoot(clock.Now())))
		sleep(ctx, livenessInterval)
	}
}

// IsReady reports whether the platform should send callers to this instance.
func (f *Fleet) IsReady() bool {
	return f.ready.Load() && f.sinceLive() < livenessTimeout
}

// sinceLive returns the time since recordLiveness last saw the instance respond.
func (f *Fleet) sinceLive() time.Duration {
	return sinceBoot(clock.Now()) - time.Duration(f.liveAt.Load())
}

// updateReadiness decides whether the platform should send callers to this
// instance: it has a configuration and a database and is not leaving, and
// hasConfirmedPrimary was true within the last unconfirmedReadyLimit. It logs a
// change of this decision. Each call closes the idle sessions once
// hasConfirmedPrimary has been false for unconfirmedCloseLimit.
func (f *Fleet) updateReadiness() {
	d := &f.directory
	now := clock.Now()
	isConfirmed := f.hasConfirmedPrimary(now)
	d.mu.Lock()
	if isConfirmed {
		d.unconfirmedSince = time.Time{}
	} else if d.unconfirmedSince.IsZero() {
		d.unconfirmedSince = now
	}
	hasConfiguration, databases := d.hasConfiguration, len(d.entries)
	isUnconfirmedTooLong := !isConfirmed && now.Sub(d.unconfirmedSince) > unconfirmedReadyLimit
	closeIdle := !isConfirmed && now.Sub(d.unconfirmedSince) > unconfirmedCloseLimit
	d.mu.Unlock()
	if closeIdle {
		f.sessions.CloseIdleSessions()
	}
	ready := hasConfiguration && databases > 0 && !isUnconfirmedTooLong && !f.leaving.Load()
	if f.ready.Swap(ready) != ready {
		f.logEvent(event.ReadinessChanged, event.F("ready", ready),
			event.F("configuration", f.ConfigurationVersion()),
			event.F("databases", databases), event.F("proven", isConfirmed))
	}
}
