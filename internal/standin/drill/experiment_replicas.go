package drill

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/standin/load"
)

// Replicas measures the share of reads that the replicas serve at several lags, with
// sessions that use several instances and carry their token between them. It also counts
// reads that did not return their session's own writes.
type Replicas struct {
	Lags      []time.Duration `help:"Lags of the replicas." default:"5ms,200ms,5s"`
	Instances int             `help:"Number of instances." default:"3"`
	Reads     float64         `help:"Reads a second." default:"400"`
	Writes    float64         `help:"Writes a second." default:"40"`
	Seconds   float64         `help:"Length of each run, in seconds." default:"6"`
}

// Run implements Experiment.
func (r *Replicas) Run(ctx context.Context, out io.Writer, binaries string) error {
	writeRow(out, "replicas: %d instances, %.0f reads/s and %.0f writes/s by multi-connection sessions, %.0f s each",
		r.Instances, r.Reads, r.Writes, r.Seconds)
	writeRow(out, "%-6s %-22s %7s %9s %9s %9s %7s %11s", "lag", "kind", "reads", "replicas", "p50 ms", "p99 ms", "checks", "violations")
	for _, lag := range r.Lags {
		for _, kind := range replicaKinds {
			if err := r.measureLag(ctx, out, binaries, lag, kind.name, kind.staleness); err != nil {
				return err
			}
		}
	}
	return nil
}

// replicaKinds are the kinds of reads that are measured, with their maximum staleness.
var replicaKinds = []struct{ name, staleness string }{
	{"check", "any age"},
	{"pull", "up to 10 s old"},
}

// measureLag measures one kind of reads at one lag and writes its line.
func (r *Replicas) measureLag(ctx context.Context, out io.Writer, binaries string, lag time.Duration, kind, staleness string) error {
	d, err := startDeployment(ctx, binaries, r.Instances, "--lag", lag.String())
	if err != nil {
		return err
	}
	defer func() { _ = d.Stop() }()
	report, err := load.Run(ctx, load.Options{
		Addresses: callerAddresses(d), Group: group, User: "drill", Connections: 24, RotateAddresses: true, ConsistencyCheckers: 4,
		Kinds: []load.Kind{
			{Name: kind, Access: model.AccessRead, Rate: r.Reads},
			{Name: "post", Access: model.AccessWrite, Rate: r.Writes},
		},
		Duration: time.Duration(r.Seconds * float64(time.Second)), StatementTimeout: 15 * time.Second, Seed: 1,
	})
	if err != nil {
		return err
	}
	counts, err := sumCounters(ctx, d, "reads")
	if err != nil {
		return err
	}
	reads := counts["replica"] + counts["primary"]
	writeRow(out, "%-6s %-22s %7d %9s %9.2f %9.2f %7d %11d", lag, kind+", "+staleness, reads, fmt.Sprintf("%.1f%%", percentage(counts["replica"], reads)),
		report.Kinds[kind].Latency.P50, report.Kinds[kind].Latency.P99,
		report.Check.Checks, report.Check.Violations)
	return nil
}

// percentage returns part as a percentage of whole, or 0 where whole is 0.
func percentage(part, whole int64) float64 {
	const percent = 100
	if whole == 0 {
		return 0
	}
	return percent * float64(part) / float64(whole)
}
