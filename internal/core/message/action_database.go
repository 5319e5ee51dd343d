package message

import (
	"net/netip"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// Probe asks a database for its status.
type Probe struct {
	Database      model.DatabaseID
	CorrelationID uint64
	Timeout       time.Duration
}

// AwaitPosition asks a database to respond with its status as soon as its log has
// received Position, or its term has changed, or Timeout has passed.
type AwaitPosition struct {
	Database      model.DatabaseID
	CorrelationID uint64
	Position      model.Position
	Timeout       time.Duration
}

// Fence raises a database's term. The database then rejects commits and replication
// streams of lower terms.
type Fence struct {
	Database      model.DatabaseID
	CorrelationID uint64
	Term          model.Term
	Nonce         model.Nonce
	Timeout       time.Duration
}

// Promote makes a database that is fenced at Term with Nonce the primary.
type Promote struct {
	Database      model.DatabaseID
	CorrelationID uint64
	Term          model.Term
	Nonce         model.Nonce
	Timeout       time.Duration
}

// Follow makes a database follow Source in Term. The database discards the entries of
// its log after the common prefix.
type Follow struct {
	Database      model.DatabaseID
	CorrelationID uint64
	Term          model.Term
	Source        model.DatabaseID
	Address       netip.AddrPort
	Timeout       time.Duration
}

// ResolveInDoubt asks the primary of Term whether IdempotencyKey was committed. If not,
// the primary logs that it never will be.
type ResolveInDoubt struct {
	Database       model.DatabaseID
	CorrelationID  uint64
	IdempotencyKey string
	Term           model.Term
	Timeout        time.Duration
}

// SetDatabases gives the database adapter the list of databases, with their addresses
// and the number of connections that this instance may open to each. It replaces the
// previous list; connections to databases not listed are closed once they are idle.
type SetDatabases struct{ Databases []DatabaseTarget }

// DatabaseTarget is one database of SetDatabases.
type DatabaseTarget struct {
	Database    model.DatabaseID
	Group       model.GroupID
	Address     netip.AddrPort
	Connections int
	// Leaving is true if idle connections are to be closed and none opened.
	Leaving bool
}

func (Probe) isAction()          {}
func (AwaitPosition) isAction()  {}
func (Fence) isAction()          {}
func (Promote) isAction()        {}
func (Follow) isAction()         {}
func (ResolveInDoubt) isAction() {}
func (SetDatabases) isAction()   {}
