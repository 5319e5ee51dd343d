package message

import (
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

// DrainRequested tells that an operator or a signal wants the instance to finish
// its work and leave.
type DrainRequested struct{}

// ManifestSubmitted carries a manifest that an operator wants accepted,
// against the number that was reviewed.
type ManifestSubmitted struct {
	CorrelationID uint64
	Body          []byte
	// ExpectedNumber is the number of the manifest that the change was reviewed
	// against; 0 where there was none.
	ExpectedNumber uint64
	// Submitter names the submitter, for the record.
	Submitter string
}

// ReportRequested asks for a report on a matter of ReportTopic.
type ReportRequested struct {
	CorrelationID uint64
	Topic         ReportTopic
	// Group limits the report to a group, or is empty.
	Group string
}

// ReportTopic names a report.
type ReportTopic int

// The values of ReportTopic.
const (
	// TopicStatus: groups, databases, ranks, peers.
	TopicStatus ReportTopic = iota
	// TopicLogbook: the promotions that are known.
	TopicLogbook
	// TopicManifest: the manifest in force.
	TopicManifest
)

// ReportAnswered answers ReportRequested. Body is a JSON document whose type stands in
// package report/status.
type ReportAnswered struct {
	CorrelationID uint64
	Body          any
}

// ManifestDecided answers ManifestSubmitted.
type ManifestDecided struct {
	CorrelationID uint64
	// Number is that of the manifest now accepted.
	Number uint64
	Err    SubmitErr
	// Detail explains the error, with both numbers in a conflict.
	Detail string
}

// SubmitErr tells how a submission failed.
type SubmitErr int

// The values of SubmitErr.
const (
	// SubmitOK: it is accepted and will come into force everywhere.
	SubmitOK SubmitErr = iota
	// SubmitInvalid: the document has faults.
	SubmitInvalid
	// SubmitConflict: another number than expected is accepted; nothing
	// changed.
	SubmitConflict
	// SubmitUnavailable: the platform was not reached; nothing changed.
	SubmitUnavailable
	// SubmitUnknown: the platform's answer was lost and could not be settled
	// in time.
	SubmitUnknown
)

// String names e for answers and log lines.
func (e SubmitErr) String() string {
	return [...]string{"ok", "invalid", "conflict", "unavailable", "unknown"}[e]
}

// LogEvent writes one numbered line to the log and counts it.
type LogEvent struct {
	Event  event.Event
	Fields []event.Field
}

// IncrementCounter adds one to a counter: Key in the map Name.
type IncrementCounter struct{ Name, Key string }

// Readiness tells the operators' edge whether the instance can take callers. It
// is sent when it changes.
type Readiness struct {
	Ready bool
	// Reason tells what is missing.
	Reason string
}

// Terminate tells the process that the instance is drained and may end.
type Terminate struct{}

func (DrainRequested) isEvent()    {}
func (ManifestSubmitted) isEvent() {}
func (ReportRequested) isEvent()   {}

func (ReportAnswered) isAction()   {}
func (ManifestDecided) isAction()  {}
func (LogEvent) isAction()         {}
func (IncrementCounter) isAction() {}
func (Readiness) isAction()        {}
func (Terminate) isAction()        {}
