package database

import (
	"context"
	"sync"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// faultState holds the combined effect of the faults in force.
type faultState struct {
	mu     sync.Mutex
	frozen bool
	// isolated holds the names of the databases and zones that are isolated from
	// this database.
	isolated     map[string]bool
	slowFactor   float64
	failureShare float64
	// failureAccumulator grows by failureShare with each statement. Each time it
	// reaches 1, the statement fails and 1 is subtracted.
	failureAccumulator float64
	leaving            bool
	// refusesFrom is the time from which a leaving database rejects new data
	// connections.
	refusesFrom time.Time
	changed     chan struct{}
}

func newFaultState() *faultState {
	return &faultState{slowFactor: 1, changed: make(chan struct{})}
}

// set adds a fault. FaultNone ends all faults instead.
func (f *faultState) set(fault Fault, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch fault := fault.(type) {
	case FaultNone:
		f.frozen, f.isolated, f.slowFactor, f.failureShare, f.failureAccumulator, f.leaving = false, nil, 1, 0, 0, false
	case FaultFreeze:
		f.frozen = true
	case FaultIsolate:
		f.isolated = map[string]bool{}
		for _, name := range fault.From {
			f.isolated[name] = true
		}
	case FaultSilent:
		// Database.silenceSessions marks the connections instead.
	case FaultSlow:
		f.slowFactor = fault.Factor
	case FaultFailStatements:
		f.failureShare = fault.Share
	case FaultLeave:
		f.leaving, f.refusesFrom = true, now.Add(fault.Grace)
	}
	close(f.changed)
	f.changed = make(chan struct{})
}

// awaitThaw blocks while the database is frozen, or until done is closed. It
// reports whether the database is not frozen.
func (f *faultState) awaitThaw(done <-chan struct{}) bool {
	return f.await(done, func() bool { return !f.frozen })
}

// awaitReachable blocks while this database is isolated from another one, or
// until the context ends. It reports whether the other one is reachable.
func (f *faultState) awaitReachable(ctx context.Context, name model.DatabaseID, zone model.ZoneID) bool {
	return f.await(ctx.Done(), func() bool {
		return !f.isolated[string(name)] && !f.isolated[string(zone)]
	})
}

// await blocks until ready returns true, or until done is closed. It reports
// whether ready returned true.
func (f *faultState) await(done <-chan struct{}, ready func() bool) bool {
	for {
		f.mu.Lock()
		changed, isReady := f.changed, ready()
		f.mu.Unlock()
		if isReady {
			return true
		}
		select {
		case <-changed:
		case <-done:
			return false
		}
	}
}

// scaleDuration returns how long a statement takes under the fault slow, given
// its usual duration.
func (f *faultState) scaleDuration(duration time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(float64(duration) * f.slowFactor)
}

// failsNext reports whether the next statement fails.
func (f *faultState) failsNext() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failureAccumulator += f.failureShare
	if f.failureAccumulator < 1 {
		return false
	}
	f.failureAccumulator--
	return true
}

// isLeaving reports whether the database is leaving, and whether it rejects new
// data connections.
func (f *faultState) isLeaving(now time.Time) (leaving, refusing bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leaving, f.leaving && !now.Before(f.refusesFrom)
}
