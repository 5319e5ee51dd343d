package route

import "github.com/eelgrassfold/eelgrassfold/internal/core/model"

// Refusal is why a configuration does not admit a caller.
type Refusal int

// The values of Refusal.
const (
	// RefusalNone: the caller is admitted.
	RefusalNone Refusal = iota
	// RefusalNoRoute: no route has the name.
	RefusalNoRoute
	// RefusalUnknownKey: the route needs a key, and the caller's identifies no tenant.
	RefusalUnknownKey
)

// Admission is what a configuration grants to a caller: a route, and the tenant that the
// caller belongs to. Without a Refusal, the tenant is empty if the route needs no key.
type Admission struct {
	Route   Route
	Tenant  model.TenantID
	Refusal Refusal
}

// Admit returns what the configuration grants to a caller with the given key that
// connects to a route's name.
func (c *Configuration) Admit(name string, key KeyDigest) Admission {
	matched, found := c.Routes[name]
	if !found {
		return Admission{Refusal: RefusalNoRoute}
	}
	if !c.RequiresKey || matched.IsPublic {
		return Admission{Route: matched}
	}
	tenant, isKnown := c.KeyOwners[key]
	if !isKnown {
		return Admission{Route: matched, Refusal: RefusalUnknownKey}
	}
	return Admission{Route: matched, Tenant: tenant}
}
