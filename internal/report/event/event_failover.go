package event

// -----------------------------------------------------------------------------
// 400: failover and logbook.

// Events of failover.
var (
	PrimarySuspected = Event{
		Number: 400, Name: "primary-suspected", Level: LevelWarn,
		Text:   "Two kinds of evidence indicate that the primary has failed.",
		Fields: []string{"group", "primary", "term", "evidence"},
	}
	PromotionWaits = Event{
		Number: 401, Name: "promotion-waits", Level: LevelWarn,
		Text:   "A failover is needed but can't proceed.",
		Fields: []string{"group", "step", "why"},
	}
	TermClaimed = Event{
		Number: 402, Name: "term-claimed", Level: LevelWarn,
		Text:   "This instance has claimed a new term for a group and runs the failover.",
		Fields: []string{"group", "term", "reason"},
	}
	MajorityFenced = Event{
		Number: 403, Name: "majority-fenced", Level: LevelInfo,
		Text:   "A majority of the group's databases is fenced: it rejects lower terms.",
		Fields: []string{"group", "term", "fenced", "chosen", "position"},
	}
	DatabasePromoted = Event{
		Number: 404, Name: "database-promoted", Level: LevelWarn,
		Text:   "A database was promoted to primary.",
		Fields: []string{"group", "term", "primary", "position", "took"},
	}
	PromotionRecorded = Event{
		Number: 405, Name: "promotion-recorded", Level: LevelInfo,
		Text:   "The failover was recorded in the group's row and in the logbook.",
		Fields: []string{"group", "term", "primary"},
	}
	PromotionYielded = Event{
		Number: 406, Name: "promotion-yielded", Level: LevelInfo,
		Text:   "This instance stopped a failover: another instance runs it, or it is no longer needed.",
		Fields: []string{"group", "term", "why"},
	}
	ReplicaRepaired = Event{
		Number: 407, Name: "replica-repaired", Level: LevelInfo,
		Text:   "A database was instructed to follow the current primary.",
		Fields: []string{"group", "database", "term", "primary"},
	}
)

var failoverEvents = []Event{
	PrimarySuspected, PromotionWaits, TermClaimed, MajorityFenced, DatabasePromoted,
	PromotionRecorded, PromotionYielded, ReplicaRepaired,
}
