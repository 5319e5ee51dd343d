package event

// -----------------------------------------------------------------------------
// 400: failover and logbook.

// Events of failover.
var (
	PrimarySuspected = Event{
		Number: 400, Name: "primary-suspected", Level: LevelWarn,
		Text:   "Evidence of two kinds speaks against the primary.",
		Fields: []string{"group", "primary", "term", "evidence"},
	}
	PromotionWaits = Event{
		Number: 401, Name: "promotion-waits", Level: LevelWarn,
		Text:   "A promotion is wanted but can't go on.",
		Fields: []string{"group", "step", "why"},
	}
	TermClaimed = Event{
		Number: 402, Name: "term-claimed", Level: LevelWarn,
		Text:   "This instance conducts a change of primary under a claimed term.",
		Fields: []string{"group", "term", "reason"},
	}
	MajorityFenced = Event{
		Number: 403, Name: "majority-fenced", Level: LevelInfo,
		Text:   "A majority of the group's databases refuses lower terms.",
		Fields: []string{"group", "term", "fenced", "chosen", "position"},
	}
	DatabasePromoted = Event{
		Number: 404, Name: "database-promoted", Level: LevelWarn,
		Text:   "A database was made primary.",
		Fields: []string{"group", "term", "primary", "position", "took"},
	}
	PromotionRecorded = Event{
		Number: 405, Name: "promotion-recorded", Level: LevelInfo,
		Text:   "The group's row and its logbook hold the change of primary.",
		Fields: []string{"group", "term", "primary"},
	}
	PromotionYielded = Event{
		Number: 406, Name: "promotion-yielded", Level: LevelInfo,
		Text:   "Another instance conducts the change of primary, or it is no longer wanted.",
		Fields: []string{"group", "term", "why"},
	}
	ReplicaRepaired = Event{
		Number: 407, Name: "replica-repaired", Level: LevelInfo,
		Text:   "A database was told which primary to follow.",
		Fields: []string{"group", "database", "term", "primary"},
	}
)

var failoverEvents = []Event{
	PrimarySuspected, PromotionWaits, TermClaimed, MajorityFenced, DatabasePromoted,
	PromotionRecorded, PromotionYielded, ReplicaRepaired,
}
