package fleet

import (
	"net/netip"
	"slices"

	"github.com/eelgrassfold/eelgrassfold/internal/core/clock"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/core/placement"
	decision "github.com/eelgrassfold/eelgrassfold/internal/core/relay"
)

// setOwners determines the owners of databases, and marks those that this instance owns.
// Without tenants or relays there are none.
func (f *Fleet) setOwners(databases []placement.Database, hasTenants bool) {
	owners := map[model.DatabaseID][]decision.Candidate{}
	if hasTenants && f.relays.port != 0 {
		members := append(f.relayCandidates(), decision.Candidate{Instance: f.options.InstanceName, Zone: f.options.Zone})
		for i := range databases {
			db := &databases[i]
			owners[db.ID] = decision.Owners(db.ID, f.options.Zone, members)
			db.IsOwned = slices.ContainsFunc(owners[db.ID], func(owner decision.Candidate) bool { return owner.Instance == f.options.InstanceName })
		}
	}
	f.relays.owners.Store(&owners)
}

// updateLeavingOwners refreshes which peers are known to be draining.
func (f *Fleet) updateLeavingOwners() {
	leaving := map[netip.AddrPort]bool{}
	if f.relays.port != 0 {
		for _, candidate := range f.relayCandidates() {
			if candidate.IsLeaving {
				leaving[candidate.Address] = true
			}
		}
	}
	f.relays.leaving.Store(&leaving)
}

// ownerOf returns the owner of a database that runs a statement: the first one that can be
// used and is not among excluded, which may be this instance.
func (f *Fleet) ownerOf(database model.DatabaseID, excluded []netip.AddrPort) (decision.Candidate, bool) {
	owners, leaving := f.relays.owners.Load(), f.relays.leaving.Load()
	if owners == nil {
		return decision.Candidate{}, false
	}
	now := clock.Now()
	for _, owner := range (*owners)[database] {
		if owner.Instance == f.options.InstanceName {
			return owner, true
		}
		isLeaving := leaving != nil && (*leaving)[owner.Address]
		if !isLeaving && !slices.Contains(excluded, owner.Address) && f.relays.chooser.IsUsable(now, owner.Address, database) {
			return owner, true
		}
	}
	return decision.Candidate{}, false
}
