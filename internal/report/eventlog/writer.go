// Package eventlog writes numbered events to the log and counts them.
//
// # What flows in and out
//
// Events of the catalogue flow in, with their fields. Log lines flow out
// through logr, each with the event's number and name, and the expvar map
// "events" counts every event that flows in by its number, whether or not its line
// was written.
//
// Frequent occurrences of one event must not hide the others or slow the process,
// so each event has a limit of lines per second. One line (lines-left-out), which is
// not counted as an event, reports how many lines were omitted. It is written when the
// event next occurs after that second, or at the next Flush after it.
//
// # Usage
//
//	writer := eventlog.NewWriter(log, eventlog.DefaultLinesPerSecond)
//	writer.Write(time.Now(), event.PeerLinked, event.F("peer", id))
package eventlog

import (
	"context"
	"expvar"
	"log/slog"
	"reflect"
	"strconv"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

// DefaultLinesPerSecond is the default limit of lines that one event may write
// per second.
const DefaultLinesPerSecond = 50

// maxTextBytes is how much of a text a line has: names, ids and texts of errors come from
// callers and databases.
const maxTextBytes = 1 << 10

// limitWindow is the period over which lines are counted against the limit.
const limitWindow = time.Second

// eventCounts holds the number of occurrences of each event, by its number.
var eventCounts = expvar.NewMap("events")

// Count returns the number of occurrences of the event with that number in this
// process.
func Count(number int) int64 {
	value, found := eventCounts.Get(strconv.Itoa(number)).(*expvar.Int)
	if !found {
		return 0
	}
	return value.Value()
}

// counter returns the counter of the event with that number. It creates the
// counter at 0 if there is none.
func counter(number int) *expvar.Int {
	key := strconv.Itoa(number)
	eventCounts.Add(key, 0)
	return eventCounts.Get(key).(*expvar.Int)
}

// Writer writes events. It is safe for concurrent use.
type Writer struct {
	handler slog.Handler
	// routineLimit is the limit of events below LevelWarn, limit that of all others.
	routineLimit, limit int

	mu      sync.Mutex
	windows map[int]*eventWindow
	// unreportedLines is the number of omitted lines, of all events, that no
	// lines-left-out line has reported yet.
	unreportedLines int
}

// eventWindow counts the lines of one event in the current window.
type eventWindow struct {
	event event.Event
	// count is the event's entry in eventCounts.
	count        *expvar.Int
	startedAt    time.Time
	writtenLines int
	omittedLines int
}

// NewWriter returns a writer that allows each event limit lines per second.
func NewWriter(log logr.Logger, limit int) *Writer {
	return NewWriterWithLimits(log, limit, limit)
}

// NewWriterWithLimits returns a writer that allows each event below LevelWarn
// routineLimit lines per second and each other event limit. With a lower
// routineLimit, events that report problems may write more lines per second than
// routine events before lines are omitted.
func NewWriterWithLimits(log logr.Logger, routineLimit, limit int) *Writer {
	return &Writer{
		handler:      logr.ToSlogHandler(log),
		routineLimit: routineLimit,
		limit:        limit,
		windows:      map[int]*eventWindow{},
	}
}

// Write counts the event e and writes its line, unless the event has reached its
// limit for this second.
func (w *Writer) Write(now time.Time, e event.Event, fields ...event.Field) {
	w.mu.Lock()
	window := w.windowOf(now, e)
	window.count.Add(1)
	w.rollWindow(now, window)
	limited := window.writtenLines >= w.limitOf(e)
	if limited {
		window.omittedLines++
		w.unreportedLines++
	} else {
		window.writtenLines++
	}
	w.mu.Unlock()
	if limited {
		return
	}
	w.writeLine(now, e, fields)
}

// limitOf returns the number of lines that an event may write per second.
func (w *Writer) limitOf(e event.Event) int {
	if e.Level < event.LevelWarn {
		return w.routineLimit
	}
	return w.limit
}

// Flush reports, for each event whose window has ended, how many of its lines
// were omitted.
func (w *Writer) Flush(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.unreportedLines == 0 {
		return
	}
	for _, window := range w.windows {
		w.rollWindow(now, window)
	}
}

func (w *Writer) windowOf(now time.Time, e event.Event) *eventWindow {
	window, found := w.windows[e.Number]
	if !found {
		window = &eventWindow{event: e, count: counter(e.Number), startedAt: now}
		w.windows[e.Number] = window
	}
	return window
}

// rollWindow starts a new window if the old one has ended, and reports the lines
// that were omitted in the old one.
func (w *Writer) rollWindow(now time.Time, window *eventWindow) {
	if now.Sub(window.startedAt) < limitWindow {
		return
	}
	if window.omittedLines > 0 {
		w.writeLine(now, event.LinesLeftOut, []event.Field{
			event.F("of", window.event.Number),
			event.F("count", window.omittedLines),
		})
		w.unreportedLines -= window.omittedLines
	}
	window.startedAt = now
	window.writtenLines = 0
	window.omittedLines = 0
}

func (w *Writer) writeLine(now time.Time, e event.Event, fields []event.Field) {
	level := levels[e.Level]
	if !w.handler.Enabled(context.Background(), level) {
		return
	}
	record := slog.NewRecord(now, level, e.Name, 0)
	record.AddAttrs(slog.Int("event", e.Number))
	for _, field := range fields {
		record.AddAttrs(slog.Any(field.Name, limitText(field.Value)))
	}
	// An error is ignored, because there is no other place to report it.
	_ = w.handler.Handle(context.Background(), record)
}

// limitText cuts a text that is longer than maxTextBytes. Other values are returned as they
// are.
func limitText(value any) any {
	text, isString := value.(string)
	if !isString {
		reflected := reflect.ValueOf(value)
		if reflected.Kind() != reflect.String {
			return value
		}
		text = reflected.String()
	}
	if len(text) <= maxTextBytes {
		return value
	}
	return text[:maxTextBytes] + "...(" + strconv.Itoa(len(text)) + "_bytes)"
}

// levels maps the levels of the catalogue to those of the log.
var levels = map[event.Level]slog.Level{
	event.LevelDebug: slog.LevelDebug,
	event.LevelInfo:  slog.LevelInfo,
	event.LevelWarn:  slog.LevelWarn,
	event.LevelError: slog.LevelError,
}
