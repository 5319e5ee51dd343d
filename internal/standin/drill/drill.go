// Package drill measures a deployment of real processes under faults.
//
// # What flows in and out
//
// The name of an experiment and its flags flow in. Package deploy starts the
// processes, package load offers work, the experiment lets faults happen. A
// table of figures flows out on standard output, each with the run that gave
// it: an experiment prints its own parameters first.
//
// Each experiment stands in a file of its own (experiment_*.go); one table lists
// them for the command line and its help.
//
// # Usage
//
//	drill failover --binaries .build --times 10
package drill

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/standin/deploy"
)

// Experiment is one measurement.
type Experiment interface {
	// Run measures and writes the figures.
	Run(ctx context.Context, out io.Writer, binaries string) error
}

// entry is one experiment of the table.
type entry struct {
	name, help string
	experiment Experiment
}

// experiments lists all experiments.
var experiments = []entry{
	{"failover", "Gap in service, lost and doubled writes over many changes of primary.", &Failover{}},
	{"replicas", "Share of reads served by replicas at several lags, with sessions that roam.", &Replicas{}},
	{"manifest", "Time for a manifest to be in force on all instances.", &Manifest{}},
	{"overhead", "Throughput and latency through one instance, against a database directly.", &Overhead{}},
	{"flood", "Service by rank while one kind of work floods in.", &Flood{}},
	{"idle", "Memory of idle callers' connections.", &Idle{}},
	{"capacity", "Idle cost of an instance, and its slopes by instances, groups and listed names.", &Capacity{}},
}

// Main runs the experiment that the command line names and returns the exit
// code.
func Main() int {
	var commandLine struct {
		Binaries string `help:"Directory of the built binaries." default:".build"`
	}
	options := []kong.Option{kong.Name("drill"), kong.Description("Measures eelgrassfold on one machine, with stand-ins.")}
	for _, e := range experiments {
		options = append(options, kong.DynamicCommand(e.name, e.help, "", e.experiment))
	}
	parser, err := kong.New(&commandLine, options...)
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "drill:", err)
		return 1
	}
	parsed, err := parser.Parse(os.Args[1:])
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "drill:", err)
		return 2
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	for _, e := range experiments {
		if e.name != parsed.Command() {
			continue
		}
		if err := e.experiment.Run(ctx, os.Stdout, commandLine.Binaries); err != nil {
			_, _ = fmt.Fprintln(os.Stderr, "drill:", err)
			return 1
		}
	}
	return 0
}

// -----------------------------------------------------------------------------
// Common parts.

const group = model.GroupID("ratings")

var zones = []model.ZoneID{"lanier", "savannah", "allatoona"}

// startTimeout bounds the start of a deployment.
const startTimeout = 20 * time.Second

// startDeployment starts a deployment of one group.
func startDeployment(ctx context.Context, binaries string, instances int, databaseFlags ...string) (*deploy.Deployment, error) {
	return startDeploymentWith(ctx, binaries, deploy.BaseManifest, instances, databaseFlags...)
}

// startDeploymentWith starts a deployment of one group under a manifest of its own.
func startDeploymentWith(ctx context.Context, binaries, manifest string, instances int, databaseFlags ...string) (*deploy.Deployment, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	return deploy.Start(ctx, deploy.Options{
		Binaries: binaries, Zones: zones, Groups: []model.GroupID{group}, Instances: instances,
		BaseManifest: manifest, DatabaseFlags: databaseFlags, LogLevel: "info",
	})
}

// writeRow writes one line of a table.
func writeRow(out io.Writer, format string, values ...any) {
	_, _ = fmt.Fprintf(out, format+"\n", values...)
}
