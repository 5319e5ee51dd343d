package event

// -----------------------------------------------------------------------------
// 650: membership, as the core of one instance determines it.

// Events of membership.
var (
	InstanceAlive = Event{
		Number: 650, Name: "instance-alive", Level: LevelInfo,
		Text:   "Another instance is alive: a heartbeat from it was received.",
		Fields: []string{"instance", "zone"},
	}
	InstanceGone = Event{
		Number: 651, Name: "instance-gone", Level: LevelWarn,
		Text:   "Another instance is considered gone: its heartbeats have stopped.",
		Fields: []string{"instance", "silent"},
	}
	InstanceLeaving = Event{
		Number: 652, Name: "instance-leaving", Level: LevelInfo,
		Text:   "Another instance has announced that it is draining.",
		Fields: []string{"instance"},
	}
)

var memberEvents = []Event{InstanceAlive, InstanceGone, InstanceLeaving}
