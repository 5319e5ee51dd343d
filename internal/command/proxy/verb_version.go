package proxy

var versionSubcommand = subcommand{
	name:       "version",
	summary:    "Print the version.",
	detail:     "The version is that of the program, not of the manifest in force.",
	examples:   []string{"eelgrassfold version"},
	newCommand: func() any { return &versionCommand{} },
}

type versionCommand struct{}

// Run prints the version.
func (*versionCommand) Run(console *Console) error {
	console.printf("%s %s\n", program, Version)
	return nil
}
