package settings

import (
	"fmt"
	"os"
	"strings"
)

// -----------------------------------------------------------------------------
// Secrets.

// SecretReference refers to a secret that is stored outside the settings.
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

// secretPrefixes maps the prefixes of references in the settings to their sources.
var secretPrefixes = []struct {
	prefix string
	source secretSource
}{
	{"file:", sourceFile},
	{"env:", sourceEnv},
}

// SecretError reports that a secret could not be loaded. It never contains the
// secret.
type SecretError struct {
	// Reference is the reference, as the settings give it.
	Reference string
	// Reason describes what failed.
	Reason string
}

// Error implements error.
func (e *SecretError) Error() string {
	return fmt.Sprintf("secret %s: %s", e.Reference, e.Reason)
}

// ParseSecretReference parses a reference of the form "file:PATH" or "env:NAME".
// It returns false if text has neither form.
func ParseSecretReference(text string) (SecretReference, bool) {
	for _, candidate := range secretPrefixes {
		if name, found := strings.CutPrefix(text, candidate.prefix); found && name != "" {
			return SecretReference{source: candidate.source, name: name}, true
		}
	}
	return SecretReference{}, false
}

// IsSet reports whether s refers to a secret.
func (s SecretReference) IsSet() bool { return s.source != sourceNone }

// String formats the reference, not the secret.
func (s SecretReference) String() string {
	for _, candidate := range secretPrefixes {
		if candidate.source == s.source {
			return candidate.prefix + s.name
		}
	}
	return ""
}

// Load reads the secret and returns it without surrounding white space. It returns
// an empty string if s is not set. Its error is a *SecretError.
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
