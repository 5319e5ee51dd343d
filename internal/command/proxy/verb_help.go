package proxy

import (
	"fmt"
	"io"
	"strings"

	"github.com/alecthomas/kong"
)

// helpWidth is the column at which help is wrapped.
const helpWidth = 80

var helpSubcommand = subcommand{
	name:    "help",
	summary: "Explain a verb or a topic.",
	detail: "Without an argument it lists the verbs and the exit codes. 'help topics' lists the\n" +
		"topics. All help is contained in the binary and needs no network.",
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
	_, isSubcommand := findSubcommand(c.Topic)
	if isSubcommand {
		if err := parseAndRun([]string{c.Topic, "--help"}, console); err != nil {
			return err
		}
	}
	text, isTopic := topicText(c.Topic)
	if isSubcommand && isTopic {
		console.printf("\n")
	}
	if isSubcommand || isTopic {
		console.printf("%s", text)
		return nil
	}
	return &UsageError{Reason: fmt.Sprintf("there is no verb and no topic %q", c.Topic)}
}

func printOverview(console *Console) {
	console.printf("eelgrassfold: a database proxy with session consistency.\n\nVerbs:\n")
	for _, command := range subcommands {
		console.printf("  %-10s %s\n", command.name, command.summary)
	}
	console.printf("\nExit codes:\n")
	for _, exit := range exitCodes {
		console.printf("  %d  %s\n", exit.code, exit.meaning)
	}
	console.printf("\n'eelgrassfold help VERB' explains a verb, 'eelgrassfold help topics' lists topics.\n")
}

// printHelp prints kong's help for a subcommand, followed by the detail and the
// examples from the table of subcommands.
func printHelp(options kong.HelpOptions, ctx *kong.Context) error {
	selected := ctx.Selected()
	if selected == nil {
		printOverview(&Console{Out: ctx.Stdout})
		return nil
	}
	if err := kong.DefaultHelpPrinter(options, ctx); err != nil {
		return err
	}
	if command, found := findSubcommand(selected.Name); found {
		printDetail(ctx.Stdout, command)
	}
	return nil
}

func printDetail(out io.Writer, command subcommand) {
	text := "\n" + command.detail + "\n\nExamples:\n  " + strings.Join(command.examples, "\n  ") + "\n"
	_, _ = io.WriteString(out, text)
}
