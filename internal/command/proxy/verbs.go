package proxy

// subcommand describes one subcommand of the command line, which help calls a
// verb.
type subcommand struct {
	name    string
	summary string
	// detail is the explanation that help prints below the flags.
	detail   string
	examples []string
	// newCommand returns the struct whose fields kong sets from the arguments and
	// whose Run method it calls.
	newCommand func() any
}

// subcommands lists the subcommands in the order of the help.
var subcommands = []subcommand{
	serveSubcommand,
	checkSubcommand,
	submitSubcommand,
	manifestSubcommand,
	statusSubcommand,
	logbookSubcommand,
	drainSubcommand,
	hashSubcommand,
	eventsSubcommand,
	explainSubcommand,
	versionSubcommand,
	helpSubcommand,
}

func findSubcommand(name string) (subcommand, bool) {
	for _, candidate := range subcommands {
		if candidate.name == name {
			return candidate, true
		}
	}
	return subcommand{}, false
}
