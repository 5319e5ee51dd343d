package rank

import (
	"testing"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// TestFastAnswersKeepLimit checks that the spread of answers far below a
// millisecond, which comes from load and from the machine, lowers no limit, and
// that the limit of a database that has become slow is still lowered.
func TestFastAnswersKeepLimit(t *testing.T) {
	cases := []struct {
		name       string
		took       []time.Duration
		keepsLimit bool
	}{
		{"fast answers of varying time", []time.Duration{40 * time.Microsecond, 900 * time.Microsecond}, true},
		{"answers that became much slower", []time.Duration{10 * ms}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newTestScheduler()
			now := serveReads(t, s, start, []time.Duration{40 * time.Microsecond})
			serveReads(t, s, now, c.took)
			isAtMaximum := s.limitOf(s.databases["a"]) == s.limits.MaxConcurrentStatements
			if isAtMaximum != c.keepsLimit {
				t.Errorf("limit is %d of %d slots", s.limitOf(s.databases["a"]), s.limits.MaxConcurrentStatements)
			}
		})
	}
}

// serveReads serves reads on one database, one after the other, whose answers
// take the given times in turn. It returns the time of the last answer.
func serveReads(t *testing.T, s *Scheduler, now time.Time, took []time.Duration) time.Time {
	t.Helper()
	const count = 200
	for i := range count {
		id := model.RequestID(now.Sub(start)) + 1
		now = now.Add(10 * ms)
		read := work(id, 1, 0)
		read.Arrived, read.Deadline = now, now.Add(time.Second)
		if refusal, ok := s.Enqueue(now, read); !ok {
			t.Fatal("request was rejected:", refusal)
		}
		if got := len(s.AssignSlots(now, candidatesOf("a"))); got != 1 {
			t.Fatalf("request %d: %d slots assigned", i, got)
		}
		elapsed := took[i%len(took)]
		now = now.Add(elapsed)
		s.Finish(now, id, SlotCompletion{Elapsed: elapsed})
	}
	return now
}
