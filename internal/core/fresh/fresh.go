// Package fresh tells which position of a group's log a read must reach to be
// no older than its staleness bound.
//
// # What flows in and out
//
// Samples flow in: at some time the primary's log reached some position, as an
// answer said whose request was sent after that time. Positions flow out: every
// commit that was acknowledged before a moment is at or below the position of
// any sample taken after it.
//
// The lowest position that still satisfies a bound is given out, since it is
// the one that most replicas have.
//
// # Usage
//
//	samples.Add(sent, position)
//	position, known := samples.Since(arrived.Add(-bound))
package fresh

import (
	"sort"
	"sync"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

const (
	// spacing is the least time between two kept samples. Reads that bear
	// seconds of age need no finer steps.
	spacing = 40 * time.Millisecond
	// kept is the number of samples that are kept: about five seconds of them,
	// twice the longest bound in use.
	kept = 128
)

// PositionSample says that every commit acknowledged before At is at or below Position.
type PositionSample struct {
	At       time.Time
	Position model.Position
}

// PositionSamples are those of one group, ordered by time. The zero value is ready; it
// may be used from many goroutines.
type PositionSamples struct {
	mu      sync.Mutex
	samples []PositionSample
}

// AddSpaced takes in a sample where it is newer than what is known by the spacing.
func (s *PositionSamples) AddSpaced(sample PositionSample) {
	if newest, found := s.Newest(); !found || sample.At.Sub(newest.At) >= spacing {
		s.Add(sample.At, sample.Position)
	}
}

// Add takes in a sample. Samples that are older than the newest kept one, or
// that follow it closely, are dropped, unless their position is higher.
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
			// A higher position covers the later time as well.
			position = newest.Position
		}
		if last > 0 && at.Sub(s.samples[last-1].At) < spacing {
			s.samples[last] = PositionSample{At: at, Position: position}
			return
		}
	}
	s.samples = append(s.samples, PositionSample{At: at, Position: position})
	if extra := len(s.samples) - kept; extra > 0 {
		s.samples = append(s.samples[:0], s.samples[extra:]...)
	}
}

// LowestCovering returns the lowest known position that covers all commits acknowledged
// before moment, and whether there is one.
func (s *PositionSamples) LowestCovering(moment time.Time) (PositionSample, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := sort.Search(len(s.samples), func(i int) bool { return !s.samples[i].At.Before(moment) })
	if i == len(s.samples) {
		return PositionSample{}, false
	}
	return s.samples[i], true
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

// Reset forgets all samples: the log that they spoke of has been replaced.
func (s *PositionSamples) Reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.samples = nil
}
