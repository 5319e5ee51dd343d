// Package route holds the configuration by which callers' statements are routed: the
// group to which a route name refers, and the consistency, timeout and rank of its
// statements.
//
// # What flows in and out
//
// The package defines values only. They are decoded by the package that reads the
// configuration and are not modified afterwards.
//
// # Usage
//
//	admission := configuration.Admit(name, key)
//	if admission.Refusal == route.RefusalNone {
//		run(admission.Route, admission.Tenant)
//	}
package route

import (
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// Consistency defines which commits the reads of a route may miss.
type Consistency int

// The values of Consistency.
const (
	// ConsistencyPrimary: a read misses no commit that was acknowledged before
	// it began.
	ConsistencyPrimary Consistency = iota
	// ConsistencyBounded: a read misses no commit that was acknowledged more than
	// Route.MaxStaleness before it began.
	ConsistencyBounded
	// ConsistencyReadYourWrites: as ConsistencyBounded, and a read misses no commit of
	// its own session.
	ConsistencyReadYourWrites
)

// String returns the name of c for log lines.
func (c Consistency) String() string { return [...]string{"primary", "bounded", "own"}[c] }

// Route describes how statements are handled for one route name to which callers
// connect.
type Route struct {
	Name        string
	Group       model.GroupID
	Consistency Consistency
	// MaxStaleness is the maximum age of the data that a read returns; see Consistency.
	MaxStaleness time.Duration
	// Timeout is the limit for one statement, LatencyTarget the target for a whole
	// operation.
	Timeout, LatencyTarget time.Duration
	Rank                   model.Rank
	// IsPublic is true if callers need no key of a tenant.
	IsPublic bool
}

// Tenant is the configuration of the callers that share an API key or several.
type Tenant struct {
	Name model.TenantID
	// Keys are the digests of its API keys; the keys themselves are not kept.
	Keys []KeyDigest
	// Priority orders the tenants of a rank; 0 is the most urgent.
	Priority int
	// Rate is the number of operations per second, over all instances, and Burst how many
	// may come at once in addition. Zero for both means no limit.
	Rate, Burst float64
}

// KeyDigest identifies an API key without containing it.
type KeyDigest [32]byte

// Group is the configuration of a group of databases.
type Group struct {
	Name model.GroupID
	// MaxConnections is the maximum number of connections to each database from all
	// instances together.
	MaxConnections int
	// SynchronousReplication is true if the databases acknowledge a commit only once a
	// replica has received it.
	SynchronousReplication bool
}

// Configuration is one version of all routes and groups.
type Configuration struct {
	Version uint64
	Routes  map[string]Route
	Groups  map[model.GroupID]Group
	// RequiresKey is true if the configuration lists tenants, also if all of them were
	// left out as invalid: then no key is known, and only public routes are served.
	RequiresKey bool
	// Tenants holds the tenants by name, and KeyOwners the tenant that each key
	// identifies.
	Tenants   map[model.TenantID]Tenant
	KeyOwners map[KeyDigest]model.TenantID
	// IdleTransactionTimeout is how long a transaction may be idle before it is rolled
	// back; zero means no limit.
	IdleTransactionTimeout time.Duration
	// Rejected holds an error for each part that was invalid and has been left out.
	Rejected []error
}
