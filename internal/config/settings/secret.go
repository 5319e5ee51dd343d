package settings

import (
	"fmt"
	"os"
	"strings"
)

// -----------------------------------------------------------------------------
// Secrets.

// SecretReference refers to a secret that stands outside the settings.
type SecretReference struct {
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
	// Reason tells what failed.
	Reason string
}

// Error implements error.
func (e *SecretError) Error() string {
	return fmt.Sprintf("secret %s: %s", e.Reference, e.Reason)
}

// ParseSecretReference reads a reference of the form "file:PATH" or "env:NAME". It
// reports whether text is one.
func ParseSecretReference(text string) (SecretReference, bool) {
	for _, form := range secretPrefixes {
		if name, found := strings.CutPrefix(text, form.prefix); found && name != "" {
			return SecretReference{source: form.source, name: name}, true
		}
	}
	return SecretReference{}, false
}

// IsSet tells whether s refers to anything.
func (s SecretReference) IsSet() bool { return s.source != sourceNone }

// String formats the reference, not the secret.
func (s SecretReference) String() string {
	for _, form := range secretPrefixes {
		if form.source == s.source {
			return form.prefix + s.name
		}
	}
	return ""
}

// Load reads the secret, without the white space around it. A Secret that
// refers to nothing is an empty string. Its error is a *SecretError.
func (s SecretReference) Load() (string, error) {
	switch s.source {
	case sourceFile:
		body, err := os.ReadFile(s.name)
		if err != nil {
			return "", &SecretError{Reference: s.String(), Reason: err.Error()}
		}
		return s.trim(string(body))
	case sourceEnv:
		return s.trim(os.Getenv(s.name))
	default:
		return "", nil
	}
}

func (s SecretReference) trim(text string) (string, error) {
	text = strings.TrimSpace(text)
	if text == "" {
		return "", &SecretError{Reference: s.String(), Reason: "is empty"}
	}
	return text, nil
}
