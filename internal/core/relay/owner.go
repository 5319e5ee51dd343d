package relay

import (
	"cmp"
	"slices"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// ownersOfDatabase is the number of instances that are owners of a database: the one that
// runs its statements, and its heir.
const ownersOfDatabase = 2

// Owners returns the instances that run the statements of all instances at a database, the
// first one first and then its heir. They are members of the database's availability zone;
// others only if there is none.
//
// The load that it answers: many tenants on many instances, where a connection serves one
// tenant and no instance may keep enough of them. Rendezvous hashing spreads the databases
// over the instances and moves few of them when an instance comes or goes.
func Owners(database model.DatabaseID, zone model.ZoneID, members []Candidate) []Candidate {
	local := slices.DeleteFunc(slices.Clone(members), func(m Candidate) bool { return m.Zone != zone })
	if len(local) == 0 {
		local = slices.Clone(members)
	}
	slices.SortFunc(local, func(a, b Candidate) int {
		return cmp.Or(
			cmp.Compare(model.RendezvousWeight(b.Instance, database), model.RendezvousWeight(a.Instance, database)),
			cmp.Compare(a.Instance, b.Instance))
	})
	return local[:min(len(local), ownersOfDatabase)]
}
