package proxy

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"github.com/eelgrassfold/eelgrassfold/internal/config/review"
	"github.com/eelgrassfold/eelgrassfold/platform"
)

// kindConfiguration is the kind of files that hold the platform's configuration.
const kindConfiguration = "configuration"

// configurationReviewer reviews configurations and collects what it finds.
type configurationReviewer struct {
	command *checkCommand
	console *Console
	// inForce is the configuration to compare with; nil if there is none.
	inForce *review.Document
	found   []foundEntry
}

// foundEntry is a finding in the format json.
type foundEntry struct {
	File   string `json:"file"`
	Place  string `json:"place"`
	Number int    `json:"number"`
	Name   string `json:"name"`
	Text   string `json:"text"`
}

// readInForce reads the configuration in force, if there is one.
func (c *checkCommand) readInForce() (*review.Document, error) {
	if c.Against == "" {
		return nil, nil
	}
	body, err := os.ReadFile(c.Against)
	if err != nil {
		return nil, &InputError{Reason: fmt.Sprintf("%s: %v", c.Against, errors.Unwrap(err))}
	}
	document, err := platform.ReadConfiguration(body)
	if err != nil {
		return nil, &InputError{Reason: c.Against + ": " + err.Error()}
	}
	return &document, nil
}

// review reviews one file and reports whether it could be read.
func (r *configurationReviewer) review(file string, body []byte) bool {
	document, err := platform.ReadConfiguration(body)
	if err != nil {
		r.console.printf("%s: %v\n", file, err)
		return false
	}
	findings := review.Check(document, review.Options{Instances: r.command.Instances})
	if r.inForce != nil {
		findings = append(findings, review.Compare(*r.inForce, document)...)
	}
	for _, finding := range findings {
		r.found = append(r.found, foundEntry{
			File: file, Place: finding.Place, Number: finding.Kind.Number, Name: finding.Kind.Name, Text: finding.Text,
		})
		if r.command.Format == "text" {
			r.console.printf("%s: %s\n", file, finding)
		}
	}
	if len(findings) == 0 && r.command.Format == "text" {
		r.console.printf("%s: ok (%s)\n", file, kindConfiguration)
	}
	return true
}

// finish prints what was found in the format json, and returns a *FindingsError if there is
// anything.
func (r *configurationReviewer) finish() error {
	if r.command.Format == "json" {
		text, err := json.MarshalIndent(r.found, "", "  ")
		if err != nil {
			return err
		}
		r.console.printf("%s\n", text)
	}
	if len(r.found) > 0 {
		return &FindingsError{Count: len(r.found)}
	}
	return nil
}

// FindingsError reports that a review has found something. It has been printed already.
type FindingsError struct{ Count int }

// Error implements error.
func (e *FindingsError) Error() string { return fmt.Sprintf("%d findings", e.Count) }

func (*FindingsError) exitCode() ExitCode { return ExitFailed }
