package placement

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/eelgrassfold/eelgrassfold/internal/core/clock"
	"github.com/eelgrassfold/eelgrassfold/internal/core/lease"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// Guards against reads that go to the primary, or stay away from a replica, since the
// first answers on new connections were slow; and against a slow replica that gets more
// than one read to find that out.
func TestReadsAfterSlowFirstAnswers(t *testing.T) {
	const slow, fast = 5 * time.Millisecond, 200 * time.Microsecond
	type latencies struct{ first, later time.Duration }
	for name, c := range map[string]struct {
		latencies map[model.DatabaseID]latencies
		// concurrent is the number of reads that are sent before the first answer.
		concurrent int
		// want is how many of 20 reads each database gets.
		want map[model.DatabaseID]int
	}{
		"the first answer of each replica is slow": {
			map[model.DatabaseID]latencies{"a": {fast, fast}, "b": {slow, fast}, "c": {slow, fast}},
			1,
			map[model.DatabaseID]int{"b": 10, "c": 10},
		},
		"the first answers on several connections are slow": {
			map[model.DatabaseID]latencies{"a": {fast, fast}, "b": {slow, fast}, "c": {slow, fast}},
			4,
			map[model.DatabaseID]int{"b": 10, "c": 10},
		},
		"a replica is slow": {
			map[model.DatabaseID]latencies{"a": {fast, fast}, "b": {10 * slow, 10 * slow}, "c": {fast, fast}},
			1,
			map[model.DatabaseID]int{"b": 2, "c": 18},
		},
		"all replicas are slow": {
			map[model.DatabaseID]latencies{"a": {fast, fast}, "b": {10 * slow, 10 * slow}, "c": {10 * slow, 10 * slow}},
			1,
			map[model.DatabaseID]int{"a": 16, "b": 2, "c": 2},
		},
	} {
		t.Run(name, func(t *testing.T) {
			s, _ := newFixture(t)
			s.SetDatabases([]Database{
				{ID: "a", Group: ratings, Zone: "lanier", Slots: 9, MaxConnections: 99},
				{ID: "b", Group: ratings, Zone: "lanier", Slots: 9, MaxConnections: 99},
				{ID: "c", Group: ratings, Zone: "lanier", Slots: 9, MaxConnections: 99},
			}, Population{Instances: 1})
			now, reads := clock.Now(), map[model.DatabaseID]int{}
			send := func() *databaseState {
				requirements := readRequirements(0)
				db := s.chooseReader(now, s.groups[ratings], &waiter{requirements: requirements}, lease.Grant{Primary: "a"}, true, newestPosition, now, true)
				reads[db.ID]++
				db.inFlight++
				return db
			}
			answer := func(db *databaseState, elapsed time.Duration) {
				now = now.Add(elapsed)
				db.inFlight--
				db.recordResult(now, Result{Outcome: OutcomeAnswered, Elapsed: elapsed})
			}
			var first []*databaseState
			for range c.concurrent {
				first = append(first, send())
			}
			start := now
			for _, db := range first {
				now = start
				answer(db, c.latencies[db.ID].first)
			}
			for range 20 - c.concurrent {
				db := send()
				latency := c.latencies[db.ID].later
				if reads[db.ID] == 1 {
					latency = c.latencies[db.ID].first
				}
				answer(db, latency)
			}
			if diff := cmp.Diff(c.want, reads); diff != "" {
				t.Error(diff)
			}
		})
	}
}
