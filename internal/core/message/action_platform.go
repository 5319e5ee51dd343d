package message

import "time"

// ReadRow reads one row of the table service.
type ReadRow struct {
	CorrelationID uint64
	Table         string
	Key           string
	Timeout       time.Duration
}

// ScanRows reads the rows of a table whose keys start with Prefix, in the order of
// their keys.
type ScanRows struct {
	CorrelationID uint64
	Table         string
	Prefix        string
	Timeout       time.Duration
}

// WriteRows changes rows in one transaction. Nothing is changed unless each row is at
// the version given in Rows; an empty version means that the row must not exist.
type WriteRows struct {
	CorrelationID uint64
	Rows          []Row
	Timeout       time.Duration
}

// ReadObject reads an object.
type ReadObject struct {
	CorrelationID uint64
	Name          string
	Timeout       time.Duration
}

// WriteObject stores an object. The name is a digest of the body, so that storing an
// object twice is harmless.
type WriteObject struct {
	CorrelationID uint64
	Name          string
	Body          []byte
	Timeout       time.Duration
}

// ListInstances reads the platform's list of instances, which lags behind the actual
// state.
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
