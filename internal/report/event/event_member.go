package event

// -----------------------------------------------------------------------------
// 650: who is alive, as the core sees it.

// Events of membership.
var (
	InstanceAlive = Event{
		Number: 650, Name: "instance-alive", Level: LevelInfo,
		Text:   "Another instance has proved by a heartbeat that it is alive.",
		Fields: []string{"instance", "zone"},
	}
	InstanceGone = Event{
		Number: 651, Name: "instance-gone", Level: LevelWarn,
		Text:   "Another instance has sent no heartbeat for a while.",
		Fields: []string{"instance", "silent"},
	}
	InstanceLeaving = Event{
		Number: 652, Name: "instance-leaving", Level: LevelInfo,
		Text:   "Another instance has announced that it takes no further work.",
		Fields: []string{"instance"},
	}
)

var memberEvents = []Event{InstanceAlive, InstanceGone, InstanceLeaving}
