package settings

import (
	"fmt"
	"os"
	"strings"
)

// -----------------------------------------------------------------------------
// Secrets.

// Secret refers to a secret that stands outside the settings.
type Secret struct {
	source secretSource
	name   string
}

type secretSource int

const (
	sourceNone secretSource = iota
	sourceFile
	sourceEnv
)

// secretPrefixes maps the forms that settings may use to their sources.
var secretPrefixes = []struct {
	prefix string
	source secretSource
}{
	{"file:", sourceFile},
	{"env:", sourceEnv},
}

// SecretError reports that a secret could not be loaded. It never holds the
// secret.
type SecretError struct {
	// Reference is the reference, as it stands in the settings.
	Reference string
	// Why tells what failed.
	Why string
}

// Error implements error.
func (e *SecretError) Error() string {
	return fmt.Sprintf("secret %s: %s", e.Reference, e.Why)
}

// ParseSecret reads a reference of the form "file:PATH" or "env:NAME". It
// reports whether text is one.
func ParseSecret(text string) (Secret, bool) {
	for _, form := range secretPrefixes {
		if name, found := strings.CutPrefix(text, form.prefix); found && name != "" {
			return Secret{source: form.source, name: name}, true
		}
	}
	return Secret{}, false
}

// IsSet tells whether s refers to anything.
func (s Secret) IsSet() bool { return s.source != sourceNone }

// String formats the reference, not the secret.
func (s Secret) String() string {
	for _, form := range secretPrefixes {
		if form.source == s.source {
			return form.prefix + s.name
		}
	}
	return ""
}

// Load reads the secret, without the white space around it. A Secret that
// refers to nothing is an empty string. Its error is a *SecretError.
func (s Secret) Load() (string, error) {
	switch s.source {
	case sourceFile:
		body, err := os.ReadFile(s.name)
		if err != nil {
			return "", &SecretError{Reference: s.String(), Why: err.Error()}
		}
		return s.trim(string(body))
	case sourceEnv:
		return s.trim(os.Getenv(s.name))
	default:
		return "", nil
	}
}

func (s Secret) trim(text string) (string, error) {
	text = strings.TrimSpace(text)
	if text == "" {
		return "", &SecretError{Reference: s.String(), Why: "is empty"}
	}
	return text, nil
}
