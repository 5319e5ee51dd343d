package event

// -----------------------------------------------------------------------------
// 160: sessions over databases that are discovered.

// Events of sessions.
var (
	StatementAnswered = Event{
		Number: 160, Name: "statement-answered", Level: LevelInfo,
		Text: "A statement of a caller was answered with success: where it ran and why there, what it " +
			"had to reach, and what proved the answer.",
		Fields: []string{
			"request", "route", "statement", "database", "primary", "epoch", "after", "age", "position",
			"proof", "attempts", "waited", "took",
		},
	}
	StatementFailed = Event{
		Number: 161, Name: "statement-failed", Level: LevelWarn,
		Text:   "A statement of a caller was answered with a failure.",
		Fields: []string{"request", "route", "statement", "code", "text", "database", "epoch", "attempts", "waited", "took"},
	}
	StatementRetried = Event{
		Number: 162, Name: "statement-retried", Level: LevelInfo,
		Text:   "An attempt did not run, or its answer may not be used; the statement is sent again.",
		Fields: []string{"request", "route", "database", "epoch", "why", "attempt"},
	}
	TransactionEnded = Event{
		Number: 163, Name: "transaction-ended", Level: LevelInfo,
		Text:   "The proxy rolled a transaction back on its own account.",
		Fields: []string{"request", "route", "database", "why"},
	}
	NameRefused = Event{
		Number: 164, Name: "name-refused", Level: LevelWarn,
		Text:   "A caller's connection was refused.",
		Fields: []string{"name", "why", "version"},
	}
	SessionsClosing = Event{
		Number: 165, Name: "sessions-closing", Level: LevelInfo,
		Text:   "The instance is leaving: idle sessions are closed, open transactions get until the given time.",
		Fields: []string{"sessions", "until"},
	}
)

var sessionEvents = []Event{
	StatementAnswered, StatementFailed, StatementRetried, TransactionEnded, NameRefused, SessionsClosing,
}
