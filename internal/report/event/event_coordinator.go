package event

// -----------------------------------------------------------------------------
// 420: the table of groups, and the failovers that it coordinates.

// Events of the table of groups and of its failovers.
var (
	GroupRowSeen = Event{
		Number: 420, Name: "group-row-seen", Level: LevelInfo,
		Text:   "A group's row in the store has changed: the primary that it names, or the phase of a failover.",
		Fields: []string{"group", "epoch", "phase", "primary", "term", "steward", "reason", "source"},
	}
	GroupRowWritten = Event{
		Number: 421, Name: "group-row-written", Level: LevelInfo,
		Text:   "This instance has changed a group's row.",
		Fields: []string{"group", "epoch", "phase", "primary", "term", "reason", "outcome"},
	}
	ChangeBegun = Event{
		Number: 422, Name: "change-begun", Level: LevelWarn,
		Text: "This instance begins a failover. The fields tell the reason, how many instances observe " +
			"whether the primary answers, and how many of them get no answer.",
		Fields: []string{"group", "epoch", "primary", "reason", "witnesses", "silent"},
	}
	ChangeFailed = Event{
		Number: 423, Name: "change-failed", Level: LevelWarn,
		Text:   "A failover did not make progress; it is started again.",
		Fields: []string{"group", "why"},
	}
	ChangeEnded = Event{
		Number: 424, Name: "change-ended", Level: LevelInfo,
		Text:   "A failover is complete: the group has a new primary.",
		Fields: []string{"group", "epoch", "primary", "before", "term", "received", "took"},
	}
	PrimarySteppedDown = Event{
		Number: 425, Name: "primary-stepped-down", Level: LevelInfo,
		Text:   "The old primary was instructed to step down.",
		Fields: []string{"group", "database", "received", "outcome"},
	}
	PromotionCalled = Event{
		Number: 426, Name: "promotion-called", Level: LevelInfo,
		Text:   "The platform was asked to promote a database.",
		Fields: []string{"group", "database", "outcome"},
	}
	DatabaseAsked = Event{
		Number: 427, Name: "database-asked", Level: LevelInfo,
		Text:   "A database was queried for its status, or instructed to step down.",
		Fields: []string{"group", "database", "statement", "role", "term", "received", "outcome"},
	}
	CoordinatorLeaseWritten = Event{
		Number: 428, Name: "duty-written", Level: LevelInfo,
		Text:   "This instance has written the row of the coordinator lease without acquiring the lease: a challenge, or the holder's answer to one.",
		Fields: []string{"holder", "token", "challenger", "outcome"},
	}
	LeasesRevoked = Event{
		Number: 429, Name: "leases-revoked", Level: LevelInfo,
		Text:   "No instance uses the old primary of a group any longer: all leases on it are revoked.",
		Fields: []string{"group", "waited"},
	}
	GroupSurveyed = Event{
		Number: 430, Name: "group-surveyed", Level: LevelInfo,
		Text: "With neither the store nor peers available, all databases of a group were polled to confirm " +
			"that the primary is the only one.",
		Fields: []string{"group", "databases", "answered", "primary", "proved", "age"},
	}
	SuccessorAwaited = Event{
		Number: 431, Name: "successor-awaited", Level: LevelWarn,
		Text: "A failover with synchronous replication waits: the missing databases may hold acknowledged commits, or, if none " +
			"is missing, no database has the whole log yet.",
		Fields: []string{"group", "primary", "missing", "waited"},
	}
	SuccessorChosen = Event{
		Number: 432, Name: "successor-chosen", Level: LevelInfo,
		Text: "A database is to be promoted. With synchronous replication, the proof tells why its log holds all acknowledged commits: " +
			"it has all that the old primary has, it is the longest of all replicas, or it had been promoted already; " +
			"none if the missing databases, which may have held more, count as lost.",
		Fields: []string{"group", "database", "proof", "received", "missing"},
	}
	ChangeAbandoned = Event{
		Number: 433, Name: "change-abandoned", Level: LevelInfo,
		Text:   "A failover has ended without a promotion: the primary answers, and no other database has its whole log.",
		Fields: []string{"group", "epoch", "primary", "took"},
	}
	ChangePostponed = Event{
		Number: 434, Name: "change-postponed", Level: LevelInfo,
		Text:   "The planned replacement of a primary waits until a database that stays has its whole log.",
		Fields: []string{"group", "primary", "received"},
	}
	ReplicaRecordWritten = Event{
		Number: 435, Name: "replica-record-written", Level: LevelInfo,
		Text:   "The record of the databases that may hold acknowledged commits has changed.",
		Fields: []string{"group", "databases", "outcome"},
	}
	PromotionsRecorded = Event{
		Number: 436, Name: "promotions-recorded", Level: LevelInfo,
		Text:   "The record of the promotions of a group that may still take effect is written, before a promotion is called or after one is abandoned.",
		Fields: []string{"group", "databases", "outcome"},
	}
	PromotionAwaited = Event{
		Number: 437, Name: "promotion-awaited", Level: LevelInfo,
		Text:   "A failover waits for a promotion that was called and may still take effect; no other database is promoted meanwhile.",
		Fields: []string{"group", "database", "term"},
	}
	GuardChecked = Event{
		Number: 438, Name: "guard-checked", Level: LevelInfo,
		Text: "The databases of abandoned promotions were queried, and the result differs from the one before: clear, unknown, " +
			"taken over if one of them leads, settled if none can lead any more.",
		Fields: []string{"group", "databases", "result"},
	}
	PromotionAbandoned = Event{
		Number: 439, Name: "promotion-abandoned", Level: LevelWarn,
		Text: "A failover goes on without a database whose promotion was called: the platform says that it is not running, " +
			"or it has had no entry and given no answer for some time. Its promotion may still take effect.",
		Fields: []string{"group", "database", "stopped", "silent"},
	}
)

var coordinatorEvents = []Event{
	GroupRowSeen, GroupRowWritten, ChangeBegun, ChangeFailed, ChangeEnded, PrimarySteppedDown, PromotionCalled, DatabaseAsked,
	CoordinatorLeaseWritten, LeasesRevoked, GroupSurveyed, SuccessorAwaited, SuccessorChosen, ChangeAbandoned, ChangePostponed,
	ReplicaRecordWritten, PromotionsRecorded, PromotionAwaited, GuardChecked, PromotionAbandoned,
}
