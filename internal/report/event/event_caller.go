package event

// -----------------------------------------------------------------------------
// 100: callers and their sessions.

// Events of callers and their sessions.
var (
	SessionOpened = Event{
		Number: 101, Name: "session-opened", Level: LevelDebug,
		Text:   "A caller has connected.",
		Fields: []string{"session", "group", "caller"},
	}
	SessionClosed = Event{
		Number: 102, Name: "session-closed", Level: LevelDebug,
		Text:   "A caller's connection has ended.",
		Fields: []string{"session", "reason"},
	}
	SessionRefused = Event{
		Number: 103, Name: "session-refused", Level: LevelWarn,
		Text:   "A connection was refused before it became a session.",
		Fields: []string{"address", "reason"},
	}
	ProtocolViolated = Event{
		Number: 104, Name: "protocol-violated", Level: LevelWarn,
		Text:   "A caller violated the protocol and was disconnected.",
		Fields: []string{"session", "reason"},
	}
	AcceptFailed = Event{
		Number: 105, Name: "accept-failed", Level: LevelError,
		Text:   "A caller's connection could not be accepted.",
		Fields: []string{"reason"},
	}
	CancelAsked = Event{
		Number: 110, Name: "cancel-asked", Level: LevelInfo,
		Text:   "A caller has canceled its running request with a cancel request.",
		Fields: []string{"session", "request"},
	}
	TransactionExpired = Event{
		Number: 111, Name: "transaction-expired", Level: LevelWarn,
		Text:   "A transaction was rolled back because its deadline passed while its caller was idle.",
		Fields: []string{"session", "request"},
	}
	ConnectionSilent = Event{
		Number: 120, Name: "connection-silent", Level: LevelWarn,
		Text:   "A connection to a database was closed as unresponsive: the database answers on a new connection and runs no statement.",
		Fields: []string{"session", "request", "database", "silence"},
	}
	CallersDraining = Event{
		Number: 130, Name: "callers-draining", Level: LevelInfo,
		Text:   "The instance drains: it accepts no new callers and closes each connection when it is idle.",
		Fields: []string{"sessions"},
	}
	CallersGone = Event{
		Number: 131, Name: "callers-gone", Level: LevelInfo,
		Text: "All connections of callers have ended.",
	}
)

var callerEvents = []Event{
	SessionOpened,
	SessionClosed,
	SessionRefused,
	ProtocolViolated,
	AcceptFailed,
	CancelAsked,
	TransactionExpired,
	ConnectionSilent,
	CallersDraining,
	CallersGone,
}
