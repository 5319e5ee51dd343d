package event

// -----------------------------------------------------------------------------
// 560: limits of tenants.

// Events of the limits of tenants.
var (
	LimitRefused = Event{
		Number: 560, Name: "limit-refused", Level: LevelInfo,
		Text: "An operation was refused under the limit of its tenant; it did not run. The fields give the limit over " +
			"all instances, the number of keepers in reach, and the time since one of them last gave tokens of the tenant.",
		Fields: []string{"request", "tenant", "limit", "burst", "keepers", "age", "why"},
	}
	LimitKeeperChanged = Event{
		Number: 561, Name: "limit-keeper-changed", Level: LevelInfo,
		Text: "The number of parts of the limits has changed that this instance knows of while it keeps one itself; " +
			"it is zero if it keeps none. The other fields give the live keepers in its availability zone and in the others.",
		Fields: []string{"parts", "before", "zone", "others"},
	}
)

var limitEvents = []Event{LimitRefused, LimitKeeperChanged}
