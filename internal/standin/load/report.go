package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// -----------------------------------------------------------------------------
// Counting.

// tally counts the outcomes and latencies of one client's statements.
type tally struct {
	Offered, Done, NotRun, Unknown, Failed, InTarget int64
	// causes counts the statements that did not succeed, by SQLSTATE or other cause.
	causes map[string]int64
	// latencies holds the latencies of successful statements in microseconds.
	latencies *hdrhistogram.Histogram
}

const (
	// maxLatency is the greatest latency that is recorded; longer ones are recorded
	// as this value.
	maxLatency = 10 * time.Minute
	// latencyPrecision is the number of significant decimal digits of recorded
	// latencies.
	latencyPrecision = 3
)

func newTally() tally {
	return tally{
		causes:    map[string]int64{},
		latencies: hdrhistogram.New(1, maxLatency.Microseconds(), latencyPrecision),
	}
}

func (t *tally) count(result outcome, cause string) {
	switch result {
	case outcomeDone:
		t.Done++
		return
	case outcomeNotRun:
		t.NotRun++
	case outcomeUnknown:
		t.Unknown++
	case outcomeFailed:
		t.Failed++
	}
	t.causes[cause]++
}

func (t *tally) recordLatency(latency, target time.Duration) {
	_ = t.latencies.RecordValue(min(latency, maxLatency).Microseconds())
	if target > 0 && latency <= target {
		t.InTarget++
	}
}

func (t *tally) add(other tally) {
	t.Offered += other.Offered
	t.Done += other.Done
	t.NotRun += other.NotRun
	t.Unknown += other.Unknown
	t.Failed += other.Failed
	t.InTarget += other.InTarget
	for cause, count := range other.causes {
		t.causes[cause] += count
	}
	t.latencies.Merge(other.latencies)
}

// gapMeter measures the longest time between successful writes.
type gapMeter struct {
	mu          sync.Mutex
	lastSuccess time.Time
	longest     time.Duration
	// measurementEnd is the time at which the measurement ends.
	measurementEnd time.Time
}

// recordSuccess records a successful write. Times after measurementEnd count as
// measurementEnd; times before the last recorded one are ignored.
func (g *gapMeter) recordSuccess(at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if at.After(g.measurementEnd) {
		at = g.measurementEnd
	}
	if at.After(g.lastSuccess) {
		g.longest = max(g.longest, at.Sub(g.lastSuccess))
		g.lastSuccess = at
	}
}

// -----------------------------------------------------------------------------
// The report.

// Report is the result of a run.
type Report struct {
	// Seconds is the time for which load was offered.
	Seconds float64 `json:"seconds"`
	// Rate is the number of successful statements per second.
	Rate float64 `json:"rate"`
	// LongestWriteGap is the longest time between successful writes, in milliseconds,
	// including the time from the start to the first one and from the last one to the
	// end of the offered load. It is zero if nothing was written. Answers that arrive
	// after the offered load has ended do not increase it.
	LongestWriteGap float64               `json:"gap"`
	Kinds           map[string]KindReport `json:"kinds"`
	// Check is present if read-your-writes was checked.
	Check *CheckReport `json:"check,omitempty"`
	// Comparison is present if the content of the databases was compared.
	Comparison *Comparison `json:"comparison,omitempty"`
}

// KindReport is the result of a run for one request kind. Its counts are those of
// statements.
type KindReport struct {
	Offered int64 `json:"offered"`
	Done    int64 `json:"done"`
	NotRun  int64 `json:"notrun"`
	Unknown int64 `json:"unknown"`
	Failed  int64 `json:"failed"`
	// InTarget counts the statements that succeeded within the target.
	InTarget int64 `json:"target"`
	// Causes counts the statements that did not succeed, by SQLSTATE or other cause.
	Causes map[string]int64 `json:"causes"`
	// Rate is the number of successful statements per second.
	Rate float64 `json:"rate"`
	// Latency is the latency of successful statements, counted from their arrival.
	Latency Latency `json:"latency"`
}

// Latency summarizes a distribution of latencies, in milliseconds.
type Latency struct {
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// report sums up the tallies of all clients. The comparison is added by Run.
func (r *run) report(elapsed time.Duration) Report {
	report := Report{Seconds: elapsed.Seconds(), Kinds: map[string]KindReport{}}
	tallies := map[string]tally{}
	for _, c := range r.clients {
		sum, found := tallies[c.kind.Name]
		if !found {
			sum = newTally()
		}
		sum.add(c.tally)
		tallies[c.kind.Name] = sum
		if len(c.outcomes) > 0 {
			report.LongestWriteGap = milliseconds(r.writeGaps.longest)
		}
	}
	for name, sum := range tallies {
		report.Kinds[name] = sum.report(elapsed)
		report.Rate += report.Kinds[name].Rate
	}
	report.Check = r.checkReport()
	return report
}

func (t *tally) report(elapsed time.Duration) KindReport {
	return KindReport{
		Offered: t.Offered, Done: t.Done, NotRun: t.NotRun, Unknown: t.Unknown, Failed: t.Failed,
		InTarget: t.InTarget, Causes: t.causes,
		Rate: float64(t.Done) / elapsed.Seconds(),
		Latency: Latency{
			P50: fromMicroseconds(t.latencies.ValueAtQuantile(50)),
			P99: fromMicroseconds(t.latencies.ValueAtQuantile(99)),
			Max: fromMicroseconds(t.latencies.Max()),
		},
	}
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func fromMicroseconds(value int64) float64 { return float64(value) / 1000 }
