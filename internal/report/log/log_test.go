package log_test

import (
	"bytes"
	"regexp"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/eelgrassfold/eelgrassfold/internal/config/settings"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
	"github.com/eelgrassfold/eelgrassfold/internal/report/eventlog"
	"github.com/eelgrassfold/eelgrassfold/internal/report/log"
)

var timeField = regexp.MustCompile(`"?time"?[=:]"?[^ ,"]+"?[ ,]`)

func TestNewLogger(t *testing.T) {
	quiet := event.Event{Number: 9801, Name: "quiet", Level: event.LevelInfo}
	loud := event.Event{Number: 9802, Name: "loud", Level: event.LevelWarn}
	cases := map[string]struct {
		format settings.Format
		want   string
	}{
		"json": {settings.FormatJSON, `{"level":"WARN","msg":"loud","instance":"i","zone":"z","event":9802,"n":1}` + "\n"},
		"text": {settings.FormatText, "level=WARN msg=loud instance=i zone=z event=9802 n=1\n"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			logger := log.NewLogger(log.Options{
				Level: event.LevelWarn, Format: c.format, Instance: "i", Zone: "z", Writer: &out,
			})
			writer := eventlog.NewWriter(logger, 1)
			writer.Write(time.Unix(100, 0), quiet)
			writer.Write(time.Unix(100, 0), loud, event.F("n", 1))
			if diff := cmp.Diff(c.want, timeField.ReplaceAllString(out.String(), "")); diff != "" {
				t.Errorf("lines (-want +got):\n%s", diff)
			}
		})
	}
}
