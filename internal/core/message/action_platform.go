package message

import "time"

// ReadRow asks for one row of the table service.
type ReadRow struct {
	CorrelationID uint64
	Table         string
	Key           string
	Timeout       time.Duration
}

// ScanRows asks for the rows of a table whose keys begin with Prefix, in the
// order of their keys.
type ScanRows struct {
	CorrelationID uint64
	Table         string
	Prefix        string
	Timeout       time.Duration
}

// WriteRows changes rows in one transaction: each row must be at the version
// that it carries (empty: must not exist), or nothing is changed.
type WriteRows struct {
	CorrelationID uint64
	Rows          []Row
	Timeout       time.Duration
}

// ReadObject asks for an object.
type ReadObject struct {
	CorrelationID uint64
	Name          string
	Timeout       time.Duration
}

// WriteObject stores an object. Names are digests of the bodies, so writing
// twice is harmless.
type WriteObject struct {
	CorrelationID uint64
	Name          string
	Body          []byte
	Timeout       time.Duration
}

// ListInstances asks for the lagging list of instances.
type ListInstances struct {
	CorrelationID uint64
	Timeout       time.Duration
}

func (ReadRow) isAction()       {}
func (ScanRows) isAction()      {}
func (WriteRows) isAction()     {}
func (ReadObject) isAction()    {}
func (WriteObject) isAction()   {}
func (ListInstances) isAction() {}
