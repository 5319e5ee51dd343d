package event

// -----------------------------------------------------------------------------
// 750: spread of the manifest, as the core sees it; 950: shutdown.

// Events of the manifest in force and of a shutdown.
var (
	ManifestInForce = Event{
		Number: 750, Name: "manifest-in-force", Level: LevelInfo,
		Text:   "A manifest came into force on this instance.",
		Fields: []string{"number", "digest", "source"},
	}
	ManifestRejected = Event{
		Number: 751, Name: "manifest-rejected", Level: LevelError,
		Text:   "A manifest from the platform or a peer is not what its digest or the rules say; the one before stays in force.",
		Fields: []string{"number", "source", "why"},
	}
	ManifestAccepted = Event{
		Number: 752, Name: "manifest-accepted", Level: LevelInfo,
		Text:   "The platform holds a submitted manifest as the current one.",
		Fields: []string{"number", "digest", "who"},
	}
	ManifestDeclined = Event{
		Number: 753, Name: "manifest-declined", Level: LevelWarn,
		Text:   "A submitted manifest was not accepted.",
		Fields: []string{"expected", "number", "why", "detail"},
	}
	DrainStarted = Event{
		Number: 950, Name: "drain-started", Level: LevelInfo,
		Text:   "The instance finishes its work and takes no further callers.",
		Fields: []string{"sessions", "requests"},
	}
	DrainEnded = Event{
		Number: 951, Name: "drain-ended", Level: LevelInfo,
		Text:   "The instance has ended its work and may stop.",
		Fields: []string{"sessions", "requests", "took"},
	}
)

var spreadEvents = []Event{
	ManifestInForce, ManifestRejected, ManifestAccepted, ManifestDeclined,
	DrainStarted, DrainEnded,
}
