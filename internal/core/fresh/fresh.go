// Package fresh determines the position of a group's log that a database must have
// reached to serve a read within its staleness bound.
//
// # What flows in and out
//
// Inputs are position samples: an answer of the primary reports a position of its log,
// and the sample's time is one before the request was sent. Outputs are positions:
// every commit that was acknowledged before a moment is at or below the position of
// any sample taken after that moment.
//
// The lowest position that satisfies a staleness bound is returned, since it is the
// one that the most replicas have reached.
//
// # Usage
//
//	samples.Add(sent, position)
//	sample, found := samples.LowestCovering(arrived.Add(-bound))
package fresh

import (
	"sort"
	"sync"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

const (
	// minSpacing is the minimum time between two kept samples. Staleness bounds are of
	// the order of seconds and need no finer steps.
	minSpacing = 40 * time.Millisecond
	// maxSamples is the maximum number of samples kept: about five seconds of them,
	// twice the longest staleness bound in use.
	maxSamples = 128
)

// PositionSample means that every commit acknowledged before At is at or below
// Position.
type PositionSample struct {
	At       time.Time
	Position model.Position
}

// PositionSamples holds the samples of one group, ordered by time. The zero value is
// ready to use. It is safe for concurrent use.
type PositionSamples struct {
	mu      sync.Mutex
	samples []PositionSample
}

// AddSpaced adds a sample if it is newer than the newest one by at least minSpacing.
func (s *PositionSamples) AddSpaced(sample PositionSample) {
	if newest, found := s.Newest(); !found || sample.At.Sub(newest.At) >= minSpacing {
		s.Add(sample.At, sample.Position)
	}
}

// Add adds a sample. It ignores a sample without a position and one that is not newer
// than the newest. The new sample replaces the newest if it follows the sample before
// that by less than minSpacing.
func (s *PositionSamples) Add(at time.Time, position model.Position) {
	if position.IsZero() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if last := len(s.samples) - 1; last >= 0 {
		newest := s.samples[last]
		if !at.After(newest.At) {
			return
		}
		if position.Less(newest.Position) {
			// The higher position of the newest sample covers the later time as well.
			position = newest.Position
		}
		if last > 0 && at.Sub(s.samples[last-1].At) < minSpacing {
			s.samples[last] = PositionSample{At: at, Position: position}
			return
		}
	}
	s.samples = append(s.samples, PositionSample{At: at, Position: position})
	if extra := len(s.samples) - maxSamples; extra > 0 {
		s.samples = append(s.samples[:0], s.samples[extra:]...)
	}
}

// LowestCovering returns the sample with the lowest position that covers all commits
// acknowledged before moment, and whether there is one.
func (s *PositionSamples) LowestCovering(moment time.Time) (PositionSample, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := sort.Search(len(s.samples), func(i int) bool { return !s.samples[i].At.Before(moment) })
	if i == len(s.samples) {
		return PositionSample{}, false
	}
	return s.samples[i], true
}

// Lag returns how far a log that ends at position lags behind the primary, at most: the
// time since the newest sample whose commits it holds. If it holds those of none, the
// lag is at least the time since the oldest sample, which is returned.
func (s *PositionSamples) Lag(now time.Time, position model.Position) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.samples) == 0 || position.IsZero() {
		return 0
	}
	i := sort.Search(len(s.samples), func(i int) bool { return position.Less(s.samples[i].Position) })
	return now.Sub(s.samples[max(0, i-1)].At)
}

// Newest returns the newest sample, and whether there is one.
func (s *PositionSamples) Newest() (PositionSample, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.samples) == 0 {
		return PositionSample{}, false
	}
	return s.samples[len(s.samples)-1], true
}

// Reset removes all samples, for when the log that they refer to has been replaced.
func (s *PositionSamples) Reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.samples = nil
}
