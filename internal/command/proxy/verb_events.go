package proxy

import (
	"strings"

	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

var verbEvents = verb{
	name:    "events",
	summary: "Print the catalogue of numbered log events.",
	detail: "Every log line of an instance carries one of these numbers. A number keeps its\n" +
		"meaning for good, so alerts may rely on it.",
	examples:   []string{"eelgrassfold events", "eelgrassfold events --format markdown > docs/EVENTS.md"},
	newCommand: func() any { return &eventsCommand{} },
}

type eventsCommand struct {
	Format string `enum:"text,markdown" default:"text" help:"Form of the catalogue: text or markdown."`
}

// Run prints the catalogue.
func (c *eventsCommand) Run(console *Console) error {
	if c.Format == "markdown" {
		printEventsMarkdown(console)
		return nil
	}
	for _, e := range event.Catalogue() {
		console.printf("%d %-5s %s (%s)\n    %s\n", e.Number, e.Level, e.Name, strings.Join(e.Fields, " "), e.Text)
	}
	return nil
}

func printEventsMarkdown(console *Console) {
	console.printf("# Log events\n\n")
	console.printf("Made by `eelgrassfold events --format markdown`; change the catalogue in\n")
	console.printf("internal/report/event instead of this page.\n\n")
	console.printf("| number | level | name | fields | meaning |\n|---|---|---|---|---|\n")
	for _, e := range event.Catalogue() {
		console.printf("| %d | %s | %s | %s | %s |\n", e.Number, e.Level, e.Name, strings.Join(e.Fields, ", "), e.Text)
	}
}
