package event

// -----------------------------------------------------------------------------
// 420: the table of groups, and changes of primary under it.

// Events of the table of groups.
var (
	GroupRowSeen = Event{
		Number: 420, Name: "group-row-seen", Level: LevelInfo,
		Text:   "A group's row in the store has changed: who is its primary, or that it is being replaced.",
		Fields: []string{"group", "epoch", "phase", "primary", "term", "steward", "reason", "source"},
	}
	GroupRowWritten = Event{
		Number: 421, Name: "group-row-written", Level: LevelInfo,
		Text:   "This instance has changed a group's row.",
		Fields: []string{"group", "epoch", "phase", "primary", "term", "reason", "outcome"},
	}
	ChangeBegun = Event{
		Number: 422, Name: "change-begun", Level: LevelWarn,
		Text: "This instance begins to replace a primary: why, how many instances know whether it " +
			"answers, and how many of them it does not answer.",
		Fields: []string{"group", "epoch", "primary", "reason", "witnesses", "silent"},
	}
	ChangeFailed = Event{
		Number: 423, Name: "change-failed", Level: LevelWarn,
		Text:   "A change of primary did not get on; it is begun again.",
		Fields: []string{"group", "why"},
	}
	ChangeEnded = Event{
		Number: 424, Name: "change-ended", Level: LevelInfo,
		Text:   "A group has a new primary.",
		Fields: []string{"group", "epoch", "primary", "before", "term", "received", "took"},
	}
	PrimarySteppedDown = Event{
		Number: 425, Name: "primary-stepped-down", Level: LevelInfo,
		Text:   "The old primary was told to lead no more.",
		Fields: []string{"group", "database", "received", "outcome"},
	}
	PromotionCalled = Event{
		Number: 426, Name: "promotion-called", Level: LevelInfo,
		Text:   "The platform was asked to promote a database.",
		Fields: []string{"group", "database", "outcome"},
	}
	DatabaseAsked = Event{
		Number: 427, Name: "database-asked", Level: LevelInfo,
		Text:   "A database was asked for its standing, or to step down.",
		Fields: []string{"group", "database", "statement", "role", "term", "received", "outcome"},
	}
	CoordinatorLeaseWritten = Event{
		Number: 428, Name: "duty-written", Level: LevelInfo,
		Text:   "This instance has changed the row of the duty without taking it: a challenge, or its answer.",
		Fields: []string{"holder", "token", "challenger", "outcome"},
	}
	LeasesRevoked = Event{
		Number: 429, Name: "leases-revoked", Level: LevelInfo,
		Text:   "No instance uses the old primary of a group any more.",
		Fields: []string{"group", "waited"},
	}
	GroupSurveyed = Event{
		Number: 430, Name: "group-surveyed", Level: LevelInfo,
		Text: "Without the store and the peers, all databases of a group were asked whether the primary " +
			"leads alone.",
		Fields: []string{"group", "databases", "answered", "primary", "proved", "age"},
	}
)

var stewardEvents = []Event{
	GroupRowSeen, GroupRowWritten, ChangeBegun, ChangeFailed, ChangeEnded, PrimarySteppedDown, PromotionCalled, DatabaseAsked,
	CoordinatorLeaseWritten, LeasesRevoked, GroupSurveyed,
}
