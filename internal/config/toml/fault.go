package toml

import (
	"fmt"
	"sort"
	"strings"
)

// -----------------------------------------------------------------------------
// Faults.

// Diagnostic is one thing that is wrong in a document.
type Diagnostic struct {
	// Line is the line of the key that is at fault, from 1. A key that is
	// missing has the line of the table that lacks it.
	Line int
	// Key is the dotted path of the key, or empty for a fault of the document.
	Key string
	// Message tells what is wrong.
	Message string
}

// String formats f as "line: key: text".
func (f Diagnostic) String() string {
	if f.Key == "" {
		return fmt.Sprintf("%d: %s", f.Line, f.Message)
	}
	return fmt.Sprintf("%d: %s: %s", f.Line, f.Key, f.Message)
}

// ValidationError reports every fault of a document, in the order of their lines.
type ValidationError struct {
	Diagnostics []Diagnostic
}

// Error implements error.
func (e *ValidationError) Error() string {
	lines := make([]string, len(e.Diagnostics))
	for i, fault := range e.Diagnostics {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// SortDiagnostics orders faults by line, then by key.
func SortDiagnostics(faults []Diagnostic) {
	sort.SliceStable(faults, func(i, j int) bool {
		if faults[i].Line != faults[j].Line {
			return faults[i].Line < faults[j].Line
		}
		return faults[i].Key < faults[j].Key
	})
}
