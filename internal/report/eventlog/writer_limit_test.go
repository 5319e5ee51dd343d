package eventlog_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
	"github.com/eelgrassfold/eelgrassfold/internal/report/eventlog"
	"github.com/eelgrassfold/eelgrassfold/internal/report/log"
)

// TestLimitedWriterKeepsWarnings checks that, in a flood, the lines of routine
// events are omitted before those of warnings.
func TestLimitedWriterKeepsWarnings(t *testing.T) {
	var out bytes.Buffer
	writer := eventlog.NewWriterWithLimits(log.NewLogger(log.Options{Level: event.LevelInfo, Writer: &out}), 2, 5)
	now := time.Unix(1000, 0)
	for range 10 {
		writer.Write(now, event.StatementAnswered)
		writer.Write(now, event.StatementFailed)
	}
	got := []int{strings.Count(out.String(), "statement-answered"), strings.Count(out.String(), "statement-failed")}
	if diff := cmp.Diff([]int{2, 5}, got); diff != "" {
		t.Error(diff)
	}
}
