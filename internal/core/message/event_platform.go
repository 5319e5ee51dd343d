package message

import (
	"net/netip"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// Row is one row of the platform's table service. The platform gives each row a version,
// an opaque text that changes with every change of the row. A row that does not exist
// has an empty version.
type Row struct {
	Table   string
	Key     string
	Version string
	Body    []byte
}

// RowsRead is the response to ReadRow, with one row, or to ScanRows, with any number of
// rows ordered by key.
type RowsRead struct {
	CorrelationID uint64
	Rows          []Row
	Err           PlatformErr
}

// RowsWritten is the response to WriteRows. Rows holds the new versions in the order of
// the request, or, with PlatformConflict, the current rows.
type RowsWritten struct {
	CorrelationID uint64
	Rows          []Row
	Err           PlatformErr
}

// ObjectRead is the response to ReadObject.
type ObjectRead struct {
	CorrelationID uint64
	Name          string
	Body          []byte
	Err           PlatformErr
}

// ObjectWritten is the response to WriteObject.
type ObjectWritten struct {
	CorrelationID uint64
	Name          string
	Err           PlatformErr
}

// InstancesListed is the response to ListInstances.
type InstancesListed struct {
	CorrelationID uint64
	Instances     []ListedInstance
	Err           PlatformErr
}

// ListedInstance is one entry of the platform's list of instances.
type ListedInstance struct {
	Instance model.InstanceID
	Zone     model.ZoneID
	// PeerAddress is the address at which the instance accepts links from its peers.
	PeerAddress netip.AddrPort
	// Leaving is true if the platform is about to remove the instance.
	Leaving bool
}

// PlatformErr is the result of a request to the platform.
type PlatformErr int

// The values of PlatformErr.
const (
	// PlatformOK: the request was answered.
	PlatformOK PlatformErr = iota
	// PlatformConflict: a row was not at the expected version; nothing was changed.
	PlatformConflict
	// PlatformNotFound: the row or object does not exist.
	PlatformNotFound
	// PlatformUnreachable: the platform was not reached; nothing was changed.
	PlatformUnreachable
	// PlatformUnknown: no response arrived; a change may have taken effect.
	PlatformUnknown
	// PlatformRefused: the platform responded with another error; nothing was changed.
	PlatformRefused
)

// String returns the name of e for log lines.
func (e PlatformErr) String() string {
	return [...]string{"ok", "conflict", "missing", "unsent", "unknown", "refused"}[e]
}

func (RowsRead) isEvent()        {}
func (RowsWritten) isEvent()     {}
func (ObjectRead) isEvent()      {}
func (ObjectWritten) isEvent()   {}
func (InstancesListed) isEvent() {}
