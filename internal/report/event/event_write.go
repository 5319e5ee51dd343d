package event

// -----------------------------------------------------------------------------
// 300: writes, terms and outcomes.

// Events of writes.
var (
	TermAdopted = Event{
		Number: 300, Name: "term-adopted", Level: LevelInfo,
		Text:   "A database reports that it is primary in a newer term; work follows it.",
		Fields: []string{"group", "term", "primary", "before"},
	}
	WriteAcknowledged = Event{
		Number: 301, Name: "write-acknowledged", Level: LevelDebug,
		Text:   "A commit is held by a majority in its term and was acknowledged.",
		Fields: []string{"request", "group", "position"},
	}
	OutcomeAsked = Event{
		Number: 302, Name: "outcome-asked", Level: LevelInfo,
		Text:   "The outcome of a commit is not known; the group is asked for it by its key.",
		Fields: []string{"request", "group", "database", "term", "key"},
	}
	OutcomeSettled = Event{
		Number: 303, Name: "outcome-settled", Level: LevelInfo,
		Text:   "The group has proved what became of a commit.",
		Fields: []string{"request", "group", "key", "committed", "position"},
	}
	OutcomeUnknown = Event{
		Number: 304, Name: "outcome-unknown", Level: LevelWarn,
		Text:   "A caller was told that the outcome of its commit is not known.",
		Fields: []string{"request", "group", "key", "why"},
	}
	AttemptDropped = Event{
		Number: 305, Name: "attempt-dropped", Level: LevelInfo,
		Text:   "A running attempt was given up since its primary has been replaced.",
		Fields: []string{"request", "attempt", "group", "database", "term"},
	}
	RequestAbandoned = Event{
		Number: 306, Name: "request-abandoned", Level: LevelInfo,
		Text:   "A request ended with an error; it committed nothing.",
		Fields: []string{"request", "group", "why"},
	}
)

var writeEvents = []Event{
	TermAdopted, WriteAcknowledged, OutcomeAsked, OutcomeSettled, OutcomeUnknown,
	AttemptDropped, RequestAbandoned,
}
