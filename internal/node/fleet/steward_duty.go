package fleet

import (
	"context"

	"github.com/eelgrassfold/eelgrassfold/internal/core/clock"
	"github.com/eelgrassfold/eelgrassfold/internal/core/lease"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/store"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

// isSteward reports whether changes of primary are this instance's to make: it
// holds the duty, or the holder is not there and it is the first of those that
// are. Without a majority that does not hear the holder, it is challenged first.
func (f *Fleet) isSteward(ctx context.Context, duty lease.CoordinatorLease) bool {
	switch {
	case duty.Holder == f.options.StartID:
		return true
	case !f.isFirst():
		return false
	case duty.Holder == "":
		return true
	case f.hears(duty.Holder) || f.peersHear(duty.Holder):
		return false
	case f.isMajority():
		return true
	default:
		return f.hasChallenged(ctx, duty)
	}
}

// hasChallenged reports whether this instance's challenge of the holder has stood
// for long; it makes one where there is none.
func (f *Fleet) hasChallenged(ctx context.Context, duty lease.CoordinatorLease) bool {
	s := &f.stewardship
	if s.challenge == duty.Version {
		return clock.Since(s.challenged) > challengeWait
	}
	duty.Challenger = f.options.StartID
	if version, err := f.writeDuty(ctx, duty); err == nil {
		s.challenge, s.challenged = version, clock.Now()
	}
	return false
}

// answerChallenge takes a challenge of this instance as the duty's holder away.
func (f *Fleet) answerChallenge(ctx context.Context, duty lease.CoordinatorLease) {
	if duty.Holder != f.options.StartID || duty.Challenger == "" {
		return
	}
	duty.Challenger = ""
	// Where the write fails, the next view shows the challenge again.
	_, _ = f.writeDuty(ctx, duty)
}

// writeDuty replaces the duty's row as it was seen.
func (f *Fleet) writeDuty(ctx context.Context, duty lease.CoordinatorLease) (uint64, error) {
	version, err := f.write(ctx, store.Transaction{
		Preconditions: []store.Row{{Table: groupTable, Key: dutyKey, Version: duty.Version}},
		Upserts:       []store.Row{{Table: groupTable, Key: dutyKey, Value: f.encode(&duty)}},
	})
	f.note(event.CoordinatorLeaseWritten, event.F("holder", duty.Holder), event.F("token", duty.FencingToken),
		event.F("challenger", duty.Challenger), event.F("outcome", outcome(err)))
	f.wantRenewal()
	return version, err
}

// peersHear reports whether a live peer has heard the holder of the duty. The
// holder's word of itself does not count: it was heard here already.
func (f *Fleet) peersHear(holder model.InstanceID) bool {
	f.peers.mu.Lock()
	defer f.peers.mu.Unlock()
	now := clock.Now()
	for id, p := range f.peers.known {
		if id != holder && p.isAlive(now) && p.bulletin.CoordinatorLease.Holder == holder && p.bulletin.HolderAlive {
			return true
		}
	}
	return false
}

// CoordinatorReplacedError reports that another instance has taken the duty over.
type CoordinatorReplacedError struct{ Holder model.InstanceID }

// Error implements error.
func (e *CoordinatorReplacedError) Error() string { return "the duty is held by " + string(e.Holder) }
