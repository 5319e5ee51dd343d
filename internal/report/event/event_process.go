package event

// -----------------------------------------------------------------------------
// 900: the process, control connections and operators.

// Events of the process, of control connections to databases, and of
// operators' requests.
var (
	LinesLeftOut = Event{
		901, "lines-left-out", LevelWarn,
		"An event occurred so often that some of its log lines were omitted.",
		[]string{"of", "count"},
	}
	ActionUnhandled = Event{
		902, "action-unhandled", LevelError,
		"The core returned an action that no component of the process handles.",
		[]string{"action"},
	}
	RunnerStopped = Event{
		903, "runner-stopped", LevelInfo,
		"The instance is drained and its core has stopped.",
		[]string{},
	}

	ControlOpened = Event{
		910, "control-opened", LevelInfo,
		"A control connection to a database was opened.",
		[]string{"database", "lane", "address"},
	}
	ControlUnreachable = Event{
		911, "control-unreachable", LevelWarn,
		"A control connection to a database could not be opened.",
		[]string{"database", "lane", "address", "error", "again"},
	}
	ControlBroken = Event{
		912, "control-broken", LevelWarn,
		"A control connection to a database broke.",
		[]string{"database", "lane", "error"},
	}
	ControlSilent = Event{
		913, "control-silent", LevelWarn,
		"A control request was not answered in time; its connection was closed.",
		[]string{"database", "lane", "statement"},
	}
	ControlRefused = Event{
		914, "control-refused", LevelWarn,
		"A database rejected a control request.",
		[]string{"database", "statement", "state", "error"},
	}

	OperatorListening = Event{
		930, "operator-listening", LevelInfo,
		"The operators' interface accepts requests.",
		[]string{"address"},
	}
	OperatorRequest = Event{
		931, "operator-request", LevelInfo,
		"An operator requested a change.",
		[]string{"method", "path", "who", "status"},
	}
	OperatorDenied = Event{
		932, "operator-denied", LevelWarn,
		"A request without valid credentials was refused.",
		[]string{"method", "path", "from"},
	}
)

var processEvents = []Event{
	LinesLeftOut, ActionUnhandled, RunnerStopped,
	ControlOpened, ControlUnreachable, ControlBroken, ControlSilent, ControlRefused,
	OperatorListening, OperatorRequest, OperatorDenied,
}
