package message

import (
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

// DrainRequested reports that an operator or a signal has requested the instance to
// drain and terminate.
type DrainRequested struct{}

// ManifestSubmitted carries a manifest that an operator has submitted.
type ManifestSubmitted struct {
	CorrelationID uint64
	Body          []byte
	// ExpectedNumber is the number of the manifest against which the change was
	// reviewed; 0 if there was none.
	ExpectedNumber uint64
	// Submitter is the name of the submitter, stored with the manifest.
	Submitter string
}

// ReportRequested asks for a report.
type ReportRequested struct {
	CorrelationID uint64
	Topic         ReportTopic
	// Group limits the report to one group. If it is empty, the report covers all.
	Group string
}

// ReportTopic is the topic of a report.
type ReportTopic int

// The values of ReportTopic.
const (
	// TopicStatus: groups, databases, ranks, peers.
	TopicStatus ReportTopic = iota
	// TopicLogbook: the promotion records that are known.
	TopicLogbook
	// TopicManifest: the manifest in force.
	TopicManifest
)

// ReportAnswered is the response to ReportRequested. Body is encoded as a JSON document;
// its type is defined in package report/status.
type ReportAnswered struct {
	CorrelationID uint64
	Body          any
}

// ManifestDecided is the response to ManifestSubmitted.
type ManifestDecided struct {
	CorrelationID uint64
	// Number is the number of the manifest that is accepted now.
	Number uint64
	Result SubmitResult
	// Detail explains the error. In a conflict it gives both numbers.
	Detail string
}

// SubmitResult is the result of a submission.
type SubmitResult int

// The values of SubmitResult.
const (
	// SubmitOK: the manifest is accepted and will come into force on all instances.
	SubmitOK SubmitResult = iota
	// SubmitInvalid: the document is not valid.
	SubmitInvalid
	// SubmitConflict: the accepted manifest has another number than expected; nothing
	// was changed.
	SubmitConflict
	// SubmitUnavailable: the platform was not reached; nothing was changed.
	SubmitUnavailable
	// SubmitUnknown: the platform's response was lost, and the result could not be
	// determined in time.
	SubmitUnknown
)

// String returns the name of r for responses and log lines.
func (r SubmitResult) String() string {
	return [...]string{"ok", "invalid", "conflict", "unavailable", "unknown"}[r]
}

// LogEvent writes a log line for an event of the catalogue and counts it.
type LogEvent struct {
	Event  event.Event
	Fields []event.Field
}

// IncrementCounter adds one to the counter with key Key in the map Name.
type IncrementCounter struct{ Name, Key string }

// Readiness reports to the operator adapter whether the instance can accept callers. It
// is sent whenever that changes.
type Readiness struct {
	Ready bool
	// Reason is the reason why the instance is not ready.
	Reason string
}

// Terminate reports to the process that the instance is drained and may exit.
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
