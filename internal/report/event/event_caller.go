package event

// -----------------------------------------------------------------------------
// The events of this area.

// The events of callers and their sessions.
var (
	SessionOpened = Event{
		Number: 101, Name: "session-opened", Level: LevelDebug,
		Text:   "a caller has connected",
		Fields: []string{"session", "group", "caller"},
	}
	SessionClosed = Event{
		Number: 102, Name: "session-closed", Level: LevelDebug,
		Text:   "a caller's connection has ended",
		Fields: []string{"session", "reason"},
	}
	SessionRefused = Event{
		Number: 103, Name: "session-refused", Level: LevelWarn,
		Text:   "a connection was refused before it became a session",
		Fields: []string{"address", "reason"},
	}
	ProtocolViolated = Event{
		Number: 104, Name: "protocol-violated", Level: LevelWarn,
		Text:   "a caller did not follow the protocol and was disconnected",
		Fields: []string{"session", "reason"},
	}
	AcceptFailed = Event{
		Number: 105, Name: "accept-failed", Level: LevelError,
		Text:   "a connection of a caller could not be accepted",
		Fields: []string{"reason"},
	}
	CancelAsked = Event{
		Number: 110, Name: "cancel-asked", Level: LevelInfo,
		Text:   "a caller has withdrawn its request by a cancel request",
		Fields: []string{"session", "request"},
	}
	TransactionExpired = Event{
		Number: 111, Name: "transaction-expired", Level: LevelWarn,
		Text:   "a transaction was rolled back because its deadline passed while its caller was idle",
		Fields: []string{"session", "request"},
	}
	ConnectionSilent = Event{
		Number: 120, Name: "connection-silent", Level: LevelWarn,
		Text:   "a connection to a database was closed as mute: the database answers on a new one and runs nothing",
		Fields: []string{"session", "request", "database", "silence"},
	}
	CallersDraining = Event{
		Number: 130, Name: "callers-draining", Level: LevelInfo,
		Text:   "no further caller is accepted, and each connection is closed when it is idle",
		Fields: []string{"sessions"},
	}
	CallersGone = Event{
		Number: 131, Name: "callers-gone", Level: LevelInfo,
		Text: "the last connection of a caller has ended",
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
