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

// start is the start of virtual time.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// after returns the virtual time at elapsed after start.
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

func candidatesOf(databases ...model.DatabaseID) Candidates {
	return func(Work) []model.DatabaseID { return databases }
}

func requestIDs(assignments []SlotAssignment) []model.RequestID {
	var ids []model.RequestID
	for _, assignment := range assignments {
		ids = append(ids, assignment.Request)
	}
	return ids
}

func TestEarliestDeadlineFirst(t *testing.T) {
	s := newTestScheduler()
	for id, deadline := range map[model.RequestID]time.Duration{1: 900, 2: 300, 3: 500, 4: 400} {
		if refusal, ok := s.Enqueue(start, work(id, 0, deadline*ms)); !ok {
			t.Fatalf("request was rejected: %v", refusal)
		}
	}
	got := requestIDs(s.AssignSlots(start, candidatesOf("a")))
	if diff := cmp.Diff([]model.RequestID{2, 4}, got); diff != "" {
		t.Error(diff)
	}
}

func TestRequestWithoutDatabaseDoesNotBlockOthers(t *testing.T) {
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
	got := requestIDs(s.AssignSlots(start, only))
	if diff := cmp.Diff([]model.RequestID{101}, got); diff != "" {
		t.Error(diff)
	}
}

func TestFairnessBetweenCallers(t *testing.T) {
	s := newTestScheduler()
	for id := model.RequestID(1); id <= 10; id++ {
		s.Enqueue(start, work(id, 0, 500*ms))
	}
	other := work(11, 0, 900*ms)
	other.Caller = "other"
	s.Enqueue(start, other)
	got := requestIDs(s.AssignSlots(start, candidatesOf("a")))
	if diff := cmp.Diff([]model.RequestID{1, 11}, got); diff != "" {
		t.Error(diff)
	}
}

func TestAdmissionRejectsOverload(t *testing.T) {
	s := newTestScheduler()
	rejected := 0
	for id := model.RequestID(1); id <= 1000; id++ {
		if _, ok := s.Enqueue(start, work(id, 0, 100*ms)); !ok {
			rejected++
		}
	}
	// Two slots of the primary serve at most 20 requests of 10 ms in 100 ms.
	if admitted := 1000 - rejected; admitted < 15 || admitted > 25 {
		t.Errorf("%d requests were admitted", admitted)
	}
	refusal, _ := s.Enqueue(start, work(1001, 0, 100*ms))
	if refusal.Reason != message.RefuseOverload || refusal.RetryAfter <= 0 {
		t.Errorf("refusal is %+v", refusal)
	}
}

// TestEachRequestLeavesOnce makes random calls and checks that each admitted request
// leaves the scheduler exactly once, and that no database runs more requests
// than it has slots.
func TestEachRequestLeavesOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newTestScheduler()
		now := start
		nextRequest := model.RequestID(1)
		phases := map[model.RequestID]string{}
		placedOn := map[model.RequestID]model.DatabaseID{}
		databases := []model.DatabaseID{"a", "b", "c"}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * ms)
			switch rapid.IntRange(0, 5).Draw(t, "call") {
			case 0, 1:
				request := work(nextRequest, model.Rank(rapid.IntRange(0, 2).Draw(t, "rank")), 0)
				request.Arrived = now
				request.Deadline = now.Add(time.Duration(rapid.IntRange(1, 1000).Draw(t, "deadline")) * ms)
				request.Caller = model.CallerID(rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "caller"))
				if _, ok := s.Enqueue(now, request); ok {
					phases[nextRequest] = "waiting"
				}
				nextRequest++
			case 2:
				candidates := rapid.SliceOfDistinct(rapid.SampledFrom(databases), rapid.ID[model.DatabaseID]).Draw(t, "candidates")
				for _, assignment := range s.AssignSlots(now, candidatesOf(candidates...)) {
					if phases[assignment.Request] != "waiting" {
						t.Fatalf("request %d was assigned a slot, but is %q", assignment.Request, phases[assignment.Request])
					}
					phases[assignment.Request] = "running"
					placedOn[assignment.Request] = assignment.Database
				}
			case 3:
				for _, id := range s.TakeExpired(now) {
					if phases[id] != "waiting" {
						t.Fatalf("request %d expired, but is %q", id, phases[id])
					}
					delete(phases, id)
				}
			case 4, 5:
				id := model.RequestID(rapid.Uint64Range(1, uint64(nextRequest)).Draw(t, "id"))
				switch {
				case phases[id] == "waiting" && s.Cancel(id):
					delete(phases, id)
				case phases[id] == "running" && rapid.Bool().Draw(t, "requeue"):
					s.Requeue(now, id, SlotCompletion{Failed: true})
					phases[id] = "waiting"
				case phases[id] == "running":
					s.Finish(now, id, SlotCompletion{Elapsed: 5 * ms})
					delete(phases, id)
				}
			}
			checkSlots(t, phases, placedOn)
		}
		drain(t, s, now, phases)
	})
}

