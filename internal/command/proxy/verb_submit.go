package proxy

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/user"

	"github.com/eelgrassfold/eelgrassfold/internal/config/manifest"
)

var submitSubcommand = subcommand{
	name:    "submit",
	summary: "Submit a manifest to replace the one that the change was reviewed against.",
	detail: "The file is checked locally first. The instance accepts it only if the current\n" +
		"manifest has the number --expected; if two operators submit at the same time, one\n" +
		"gets a conflict and changes nothing. 0 means that there is no manifest yet. --dry\n" +
		"prints the differences from the manifest in force, and changes nothing.",
	examples: []string{
		"eelgrassfold submit manifest.toml --expected 0",
		"eelgrassfold submit manifest.toml --expected 7 --dry",
	},
	newCommand: func() any { return &submitCommand{} },
}

type submitCommand struct {
	operatorFlags
	File     string `arg:"" help:"The manifest."`
	Expected uint64 `required:"" placeholder:"N" help:"Number of the manifest that the change was reviewed against."`
	Dry      bool   `help:"Print the changes only."`
	Who      string `env:"EELGRASSFOLD_WHO" help:"Name for the record; the user of this process by default."`
}

// Run checks the file, then submits it or prints its changes.
func (c *submitCommand) Run(console *Console) error {
	body, declared, err := c.readFile(console)
	if err != nil {
		return err
	}
	instance, ctx, cancel, err := c.newClient(console)
	if err != nil {
		return err
	}
	defer cancel()
	if c.Dry {
		return c.printChanges(ctx, console, instance, declared)
	}
	number, err := instance.Submit(ctx, body, c.Expected, c.submitterName())
	if err != nil {
		return err
	}
	console.printf("manifest %d accepted, sha256 %s\n", number, manifest.Digest(body))
	return nil
}

func (c *submitCommand) readFile(console *Console) ([]byte, *manifest.Manifest, error) {
	body, err := os.ReadFile(c.File)
	if err != nil {
		return nil, nil, &InputError{Reason: fmt.Sprintf("%s: %v", c.File, errors.Unwrap(err))}
	}
	declared, warnings, err := manifest.ParseWithWarnings(body)
	if !printDiagnostics(console, c.File, warnings, err) {
		return nil, nil, &InputError{Reason: c.File + " has faults"}
	}
	return body, declared, nil
}

func (c *submitCommand) submitterName() string {
	if c.Who != "" {
		return c.Who
	}
	current, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return current.Username
}

func (c *submitCommand) printChanges(ctx context.Context, console *Console, instance instanceClient, declared *manifest.Manifest) error {
	report, err := instance.Manifest(ctx)
	if err != nil {
		return err
	}
	if report.Number != c.Expected {
		return &ConflictError{Reason: fmt.Sprintf("manifest %d is in force, but %d was expected", report.Number, c.Expected)}
	}
	var before *manifest.Manifest
	if report.Number > 0 {
		if before, err = manifest.Parse([]byte(report.Body)); err != nil {
			return &InvalidResponseError{Reason: fmt.Sprintf("the manifest in force can't be read: %v", err)}
		}
	}
	changes := manifest.Diff(before, declared)
	for _, change := range changes {
		console.printf("%s\n", change)
	}
	console.printf("changes against manifest %d: %d\n", report.Number, len(changes))
	return nil
}
