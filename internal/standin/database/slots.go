package database

import (
	"context"
	"sync"
)

// slots limits the statements that run at the same time. Waiting statements get
// slots in the order of their arrival.
type slots struct {
	mu      sync.Mutex
	limit   int
	used    int
	waiters []chan struct{}
}

// acquire waits for a slot. Its error is the cause of the end of the context.
func (s *slots) acquire(ctx context.Context) error {
	granted := s.enqueue()
	select {
	case <-granted:
		return nil
	case <-ctx.Done():
		s.cancelWait(granted)
		return context.Cause(ctx)
	}
}

// enqueue adds a waiter for a slot. The returned channel is closed when the
// slot is granted.
func (s *slots) enqueue() chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	granted := make(chan struct{})
	s.waiters = append(s.waiters, granted)
	s.grantWaiters()
	return granted
}

// cancelWait removes a waiter, or releases its slot if that has been granted
// already.
func (s *slots) cancelWait(granted chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, waiter := range s.waiters {
		if waiter == granted {
			s.waiters = append(s.waiters[:i], s.waiters[i+1:]...)
			return
		}
	}
	s.used--
	s.grantWaiters()
}

// release releases a slot.
func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used--
	s.grantWaiters()
}

// grantWaiters grants the free slots to the first waiters. It requires that mu is
// locked.
func (s *slots) grantWaiters() {
	for s.used < s.limit && len(s.waiters) > 0 {
		close(s.waiters[0])
		s.waiters = s.waiters[1:]
		s.used++
	}
}

// inUse returns the number of slots in use.
func (s *slots) inUse() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.used
}
