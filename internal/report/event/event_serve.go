package event

// -----------------------------------------------------------------------------
// 950: start and shutdown of the process.

// Events of the start and the shutdown of an instance.
var (
	DrainStarted = Event{
		Number: 950, Name: "drain-started", Level: LevelInfo,
		Text:   "The instance finishes its work and takes no further callers.",
		Fields: []string{"sessions", "requests"},
	}
	DrainEnded = Event{
		Number: 951, Name: "drain-ended", Level: LevelInfo,
		Text:   "The instance has ended its work and may stop.",
		Fields: []string{"sessions", "requests", "took"},
	}
	InstanceStarted = Event{
		Number: 952, Name: "instance-started", Level: LevelInfo,
		Text:   "The instance listens on all its addresses.",
		Fields: []string{"version", "callers", "peers", "operators", "platform"},
	}
	SignalCaught = Event{
		Number: 953, Name: "signal-caught", Level: LevelInfo,
		Text:   "A signal asks the process to end; the first lets the instance drain, a second ends it at once.",
		Fields: []string{"signal", "meaning"},
	}
	PartFailed = Event{
		Number: 954, Name: "part-failed", Level: LevelError,
		Text:   "A part of the process ended with an error; the process ends.",
		Fields: []string{"part", "error"},
	}
	InstanceStopped = Event{
		Number: 955, Name: "instance-stopped", Level: LevelInfo,
		Text:   "All parts of the process have ended.",
		Fields: []string{},
	}
)

var serveEvents = []Event{DrainStarted, DrainEnded, InstanceStarted, SignalCaught, PartFailed, InstanceStopped}
