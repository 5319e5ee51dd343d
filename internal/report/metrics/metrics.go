// Package metrics holds counters and histograms of latency, and serves them as
// text.
//
// # What flows in and out
//
// Durations flow in, by name and labels; they go into histograms of hdrhistogram.
// All instruments are expvar's, so that /debug/vars shows the same: the text has a
// line for each number of an expvar map, and for each histogram its count and
// quantiles in milliseconds.
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
	// longest is the longest time that is told apart, and digits the precision.
	longest = time.Minute
	digits  = 2
)

// quantiles are those that the text gives, in percent.
var quantiles = []float64{50, 90, 99}

// Histogram is a distribution of times. It implements expvar.Var.
type Histogram struct {
	mu     sync.Mutex
	values *hdrhistogram.Histogram
}

func newHistogram() *Histogram {
	return &Histogram{values: hdrhistogram.New(1, longest.Microseconds(), digits)}
}

// Observe takes in a time; longer ones count as the longest.
func (h *Histogram) Observe(took time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	// A value inside the bounds is always taken.
	_ = h.values.RecordValue(min(max(took.Microseconds(), 1), longest.Microseconds()))
}

// String implements expvar.Var.
func (h *Histogram) String() string {
	var out bytes.Buffer
	h.mu.Lock()
	defer h.mu.Unlock()
	fmt.Fprintf(&out, `{"count": %d`, h.values.TotalCount())
	for _, q := range quantiles {
		fmt.Fprintf(&out, `, "p%g_ms": %.2f`, q, h.at(q))
	}
	out.WriteByte('}')
	return out.String()
}

// at returns a quantile in milliseconds.
func (h *Histogram) at(percent float64) float64 {
	return float64(h.values.ValueAtQuantile(percent)) / 1000
}

var (
	mu         sync.Mutex
	histograms = expvar.NewMap("latency")
)

// Observe takes a time into the histogram of a name and label.
func Observe(name, label string, took time.Duration) {
	key := name + "/" + label
	mu.Lock()
	h, found := histograms.Get(key).(*Histogram)
	if !found {
		h = newHistogram()
		histograms.Set(key, h)
	}
	mu.Unlock()
	h.Observe(took)
}

// Handler serves all instruments as text.
func Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		expvar.Do(func(kv expvar.KeyValue) {
			if table, is := kv.Value.(*expvar.Map); is {
				table.Do(func(entry expvar.KeyValue) { write(w, kv.Key, entry) })
			}
		})
	})
}

// write writes the lines of one instrument.
func write(w http.ResponseWriter, name string, entry expvar.KeyValue) {
	h, is := entry.Value.(*Histogram)
	if !is {
		_, _ = fmt.Fprintf(w, "%s{name=%q} %s\n", name, entry.Key, entry.Value)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	_, _ = fmt.Fprintf(w, "%s_count{name=%q} %d\n", name, entry.Key, h.values.TotalCount())
	for _, q := range quantiles {
		_, _ = fmt.Fprintf(w, "%s_ms{name=%q,quantile=\"%g\"} %.2f\n", name, entry.Key, q, h.at(q))
	}
}
