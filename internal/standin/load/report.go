package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// -----------------------------------------------------------------------------
// Counting.

// tally counts the outcomes of one client.
type tally struct {
	Offered, Done, NotRun, Unknown, Failed, InTarget int64
	// causes counts what was not done, by SQLSTATE or other cause.
	causes map[string]int64
	// latencies holds times in microseconds.
	latencies *hdrhistogram.Histogram
}

const (
	// latencyLimit is the greatest latency that is told apart.
	latencyLimit = 10 * time.Minute
	// latencyDigits is the number of significant digits of latencies.
	latencyDigits = 3
)

func newTally() tally {
	return tally{
		causes:    map[string]int64{},
		latencies: hdrhistogram.New(1, latencyLimit.Microseconds(), latencyDigits),
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

func (t *tally) measure(latency, target time.Duration) {
	_ = t.latencies.RecordValue(min(latency, latencyLimit).Microseconds())
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
	mu      sync.Mutex
	last    time.Time
	longest time.Duration
	// until is the end of what is measured.
	until time.Time
}

func (g *gapMeter) succeeded(at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if at.After(g.until) {
		at = g.until
	}
	if at.After(g.last) {
		g.longest = max(g.longest, at.Sub(g.last))
		g.last = at
	}
}

// -----------------------------------------------------------------------------
// The report.

// Report is what a run measured. Its JSON form is one line.
type Report struct {
	// Seconds is the time for which work was offered.
	Seconds float64 `json:"seconds"`
	// Rate is the number of statements done a second.
	Rate float64 `json:"rate"`
	// LongestWriteGap is the longest time between successful writes, in milliseconds,
	// counting from the start and to the end of the offer; zero where nothing
	// was written. Answers that come after the offer's end do not lengthen it.
	LongestWriteGap float64               `json:"gap"`
	Kinds           map[string]KindReport `json:"kinds"`
	// Check is there where read-your-writes was checked.
	Check *CheckReport `json:"check,omitempty"`
	// Comparison is there where the databases' content was compared.
	Comparison *Comparison `json:"comparison,omitempty"`
}

// KindReport is what a run measured of one kind of work.
type KindReport struct {
	Offered int64 `json:"offered"`
	Done    int64 `json:"done"`
	NotRun  int64 `json:"notrun"`
	Unknown int64 `json:"unknown"`
	Failed  int64 `json:"failed"`
	// InTarget counts the statements done within the target.
	InTarget int64 `json:"target"`
	// Causes counts what was not done, by SQLSTATE or other cause.
	Causes map[string]int64 `json:"causes"`
	// Rate is the number of statements done a second.
	Rate float64 `json:"rate"`
	// Latency is that of the statements done, from their arrival.
	Latency Latency `json:"latency"`
}

// Latency sums up a distribution, in milliseconds.
type Latency struct {
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// report adds up what the clients have counted.
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
		if len(c.told) > 0 {
			report.LongestWriteGap = milliseconds(r.writes.longest)
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
