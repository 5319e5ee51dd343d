package event

// -----------------------------------------------------------------------------
// 160: sessions that use discovered databases.

// Events of sessions.
var (
	StatementAnswered = Event{
		Number: 160, Name: "statement-answered", Level: LevelInfo,
		Text: "A caller's statement succeeded. The fields tell where it ran and why, the minimum position " +
			"that it required, and how the primary was confirmed.",
		Fields: []string{
			"request", "route", "statement", "database", "primary", "epoch", "after", "age", "position",
			"proof", "attempts", "waited", "took",
		},
	}
	StatementFailed = Event{
		Number: 161, Name: "statement-failed", Level: LevelWarn,
		Text:   "A caller's statement was answered with an error.",
		Fields: []string{"request", "route", "statement", "code", "text", "database", "epoch", "attempts", "waited", "took"},
	}
	StatementRetried = Event{
		Number: 162, Name: "statement-retried", Level: LevelInfo,
		Text:   "An attempt did not run, or its answer can't be used; the statement is sent again.",
		Fields: []string{"request", "route", "database", "epoch", "why", "attempt"},
	}
	TransactionEnded = Event{
		Number: 163, Name: "transaction-ended", Level: LevelInfo,
		Text:   "The proxy rolled back a transaction without a request from the caller.",
		Fields: []string{"request", "route", "database", "why"},
	}
	NameRefused = Event{
		Number: 164, Name: "name-refused", Level: LevelWarn,
		Text:   "A caller's connection was refused.",
		Fields: []string{"name", "why", "version"},
	}
	SessionsClosing = Event{
		Number: 165, Name: "sessions-closing", Level: LevelInfo,
		Text:   "The instance is draining: idle sessions are closed, open transactions may continue for the given time.",
		Fields: []string{"sessions", "until"},
	}
	SessionsEnding = Event{
		Number: 166, Name: "sessions-ending", Level: LevelInfo,
		Text:   "The instance is shutting down: open transactions are ended, and requests under way are interrupted after the given time.",
		Fields: []string{"sessions", "until"},
	}
	KeyRefused = Event{
		Number: 167, Name: "key-refused", Level: LevelWarn,
		Text:   "A caller's key identifies no tenant.",
		Fields: []string{"route", "why", "version"},
	}
	SessionsRevoked = Event{
		Number: 168, Name: "sessions-revoked", Level: LevelInfo,
		Text:   "A new configuration has no tenant for the key of some sessions: the idle ones are closed, the others once they are idle.",
		Fields: []string{"idle", "busy", "version"},
	}
	CallerClosed = Event{
		Number: 169, Name: "caller-closed", Level: LevelWarn,
		Text: "A caller's connection was closed, since the callers of this instance hold more memory or connections " +
			"than it has room for.",
		Fields: []string{"resource", "caller", "bytes", "used"},
	}
)

var sessionEvents = []Event{
	StatementAnswered, StatementFailed, StatementRetried, TransactionEnded, NameRefused, SessionsClosing, SessionsEnding,
	KeyRefused, SessionsRevoked, CallerClosed,
}
