package proxy

import (
	"errors"
	"fmt"
	"os"

	"github.com/eelgrassfold/eelgrassfold/internal/config/manifest"
	"github.com/eelgrassfold/eelgrassfold/internal/config/settings"
	"github.com/eelgrassfold/eelgrassfold/internal/config/toml"
	"github.com/eelgrassfold/eelgrassfold/platform"
)

var checkSubcommand = subcommand{
	name:    "check",
	summary: "Check settings, manifest and configuration files.",
	detail: "Each error is printed as FILE:LINE: KEY: TEXT. All errors of all files are listed,\n" +
		"and the exit code is 2 if there are any. Warnings don't change the exit code. The\n" +
		"kind of a file is detected from its keys unless --kind gives it. Secrets that\n" +
		"settings refer to are not loaded.\n\n" +
		"A configuration is what the operator writes on the platform, as JSON. What is found\n" +
		"there is printed as FILE: PLACE: NUMBER NAME: TEXT: parts that are invalid or can\n" +
		"never match, limits that contradict each other and, with --against, what changes for\n" +
		"callers. The exit code is 1 if there is anything. Keys are never printed.",
	examples: []string{
		"eelgrassfold check examples/consortium/manifest.toml",
		"eelgrassfold check --kind settings /etc/eelgrassfold/settings.toml",
		"eelgrassfold check next.json --against present.json --instances 7",
	},
	newCommand: func() any { return &checkCommand{} },
}

type checkCommand struct {
	Kind      string   `enum:"auto,settings,manifest,configuration" default:"auto" help:"Kind of the files: settings, manifest, configuration, or auto to tell by their keys."`
	Against   string   `placeholder:"FILE" help:"The configuration in force, with which the files are compared."`
	Instances int      `placeholder:"N" help:"Number of instances that share the databases."`
	Format    string   `enum:"text,json" default:"text" help:"Format of what is found in configurations."`
	Files     []string `arg:"" name:"file" help:"Files to check."`
}

// Run checks each file.
func (c *checkCommand) Run(console *Console) error {
	inForce, err := c.readInForce()
	if err != nil {
		return err
	}
	invalidFiles, reviewer := 0, &configurationReviewer{command: c, console: console, inForce: inForce, found: []foundEntry{}}
	for _, file := range c.Files {
		if !c.checkFile(console, reviewer, file) {
			invalidFiles++
		}
	}
	if invalidFiles > 0 {
		return &InputError{Reason: fmt.Sprintf("%d of %d files have faults", invalidFiles, len(c.Files))}
	}
	return reviewer.finish()
}

func (c *checkCommand) checkFile(console *Console, reviewer *configurationReviewer, file string) bool {
	body, err := os.ReadFile(file)
	if err != nil {
		console.printf("%s: %v\n", file, errors.Unwrap(err))
		return false
	}
	kind := c.Kind
	if kind == "auto" {
		kind = detectKind(body)
	}
	if kind == kindConfiguration {
		return reviewer.review(file, body)
	}
	check, found := checkers[kind]
	if !found {
		console.printf("%s:1: can't detect whether this is a settings file, a manifest or a configuration; give --kind\n", file)
		return false
	}
	warnings, err := check(body)
	if !printDiagnostics(console, file, warnings, err) {
		return false
	}
	console.printf("%s: ok (%s)\n", file, kind)
	return true
}

// checkers maps the kinds of files to the functions that check them.
var checkers = map[string]func(body []byte) ([]toml.Diagnostic, error){
	"settings": func(body []byte) ([]toml.Diagnostic, error) {
		_, warnings, err := settings.ParseWithWarnings(body)
		return warnings, err
	},
	"manifest": func(body []byte) ([]toml.Diagnostic, error) {
		_, warnings, err := manifest.ParseWithWarnings(body)
		return warnings, err
	},
}

// detectKind returns the kind of a file, detected by keys that only this kind has,
// or an empty string. A file that is not valid TOML counts as a manifest, because
// both parsers report the same error for it.
func detectKind(body []byte) string {
	if platform.IsConfiguration(body) {
		return kindConfiguration
	}
	root, err := toml.Parse(body)
	if err != nil {
		return "manifest"
	}
	for _, key := range []string{"listen", "platform", "seeds", "zone"} {
		if root.Has(key) {
			return "settings"
		}
	}
	for _, key := range []string{"service", "limits", "rank", "kind", "group"} {
		if root.Has(key) {
			return "manifest"
		}
	}
	return ""
}

// printDiagnostics prints the warnings and errors of a file and reports whether it
// is valid.
func printDiagnostics(console *Console, file string, warnings []toml.Diagnostic, err error) bool {
	for _, warning := range warnings {
		console.printf("%s:%d: warning: %s: %s\n", file, warning.Line, warning.Key, warning.Message)
	}
	var validationErr *toml.ValidationError
	if !errors.As(err, &validationErr) {
		return err == nil
	}
	for _, diagnostic := range validationErr.Diagnostics {
		console.printf("%s:%s\n", file, diagnostic)
	}
	return false
}
