package message

import (
	"net/netip"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// Row is one row of the platform's table service. The platform gives each row
// a version, an opaque text that changes with each change of the row; a row
// that does not exist has the empty version.
type Row struct {
	Table   string
	Key     string
	Version string
	Body    []byte
}

// RowsRead answers ReadRow (one row) and ScanRows (any number, by key).
type RowsRead struct {
	CorrelationID uint64
	Rows          []Row
	Err           PlatformErr
}

// RowsWritten answers WriteRows. Rows holds the new versions in the order of
// the question, or, with PlatformConflict, the rows as they stand.
type RowsWritten struct {
	CorrelationID uint64
	Rows          []Row
	Err           PlatformErr
}

// ObjectRead answers ReadObject.
type ObjectRead struct {
	CorrelationID uint64
	Name          string
	Body          []byte
	Err           PlatformErr
}

// ObjectWritten answers WriteObject.
type ObjectWritten struct {
	CorrelationID uint64
	Name          string
	Err           PlatformErr
}

// InstancesListed answers ListInstances.
type InstancesListed struct {
	CorrelationID uint64
	Instances     []ListedInstance
	Err           PlatformErr
}

// ListedInstance is one entry of the platform's lagging list.
type ListedInstance struct {
	Instance model.InstanceID
	Zone     model.ZoneID
	// PeerAddress is the address at which the instance speaks to its peers.
	PeerAddress netip.AddrPort
	// Leaving says that the platform is about to take the instance away.
	Leaving bool
}

// PlatformErr tells how a question to the platform failed.
type PlatformErr int

// The values of PlatformErr.
const (
	// PlatformOK: it was answered.
	PlatformOK PlatformErr = iota
	// PlatformConflict: a row was not at the expected version; nothing
	// changed.
	PlatformConflict
	// PlatformNotFound: there is no such row or object.
	PlatformNotFound
	// PlatformUnreachable: the platform was not reached; nothing changed.
	PlatformUnreachable
	// PlatformUnknown: there was no answer; a change may have happened.
	PlatformUnknown
	// PlatformRefused: the platform answered with another error; nothing
	// changed.
	PlatformRefused
)

// String names e for log lines.
func (e PlatformErr) String() string {
	return [...]string{"ok", "conflict", "missing", "unsent", "unknown", "refused"}[e]
}

func (RowsRead) isEvent()        {}
func (RowsWritten) isEvent()     {}
func (ObjectRead) isEvent()      {}
func (ObjectWritten) isEvent()   {}
func (InstancesListed) isEvent() {}
