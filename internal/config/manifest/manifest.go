// Package manifest defines what operators declare: groups of databases, ranks
// of work, kinds of work, and limits.
//
// # What flows in and out
//
// The bytes of a TOML document flow in, from a file or from the platform's
// object store. A Manifest flows out, checked whole, or a list of faults with
// their lines. Keys are short names of one word, and an unknown key is a fault:
// a misspelt limit must not silently become the default. All faults are reported
// at once, so that a review needs one round.
//
// The submitted bytes, not the printed form of what was read, are stored and
// named by their digest: comments that reviewers wrote stay.
//
// # Usage
//
//	m, err := manifest.Parse(body)
//	digest := manifest.Digest(body)
//	for _, change := range manifest.Diff(old, m) { ... }
package manifest

import (
	"net/netip"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// -----------------------------------------------------------------------------
// The declared document.

// Manifest is one accepted declaration.
type Manifest struct {
	// Service names the service, such as "handicap-db".
	Service string
	// Groups are the groups of databases, in the order of the document.
	Groups []Group
	// Ranks are the ranks of work, the most urgent first.
	Ranks []Rank
	// Kinds are the kinds of work that callers may name.
	Kinds []RequestKind
	// Limits bounds what the instances together may use of one database.
	Limits DatabaseLimits
}

// Group is a set of databases that replicate one log.
type Group struct {
	Name      model.GroupID
	Databases []Database
}

// Database is one member of a group.
type Database struct {
	Name    model.DatabaseID
	Zone    model.ZoneID
	Address netip.AddrPort
	// Leaving databases receive no new work.
	Leaving bool
}

// Rank is one rank of work.
type Rank struct {
	Name string
	// LatencyTarget is the time within which an answer is worth its full value.
	LatencyTarget time.Duration
	// Value is the value of one answer inside its target, relative to the
	// other ranks.
	Value float64
	// MinSlotShare is the share of slots, from 0 to 1, that the rank keeps while
	// others flood. All floors together are at most 1.
	MinSlotShare float64
}

// RequestKind is one kind of work. A request that names none is of the kind
// "default": a write of the middle rank that is not repeated.
type RequestKind struct {
	Name   string
	Rank   model.Rank
	Access model.Access
	// HasStalenessBound tells whether Stale applies; without a bound a read has
	// session consistency only.
	HasStalenessBound bool
	// MaxStaleness is the greatest age of the data that a read may see.
	MaxStaleness time.Duration
	// Deadline is the time after which an answer has no worth.
	Deadline time.Duration
	// Retryable allows the proxy to run the work a second time.
	Retryable bool
}

// DatabaseLimits bounds what all instances together may use of one database.
type DatabaseLimits struct {
	// MaxConcurrentStatements is the number of statements that one database runs at once.
	MaxConcurrentStatements int
	// MaxConnections is the number of connections that one database accepts.
	MaxConnections int
	// ReservedConnections is the number of those kept free for control.
	ReservedConnections int
	// ConnectTime is the time that a new connection takes.
	ConnectTime time.Duration
}
