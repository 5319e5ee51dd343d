package proxy

import (
	"errors"

	"github.com/eelgrassfold/eelgrassfold/internal/report/story"
)

var verbExplain = verb{
	name:    "explain",
	summary: "Tell what happened to one request, or at the changes of one group's primary.",
	detail: "Reads the logs of any number of instances from standard input and writes the\n" +
		"story by time: the lines that name the request or the group, and around those of\n" +
		"a request what the same instances said of primaries, leases and the platform.",
	examples:   []string{"cat logs/* | eelgrassfold explain 5c0e7a21d94b36f8", "eelgrassfold explain ratings < instance.log"},
	newCommand: func() any { return &explainCommand{} },
}

type explainCommand struct {
	Name string `arg:"" help:"The request's id as the caller sent it, or the name of a group."`
}

// Run tells the story.
func (c *explainCommand) Run(console *Console) error {
	err := story.WriteTimeline(console.In, console.Out, c.Name)
	var missing *story.NotFoundError
	if errors.As(err, &missing) {
		return &InputError{Reason: err.Error()}
	}
	return err
}
