package proxy

// verb is one command of the command line.
type verb struct {
	name    string
	summary string
	// detail explains what the summary leaves open.
	detail   string
	examples []string
	// newCommand returns the struct that kong fills and runs.
	newCommand func() any
}

// verbs lists the verbs in the order of the help.
var verbs = []verb{
	verbServe,
	verbCheck,
	verbSubmit,
	verbManifest,
	verbStatus,
	verbLogbook,
	verbDrain,
	verbHash,
	verbEvents,
	verbExplain,
	verbVersion,
	verbHelp,
}

func findVerb(name string) (verb, bool) {
	for _, verb := range verbs {
		if verb.name == name {
			return verb, true
		}
	}
	return verb{}, false
}
