// Package story reconstructs the timeline of one request, or of one group's
// failovers, from the logs of all instances.
//
// # What flows in and out
//
// Log lines flow in, in any order and from any number of instances; text before
// the first brace of a line is ignored. The lines of the timeline flow out,
// ordered by time: those that name the request or the group, and, close to the
// lines of a request, the events of the same instances that concern primaries,
// leases and dependencies.
//
// # Usage
//
//	err := story.WriteTimeline(os.Stdin, os.Stdout, "5c0e7a21d94b36f8")
package story

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"
	"time"
)

const (
	// maxLine bounds a log line, in bytes.
	maxLine = 1 << 20
	// contextWindow is the time before and after a matching line within which
	// context events of the same instance are included.
	contextWindow = 2 * time.Second
)

// contextEvents lists the events of an instance that may explain the outcome of a
// request there.
var contextEvents = map[string]bool{
	"group-row-seen": true, "change-begun": true, "change-ended": true, "change-failed": true,
	"leases-revoked": true, "promotion-called": true, "primary-stepped-down": true,
	"dependency-lost": true, "dependency-back": true, "readiness-changed": true,
	"configuration-adopted": true, "limit-keeper-changed": true, "database-known": true, "database-gone": true, "signal-caught": true,
	"relaying-changed": true, "relay-lost": true,
}

// commonFields lists the fields that every line has. They are not printed as
// name=value pairs.
var commonFields = []string{"time", "level", "msg", "instance", "zone", "event"}

// line is one parsed log line.
type line struct {
	at       time.Time
	name     string
	instance string
	fields   map[string]any
}

// NotFoundError reports that no log line names the request or group.
type NotFoundError struct{ Name string }

// Error implements error.
func (e *NotFoundError) Error() string { return "no log line names " + e.Name }

// WriteTimeline reads log lines from in and writes the timeline of the request or
// group called name to out. It returns a *NotFoundError if no line names it, or
// an error of reading or writing.
func WriteTimeline(in io.Reader, out io.Writer, name string) error {
	matching, contextLines, err := readLines(in, name)
	if err != nil {
		return err
	}
	if len(matching) == 0 {
		return &NotFoundError{Name: name}
	}
	for _, l := range merge(matching, contextLines) {
		if _, err := fmt.Fprintln(out, l.String()); err != nil {
			return err
		}
	}
	return nil
}

// readLines returns the lines that name the request or group called name, and
// those of context events.
func readLines(in io.Reader, name string) (matching, contextLines []line, err error) {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		l, valid := parseLine(scanner.Text())
		switch {
		case !valid:
		case l.fields["request"] == name || l.fields["group"] == name:
			matching = append(matching, l)
		case contextEvents[l.name]:
			contextLines = append(contextLines, l)
		}
	}
	return matching, contextLines, scanner.Err()
}

// parseLine parses a line of text. It returns false if the text is not a log line.
func parseLine(text string) (line, bool) {
	brace := strings.IndexByte(text, '{')
	if brace < 0 {
		return line{}, false
	}
	l := line{fields: map[string]any{}}
	if json.Unmarshal([]byte(text[brace:]), &l.fields) != nil {
		return line{}, false
	}
	timestamp, _ := l.fields["time"].(string)
	var err error
	if l.at, err = time.Parse(time.RFC3339Nano, timestamp); err != nil {
		return line{}, false
	}
	l.name, _ = l.fields["msg"].(string)
	l.instance, _ = l.fields["instance"].(string)
	for _, field := range commonFields {
		delete(l.fields, field)
	}
	return l, true
}

// merge returns matching, together with those contextLines that the same instances
// logged within contextWindow of a matching line, ordered by time.
func merge(matching, contextLines []line) []line {
	timeline := slices.Clone(matching)
	for _, candidate := range contextLines {
		if slices.ContainsFunc(matching, func(l line) bool {
			return l.instance == candidate.instance && l.at.Sub(candidate.at).Abs() <= contextWindow
		}) {
			timeline = append(timeline, candidate)
		}
	}
	sort.SliceStable(timeline, func(i, j int) bool { return timeline[i].at.Before(timeline[j].at) })
	return timeline
}

// String formats a line, with its fields ordered by name.
func (l line) String() string {
	names := make([]string, 0, len(l.fields))
	for name := range l.fields {
		names = append(names, name)
	}
	sort.Strings(names)
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s %s", l.at.Format("15:04:05.000"), l.instance, l.name)
	for _, name := range names {
		fmt.Fprintf(&text, " %s=%v", name, l.fields[name])
	}
	return text.String()
}
