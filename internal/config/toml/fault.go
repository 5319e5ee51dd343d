package toml

import (
	"fmt"
	"sort"
	"strings"
)

// -----------------------------------------------------------------------------
// Faults.

// Fault is one thing that is wrong in a document.
type Fault struct {
	// Line is the line of the key that is at fault, from 1. A key that is
	// missing has the line of the table that lacks it.
	Line int
	// Key is the dotted path of the key, or empty for a fault of the document.
	Key string
	// Text tells what is wrong.
	Text string
}

// String formats f as "line: key: text".
func (f Fault) String() string {
	if f.Key == "" {
		return fmt.Sprintf("%d: %s", f.Line, f.Text)
	}
	return fmt.Sprintf("%d: %s: %s", f.Line, f.Key, f.Text)
}

// FaultsError reports every fault of a document, in the order of their lines.
type FaultsError struct {
	Faults []Fault
}

// Error implements error.
func (e *FaultsError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, fault := range e.Faults {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// SortFaults orders faults by line, then by key.
func SortFaults(faults []Fault) {
	sort.SliceStable(faults, func(i, j int) bool {
		if faults[i].Line != faults[j].Line {
			return faults[i].Line < faults[j].Line
		}
		return faults[i].Key < faults[j].Key
	})
}
