package replica

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against a database that holds acknowledged commits and is forgotten, or that is
// waited for although nothing of it is needed any more.
func TestObserve(t *testing.T) {
	first := Copy{ID: "a", Incarnation: 1}
	record := Record{Copies: []Copy{first, {ID: "b", Incarnation: 1}, {ID: "p", Incarnation: 1}}}
	listed := []Copy{first, {ID: "p", Incarnation: 1}}
	ids := func(r Record) (ids string) {
		for _, c := range r.Copies {
			ids += string(c.ID)
		}
		return ids
	}
	for _, c := range []struct {
		name        string
		observation Observation
		want        string
	}{
		{"nothing is known of the primary", Observation{Primary: "p", Listed: listed}, "abp"},
		{"no other replica has caught up", Observation{Primary: "p", Listed: listed, PrimaryEnd: position(2, 20), Answers: []Answer{answer("a", 19)}}, "abp"},
		{"another replica has reached the end of the first observation", Observation{Primary: "p", Listed: listed, PrimaryEnd: position(2, 30), Answers: []Answer{answer("a", 20)}, Gone: Gone{"b": position(2, 20)}}, "ap"},
		{"no other replica has reached it", Observation{Primary: "p", Listed: listed, PrimaryEnd: position(2, 30), Answers: []Answer{answer("a", 19)}, Gone: Gone{"b": position(2, 20)}}, "abp"},
		{"it answers again", Observation{Primary: "p", Listed: listed, PrimaryEnd: position(2, 30), Answers: []Answer{answer("a", 20), answer("b", 20)}, Gone: Gone{"b": position(2, 20)}}, "abp"},
		{"another replica has caught up", Observation{Primary: "p", Listed: listed, PrimaryEnd: position(2, 20), Answers: []Answer{answer("a", 20)}}, "ap"},
		{"it has no entry and answers", Observation{Primary: "p", Listed: listed, PrimaryEnd: position(2, 20), Answers: []Answer{answer("a", 20), answer("b", 20)}}, "abp"},
		{"the primary has no entry", Observation{Primary: "p", Listed: record.Copies[:2], PrimaryEnd: position(2, 20), Answers: []Answer{answer("a", 20)}}, "abp"},
		{"a new one", Observation{Primary: "p", Listed: append(listed, Copy{ID: "c"})}, "abcp"},
	} {
		updated, changed := record.Observe(c.observation)
		if diff := cmp.Diff([]any{c.want, c.want != "abp"}, []any{ids(updated), changed}); diff != "" {
			t.Errorf("%s: %s", c.name, diff)
		}
	}
	restarted := append([]Copy{{ID: "b", Incarnation: 2}}, listed...)
	unknown, _ := record.Observe(Observation{Primary: "p", Listed: restarted})
	known, _ := record.Observe(Observation{Primary: "p", Listed: restarted, PrimaryEnd: position(2, 20)})
	promoted := known.AfterPromotion(restarted)
	want := []Copy{{ID: "b", Incarnation: 1}, {ID: "b", Incarnation: 2, Floor: position(2, 20)}, {ID: "b", Incarnation: 2}}
	if diff := cmp.Diff(want, []Copy{unknown.Copies[1], known.Copies[1], promoted.Copies[1]}, cmp.Comparer(func(x, y Copy) bool { return x == y })); diff != "" {
		t.Errorf("a database has restarted: %s", diff)
	}
}

// Guards against a lost database that stays in the record for ever under steady writes: the
// replicas lag, and none ever has the present end of the primary's log.
func TestLostDatabaseLeavesRecordUnderWrites(t *testing.T) {
	record := Record{Copies: []Copy{{ID: "a", Incarnation: 1}, {ID: "b", Incarnation: 1}, {ID: "p", Incarnation: 1}}}
	listed := []Copy{{ID: "a", Incarnation: 1}, {ID: "p", Incarnation: 1}}
	gone := Gone{}
	var got []int
	for second := range 4 {
		end := 100 + 30*second
		o := Observation{
			Primary: "p", Listed: listed, PrimaryEnd: position(2, end), Answers: []Answer{answer("a", end-5)}, Gone: gone,
		}
		gone = record.Gone(o)
		record, _ = record.Observe(o)
		got = append(got, len(record.Copies))
	}
	if diff := cmp.Diff([]int{3, 2, 2, 2}, got); diff != "" {
		t.Errorf("databases in the record: %s", diff)
	}
}
