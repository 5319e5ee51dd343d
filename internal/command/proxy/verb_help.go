package proxy

import (
	"fmt"
	"io"
	"strings"

	"github.com/alecthomas/kong"
)

// helpWidth is the number of columns that help is wrapped at.
const helpWidth = 80

var verbHelp = verb{
	name:    "help",
	summary: "Explain a verb or a topic.",
	detail: "Without a topic it lists the verbs and the exit codes. 'help topics' lists the\n" +
		"topics. Everything is in the binary; nothing is looked up elsewhere.",
	examples:   []string{"eelgrassfold help", "eelgrassfold help topics", "eelgrassfold help submit", "eelgrassfold help failover"},
	newCommand: func() any { return &helpCommand{} },
}

type helpCommand struct {
	Topic string `arg:"" optional:"" help:"A verb, a topic, or 'topics'."`
}

// Run prints the help.
func (c *helpCommand) Run(console *Console) error {
	if c.Topic == "" {
		printOverview(console)
		return nil
	}
	if c.Topic == "topics" {
		printTopics(console)
		return nil
	}
	_, isVerb := findVerb(c.Topic)
	if isVerb {
		if err := parseAndRun([]string{c.Topic, "--help"}, console); err != nil {
			return err
		}
	}
	text, isTopic := topicText(c.Topic)
	if isVerb && isTopic {
		console.printf("\n")
	}
	if isVerb || isTopic {
		console.printf("%s", text)
		return nil
	}
	return &UsageError{Reason: fmt.Sprintf("there is no verb and no topic %q", c.Topic)}
}

func printOverview(console *Console) {
	console.printf("eelgrassfold: a database proxy with session consistency.\n\nVerbs:\n")
	for _, verb := range verbs {
		console.printf("  %-10s %s\n", verb.name, verb.summary)
	}
	console.printf("\nExit codes:\n")
	for _, exit := range exits {
		console.printf("  %d  %s\n", exit.code, exit.meaning)
	}
	console.printf("\n'eelgrassfold help VERB' explains a verb, 'eelgrassfold help topics' lists topics.\n")
}

// printHelp prints kong's help for a verb, with the detail and the examples of
// the table below it.
func printHelp(options kong.HelpOptions, ctx *kong.Context) error {
	selected := ctx.Selected()
	if selected == nil {
		printOverview(&Console{Out: ctx.Stdout})
		return nil
	}
	if err := kong.DefaultHelpPrinter(options, ctx); err != nil {
		return err
	}
	if verb, found := findVerb(selected.Name); found {
		printDetail(ctx.Stdout, verb)
	}
	return nil
}

func printDetail(out io.Writer, verb verb) {
	text := "\n" + verb.detail + "\n\nExamples:\n  " + strings.Join(verb.examples, "\n  ") + "\n"
	_, _ = io.WriteString(out, text)
}
