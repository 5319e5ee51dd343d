package proxy

var manifestSubcommand = subcommand{
	name:    "manifest",
	summary: "Print the manifest in force at an instance.",
	detail: "The first line is a comment with the number to submit the next change against. The\n" +
		"rest is the document as it was submitted.",
	examples:   []string{"eelgrassfold manifest", "eelgrassfold manifest --json"},
	newCommand: func() any { return &manifestCommand{} },
}

type manifestCommand struct {
	operatorFlags
	JSON bool `name:"json" help:"Print number, digest and body as a JSON document."`
}

// Run asks for the manifest and prints it.
func (c *manifestCommand) Run(console *Console) error {
	instance, ctx, cancel, err := c.newClient(console)
	if err != nil {
		return err
	}
	defer cancel()
	report, err := instance.Manifest(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(console, report)
	}
	if report.Number == 0 {
		console.printf("# no manifest is in force; submit the first with --expected 0\n")
		return nil
	}
	console.printf("# manifest %d, sha256 %s\n%s", report.Number, report.Digest, report.Body)
	return nil
}
