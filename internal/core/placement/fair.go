package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

const (
	// usageHalfLife is the time in which the use of a tenant counts half.
	usageHalfLife = 2 * time.Second
	// minUsage is the use below which a tenant is forgotten.
	minUsage = 0.01
)

// usage holds how many reservations each tenant has had lately in a group. Instances that
// serve no tenants have none.
//
// It answers a load in which one tenant sends many times its usual and others want the
// same slots: in a rank, those who have had least come first, and within a tenant the
// order of arrival holds (start-time fair queueing). A tenant alone may use all room.
type usage map[model.TenantID]use

// use is a count as of a time, after which it decays.
type use struct {
	count float64
	at    time.Time
}

// of returns a tenant's use.
func (u usage) of(now time.Time, tenant model.TenantID) float64 {
	counted, found := u[tenant]
	if !found {
		return 0
	}
	return counted.count * math.Exp2(-float64(now.Sub(counted.at))/float64(usageHalfLife))
}

// record records a reservation of a tenant.
func (u usage) record(now time.Time, tenant model.TenantID) {
	u[tenant] = use{count: u.of(now, tenant) + 1, at: now}
}

// forget removes the tenants that have not used anything lately.
func (u usage) forget(now time.Time) {
	for tenant := range u {
		if u.of(now, tenant) < minUsage {
			delete(u, tenant)
		}
	}
}

// orderFairly sorts the waiters by rank, then by whether they can meet their target, then
// by what their tenants have had. Each waiter of a tenant counts as had for the next one.
func (u usage) orderFairly(now time.Time, waiting []*waiter) {
	type place struct {
		rank   model.Rank
		late   bool
		tenant model.TenantID
	}
	slices.SortStableFunc(waiting, compareOrder)
	ahead := map[place]float64{}
	for _, w := range waiting {
		at := place{rank: w.requirements.Rank, late: w.late, tenant: w.requirements.Tenant}
		if _, found := ahead[at]; !found {
			ahead[at] = u.of(now, at.tenant)
		}
		w.hadByTenant = ahead[at]
		ahead[at]++
	}
	slices.SortStableFunc(waiting, func(a, b *waiter) int {
		if a.requirements.Rank != b.requirements.Rank || a.late != b.late {
			return compareOrder(a, b)
		}
		if byUse := cmp.Compare(a.hadByTenant, b.hadByTenant); byUse != 0 {
			return byUse
		}
		return compareOrder(a, b)
	})
}