func checkSlots(t *rapid.T, phases map[model.RequestID]string, placedOn map[model.RequestID]model.DatabaseID) {
	running := map[model.DatabaseID]int{}
	for id, phase := range phases {
		if phase == "running" {
			running[placedOn[id]]++
		}
	}
	for database, count := range running {
		if count > testManifest().Limits.MaxConcurrentStatements {
			t.Fatalf("%s runs %d requests", database, count)
		}
	}
}

// drain serves the remaining requests and checks that all of them leave the
// scheduler.
func drain(t *rapid.T, s *Scheduler, now time.Time, phases map[model.RequestID]string) {
	for range 1000 {
		for id, phase := range phases {
			if phase == "running" {
				s.Finish(now, id, SlotCompletion{Elapsed: 5 * ms})
				delete(phases, id)
			}
		}
		now = now.Add(5 * ms)
		for _, assignment := range s.AssignSlots(now, candidatesOf("a", "b", "c")) {
			phases[assignment.Request] = "running"
		}
		for _, id := range s.TakeExpired(now) {
			delete(phases, id)
		}
	}
	if len(phases) > 0 {
		t.Fatalf("requests left in the scheduler: %v", phases)
	}
}

// TestMinimumSharesAreKept floods the scheduler with one rank and checks that each
// other rank, which always has waiting requests, gets at least nine tenths of
// its minimum share of the slot-time.
func TestMinimumSharesAreKept(t *testing.T) {
	for flood := range model.Rank(3) {
		served := serveFlood(newTestScheduler(), flood)
		total := served[0] + served[1] + served[2]
		for r, minShare := range []float64{0.3, 0.2, 0.1} {
			if share := float64(served[r]) / float64(total); share < 0.9*minShare {
				t.Errorf("flood of rank %d: rank %d has %.3f of the slot-time, minimum share %.2f", flood, r, share, minShare)
			}
		}
	}
}

// serveFlood enqueues five times as many requests of one rank as of each other
// rank, each of which alone is more than one database can serve, and returns
// the number of requests served by rank.
func serveFlood(s *Scheduler, flood model.Rank) [3]int {
	type run struct {
		work Work
		ends time.Time
	}
	var served [3]int
	var running []run
	waiting := map[model.RequestID]Work{}
	nextRequest := model.RequestID(1)
	for now := start; now.Before(after(20 * time.Second)); now = now.Add(ms) {
		for len(running) > 0 && !now.Before(running[0].ends) {
			s.Finish(now, running[0].work.Request, SlotCompletion{Elapsed: 10 * ms})
			served[running[0].work.Rank]++
			running = running[1:]
		}
		for r := range model.Rank(3) {
			for range map[bool]int{true: 5, false: 1}[r == flood] {
				request := work(nextRequest, r, 0)
				request.Arrived, request.Deadline = now, now.Add(time.Second)
				if _, ok := s.Enqueue(now, request); ok {
					waiting[nextRequest] = request
				}
				nextRequest++
			}
		}
		for _, assignment := range s.AssignSlots(now, candidatesOf("a")) {
			running = append(running, run{work: waiting[assignment.Request], ends: now.Add(10 * ms)})
		}
		for _, id := range s.TakeExpired(now) {
			delete(waiting, id)
		}
	}
	return served
}

// An instance that announces its termination frees its share at once, although it
// is missing from the live instances that SetPeers sets afterwards. One that
// disappears without an announcement keeps its share reserved.
func TestLeavingPeerFreesItsShare(t *testing.T) {
	for _, announced := range []bool{true, false} {
		s := newTestScheduler()
		s.SetPeers(start, []model.InstanceID{"i", "j", "k"})
		want := []model.InstanceID{"i", "j", "k"}
		if announced {
			s.RemovePeer(start, "j")
			want = []model.InstanceID{"i", "k"}
		}
		s.SetPeers(start, []model.InstanceID{"i", "k"})
		if diff := cmp.Diff(want, s.peers.known); diff != "" {
			t.Errorf("announced %v: %s", announced, diff)
		}
	}
}
