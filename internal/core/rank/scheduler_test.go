package rank

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/eelgrassfold/eelgrassfold/internal/config/manifest"
	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// start is the beginning of virtual time.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// after returns a moment of virtual time.
func after(elapsed time.Duration) time.Time { return start.Add(elapsed) }

const ms = time.Millisecond

func testManifest() *manifest.Manifest {
	return &manifest.Manifest{
		Groups: []manifest.Group{{Name: "g", Databases: []manifest.Database{{Name: "a"}, {Name: "b"}, {Name: "c"}}}},
		Ranks: []manifest.Rank{
			{Name: "urgent", LatencyTarget: 100 * ms, Value: 10, MinSlotShare: 0.3},
			{Name: "ordinary", LatencyTarget: 300 * ms, Value: 3, MinSlotShare: 0.2},
			{Name: "background", LatencyTarget: 2 * time.Second, Value: 1, MinSlotShare: 0.1},
		},
		Kinds: []manifest.RequestKind{
			{Name: "post", Rank: 0, Access: model.AccessWrite, Deadline: time.Second},
			{Name: "look", Rank: 1, Access: model.AccessRead, Deadline: 2 * time.Second},
			{Name: "settle", Rank: 2, Access: model.AccessWrite, Deadline: 10 * time.Second},
		},
		Limits: manifest.DatabaseLimits{MaxConcurrentStatements: 2, MaxConnections: 20, ReservedConnections: 2, ConnectTime: 12 * ms},
	}
}

func newTestScheduler() *Scheduler {
	s := NewScheduler("i")
	s.Configure(start.Add(-time.Minute), testManifest())
	s.SetPeers(start, []model.InstanceID{"i"})
	return s
}

func work(id model.RequestID, r model.Rank, deadline time.Duration) Work {
	kind := []string{"post", "look", "settle"}[r]
	return Work{Request: id, Group: "g", Rank: r, Caller: "club", Kind: kind, Arrived: start, Deadline: after(deadline)}
}

func on(databases ...model.DatabaseID) Candidates {
	return func(Work) []model.DatabaseID { return databases }
}

func requests(grants []SlotAssignment) []model.RequestID {
	var ids []model.RequestID
	for _, grant := range grants {
		ids = append(ids, grant.Request)
	}
	return ids
}

func TestEarliestDeadlineFirst(t *testing.T) {
	s := newTestScheduler()
	for id, deadline := range map[model.RequestID]time.Duration{1: 900, 2: 300, 3: 500, 4: 400} {
		if refusal, ok := s.Enqueue(start, work(id, 0, deadline*ms)); !ok {
			t.Fatalf("refused: %v", refusal)
		}
	}
	got := requests(s.AssignSlots(start, on("a")))
	if diff := cmp.Diff([]model.RequestID{2, 4}, got); diff != "" {
		t.Error(diff)
	}
}

func TestBlockedWorkDoesNotBlockOthers(t *testing.T) {
	s := newTestScheduler()
	for id := model.RequestID(1); id <= 100; id++ {
		s.Enqueue(start, work(id, 1, 500*ms))
	}
	s.Enqueue(start, work(101, 1, 900*ms))
	only := func(w Work) []model.DatabaseID {
		if w.Request == 101 {
			return []model.DatabaseID{"b"}
		}
		return nil
	}
	got := requests(s.AssignSlots(start, only))
	if diff := cmp.Diff([]model.RequestID{101}, got); diff != "" {
		t.Error(diff)
	}
}

func TestCallerGivesWay(t *testing.T) {
	s := newTestScheduler()
	for id := model.RequestID(1); id <= 10; id++ {
		s.Enqueue(start, work(id, 0, 500*ms))
	}
	other := work(11, 0, 900*ms)
	other.Caller = "other"
	s.Enqueue(start, other)
	got := requests(s.AssignSlots(start, on("a")))
	if diff := cmp.Diff([]model.RequestID{1, 11}, got); diff != "" {
		t.Error(diff)
	}
}

func TestRefusedAtTheDoor(t *testing.T) {
	s := newTestScheduler()
	refused := 0
	for id := model.RequestID(1); id <= 1000; id++ {
		if _, ok := s.Enqueue(start, work(id, 0, 100*ms)); !ok {
			refused++
		}
	}
	// Two slots of the primary serve at most 20 works of 10 ms in 100 ms.
	if admitted := 1000 - refused; admitted < 15 || admitted > 25 {
		t.Errorf("%d works were taken in", admitted)
	}
	refusal, _ := s.Enqueue(start, work(1001, 0, 100*ms))
	if refusal.Reason != message.RefuseOverload || refusal.RetryAfter <= 0 {
		t.Errorf("refusal is %+v", refusal)
	}
}

