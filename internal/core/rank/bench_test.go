package rank

import (
	"testing"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// loaded returns a scheduler with a thousand waiting works.
func loaded() *Scheduler {
	s := newTestScheduler()
	for id := model.RequestID(1); id <= 1000; id++ {
		w := work(id, 2, 5*time.Second)
		s.Enqueue(start, w)
	}
	s.AssignSlots(start, on("a"))
	return s
}

// BenchmarkServed measures a work that is taken in, granted and finished.
func BenchmarkServed(b *testing.B) {
	s := loaded()
	now := start
	for b.Loop() {
		now = now.Add(5 * ms)
		w := work(model.RequestID(b.N)+2000, 0, 0)
		w.Arrived, w.Deadline = now, now.Add(time.Second)
		s.Enqueue(now, w)
		s.TakeExpired(now)
		for _, grant := range s.AssignSlots(now, on("a")) {
			s.Finish(now.Add(ms), grant.Request, SlotCompletion{Elapsed: ms})
		}
		s.TakeMessages(now)
		s.TakeLogEvents()
	}
}

// BenchmarkRefused measures a work that is refused at the door.
func BenchmarkRefused(b *testing.B) {
	s := loaded()
	w := work(5000, 2, 5*time.Second)
	for taken := true; taken; w.Request++ {
		_, taken = s.Enqueue(start, w)
	}
	for b.Loop() {
		if _, ok := s.Enqueue(start, w); ok {
			b.Fatal("taken in")
		}
	}
}

// BenchmarkIdle measures a tick in which nothing waits.
func BenchmarkIdle(b *testing.B) {
	s := newTestScheduler()
	s.AssignSlots(start, on("a"))
	now := start
	for b.Loop() {
		now = now.Add(5 * ms)
		s.TakeExpired(now)
		s.AssignSlots(now, on("a"))
		s.TakeMessages(now)
	}
}
