package proxy

import (
	"errors"
	"fmt"
	"os"

	"github.com/eelgrassfold/eelgrassfold/internal/config/manifest"
	"github.com/eelgrassfold/eelgrassfold/internal/config/settings"
	"github.com/eelgrassfold/eelgrassfold/internal/config/toml"
)

var verbCheck = verb{
	name:    "check",
	summary: "Check settings and manifest files.",
	detail: "Each fault is printed as FILE:LINE: KEY: TEXT. All faults of all files are listed;\n" +
		"then the exit code is 2. Warnings don't change the exit code. The kind of a file is\n" +
		"told by its keys unless --kind names it. Secrets that settings refer to are not\n" +
		"loaded.",
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
	bad := 0
	for _, file := range c.Files {
		if !c.checkFile(console, file) {
			bad++
		}
	}
	if bad > 0 {
		return &InputError{Reason: fmt.Sprintf("%d of %d files have faults", bad, len(c.Files))}
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
		kind = kindOf(body)
	}
	inspect, found := inspections[kind]
	if !found {
		console.printf("%s:1: it is not clear whether these are settings or a manifest; name --kind\n", file)
		return false
	}
	warnings, err := inspect(body)
	if !printFaults(console, file, warnings, err) {
		return false
	}
	console.printf("%s: ok (%s)\n", file, kind)
	return true
}

// inspections maps the kinds of files to what checks them.
var inspections = map[string]func(body []byte) ([]toml.Diagnostic, error){
	"settings": func(body []byte) ([]toml.Diagnostic, error) {
		_, warnings, err := settings.ParseWithWarnings(body)
		return warnings, err
	},
	"manifest": func(body []byte) ([]toml.Diagnostic, error) {
		_, warnings, err := manifest.ParseWithWarnings(body)
		return warnings, err
	},
}

// kindOf tells the kind of a file by keys that only this kind has. A file that
// is no TOML counts as a manifest: both readers report the same fault for it.
func kindOf(body []byte) string {
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

// printFaults prints what an inspection found and reports whether the file
// passed.
func printFaults(console *Console, file string, warnings []toml.Diagnostic, err error) bool {
	for _, warning := range warnings {
		console.printf("%s:%d: warning: %s: %s\n", file, warning.Line, warning.Key, warning.Message)
	}
	var faults *toml.ValidationError
	if !errors.As(err, &faults) {
		return err == nil
	}
	for _, fault := range faults.Diagnostics {
		console.printf("%s:%s\n", file, fault)
	}
	return false
}
