package database

import (
	"context"
	"sync"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// faults holds what the faults in force mean for the rest of the database.
type faults struct {
	mu       sync.Mutex
	frozen   bool
	isolated map[string]bool
	factor   float64
	share    float64
	// owed is the part of a failure that the statements so far have gathered.
	owed    float64
	leaving bool
	closes  time.Time
	changed chan struct{}
}

func newFaults() *faults {
	return &faults{factor: 1, changed: make(chan struct{})}
}

// set adds a fault, or ends all of them.
func (f *faults) set(fault Fault, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch fault := fault.(type) {
	case FaultNone:
		f.frozen, f.isolated, f.factor, f.share, f.owed, f.leaving = false, nil, 1, 0, 0, false
	case FaultFreeze:
		f.frozen = true
	case FaultIsolate:
		f.isolated = map[string]bool{}
		for _, name := range fault.From {
			f.isolated[name] = true
		}
	case FaultSilent:
		// The connections themselves are marked.
	case FaultSlow:
		f.factor = fault.Factor
	case FaultFailStatements:
		f.share = fault.Share
	case FaultLeave:
		f.leaving, f.closes = true, now.Add(fault.Grace)
	}
	close(f.changed)
	f.changed = make(chan struct{})
}

// awaitThaw waits while the database is frozen, or until done is closed. It
// reports whether the database may go on.
func (f *faults) awaitThaw(done <-chan struct{}) bool {
	return f.await(done, func() bool { return !f.frozen })
}

// awaitReachable waits while the database is isolated from another, or until
// the context ends. It reports whether the other is reachable.
func (f *faults) awaitReachable(ctx context.Context, name model.DatabaseID, zone model.ZoneID) bool {
	return f.await(ctx.Done(), func() bool {
		return !f.isolated[string(name)] && !f.isolated[string(zone)]
	})
}

func (f *faults) await(done <-chan struct{}, ready func() bool) bool {
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

// stretch returns how long a statement takes.
func (f *faults) stretch(duration time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(float64(duration) * f.factor)
}

// failsNext reports whether the next statement fails.
func (f *faults) failsNext() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.owed += f.share
	if f.owed < 1 {
		return false
	}
	f.owed--
	return true
}

// isLeaving reports whether the database is leaving, and whether it refuses
// new data connections.
func (f *faults) isLeaving(now time.Time) (leaving, closed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leaving, f.leaving && !now.Before(f.closes)
}
