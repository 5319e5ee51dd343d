package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/clock"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// rounds are queries of the databases of groups, at most one at a time for each group. All
// goroutines that wait for a result share them.
type rounds[R any] struct {
	mu      sync.Mutex
	running map[model.GroupID]*round[R]
}

// round is one round for a group. Its result is valid once done is closed.
type round[R any] struct {
	startedAt time.Time
	done      chan struct{}
	result    R
}

// join returns the round that is running and false, or a new one, which must
// then be run, and true.
func (s *rounds[R]) join(name model.GroupID) (*round[R], bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, found := s.running[name]; found {
		return r, false
	}
	r := &round[R]{startedAt: clock.Now(), done: make(chan struct{})}
	if s.running == nil {
		s.running = map[model.GroupID]*round[R]{}
	}
	s.running[name] = r
	return r, true
}

// end ends a round and wakes the goroutines that wait for it.
func (s *rounds[R]) end(name model.GroupID, r *round[R]) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, name)
	close(r.done)
}

// after returns the result of the first round that started after a moment. It starts rounds
// if none is running; start must not wait for them. It returns false if ctx ends first.
func (s *rounds[R]) after(
	ctx context.Context, name model.GroupID, moment time.Time, start func(*round[R]),
) (result R, found bool) {
	for ctx.Err() == nil {
		r, isNew := s.join(name)
		if isNew {
			start(r)
		}
		select {
		case <-r.done:
		case <-ctx.Done():
			return result, false
		}
		if r.startedAt.After(moment) {
			return r.result, true
		}
	}
	return result, false
}
