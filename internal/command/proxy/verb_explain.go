package proxy

import (
	"errors"

	"github.com/eelgrassfold/eelgrassfold/internal/report/story"
)

var explainSubcommand = subcommand{
	name:    "explain",
	summary: "Show the timeline of one request, or of one group's failovers.",
	detail: "Reads the logs of any number of instances from standard input and writes the\n" +
		"timeline: the lines that name the request or the group, and, close to them, the\n" +
		"events of the same instances that concern primaries, leases and the platform.",
	examples:   []string{"cat logs/* | eelgrassfold explain 5c0e7a21d94b36f8", "eelgrassfold explain ratings < instance.log"},
	newCommand: func() any { return &explainCommand{} },
}

type explainCommand struct {
	Name string `arg:"" help:"The request's id as the caller sent it, or the name of a group."`
}

// Run writes the timeline.
func (c *explainCommand) Run(console *Console) error {
	err := story.WriteTimeline(console.In, console.Out, c.Name)
	var missing *story.NotFoundError
	if errors.As(err, &missing) {
		return &InputError{Reason: err.Error()}
	}
	return err
}
