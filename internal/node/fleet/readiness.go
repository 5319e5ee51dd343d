package fleet

import (
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/clock"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

// judgeReadiness decides whether the platform shall send callers here.
func (f *Fleet) judgeReadiness() {
	d := &f.directory
	now := clock.Now()
	proven := f.isProven(now)
	d.mu.Lock()
	if proven {
		d.unprovenSince = time.Time{}
	} else if d.unprovenSince.IsZero() {
		d.unprovenSince = now
	}
	known, databases := d.known, len(d.entries)
	unproven := !proven && now.Sub(d.unprovenSince) > unprovenLimit
	shed := !proven && now.Sub(d.unprovenSince) > shedLimit
	d.mu.Unlock()
	if shed {
		f.sessions.CloseIdleSessions()
	}
	ready := known && databases > 0 && !unproven && !f.leaving.Load()
	if f.ready.Swap(ready) != ready {
		f.note(event.ReadinessChanged, event.F("ready", ready), event.F("configuration", f.ConfigurationVersion()),
			event.F("databases", databases), event.F("proven", proven))
	}
}
