package event

// -----------------------------------------------------------------------------
// 600: links between instances.

// Events of the links between instances.
var (
	PeerListening = Event{
		601, "peer-listening", LevelInfo,
		"The instance accepts links from its peers.",
		[]string{"address"},
	}
	PeerLinked = Event{
		602, "peer-linked", LevelInfo,
		"A link to a peer was established and both ends are authenticated.",
		[]string{"peer", "address", "dialed"},
	}
	PeerUnlinked = Event{
		603, "peer-unlinked", LevelInfo,
		"A link to a peer ended.",
		[]string{"peer", "address", "error"},
	}
	PeerUnreachable = Event{
		604, "peer-unreachable", LevelDebug,
		"A link to a peer could not be established.",
		[]string{"peer", "address", "error", "again"},
	}
	PeerRejected = Event{
		605, "peer-rejected", LevelWarn,
		"A link was closed because of what the other end sent.",
		[]string{"peer", "address", "fault", "error"},
	}
	PeerDropped = Event{
		606, "peer-dropped", LevelDebug,
		"A message to a peer was dropped because the queue for that peer is full.",
		[]string{"peer", "message"},
	}
)

var peerEvents = []Event{
	PeerListening, PeerLinked, PeerUnlinked, PeerUnreachable, PeerRejected, PeerDropped,
}
