package eventlog_test

import (
	"bytes"
	"log/slog"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
	"github.com/eelgrassfold/eelgrassfold/internal/report/eventlog"
)

// newTestWriter returns a writer of lines without timestamps, and the buffer that
// receives them.
func newTestWriter(limit int) (*eventlog.Writer, *bytes.Buffer) {
	var out bytes.Buffer
	handler := slog.NewTextHandler(&out, &slog.HandlerOptions{
		Level: slog.LevelDebug,
		ReplaceAttr: func(_ []string, attr slog.Attr) slog.Attr {
			if attr.Key == slog.TimeKey {
				return slog.Attr{}
			}
			return attr
		},
	})
	return eventlog.NewWriter(logr.FromSlogHandler(handler), limit), &out
}

func TestWriterLimitsLinesOfOneEvent(t *testing.T) {
	flood := event.Event{Number: 9991, Name: "flood", Level: event.LevelWarn}
	other := event.Event{Number: 9992, Name: "other", Level: event.LevelError}
	writer, out := newTestWriter(2)
	before := eventlog.Count(9991)
	start := time.Unix(100, 0)
	for i := range 5 {
		writer.Write(start, flood, event.F("i", i))
	}
	writer.Write(start, other)
	writer.Flush(start.Add(999 * time.Millisecond))
	writer.Flush(start.Add(time.Second))
	writer.Write(start.Add(time.Second), flood, event.F("i", 5))
	want := strings.Join([]string{
		"level=WARN msg=flood event=9991 i=0",
		"level=WARN msg=flood event=9991 i=1",
		"level=ERROR msg=other event=9992",
		"level=WARN msg=lines-left-out event=901 of=9991 count=3",
		"level=WARN msg=flood event=9991 i=5",
		"",
	}, "\n")
	if diff := cmp.Diff(want, out.String()); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(before+6, eventlog.Count(9991)); diff != "" {
		t.Errorf("count of a limited event: %s", diff)
	}
}

// A line has a limited size, however long a text a caller has sent.
func TestWriterCutsLongTexts(t *testing.T) {
	type id string
	long := strings.Repeat("x", 1<<20)
	writer, out := newTestWriter(9)
	writer.Write(time.Unix(100, 0), event.Event{Number: 9994, Name: "long", Level: event.LevelWarn}, event.F("text", long), event.F("id", id(long)), event.F("short", id("y")))
	cut := long[:1<<10] + "...(1048576_bytes)"
	want := "level=WARN msg=long event=9994 text=" + cut + " id=" + cut + " short=y\n"
	if diff := cmp.Diff(want, out.String()); diff != "" {
		t.Errorf("%d bytes: %.300s", out.Len(), diff)
	}
}

// BenchmarkWrite measures Write for an event whose line is not written, because
// of its level or of its limit.
func BenchmarkWrite(b *testing.B) {
	silent := slog.NewTextHandler(&bytes.Buffer{}, &slog.HandlerOptions{Level: slog.LevelError})
	numbered := event.Event{Number: 9993, Name: "measured", Level: event.LevelDebug}
	for _, limit := range []int{0, eventlog.DefaultLinesPerSecond} {
		b.Run(strconv.Itoa(limit)+" lines", func(b *testing.B) {
			writer := eventlog.NewWriter(logr.FromSlogHandler(silent), limit)
			now := time.Unix(100, 0)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Second)
				writer.Write(now, numbered)
			}
		})
	}
}
