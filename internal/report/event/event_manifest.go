package event

// -----------------------------------------------------------------------------
// 750: the manifest in force.

// Events of the manifest.
var (
	ManifestInForce = Event{
		Number: 750, Name: "manifest-in-force", Level: LevelInfo,
		Text:   "A manifest came into force on this instance.",
		Fields: []string{"number", "digest", "source"},
	}
	ManifestRejected = Event{
		Number: 751, Name: "manifest-rejected", Level: LevelError,
		Text:   "A manifest from the platform or a peer does not match its digest or is invalid; the previous one stays in force.",
		Fields: []string{"number", "source", "why"},
	}
	ManifestAccepted = Event{
		Number: 752, Name: "manifest-accepted", Level: LevelInfo,
		Text:   "The platform has stored a submitted manifest as the current one.",
		Fields: []string{"number", "digest", "who"},
	}
	ManifestDeclined = Event{
		Number: 753, Name: "manifest-declined", Level: LevelWarn,
		Text:   "A submitted manifest was not accepted.",
		Fields: []string{"expected", "number", "why", "detail"},
	}
)

var manifestEvents = []Event{ManifestInForce, ManifestRejected, ManifestAccepted, ManifestDeclined}
