package event

// -----------------------------------------------------------------------------
// 500: ranks, slots and limits.

// WorkRefused reports that a request was rejected at admission.
var WorkRefused = Event{
	Number: 501, Name: "work-refused", Level: LevelInfo,
	Text:   "A request was rejected at admission and did not run.",
	Fields: []string{"group", "rank", "caller", "why", "detail", "again", "left"},
}

// WorkExpired reports that a request's deadline passed while it was queued.
var WorkExpired = Event{
	Number: 502, Name: "work-expired", Level: LevelInfo,
	Text:   "A request's deadline passed while it was queued; it did not run.",
	Fields: []string{"group", "rank", "caller", "waited", "left"},
}

// LimitLowered reports that fewer slots of a database are used.
var LimitLowered = Event{
	Number: 510, Name: "limit-lowered", Level: LevelWarn,
	Text:   "A database answers slowly or fails; fewer of its slots are used.",
	Fields: []string{"group", "database", "slots", "slowdown", "failing", "left"},
}

// LimitRestored reports that all slots of a database are used again.
var LimitRestored = Event{
	Number: 511, Name: "limit-restored", Level: LevelInfo,
	Text:   "A database answers well; all of its slots are used again.",
	Fields: []string{"group", "database", "slots", "left"},
}

// CircuitOpened reports that a database is avoided.
var CircuitOpened = Event{
	Number: 512, Name: "circuit-opened", Level: LevelWarn,
	Text:   "A database is slow or fails even with a single slot; it is avoided, except for single probes.",
	Fields: []string{"group", "database", "state", "slowdown", "failing", "left"},
}

// CircuitClosed reports that a database is used again.
var CircuitClosed = Event{
	Number: 513, Name: "circuit-closed", Level: LevelInfo,
	Text:   "A probe succeeded; the database is used again, starting with one slot.",
	Fields: []string{"group", "database", "left"},
}

// ArbiterChanged reports that another instance grants the leases of a group's
// slots.
var ArbiterChanged = Event{
	Number: 520, Name: "arbiter-changed", Level: LevelInfo,
	Text:   "Another instance is now the arbiter of a group: it grants the leases of the group's slots.",
	Fields: []string{"group", "before", "after", "left"},
}

// ArbiterSilent reports that the arbiter does not answer.
var ArbiterSilent = Event{
	Number: 521, Name: "arbiter-silent", Level: LevelWarn,
	Text:   "The arbiter of a group does not answer; this instance continues with an equal share of the slots.",
	Fields: []string{"group", "arbiter", "left"},
}

// ShareReserved reports that an unreachable instance keeps its share.
var ShareReserved = Event{
	Number: 522, Name: "share-reserved", Level: LevelWarn,
	Text:   "An instance is unreachable; its share of slots and connections stays reserved for it.",
	Fields: []string{"instance", "until", "left"},
}

// LeaseGranted reports that the arbiter granted a lease of a slot.
var LeaseGranted = Event{
	Number: 530, Name: "lease-granted", Level: LevelDebug,
	Text:   "This instance, as the arbiter of a group, granted a lease of a slot of a database.",
	Fields: []string{"group", "database", "rank", "instance", "left"},
}

// LeaseRecalled reports that the arbiter recalled the lease of a slot.
var LeaseRecalled = Event{
	Number: 531, Name: "lease-recalled", Level: LevelDebug,
	Text:   "This instance, as the arbiter of a group, recalled the lease of a slot in favor of requests with a higher claim to it.",
	Fields: []string{"group", "database", "rank", "instance", "for", "left"},
}

// RetryRefused reports that the retry budget of a group is exhausted.
var RetryRefused = Event{
	Number: 540, Name: "retry-refused", Level: LevelWarn,
	Text:   "A request was not retried because the group's retry budget is exhausted.",
	Fields: []string{"group", "left"},
}

var rankEvents = []Event{
	WorkRefused, WorkExpired,
	LimitLowered, LimitRestored, CircuitOpened, CircuitClosed,
	ArbiterChanged, ArbiterSilent, ShareReserved,
	LeaseGranted, LeaseRecalled,
	RetryRefused,
}
