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

// AwaitPosition asks a database to answer with its status as soon as its log has
// received Position, or its term has changed, or Timeout has passed.
type AwaitPosition struct {
	Database      model.DatabaseID
	CorrelationID uint64
	Position      model.Position
	Timeout       time.Duration
}

// Fence raises a database's term: it then refuses commits and streams of lower
// terms.
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

// Follow tells a database to follow Source in Term; it drops what its log
// holds beyond the common prefix.
type Follow struct {
	Database      model.DatabaseID
	CorrelationID uint64
	Term          model.Term
	Source        model.DatabaseID
	Address       netip.AddrPort
	Timeout       time.Duration
}

// ResolveInDoubt asks the primary of Term whether Key was committed, and if not, to
// log that it never will be.
type ResolveInDoubt struct {
	Database       model.DatabaseID
	CorrelationID  uint64
	IdempotencyKey string
	Term           model.Term
	Timeout        time.Duration
}

// SetDatabases tells the database edge which databases exist, with their
// addresses and the number of connections that this instance may open to each.
// It replaces what was told before; connections to others are closed when idle.
type SetDatabases struct{ Databases []DatabaseTarget }

// DatabaseTarget is one database of SetDatabases.
type DatabaseTarget struct {
	Database    model.DatabaseID
	Group       model.GroupID
	Address     netip.AddrPort
	Connections int
	// Leaving says that idle connections shall be closed and none opened.
	Leaving bool
}

func (Probe) isAction()          {}
func (AwaitPosition) isAction()  {}
func (Fence) isAction()          {}
func (Promote) isAction()        {}
func (Follow) isAction()         {}
func (ResolveInDoubt) isAction() {}
func (SetDatabases) isAction()   {}
