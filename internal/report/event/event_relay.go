package event

// -----------------------------------------------------------------------------
// 250: relays between instances.

// Events of relays.
var (
	StatementRelayed = Event{
		Number: 250, Name: "statement-relayed", Level: LevelInfo,
		Text: "A caller's statement was passed to a relay, a peer that has a way to its database. The outcome is " +
			"answered, lost (it may have run), or the reason for which it was not run.",
		Fields: []string{"request", "database", "relay", "epoch", "transaction", "outcome", "text", "took"},
	}
	RelayServed = Event{
		Number: 251, Name: "relay-served", Level: LevelInfo,
		Text:   "This instance served as the relay of a peer: it ran a statement of one of the peer's callers, or did not.",
		Fields: []string{"request", "from", "database", "transaction", "rank", "outcome", "text", "took"},
	}
	RelayLost = Event{
		Number: 252, Name: "relay-lost", Level: LevelWarn,
		Text: "The link to a relay ended or could not be opened. The unsent statements were not run; those that were " +
			"sent may have been.",
		Fields: []string{"relay", "why", "unsent", "lost"},
	}
	RelayPeerRejected = Event{
		Number: 253, Name: "relay-peer-rejected", Level: LevelWarn,
		Text:   "A connection to the relay address was closed: it is not of this deployment, or of another version.",
		Fields: []string{"address", "error"},
	}
	RelayingChanged = Event{
		Number: 254, Name: "relaying-changed", Level: LevelWarn,
		Text: "Statements for a group's primary begin or cease to pass through relays: the primary does not answer this " +
			"instance but answers peers. The field relays names the relays, in the order of preference.",
		Fields: []string{"group", "database", "relaying", "unanswered", "relays"},
	}
)

var relayEvents = []Event{StatementRelayed, RelayServed, RelayLost, RelayPeerRejected, RelayingChanged}
