package event

// -----------------------------------------------------------------------------
// The events of this area.

// Events of questions to the platform's table service and object store.
var (
	PlatformFailed = Event{
		801, "platform-failed", LevelWarn,
		"A question to the platform failed. Unsent and refused mean that nothing changed; unknown means that a change may have happened.",
		[]string{"question", "ask", "outcome", "error"},
	}
)

var platformEvents = []Event{PlatformFailed}
