package outage

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// start is the virtual time at which each outage begins.
var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// A primary that fails under a steady load of statements with one second left: those
// that arrive too early to see the end are rejected at once, the others wait, and a
// failover that is overdue by far holds nobody.
func TestLoadDuringFailover(t *testing.T) {
	durations, tracker := NewDurations(), &Tracker{}
	got := map[int]bool{}
	observe := func(ms int, stage Stage) { tracker.Observe(at(ms), stage, at(ms), durations) }
	judge := func(ms int) {
		verdict := tracker.Judge(at(ms), durations, Request{Deadline: at(ms + 1000), Interval: time.Millisecond})
		got[ms] = verdict.Rejected
	}
	judge(0)
	observe(0, StageUnanswered)
	judge(500)
	observe(600, StageChanging)
	for _, ms := range []int{700, 1100, 1500, 1900, 2200, 2700, 4100, 5000} {
		judge(ms)
	}
	observe(5100, StagePromoted)
	judge(5100)
	observe(5200, StageServing)
	judge(5200)
	want := map[int]bool{
		0: false, 500: true, 700: true, 1100: false, 1500: false, 1900: false, 2200: false, 2700: false, 4100: true, 5000: true,
		5100: false, 5200: false,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("rejected, by the time in ms: %s", diff)
	}
}

// Steps that took longer than usual are expected to do so again, and steps that ended
// without the next one are not.
func TestDurationsAreLearned(t *testing.T) {
	durations, tracker := NewDurations(), &Tracker{}
	for ms, stage := range map[int]Stage{0: StageUnanswered} {
		tracker.Observe(at(ms), stage, at(ms), durations)
	}
	tracker.Observe(at(9000), StageServing, at(9000), durations)
	tracker.Observe(at(10000), StageUnanswered, at(10000), durations)
	tracker.Observe(at(10800), StageChanging, at(10800), durations)
	tracker.Observe(at(12900), StageServing, at(12900), durations)
	want := map[Stage]time.Duration{
		StageUnanswered: 700 * time.Millisecond, StageChanging: 1700 * time.Millisecond, StagePromoted: defaultPromoted,
	}
	if diff := cmp.Diff(want, durations.average); diff != "" {
		t.Error(diff)
	}
}

// A thousand statements that are rejected in one outage must not return at once: their
// times follow each other after its end, the urgent ranks first, and end at maxSpread.
func TestRejectedReturnInOrder(t *testing.T) {
	durations, tracker := NewDurations(), &Tracker{}
	tracker.Observe(at(0), StageChanging, at(0), durations)
	returnAt := func(rank model.Rank) time.Duration {
		verdict := tracker.Judge(at(0), durations, Request{Rank: rank, Deadline: at(100), Interval: 10 * time.Millisecond})
		return verdict.ServedAt.Sub(tracker.End(at(0), durations))
	}
	got := []time.Duration{returnAt(1), returnAt(1), returnAt(0), returnAt(2), returnAt(0)}
	for range 1000 {
		returnAt(2)
	}
	got = append(got, returnAt(2))
	want := []time.Duration{0, 10 * time.Millisecond, 0, 30 * time.Millisecond, 10 * time.Millisecond, maxSpread}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// A read that a replica will be able to serve waits for it, however long the outage.
func TestAlternativeIsAwaited(t *testing.T) {
	durations, tracker := NewDurations(), &Tracker{}
	tracker.Observe(at(0), StageUnanswered, at(0), durations)
	verdict := tracker.Judge(at(0), durations, Request{Deadline: at(500), Alternative: at(200)})
	if diff := cmp.Diff(Verdict{ServedAt: at(200)}, verdict); diff != "" {
		t.Error(diff)
	}
}
