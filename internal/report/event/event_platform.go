package event

// -----------------------------------------------------------------------------
// 800: the platform.

// Events of requests to the platform's table service and object store.
var (
	PlatformFailed = Event{
		801, "platform-failed", LevelWarn,
		"A request to the platform failed. The outcomes unsent and refused mean that nothing changed; unknown means that a change may have happened.",
		[]string{"question", "ask", "outcome", "error"},
	}
)

var platformEvents = []Event{PlatformFailed}
