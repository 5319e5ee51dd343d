package deploy

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	// ticksPerSecond is the number of clock ticks per second in which Linux reports
	// processor time.
	ticksPerSecond = 100
	// The indexes of the fields of /proc/PID/stat, counted from 0 after the name of the
	// command.
	userTimeField, systemTimeField, residentField = 11, 12, 21
)

// UsageParseError reports counters of a process that could not be parsed.
type UsageParseError struct{ Text string }

// Error implements error.
func (e *UsageParseError) Error() string { return "can't read the counters of a process: " + e.Text }

// readUsage returns the processor time and the resident memory, in bytes, of a
// process. Its error is a *UsageParseError if the counters could not be parsed.
func readUsage(pid int) (time.Duration, int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0, errors.WithStack(err)
	}
	_, afterName, found := strings.Cut(string(text), ") ")
	fields := strings.Fields(afterName)
	if !found || len(fields) <= residentField {
		return 0, 0, &UsageParseError{Text: string(text)}
	}
	var counters [3]int64
	for i, field := range []int{userTimeField, systemTimeField, residentField} {
		counters[i], err = strconv.ParseInt(fields[field], 10, 64)
		if err != nil {
			return 0, 0, &UsageParseError{Text: string(text)}
		}
	}
	ticks := time.Duration(counters[0] + counters[1])
	return ticks * time.Second / ticksPerSecond, counters[2] * int64(os.Getpagesize()), nil
}

// readPeak returns the highest resident memory of a process so far, in bytes, and the
// number of its open descriptors. Its error is a *UsageParseError if the memory could not
// be parsed.
func readPeak(pid int) (memory int64, descriptors int, err error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0, errors.WithStack(err)
	}
	_, after, _ := strings.Cut(string(text), "VmHWM:")
	fields := strings.Fields(after)
	if len(fields) == 0 {
		return 0, 0, &UsageParseError{Text: string(text)}
	}
	kilobytes, err := strconv.ParseInt(fields[0], 10, 64)
	if err != nil {
		return 0, 0, &UsageParseError{Text: fields[0]}
	}
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return kilobytes << 10, len(open), errors.WithStack(err)
}