// TestNothingIsLost lets random calls run and checks that each work taken in
// comes out exactly once, and that no database has more than its slots.
func TestNothingIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newTestScheduler()
		now := start
		next := model.RequestID(1)
		state := map[model.RequestID]string{}
		place := map[model.RequestID]model.DatabaseID{}
		databases := []model.DatabaseID{"a", "b", "c"}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * ms)
			switch rapid.IntRange(0, 5).Draw(t, "call") {
			case 0, 1:
				w := work(next, model.Rank(rapid.IntRange(0, 2).Draw(t, "rank")), 0)
				w.Arrived = now
				w.Deadline = now.Add(time.Duration(rapid.IntRange(1, 1000).Draw(t, "deadline")) * ms)
				w.Caller = model.CallerID(rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "caller"))
				if _, ok := s.Enqueue(now, w); ok {
					state[next] = "waiting"
				}
				next++
			case 2:
				pick := rapid.SliceOfDistinct(rapid.SampledFrom(databases), rapid.ID[model.DatabaseID]).Draw(t, "candidates")
				for _, grant := range s.AssignSlots(now, on(pick...)) {
					if state[grant.Request] != "waiting" {
						t.Fatalf("granted %d, which is %q", grant.Request, state[grant.Request])
					}
					state[grant.Request] = "running"
					place[grant.Request] = grant.Database
				}
			case 3:
				for _, id := range s.TakeExpired(now) {
					if state[id] != "waiting" {
						t.Fatalf("expired %d, which is %q", id, state[id])
					}
					delete(state, id)
				}
			case 4, 5:
				id := model.RequestID(rapid.Uint64Range(1, uint64(next)).Draw(t, "id"))
				switch {
				case state[id] == "waiting" && s.Cancel(id):
					delete(state, id)
				case state[id] == "running" && rapid.Bool().Draw(t, "requeue"):
					s.Requeue(now, id, SlotCompletion{Failed: true})
					state[id] = "waiting"
				case state[id] == "running":
					s.Finish(now, id, SlotCompletion{Elapsed: 5 * ms})
					delete(state, id)
				}
			}
			checkSlots(t, state, place)
		}
		drain(t, s, now, state)
	})
}

func checkSlots(t *rapid.T, state map[model.RequestID]string, place map[model.RequestID]model.DatabaseID) {
	busy := map[model.DatabaseID]int{}
	for id, what := range state {
		if what == "running" {
			busy[place[id]]++
		}
	}
	for database, n := range busy {
		if n > testManifest().Limits.MaxConcurrentStatements {
			t.Fatalf("%s has %d running", database, n)
		}
	}
}

// drain serves what is left and checks that all of it comes out.
func drain(t *rapid.T, s *Scheduler, now time.Time, state map[model.RequestID]string) {
	for range 1000 {
		for id, what := range state {
			if what == "running" {
				s.Finish(now, id, SlotCompletion{Elapsed: 5 * ms})
				delete(state, id)
			}
		}
		now = now.Add(5 * ms)
		for _, grant := range s.AssignSlots(now, on("a", "b", "c")) {
			state[grant.Request] = "running"
		}
		for _, id := range s.TakeExpired(now) {
			delete(state, id)
		}
	}
	if len(state) > 0 {
		t.Fatalf("left in the queue: %v", state)
	}
}

// TestFloorsAreKept floods with one rank and checks that each other rank, which
// asks for all, gets its floor of the slot-time, less a tenth of it.
func TestFloorsAreKept(t *testing.T) {
	for flood := range model.Rank(3) {
		served := flooded(newTestScheduler(), flood)
		total := served[0] + served[1] + served[2]
		for r, floor := range []float64{0.3, 0.2, 0.1} {
			if share := float64(served[r]) / float64(total); share < 0.9*floor {
				t.Errorf("flood of rank %d: rank %d has %.3f of the slot-time, floor %.2f", flood, r, share, floor)
			}
		}
	}
}

// flooded offers five times as much of one rank as of the others, each of
// which alone is more than one database serves, and returns what was served.
func flooded(s *Scheduler, flood model.Rank) [3]int {
	type run struct {
		work Work
		ends time.Time
	}
	var served [3]int
	var running []run
	waiting := map[model.RequestID]Work{}
	next := model.RequestID(1)
	for now := start; now.Before(after(20 * time.Second)); now = now.Add(ms) {
		for len(running) > 0 && !now.Before(running[0].ends) {
			s.Finish(now, running[0].work.Request, SlotCompletion{Elapsed: 10 * ms})
			served[running[0].work.Rank]++
			running = running[1:]
		}
		for r := range model.Rank(3) {
			for range map[bool]int{true: 5, false: 1}[r == flood] {
				w := work(next, r, 0)
				w.Arrived, w.Deadline = now, now.Add(time.Second)
				if _, ok := s.Enqueue(now, w); ok {
					waiting[next] = w
				}
				next++
			}
		}
		for _, grant := range s.AssignSlots(now, on("a")) {
			running = append(running, run{work: waiting[grant.Request], ends: now.Add(10 * ms)})
		}
		for _, id := range s.TakeExpired(now) {
			delete(waiting, id)
		}
	}
	return served
}
