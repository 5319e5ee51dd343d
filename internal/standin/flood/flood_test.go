package flood

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// eachPlace runs a test for both deployments at the same time.
func eachPlace(t *testing.T, test func(t *testing.T, place Topology)) {
	t.Helper()
	t.Parallel()
	for _, place := range []Topology{Consortium, Reparto} {
		t.Run(place.Name, func(t *testing.T) {
			t.Parallel()
			test(t, place)
		})
	}
}

func TestSameScenarioSameResult(t *testing.T) {
	t.Parallel()
	for _, scenario := range []Scenario{
		{Topology: Reparto, Scheduler: Leases, Rank: 1, Load: 0.5, Seed: 3, ZonePartitioned: true},
		{Topology: Consortium, Scheduler: Leases, Rank: 2, Load: 0.5, Seed: 3, ErrorShare: 0.5},
	} {
		if diff := cmp.Diff(Run(scenario), Run(scenario)); diff != "" {
			t.Error(diff)
		}
	}
}

// TestUrgentWhileLeastUrgentFloods checks that urgent work stays inside its
// target, and that the flood costs little of what is useful.
func TestUrgentWhileLeastUrgentFloods(t *testing.T) {
	eachPlace(t, func(t *testing.T, place Topology) {
		calm := Run(Scenario{Topology: place, Scheduler: Leases, Rank: 2, Load: 1, Seed: 1})
		flooded := Run(Scenario{Topology: place, Scheduler: Leases, Rank: 2, Load: 10, Seed: 1})
		if share := flooded.Ranks[0].InTargetShare(); share < 0.99 {
			t.Errorf("%s: %.4f of urgent work inside its target", place.Name, share)
		}
		if flooded.Goodput < 0.9*calm.Goodput {
			t.Errorf("%s: %.3f useful, %.3f at load 1", place.Name, flooded.Goodput, calm.Goodput)
		}
		if flooded.MaxExcessRequests > 2 {
			t.Errorf("%s: %d requests beyond the slots", place.Name, flooded.MaxExcessRequests)
		}
	})
}

// TestMinimumSharesDuringUrgentFlood checks that each other rank keeps its floor,
// within 5%, or all that it asks for.
func TestMinimumSharesDuringUrgentFlood(t *testing.T) {
	eachPlace(t, func(t *testing.T, place Topology) {
		flooded := Run(Scenario{Topology: place, Scheduler: Leases, Rank: 0, Load: 10, Seed: 1})
		ranks := Manifest(place).Ranks
		for r := range model.Rank(len(ranks)) {
			if held := flooded.SlotShareByRank[r]; held < 0.95*ranks[r].MinSlotShare {
				t.Errorf("%s: %s has %.3f of the slot-time, floor %.2f", place.Name, ranks[r].Name, held, ranks[r].MinSlotShare)
			}
		}
	})
}

// TestFailingDatabase checks that a database that fails altogether costs the
// others nothing.
func TestFailingDatabase(t *testing.T) {
	eachPlace(t, func(t *testing.T, place Topology) {
		result := Run(Scenario{Topology: place, Scheduler: Leases, Rank: 2, Load: 0.5, Seed: 1, ErrorShare: 1})
		for r := range result.Ranks {
			if share := result.Ranks[r].InTargetShare(); share < 0.99 {
				t.Errorf("%s: %.4f of rank %d inside its target", place.Name, share, r)
			}
		}
	})
}
