// Package route holds the configuration that routes callers' work: which group
// a name stands for, and what its reads and writes are owed.
//
// # What flows in and out
//
// Nothing flows: the package has values only. They are decoded once, where the
// configuration comes from, and never changed after that.
//
// # Usage
//
//	chosen, found := configuration.Routes[name]
package route

import (
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// Consistency tells what reads of a route may miss.
type Consistency int

// The values of Consistency.
const (
	// ConsistencyPrimary: a read misses no commit that was acknowledged before
	// it began.
	ConsistencyPrimary Consistency = iota
	// ConsistencyBounded: a read misses no commit that was acknowledged longer
	// than Route.Staleness before it began.
	ConsistencyBounded
	// ConsistencyReadYourWrites: as ConsistencyBounded, and no commit of its own session.
	ConsistencyReadYourWrites
)

// String names c for log lines.
func (c Consistency) String() string { return [...]string{"primary", "bounded", "own"}[c] }

// Route is what a name that callers connect to stands for.
type Route struct {
	Name        string
	Group       model.GroupID
	Consistency Consistency
	// MaxStaleness is the greatest age of what a read may show; see Consistency.
	MaxStaleness time.Duration
	// Timeout bounds one statement, LatencyTarget is the aim for a whole operation.
	Timeout, LatencyTarget time.Duration
	Rank                   model.Rank
}

// Group is what the configuration says of a group of databases.
type Group struct {
	Name model.GroupID
	// MaxConnections is the number of connections that each database takes from
	// all instances together.
	MaxConnections int
	// SynchronousReplication says that the databases acknowledge a commit only once a
	// replica has received it.
	SynchronousReplication bool
}

// Configuration is one version of all routes.
type Configuration struct {
	Version uint64
	Routes  map[string]Route
	Groups  map[model.GroupID]Group
	// IdleTransactionTimeout is how long a transaction may rest before it is rolled
	// back; zero sets no limit.
	IdleTransactionTimeout time.Duration
}
