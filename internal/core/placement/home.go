package placement

import (
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// keptConnectionShare is the part of a database's connections that instances may keep
// while they do not use them, where there are fewer connections than instances. The
// rest is for statements that only this database can serve, and for instances that
// start.
const keptConnectionShare = 0.75

// Population is the instances that share the databases.
type Population struct {
	Self model.InstanceID
	// Instances is their number. Zones holds the number known in each availability
	// zone, which may be lower.
	Instances int
	Zones     map[model.ZoneID]int
	// HasTenants is true if the configuration names tenants.
	HasTenants bool
}

// markKept sets HasScarceConnections and KeepsConnection of databases.
//
// Where there are fewer connections than instances, a connection that is opened for one
// statement costs the database as much as a short statement. Each instance therefore
// keeps a connection to one database of each group, its home: a database of its own
// availability zone or, if there is none, the one with the highest hash of instance and
// database. All instances together keep no more than keptConnectionShare of a
// database's connections: if more instances have it as their home, those with a low
// hash keep none.
func markKept(databases []Database, zone model.ZoneID, population Population) {
	byGroup := map[model.GroupID][]*Database{}
	for i := range databases {
		db := &databases[i]
		db.HasScarceConnections = !db.IsOwned && db.MaxConnections-controlConnections < population.Instances
		byGroup[db.Group] = append(byGroup[db.Group], db)
	}
	for _, group := range byGroup {
		home := homeOf(group, zone, population.Self)
		if !home.HasScarceConnections {
			continue
		}
		kept := keptConnectionShare * float64(home.MaxConnections-controlConnections)
		const steps = 1000
		home.KeepsConnection = float64(model.RendezvousWeight(population.Self, home.ID)%steps)/steps < kept/residents(home, group, population)
	}
}

// homeOf returns the home of an instance in a group.
func homeOf(group []*Database, zone model.ZoneID, self model.InstanceID) *Database {
	var home *Database
	for _, db := range group {
		switch {
		case home == nil, db.Zone == zone && home.Zone != zone:
			home = db
		case (db.Zone == zone) == (home.Zone == zone) && model.RendezvousWeight(self, db.ID) > model.RendezvousWeight(self, home.ID):
			home = db
		}
	}
	return home
}

// residents returns the number of instances that are expected to have a database as
// their home. Instances whose availability zone is unknown are taken to be spread like
// those of zones without a database.
func residents(home *Database, group []*Database, population Population) float64 {
	databasesIn := map[model.ZoneID]int{}
	for _, db := range group {
		databasesIn[db.Zone]++
	}
	known := 0
	elsewhere := 0
	for zone, count := range population.Zones {
		known += count
		if databasesIn[zone] == 0 {
			elsewhere += count
		}
	}
	elsewhere += max(0, population.Instances-known)
	return float64(population.Zones[home.Zone])/float64(databasesIn[home.Zone]) + float64(elsewhere)/float64(len(group))
}
