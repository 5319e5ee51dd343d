// Package metrics holds latency histograms, and serves them and all expvar
// counters as text.
//
// # What flows in and out
//
// Durations flow in, by name and label, and are recorded in histograms of
// hdrhistogram. All metrics are expvar variables, so /debug/vars shows the same
// data. The text has one line for each number in an expvar map, and for each
// histogram lines with its count and its quantiles in milliseconds.
//
// # Usage
//
//	metrics.Observe("statements", "entries/ok", elapsed)
//	mux.Handle("GET /metrics", metrics.Handler())
package metrics

import (
	"bytes"
	"expvar"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxDuration is the longest recorded duration, and significantDigits the
	// precision of the histograms in decimal digits.
	maxDuration       = time.Minute
	significantDigits = 2
)

// quantiles lists the reported quantiles, in percent.
var quantiles = []float64{50, 90, 99}

// Histogram is a distribution of durations. It implements expvar.Var.
type Histogram struct {
	mu     sync.Mutex
	values *hdrhistogram.Histogram
}

func newHistogram() *Histogram {
	return &Histogram{values: hdrhistogram.New(1, maxDuration.Microseconds(), significantDigits)}
}

// Observe records a duration. A duration above maxDuration is recorded as
// maxDuration.
func (h *Histogram) Observe(duration time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	// RecordValue fails only for a value outside the histogram's bounds.
	_ = h.values.RecordValue(min(max(duration.Microseconds(), 1), maxDuration.Microseconds()))
}

// String implements expvar.Var.
func (h *Histogram) String() string {
	var out bytes.Buffer
	h.mu.Lock()
	defer h.mu.Unlock()
	fmt.Fprintf(&out, `{"count": %d`, h.values.TotalCount())
	for _, q := range quantiles {
		fmt.Fprintf(&out, `, "p%g_ms": %.2f`, q, h.quantileMS(q))
	}
	out.WriteByte('}')
	return out.String()
}

// quantileMS returns the quantile at percent, in milliseconds.
func (h *Histogram) quantileMS(percent float64) float64 {
	return float64(h.values.ValueAtQuantile(percent)) / 1000
}

var (
	mu         sync.Mutex
	histograms = expvar.NewMap("latency")
)

// Observe records a duration in the histogram of a name and label.
func Observe(name, label string, duration time.Duration) {
	key := name + "/" + label
	mu.Lock()
	h, found := histograms.Get(key).(*Histogram)
	if !found {
		h = newHistogram()
		histograms.Set(key, h)
	}
	mu.Unlock()
	h.Observe(duration)
}

// Handler returns a handler that serves all entries of expvar maps as text.
func Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		expvar.Do(func(kv expvar.KeyValue) {
			if table, ok := kv.Value.(*expvar.Map); ok {
				table.Do(func(entry expvar.KeyValue) { writeInstrument(w, kv.Key, entry) })
			}
		})
	})
}

// writeInstrument writes the lines of one entry of an expvar map.
func writeInstrument(w http.ResponseWriter, name string, entry expvar.KeyValue) {
	h, ok := entry.Value.(*Histogram)
	if !ok {
		_, _ = fmt.Fprintf(w, "%s{name=%q} %s\n", name, entry.Key, entry.Value)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	_, _ = fmt.Fprintf(w, "%s_count{name=%q} %d\n", name, entry.Key, h.values.TotalCount())
	for _, q := range quantiles {
		_, _ = fmt.Fprintf(w, "%s_ms{name=%q,quantile=\"%g\"} %.2f\n", name, entry.Key, q, h.quantileMS(q))
	}
}
