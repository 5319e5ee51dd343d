package flood

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// forEachTopology runs a test for both topologies in parallel.
func forEachTopology(t *testing.T, test func(t *testing.T, topology Topology)) {
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

// TestUrgentWhileLeastUrgentFloods checks that urgent work is answered within its
// target while the least urgent rank floods, and that goodput is at least 90% of
// that at a load of 1.
func TestUrgentWhileLeastUrgentFloods(t *testing.T) {
	forEachTopology(t, func(t *testing.T, topology Topology) {
		atCapacity := Run(Scenario{Topology: topology, Scheduler: Leases, Rank: 2, Load: 1, Seed: 1})
		flooded := Run(Scenario{Topology: topology, Scheduler: Leases, Rank: 2, Load: 10, Seed: 1})
		if share := flooded.Ranks[0].InTargetShare(); share < 0.99 {
			t.Errorf("%s: %.4f of urgent work answered within its target", topology.Name, share)
		}
		if flooded.Goodput < 0.9*atCapacity.Goodput {
			t.Errorf("%s: goodput %.3f, %.3f at load 1", topology.Name, flooded.Goodput, atCapacity.Goodput)
		}
		if flooded.MaxExcessRequests > 2 {
			t.Errorf("%s: up to %d requests more than slots at a database", topology.Name, flooded.MaxExcessRequests)
		}
	})
}

// TestMinimumSharesDuringUrgentFlood checks that every rank keeps at least 95% of its minimum
// slot share while the most urgent rank floods.
func TestMinimumSharesDuringUrgentFlood(t *testing.T) {
	forEachTopology(t, func(t *testing.T, topology Topology) {
		flooded := Run(Scenario{Topology: topology, Scheduler: Leases, Rank: 0, Load: 10, Seed: 1})
		ranks := Manifest(topology).Ranks
		for r := range model.Rank(len(ranks)) {
			if slotShare := flooded.SlotShareByRank[r]; slotShare < 0.95*ranks[r].MinSlotShare {
				t.Errorf("%s: %s has %.3f of the slot-time, minimum share %.2f", topology.Name, ranks[r].Name, slotShare, ranks[r].MinSlotShare)
			}
		}
	})
}

// TestFailingDatabase checks that all ranks are still answered within their targets
// while one of the databases answers every request with an error.
func TestFailingDatabase(t *testing.T) {
	forEachTopology(t, func(t *testing.T, topology Topology) {
		result := Run(Scenario{Topology: topology, Scheduler: Leases, Rank: 2, Load: 0.5, Seed: 1, ErrorShare: 1})
		for r := range result.Ranks {
			if share := result.Ranks[r].InTargetShare(); share < 0.99 {
				t.Errorf("%s: %.4f of rank %d answered within its target", topology.Name, share, r)
			}
		}
	})
}
