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
	Result        PlatformResult
}

// RowsWritten is the response to WriteRows. Rows holds the new versions in the order of
// the request, or, with PlatformConflict, the current rows.
type RowsWritten struct {
	CorrelationID uint64
	Rows          []Row
	Result        PlatformResult
}

// ObjectRead is the response to ReadObject.
type ObjectRead struct {
	CorrelationID uint64
	Name          string
	Body          []byte
	Result        PlatformResult
}

// ObjectWritten is the response to WriteObject.
type ObjectWritten struct {
	CorrelationID uint64
	Name          string
	Result        PlatformResult
}

// InstancesListed is the response to ListInstances.
type InstancesListed struct {
	CorrelationID uint64
	Instances     []ListedInstance
	Result        PlatformResult
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

// PlatformResult is the result of a request to the platform.
type PlatformResult int

// The values of PlatformResult.
const (
	// PlatformOK: the request was answered.
	PlatformOK PlatformResult = iota
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

// String returns the name of r for log lines.
func (r PlatformResult) String() string {
	return [...]string{"ok", "conflict", "missing", "unsent", "unknown", "refused"}[r]
}

func (RowsRead) isEvent()        {}
func (RowsWritten) isEvent()     {}
func (ObjectRead) isEvent()      {}
func (ObjectWritten) isEvent()   {}
func (InstancesListed) isEvent() {}
