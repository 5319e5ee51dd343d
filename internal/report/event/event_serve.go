package event

// -----------------------------------------------------------------------------
// 950: start and shutdown of the process.

// Events of the start and the shutdown of an instance.
var (
	DrainStarted = Event{
		Number: 950, Name: "drain-started", Level: LevelInfo,
		Text:   "The instance has begun to drain: it finishes its requests and accepts no new callers.",
		Fields: []string{"sessions", "requests"},
	}
	DrainEnded = Event{
		Number: 951, Name: "drain-ended", Level: LevelInfo,
		Text:   "The instance has drained and may stop.",
		Fields: []string{"sessions", "requests", "took"},
	}
	InstanceStarted = Event{
		Number: 952, Name: "instance-started", Level: LevelInfo,
		Text:   "The instance listens on all its addresses.",
		Fields: []string{"version", "callers", "peers", "operators", "platform"},
	}
	SignalCaught = Event{
		Number: 953, Name: "signal-caught", Level: LevelInfo,
		Text:   "The process received a signal to end: the first signal starts a drain, a second one ends the process at once.",
		Fields: []string{"signal", "meaning"},
	}
	PartFailed = Event{
		Number: 954, Name: "part-failed", Level: LevelError,
		Text:   "A component of the process ended with an error; the process ends.",
		Fields: []string{"part", "error"},
	}
	InstanceStopped = Event{
		Number: 955, Name: "instance-stopped", Level: LevelInfo,
		Text:   "All components of the process have ended.",
		Fields: []string{},
	}
)

var serveEvents = []Event{DrainStarted, DrainEnded, InstanceStarted, SignalCaught, PartFailed, InstanceStopped}
