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
	// clockTicks is the number of ticks a second in which Linux counts
	// processor time.
	clockTicks = 100
	// The fields of /proc/PID/stat behind the command's name.
	fieldUser, fieldSystem, fieldResident = 11, 12, 21
)

// UsageParseError reports counters of a process that can't be read.
type UsageParseError struct{ Text string }

// Error implements error.
func (e *UsageParseError) Error() string { return "can't read the counters of a process: " + e.Text }

// readUsage reads the processor time and resident memory, in bytes, of a
// process.
func readUsage(pid int) (time.Duration, int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0, errors.WithStack(err)
	}
	_, behind, found := strings.Cut(string(text), ") ")
	fields := strings.Fields(behind)
	if !found || len(fields) <= fieldResident {
		return 0, 0, &UsageParseError{Text: string(text)}
	}
	var counts [3]int64
	for i, field := range []int{fieldUser, fieldSystem, fieldResident} {
		counts[i], err = strconv.ParseInt(fields[field], 10, 64)
		if err != nil {
			return 0, 0, &UsageParseError{Text: string(text)}
		}
	}
	ticks := time.Duration(counts[0] + counts[1])
	return ticks * time.Second / clockTicks, counts[2] * int64(os.Getpagesize()), nil
}
