package rank

import (
	"testing"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// loadedScheduler returns a scheduler with a thousand waiting requests.
func loadedScheduler() *Scheduler {
	s := newTestScheduler()
	for id := model.RequestID(1); id <= 1000; id++ {
		w := work(id, 2, 5*time.Second)
		s.Enqueue(start, w)
	}
	s.AssignSlots(start, candidatesOf("a"))
	return s
}

// BenchmarkServeRequest measures a request that is enqueued, started and
// finished.
func BenchmarkServeRequest(b *testing.B) {
	s := loadedScheduler()
	now := start
	for b.Loop() {
		now = now.Add(5 * ms)
		request := work(model.RequestID(b.N)+2000, 0, 0)
		request.Arrived, request.Deadline = now, now.Add(time.Second)
		s.Enqueue(now, request)
		s.TakeExpired(now)
		for _, assignment := range s.AssignSlots(now, candidatesOf("a")) {
			s.Finish(now.Add(ms), assignment.Request, SlotCompletion{Elapsed: ms})
		}
		s.TakeMessages(now)
		s.TakeLogEvents()
	}
}

// BenchmarkRejectRequest measures a request that is rejected at admission.
func BenchmarkRejectRequest(b *testing.B) {
	s := loadedScheduler()
	request := work(5000, 2, 5*time.Second)
	for admitted := true; admitted; request.Request++ {
		_, admitted = s.Enqueue(start, request)
	}
	for b.Loop() {
		if _, ok := s.Enqueue(start, request); ok {
			b.Fatal("request was admitted")
		}
	}
}

// BenchmarkIdleStep measures a step in which no request waits.
func BenchmarkIdleStep(b *testing.B) {
	s := newTestScheduler()
	s.AssignSlots(start, candidatesOf("a"))
	now := start
	for b.Loop() {
		now = now.Add(5 * ms)
		s.TakeExpired(now)
		s.AssignSlots(now, candidatesOf("a"))
		s.TakeMessages(now)
	}
}
