package event

// -----------------------------------------------------------------------------
// 200: routing of reads and placement of writes.

// Events of routing.
var (
	ReadRouted = Event{
		Number: 200, Name: "read-routed", Level: LevelInfo,
		Text:   "A read was sent to a database.",
		Fields: []string{"request", "attempt", "group", "kind", "database", "role", "minimum", "reason"},
	}
	WriteRouted = Event{
		Number: 201, Name: "write-routed", Level: LevelInfo,
		Text:   "A write or a transaction was sent to the primary.",
		Fields: []string{"request", "attempt", "group", "kind", "database", "term", "key"},
	}
	ReadBehind = Event{
		Number: 202, Name: "read-behind", Level: LevelInfo,
		Text:   "A replica's answer was older than the session's minimum position; the read is retried on another database.",
		Fields: []string{"request", "attempt", "group", "database", "position", "minimum"},
	}
	RequestRefused = Event{
		Number: 203, Name: "request-refused", Level: LevelInfo,
		Text:   "A request was rejected; it did not run.",
		Fields: []string{"request", "group", "kind", "why"},
	}
	RequestRetried = Event{
		Number: 204, Name: "request-retried", Level: LevelInfo,
		Text:   "An attempt is confirmed not to have run; the request waits for another attempt.",
		Fields: []string{"request", "attempt", "group", "database", "why"},
	}
	DatabaseUnreachable = Event{
		Number: 205, Name: "database-unreachable", Level: LevelWarn,
		Text:   "A database has not answered this instance for a while.",
		Fields: []string{"group", "database", "error", "silent"},
	}
	DatabaseReachable = Event{
		Number: 206, Name: "database-reachable", Level: LevelInfo,
		Text:   "A database answers this instance.",
		Fields: []string{"group", "database", "role", "term", "received"},
	}
	DatabaseLeaving = Event{
		Number: 207, Name: "database-leaving", Level: LevelInfo,
		Text:   "A database is draining; it receives no new requests.",
		Fields: []string{"group", "database", "source"},
	}
	ZoneShareChanged = Event{
		Number: 208, Name: "zone-share-changed", Level: LevelInfo,
		Text: "Another share of a group's reads leaves the availability zone of this instance. The fields give the " +
			"expected waits in this zone, its queue included, and in the others, and the extra time of the path there.",
		Fields: []string{"group", "zone", "before", "after", "here", "queue", "there", "extra"},
	}
)

var routeEvents = []Event{
	ReadRouted, WriteRouted, ReadBehind, RequestRefused, RequestRetried,
	DatabaseUnreachable, DatabaseReachable, DatabaseLeaving, ZoneShareChanged,
}
