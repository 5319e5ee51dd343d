// Package manifest defines the manifest, the document in which operators declare
// groups of databases, ranks and kinds of requests, and limits.
//
// # What flows in and out
//
// The bytes of a TOML document flow in, from a file or from the platform's
// object store. A completely validated Manifest flows out, or a list of errors
// with their lines. Keys are short names of one word, and an unknown key is an
// error: a misspelled limit must not silently become the default. All errors are
// reported at once, so that one review round suffices.
//
// The submitted bytes are stored and identified by their digest, not the printed
// form of the parsed manifest, so that the comments of reviewers are kept.
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

// Manifest is one parsed and validated manifest.
type Manifest struct {
	// Service names the service, such as "handicap-db".
	Service string
	// Groups are the groups of databases, in the order of the document.
	Groups []Group
	// Ranks are the priority classes of requests, the most urgent first.
	Ranks []Rank
	// Kinds are the kinds of requests that callers may name.
	Kinds []RequestKind
	// Limits bounds what all instances together may use of one database.
	Limits DatabaseLimits
}

// Group is a set of databases that replicate one log. One of them is the primary.
type Group struct {
	Name      model.GroupID
	Databases []Database
}

// Database is one member of a group.
type Database struct {
	Name    model.DatabaseID
	Zone    model.ZoneID
	Address netip.AddrPort
	// Leaving marks a draining database, which receives no new requests.
	Leaving bool
}

// Rank is one priority class of requests.
type Rank struct {
	Name string
	// LatencyTarget is the time within which an answer has its full value.
	LatencyTarget time.Duration
	// Value is the value of one answer within the latency target, relative to
	// the other ranks.
	Value float64
	// MinSlotShare is the share of slots, from 0 to 1, that the rank keeps while
	// other ranks are overloaded. The sum over all ranks is at most 1.
	MinSlotShare float64
}

// RequestKind is one kind of requests. A request that names no kind has the kind
// "default": a write of the middle rank that is not retryable.
type RequestKind struct {
	Name   string
	Rank   model.Rank
	Access model.Access
	// HasStalenessBound is true if MaxStaleness applies. Without a bound, a
	// read has session consistency only.
	HasStalenessBound bool
	// MaxStaleness is the maximum age of the data that a read may see.
	MaxStaleness time.Duration
	// Deadline is the time after which an answer has no value.
	Deadline time.Duration
	// Retryable allows the proxy to run the request a second time.
	Retryable bool
}

// DatabaseLimits bounds what all instances together may use of one database.
type DatabaseLimits struct {
	// MaxConcurrentStatements is the number of statements that one database runs
	// at once.
	MaxConcurrentStatements int
	// MaxConnections is the number of connections that one database accepts.
	MaxConnections int
	// ReservedConnections is the number of these connections that are kept free
	// for control requests.
	ReservedConnections int
	// ConnectTime is the time that opening a connection takes.
	ConnectTime time.Duration
}
