package proxy

var drainSubcommand = subcommand{
	name:    "drain",
	summary: "Let an instance finish its requests and end.",
	detail: "The instance accepts no new connections, finishes the requests in flight, closes each\n" +
		"connection when it is idle, announces to its peers that it is draining, and ends.\n" +
		"SIGTERM does the same. The verb returns as soon as the drain has begun.",
	examples:   []string{"eelgrassfold drain --address 10.1.1.11:7480 --token file:/etc/eelgrassfold/operator.token"},
	newCommand: func() any { return &drainCommand{} },
}

type drainCommand struct {
	operatorFlags
}

// Run asks the instance to drain.
func (c *drainCommand) Run(console *Console) error {
	instance, ctx, cancel, err := c.newClient(console)
	if err != nil {
		return err
	}
	defer cancel()
	if err := instance.Drain(ctx); err != nil {
		return err
	}
	console.printf("%s is draining\n", c.Address)
	return nil
}
