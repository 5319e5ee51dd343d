package proxy

import (
	"errors"
	"fmt"
	"os"

	"github.com/eelgrassfold/eelgrassfold/internal/config/manifest"
	"github.com/eelgrassfold/eelgrassfold/internal/config/settings"
	"github.com/eelgrassfold/eelgrassfold/internal/config/toml"
)

var checkSubcommand = subcommand{
	name:    "check",
	summary: "Check settings and manifest files.",
	detail: "Each error is printed as FILE:LINE: KEY: TEXT. All errors of all files are listed,\n" +
		"and the exit code is 2 if there are any. Warnings don't change the exit code. The\n" +
		"kind of a file is detected from its keys unless --kind gives it. Secrets that\n" +
		"settings refer to are not loaded.",
	examples: []string{
		"eelgrassfold check examples/consortium/manifest.toml",
		"eelgrassfold check --kind settings /etc/eelgrassfold/settings.toml",
	},
	newCommand: func() any { return &checkCommand{} },
}

type checkCommand struct {
	Kind  string   `enum:"auto,settings,manifest" default:"auto" help:"Kind of the files: settings, manifest, or auto to tell by their keys."`
	Files []string `arg:"" name:"file" help:"Files to check."`
}

// Run checks each file.
func (c *checkCommand) Run(console *Console) error {
	invalidFiles := 0
	for _, file := range c.Files {
		if !c.checkFile(console, file) {
			invalidFiles++
		}
	}
	if invalidFiles > 0 {
		return &InputError{Reason: fmt.Sprintf("%d of %d files have faults", invalidFiles, len(c.Files))}
	}
	return nil
}

func (c *checkCommand) checkFile(console *Console, file string) bool {
	body, err := os.ReadFile(file)
	if err != nil {
		console.printf("%s: %v\n", file, errors.Unwrap(err))
		return false
	}
	kind := c.Kind
	if kind == "auto" {
		kind = detectKind(body)
	}
	check, found := checkers[kind]
	if !found {
		console.printf("%s:1: can't detect whether this is a settings file or a manifest; give --kind\n", file)
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
