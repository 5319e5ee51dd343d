package proxy

var verbDrain = verb{
	name:    "drain",
	summary: "Let an instance finish its work and end.",
	detail: "The instance accepts no further connection, finishes the requests in flight, closes\n" +
		"each connection when it is idle, tells its peers that it leaves, and ends. SIGTERM\n" +
		"does the same. The verb returns as soon as the drain has begun.",
	examples:   []string{"eelgrassfold drain --address 10.1.1.11:7480 --token file:/etc/eelgrassfold/operator.token"},
	newCommand: func() any { return &drainCommand{} },
}

type drainCommand struct {
	operatorFlags
}

// Run asks the instance to drain.
func (c *drainCommand) Run(console *Console) error {
	instance, ctx, cancel, err := c.dial(console)
	if err != nil {
		return err
	}
	defer cancel()
	if err := instance.Drain(ctx); err != nil {
		return err
	}
	console.printf("%s drains\n", c.Address)
	return nil
}
