package placement

import (
	"strconv"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// fleetOf returns the names of a number of instances in each zone, and their
// Population.
func fleetOf(perZone map[model.ZoneID]int) (names map[model.InstanceID]model.ZoneID, population Population) {
	names = map[model.InstanceID]model.ZoneID{}
	for zone, count := range perZone {
		for i := range count {
			names[model.InstanceID(string(zone)+"-"+strconv.Itoa(i))] = zone
		}
		population.Instances += count
	}
	population.Zones = perZone
	return names, population
}

// Fewer connections than instances: the instances together must keep most of a
// database's connections, so that few statements pay for a new one, but leave some for
// statements that only this database can serve. Each instance keeps one connection for
// each group at most, to a database of its own zone if there is one.
func TestKeptConnections(t *testing.T) {
	zones := []model.ZoneID{"z1", "z2", "z3"}
	for name, c := range map[string]struct {
		perZone     map[model.ZoneID]int
		connections int
		// minShare is the part of all instances that must keep a connection.
		minShare float64
	}{
		"60 instances in the databases' zones": {map[model.ZoneID]int{"z1": 20, "z2": 20, "z3": 20}, 46, 1},
		"295 instances in five zones":          {map[model.ZoneID]int{"z1": 64, "z2": 57, "z3": 61, "z4": 59, "z5": 54}, 140, 0.95},
		"1600 instances in eight zones": {
			map[model.ZoneID]int{"z1": 200, "z2": 200, "z3": 200, "z4": 200, "z5": 200, "z6": 200, "z7": 200, "z8": 200}, 140, 0.15,
		},
	} {
		t.Run(name, func(t *testing.T) {
			names, population := fleetOf(c.perZone)
			kept := map[model.DatabaseID]int{}
			keeping := 0
			for instance, zone := range names {
				population.Self = instance
				var databases []Database
				for i, z := range zones {
					databases = append(databases, Database{
						ID: model.DatabaseID("d" + strconv.Itoa(i)), Group: ratings, Zone: z, MaxConnections: c.connections,
					})
				}
				markKept(databases, zone, population)
				count := 0
				for _, db := range databases {
					if !db.KeepsConnection {
						continue
					}
					count++
					kept[db.ID]++
					if hasLocal := zone == "z1" || zone == "z2" || zone == "z3"; hasLocal && db.Zone != zone {
						t.Errorf("%s in %s keeps a connection in %s", instance, zone, db.Zone)
					}
				}
				if count > 1 {
					t.Errorf("%s keeps %d connections", instance, count)
				}
				keeping += count
			}
			if share := float64(keeping) / float64(len(names)); share < c.minShare {
				t.Errorf("%.2f of the instances keep a connection, want %.2f", share, c.minShare)
			}
			for id, count := range kept {
				if limit := c.connections * 9 / 10; count > limit {
					t.Errorf("%d connections to %s are kept, want %d at most", count, id, limit)
				}
			}
		})
	}
}

// Where each instance has a connection of its own, none is special.
func TestConnectionsAreNotScarce(t *testing.T) {
	databases := []Database{{ID: "a", Group: ratings, Zone: "z1", MaxConnections: 21}}
	markKept(databases, "z1", Population{Self: "i", Instances: 7, Zones: map[model.ZoneID]int{"z1": 7}})
	if diff := cmp.Diff([]bool{false, false}, []bool{databases[0].HasScarceConnections, databases[0].KeepsConnection}); diff != "" {
		t.Error(diff)
	}
}

// A read goes to the database to which this instance keeps a connection, also if that
// is the primary, rather than to a replica that would have to accept a new one.
func TestReadsPreferKeptConnection(t *testing.T) {
	for _, home := range []model.ZoneID{"savannah", "lanier"} {
		s, _ := newFixture(t)
		s.zone = home
		s.SetDatabases([]Database{
			{ID: "a", Group: ratings, Zone: "savannah", Slots: 4, MaxConnections: 9},
			{ID: "b", Group: ratings, Zone: "lanier", Slots: 4, MaxConnections: 9},
		}, Population{Self: "i", Instances: 12, Zones: map[model.ZoneID]int{"savannah": 6, "lanier": 6}})
		reservation := mustAcquire(t, s, readRequirements(1))
		if diff := cmp.Diff([]any{home, true}, []any{reservation.Database.Zone, reservation.Database.KeepsConnection}); diff != "" {
			t.Error(diff)
		}
	}
}
