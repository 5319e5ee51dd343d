package database

import (
	"context"
	"sync"
)

// slots bounds the statements that run at once. Who waits is served first
// come, first served.
type slots struct {
	mu      sync.Mutex
	size    int
	busy    int
	waiting []chan struct{}
}

// acquire waits for a slot, or for the end of the context.
func (s *slots) acquire(ctx context.Context) error {
	granted := s.enter()
	select {
	case <-granted:
		return nil
	case <-ctx.Done():
		s.leave(granted)
		return context.Cause(ctx)
	}
}

// enter queues for a slot; the channel returned is closed when it is granted.
func (s *slots) enter() chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	granted := make(chan struct{})
	s.waiting = append(s.waiting, granted)
	s.grant()
	return granted
}

// leave gives up waiting, or the slot that was granted meanwhile.
func (s *slots) leave(granted chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, waiting := range s.waiting {
		if waiting == granted {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return
		}
	}
	s.busy--
	s.grant()
}

// release returns a slot.
func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy--
	s.grant()
}

func (s *slots) grant() {
	for s.busy < s.size && len(s.waiting) > 0 {
		close(s.waiting[0])
		s.waiting = s.waiting[1:]
		s.busy++
	}
}

// inUse returns the number of slots in use.
func (s *slots) inUse() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.busy
}
