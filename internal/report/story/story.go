// Package story tells what happened to one request, or at one change of primary,
// from the logs of all instances.
//
// # What flows in and out
//
// Log lines flow in, in any order and from any number of instances; text before
// the first brace of a line is passed over. Lines of a story flow out by time:
// those that name the request or the group, and, around the lines of a request,
// what the same instances said of primaries, leases and what they depend on.
//
// # Usage
//
//	err := story.Tell(os.Stdin, os.Stdout, "5c0e7a21d94b36f8")
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
	// around is the time before and after a request's lines of which the
	// circumstances are told.
	around = 2 * time.Second
)

// circumstances are the events of an instance that explain what became of a
// request there.
var circumstances = map[string]bool{
	"group-row-seen": true, "change-begun": true, "change-ended": true, "change-failed": true,
	"leases-revoked": true, "promotion-called": true, "primary-stepped-down": true,
	"dependency-lost": true, "dependency-back": true, "readiness-changed": true,
	"configuration-adopted": true, "database-known": true, "database-gone": true, "signal-caught": true,
}

// common are the fields that every line has; they are told apart.
var common = []string{"time", "level", "msg", "instance", "zone", "event"}

// line is one log line.
type line struct {
	at       time.Time
	name     string
	instance string
	fields   map[string]any
}

// NotFoundError reports that no line names what was asked for.
type NotFoundError struct{ Name string }

// Error implements error.
func (e *NotFoundError) Error() string { return "no log line names " + e.Name }

// WriteTimeline reads log lines and writes the story of a request or of a group. Its
// errors are *NotFoundError and those of reading and writing.
func WriteTimeline(in io.Reader, out io.Writer, name string) error {
	named, others, err := read(in, name)
	if err != nil {
		return err
	}
	if len(named) == 0 {
		return &NotFoundError{Name: name}
	}
	for _, l := range merge(named, others) {
		if _, err := fmt.Fprintln(out, l.String()); err != nil {
			return err
		}
	}
	return nil
}

// read returns the lines that name what is asked for, and the circumstances.
func read(in io.Reader, name string) (named, others []line, err error) {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		l, is := parse(scanner.Text())
		switch {
		case !is:
		case l.fields["request"] == name || l.fields["group"] == name:
			named = append(named, l)
		case circumstances[l.name]:
			others = append(others, l)
		}
	}
	return named, others, scanner.Err()
}

// parse reads a log line; other lines are none.
func parse(text string) (line, bool) {
	brace := strings.IndexByte(text, '{')
	if brace < 0 {
		return line{}, false
	}
	l := line{fields: map[string]any{}}
	if json.Unmarshal([]byte(text[brace:]), &l.fields) != nil {
		return line{}, false
	}
	stamp, _ := l.fields["time"].(string)
	var err error
	if l.at, err = time.Parse(time.RFC3339Nano, stamp); err != nil {
		return line{}, false
	}
	l.name, _ = l.fields["msg"].(string)
	l.instance, _ = l.fields["instance"].(string)
	for _, field := range common {
		delete(l.fields, field)
	}
	return l, true
}

// merge returns the story by time, with the circumstances at the same instances.
func merge(named, others []line) []line {
	whole := slices.Clone(named)
	for _, other := range others {
		if slices.ContainsFunc(named, func(l line) bool {
			return l.instance == other.instance && l.at.Sub(other.at).Abs() <= around
		}) {
			whole = append(whole, other)
		}
	}
	sort.SliceStable(whole, func(i, j int) bool { return whole[i].at.Before(whole[j].at) })
	return whole
}

// String formats a line with its fields in the order of their names.
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
