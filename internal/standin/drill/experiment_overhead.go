package drill

import (
	"context"
	"io"
	"net/netip"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/standin/deploy"
	"github.com/eelgrassfold/eelgrassfold/internal/standin/load"
)

// Overhead compares reads sent directly to a simulated database with reads through one
// instance. Both are measured alternately in the same run, since other load on the
// machine changes the figures.
type Overhead struct {
	Connections []int   `help:"Numbers of connections." default:"1,16,64"`
	Rounds      int     `help:"Rounds of each comparison, one row each." default:"3"`
	Seconds     float64 `help:"Length of each run, in seconds." default:"4"`
	Work        string  `help:"Time that the database works on a statement." default:"0s"`
}

// Run implements Experiment.
func (o *Overhead) Run(ctx context.Context, out io.Writer, binaries string) error {
	writeRow(out, "overhead: reads by key, database work %s, %.0f s each, closed loop, one instance", o.Work, o.Seconds)
	writeRow(out, "direct: all connections to the one primary; through: the instance, which sends reads to the two replicas;")
	writeRow(out, "limits: 64 slots and 200 connections a database, so that neither is the bottleneck; cpu: processor time of the instance")
	writeRow(out, "%11s %12s %12s %6s %12s %12s %10s %12s", "connections", "direct /s", "through /s", "ratio",
		"direct p50", "through p50", "added us", "cpu us each")
	d, err := startDeploymentWith(ctx, binaries, wideManifest, 1, "--work", o.Work, "--slots", "64", "--connections", "200", "--lag", "0s")
	if err != nil {
		return err
	}
	defer func() { _ = d.Stop() }()
	for _, connections := range o.Connections {
		for range o.Rounds {
			if err := o.compare(ctx, out, d, connections); err != nil {
				return err
			}
		}
	}
	return nil
}

// compare measures one round and writes its row.
func (o *Overhead) compare(ctx context.Context, out io.Writer, d *deploy.Deployment, connections int) error {
	direct, err := o.measure(ctx, d.Databases[0].Address, connections, true)
	if err != nil {
		return err
	}
	processorBefore, _, err := d.Instances[0].Process.Usage()
	if err != nil {
		return err
	}
	through, err := o.measure(ctx, d.Instances[0].CallerAddress, connections, false)
	if err != nil {
		return err
	}
	processorAfter, _, err := d.Instances[0].Process.Usage()
	if err != nil {
		return err
	}
	directKind, throughKind := direct.Kinds["check"], through.Kinds["check"]
	const microsPerMilli = 1000
	served := throughKind.Rate * o.Seconds
	writeRow(out, "%11d %12.0f %12.0f %6.2f %10.3fms %10.3fms %10.0f %12.1f", connections, directKind.Rate, throughKind.Rate, throughKind.Rate/directKind.Rate,
		directKind.Latency.P50, throughKind.Latency.P50, microsPerMilli*(throughKind.Latency.P50-directKind.Latency.P50), float64((processorAfter-processorBefore).Microseconds())/served)
	return nil
}

// measure runs reads in a closed loop and returns their report.
func (o *Overhead) measure(ctx context.Context, address netip.AddrPort, connections int, direct bool) (load.Report, error) {
	return load.Run(ctx, load.Options{
		Addresses: []netip.AddrPort{address}, Group: group, User: "drill", Connections: connections, ClosedLoop: true, Direct: direct,
		Kinds:    []load.Kind{{Name: "check", Access: model.AccessRead, Rate: 1}},
		Duration: time.Duration(o.Seconds * float64(time.Second)), StatementTimeout: 15 * time.Second, Seed: 1,
	})
}

// wideManifest has so many slots and connections that the proxy itself is the
// bottleneck.
const wideManifest = `service = "handicap-db"
[limits]
slots = 64
connections = 200
reserve = 8
open = "12ms"
[[rank]]
name = "ordinary"
target = "2s"
worth = 1
floor = 1.0
[[kind]]
name = "check"
rank = "ordinary"
access = "read"
deadline = "8s"
[[kind]]
name = "post"
rank = "ordinary"
access = "write"
deadline = "8s"
`
