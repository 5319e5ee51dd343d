package event

// -----------------------------------------------------------------------------
// The events of this area.

// WorkRefused tells that a request was refused at the door.
var WorkRefused = Event{
	Number: 501, Name: "work-refused", Level: LevelInfo,
	Text:   "A request was refused at the door and did not run.",
	Fields: []string{"group", "rank", "caller", "why", "detail", "again", "left"},
}

// WorkExpired tells that a request passed its deadline in the queue.
var WorkExpired = Event{
	Number: 502, Name: "work-expired", Level: LevelInfo,
	Text:   "A request passed its deadline in the queue and did not run.",
	Fields: []string{"group", "rank", "caller", "waited", "left"},
}

// LimitLowered tells that fewer slots of a database are used.
var LimitLowered = Event{
	Number: 510, Name: "limit-lowered", Level: LevelWarn,
	Text:   "A database answers slowly or fails; fewer of its slots are used.",
	Fields: []string{"group", "database", "slots", "slowdown", "failing", "left"},
}

// LimitRestored tells that all slots of a database are used again.
var LimitRestored = Event{
	Number: 511, Name: "limit-restored", Level: LevelInfo,
	Text:   "A database answers well; all of its slots are used again.",
	Fields: []string{"group", "database", "slots", "left"},
}

// CircuitOpened tells that a database is avoided.
var CircuitOpened = Event{
	Number: 512, Name: "circuit-opened", Level: LevelWarn,
	Text:   "A database is slow or fails with a single slot; it is avoided, but for single probes.",
	Fields: []string{"group", "database", "state", "slowdown", "failing", "left"},
}

// CircuitClosed tells that a database is used again.
var CircuitClosed = Event{
	Number: 513, Name: "circuit-closed", Level: LevelInfo,
	Text:   "A probe went well; the database is used again, from one slot on.",
	Fields: []string{"group", "database", "left"},
}

// ArbiterChanged tells that another instance leases a group's slots.
var ArbiterChanged = Event{
	Number: 520, Name: "arbiter-changed", Level: LevelInfo,
	Text:   "Another instance leases the slots of a group.",
	Fields: []string{"group", "before", "after", "left"},
}

// ArbiterSilent tells that the arbiter does not answer.
var ArbiterSilent = Event{
	Number: 521, Name: "arbiter-silent", Level: LevelWarn,
	Text:   "The arbiter of a group does not answer; this instance goes on with an equal share of the slots.",
	Fields: []string{"group", "arbiter", "left"},
}

// ShareReserved tells that an unreachable instance keeps its share.
var ShareReserved = Event{
	Number: 522, Name: "share-reserved", Level: LevelWarn,
	Text:   "An instance is unreachable; its share of slots and connections stays free for it.",
	Fields: []string{"instance", "until", "left"},
}

// LeaseGranted tells that the arbiter leased a slot.
var LeaseGranted = Event{
	Number: 530, Name: "lease-granted", Level: LevelDebug,
	Text:   "This instance, as the arbiter of a group, leased a slot of a database.",
	Fields: []string{"group", "database", "rank", "instance", "left"},
}

// LeaseRecalled tells that the arbiter asked for a slot back.
var LeaseRecalled = Event{
	Number: 531, Name: "lease-recalled", Level: LevelDebug,
	Text:   "This instance, as the arbiter of a group, asked for a slot back for work with a better claim.",
	Fields: []string{"group", "database", "rank", "instance", "for", "left"},
}

// RetryRefused tells that the retry budget of a group is spent.
var RetryRefused = Event{
	Number: 540, Name: "retry-refused", Level: LevelWarn,
	Text:   "A request was not tried again, since the group's retry budget is spent.",
	Fields: []string{"group", "left"},
}

var rankEvents = []Event{
	WorkRefused, WorkExpired,
	LimitLowered, LimitRestored, CircuitOpened, CircuitClosed,
	ArbiterChanged, ArbiterSilent, ShareReserved,
	LeaseGranted, LeaseRecalled,
	RetryRefused,
}
