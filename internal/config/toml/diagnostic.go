package toml

import (
	"fmt"
	"sort"
	"strings"
)

// -----------------------------------------------------------------------------
// Diagnostics.

// Diagnostic describes one error in a document, or one warning about it.
type Diagnostic struct {
	// Line is the line of the invalid key, counted from 1. For a missing key, it
	// is the line of the table that lacks the key.
	Line int
	// Key is the dotted path of the key, or empty for an error of the document.
	Key string
	// Message describes the error.
	Message string
}

// String formats d as "LINE: KEY: MESSAGE", or "LINE: MESSAGE" without a key.
func (d Diagnostic) String() string {
	if d.Key == "" {
		return fmt.Sprintf("%d: %s", d.Line, d.Message)
	}
	return fmt.Sprintf("%d: %s: %s", d.Line, d.Key, d.Message)
}

// ValidationError reports all errors of a document, ordered by line.
type ValidationError struct {
	Diagnostics []Diagnostic
}

// Error implements error.
func (e *ValidationError) Error() string {
	lines := make([]string, len(e.Diagnostics))
	for i, diagnostic := range e.Diagnostics {
		lines[i] = diagnostic.String()
	}
	return strings.Join(lines, "\n")
}

// SortDiagnostics sorts diagnostics by line, then by key.
func SortDiagnostics(diagnostics []Diagnostic) {
	sort.SliceStable(diagnostics, func(i, j int) bool {
		if diagnostics[i].Line != diagnostics[j].Line {
			return diagnostics[i].Line < diagnostics[j].Line
		}
		return diagnostics[i].Key < diagnostics[j].Key
	})
}
