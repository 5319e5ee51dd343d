package rank

import (
	"testing"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// TestShortAnswersKeepLimit checks that the spread of answers far below a
// millisecond, as load and the machine make it, lowers no limit, and that a
// database that has become slow still has its limit lowered.
func TestShortAnswersKeepLimit(t *testing.T) {
	cases := []struct {
		name string
		took []time.Duration
		kept bool
	}{
		{"short answers that spread", []time.Duration{40 * time.Microsecond, 900 * time.Microsecond}, true},
		{"answers that became ten times slower", []time.Duration{10 * ms}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newTestScheduler()
			now := serveReads(t, s, start, []time.Duration{40 * time.Microsecond})
			serveReads(t, s, now, c.took)
			full := s.limitOf(s.databases["a"]) == s.limits.MaxConcurrentStatements
			if full != c.kept {
				t.Errorf("limit %d of %d slots", s.limitOf(s.databases["a"]), s.limits.MaxConcurrentStatements)
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
			t.Fatal("refused", refusal)
		}
		if got := len(s.AssignSlots(now, on("a"))); got != 1 {
			t.Fatalf("answer %d: %d grants", i, got)
		}
		elapsed := took[i%len(took)]
		now = now.Add(elapsed)
		s.Finish(now, id, SlotCompletion{Elapsed: elapsed})
	}
	return now
}
