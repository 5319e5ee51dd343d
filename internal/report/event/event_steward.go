package event

// -----------------------------------------------------------------------------
// 420: the table of groups, and changes of primary under it.

// Events of the table of groups.
var (
	RowSeen = Event{
		Number: 420, Name: "group-row-seen", Level: LevelInfo,
		Text:   "A group's row in the store has changed: who is its primary, or that it is being replaced.",
		Fields: []string{"group", "epoch", "phase", "primary", "term", "steward", "reason", "source"},
	}
	RowWritten = Event{
		Number: 421, Name: "group-row-written", Level: LevelInfo,
		Text:   "This instance has changed a group's row.",
		Fields: []string{"group", "epoch", "phase", "primary", "term", "reason", "outcome"},
	}
)

var stewardEvents = []Event{RowSeen, RowWritten}
