// Package eventlog writes numbered events to the log and counts them.
//
// # What flows in and out
//
// Events of the catalogue flow in, with their fields. Log lines flow out
// through logr, each with the event's number and name, and the expvar map
// "events" counts every event by its number, whether or not its line was
// written.
//
// A flood of one event must not drown the others or slow the process, so each
// event has a limit of lines a second. What was left out is told by one line
// (lines-left-out) in the next second.
//
// # Usage
//
//	writer := eventlog.NewWriter(log, eventlog.DefaultLimit)
//	writer.Write(time.Now(), event.PeerLinked, event.F("peer", id))
package eventlog

import (
	"context"
	"expvar"
	"log/slog"
	"strconv"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

// DefaultLinesPerSecond is the number of lines that one event may write in one second.
const DefaultLinesPerSecond = 50

// window is the time over which lines are counted against the limit.
const window = time.Second

// counts holds the number of times that each event happened.
var counts = expvar.NewMap("events")

// Count returns how often the event of that number happened in this process.
func Count(number int) int64 {
	value, found := counts.Get(strconv.Itoa(number)).(*expvar.Int)
	if !found {
		return 0
	}
	return value.Value()
}

// counter returns the count of the event of that number, which it begins where
// there is none.
func counter(number int) *expvar.Int {
	key := strconv.Itoa(number)
	counts.Add(key, 0)
	return counts.Get(key).(*expvar.Int)
}

// Writer writes events. It may be used from many goroutines.
type Writer struct {
	handler slog.Handler
	// routine is the limit of events that do not warn, limit that of all others.
	routine, limit int

	mu      sync.Mutex
	windows map[int]*lines
	// left counts events whose lines were left out and not yet told.
	left int
}

// lines counts the lines of one event in the present window.
type lines struct {
	event event.Event
	// count is the event's entry in counts.
	count   *expvar.Int
	began   time.Time
	written int
	left    int
}

// NewWriter returns a writer that lets each event have limit lines a second.
func NewWriter(log logr.Logger, limit int) *Writer {
	return NewWriterWithLimits(log, limit, limit)
}

// NewWriterWithLimits returns a writer that lets each routine event have other
// lines a second than events that warn: what went wrong is left out last.
func NewWriterWithLimits(log logr.Logger, routine, limit int) *Writer {
	return &Writer{
		handler: logr.ToSlogHandler(log),
		routine: routine,
		limit:   limit,
		windows: map[int]*lines{},
	}
}

// Write counts the event e and writes its line, unless the event has used up
// its lines of this second.
func (w *Writer) Write(now time.Time, e event.Event, fields ...event.Field) {
	w.mu.Lock()
	entry := w.entry(now, e)
	entry.count.Add(1)
	w.roll(now, entry)
	full := entry.written >= w.limitOf(e)
	if full {
		entry.left++
		w.left++
	} else {
		entry.written++
	}
	w.mu.Unlock()
	if full {
		return
	}
	w.line(now, e, fields)
}

// limitOf returns the number of lines that an event may write in one second.
func (w *Writer) limitOf(e event.Event) int {
	if e.Level < event.LevelWarn {
		return w.routine
	}
	return w.limit
}

// Flush tells, for each event whose second is over, how many of its lines were
// left out.
func (w *Writer) Flush(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.left == 0 {
		return
	}
	for _, entry := range w.windows {
		w.roll(now, entry)
	}
}

func (w *Writer) entry(now time.Time, e event.Event) *lines {
	entry, found := w.windows[e.Number]
	if !found {
		entry = &lines{event: e, count: counter(e.Number), began: now}
		w.windows[e.Number] = entry
	}
	return entry
}

// roll begins a new window where the old one is over.
func (w *Writer) roll(now time.Time, entry *lines) {
	if now.Sub(entry.began) < window {
		return
	}
	if entry.left > 0 {
		w.line(now, event.LinesLeftOut, []event.Field{
			event.F("of", entry.event.Number),
			event.F("count", entry.left),
		})
		w.left -= entry.left
	}
	entry.began = now
	entry.written = 0
	entry.left = 0
}

func (w *Writer) line(now time.Time, e event.Event, fields []event.Field) {
	level := levels[e.Level]
	if !w.handler.Enabled(context.Background(), level) {
		return
	}
	record := slog.NewRecord(now, level, e.Name, 0)
	record.AddAttrs(slog.Int("event", e.Number))
	for _, field := range fields {
		record.AddAttrs(slog.Any(field.Name, field.Value))
	}
	// A line that can't be written has nowhere to be reported.
	_ = w.handler.Handle(context.Background(), record)
}

// levels maps the levels of the catalogue to those of the log.
var levels = map[event.Level]slog.Level{
	event.LevelDebug: slog.LevelDebug,
	event.LevelInfo:  slog.LevelInfo,
	event.LevelWarn:  slog.LevelWarn,
	event.LevelError: slog.LevelError,
}
