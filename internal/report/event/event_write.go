package event

// -----------------------------------------------------------------------------
// 300: writes, terms and outcomes.

// Events of writes.
var (
	TermAdopted = Event{
		Number: 300, Name: "term-adopted", Level: LevelInfo,
		Text:   "A database reports that it is the primary in a newer term; writes now go to it.",
		Fields: []string{"group", "term", "primary", "before"},
	}
	WriteAcknowledged = Event{
		Number: 301, Name: "write-acknowledged", Level: LevelDebug,
		Text:   "A commit is replicated to a majority in its term and was acknowledged.",
		Fields: []string{"request", "group", "position"},
	}
	OutcomeAsked = Event{
		Number: 302, Name: "outcome-asked", Level: LevelInfo,
		Text:   "The outcome of a commit is in doubt; the group is queried for it by the idempotency key.",
		Fields: []string{"request", "group", "database", "term", "key"},
	}
	OutcomeSettled = Event{
		Number: 303, Name: "outcome-settled", Level: LevelInfo,
		Text:   "The group has resolved an in-doubt commit.",
		Fields: []string{"request", "group", "key", "committed", "position"},
	}
	OutcomeUnknown = Event{
		Number: 304, Name: "outcome-unknown", Level: LevelWarn,
		Text:   "The outcome of a commit could not be determined; the caller was answered so.",
		Fields: []string{"request", "group", "key", "why"},
	}
	AttemptDropped = Event{
		Number: 305, Name: "attempt-dropped", Level: LevelInfo,
		Text:   "A running attempt was aborted because its primary has been replaced.",
		Fields: []string{"request", "attempt", "group", "database", "term"},
	}
	RequestAbandoned = Event{
		Number: 306, Name: "request-abandoned", Level: LevelInfo,
		Text:   "A request was aborted with an error; it committed nothing.",
		Fields: []string{"request", "group", "why"},
	}
)

var writeEvents = []Event{
	TermAdopted, WriteAcknowledged, OutcomeAsked, OutcomeSettled, OutcomeUnknown,
	AttemptDropped, RequestAbandoned,
}
