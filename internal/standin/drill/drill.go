// Package drill is a fault-injection benchmark: it measures a deployment of real
// processes on one machine, under load and under faults.
//
// # What flows in and out
//
// The name of an experiment and its flags flow in. Package deploy starts the
// processes, package load generates load, and the experiment injects faults. A table of
// figures flows out on standard output. An experiment prints its parameters first, so
// that the figures can be traced to the run that gave them.
//
// Each experiment has a file of its own (experiment_*.go). One table lists all
// experiments for the command line and its help.
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
	// Run runs the measurement with the binaries of a directory and writes the
	// figures.
	Run(ctx context.Context, out io.Writer, binaries string) error
}

// entry is one experiment with its name on the command line and its help text.
type entry struct {
	name, help string
	experiment Experiment
}

// experiments lists all experiments.
var experiments = []entry{
	{"failover", "Write gap, lost and duplicated writes over many failovers.", &Failover{}},
	{"replicas", "Share of reads served by replicas at several lags, with multi-connection sessions.", &Replicas{}},
	{"manifest", "Time until an accepted manifest is in force on all instances.", &Manifest{}},
	{"overhead", "Throughput and latency through one instance, compared with a database directly.", &Overhead{}},
	{"flood", "Throughput and latency by request kind while one kind floods.", &Flood{}},
	{"idle", "Memory of idle callers' connections.", &Idle{}},
	{"soak", "Randomly drawn faults, several at a time, with checks of what callers, operators and databases see.", &Soak{}},
	{"capacity", "Cost of an idle instance, and its slope by instances, groups and listed names.", &Capacity{}},
}

// Main runs the experiment that the command line names and returns the exit code: 0, 1
// for a failed experiment, 2 for a wrong command line.
func Main() int {
	var commandLine struct {
		Binaries string `help:"Directory of the built binaries." default:".build"`
	}
	options := []kong.Option{kong.Name("drill"), kong.Description("Measures eelgrassfold on one machine, with a simulated platform and simulated databases."), kong.Vars{"faults": soakFaultNames()}}
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
// Helpers of several experiments.

const group = model.GroupID("ratings")

var zones = []model.ZoneID{"lanier", "savannah", "allatoona"}

// startTimeout bounds the time that starting a deployment may take.
const startTimeout = 20 * time.Second

// startDeployment starts a deployment of one group with the base manifest.
func startDeployment(ctx context.Context, binaries string, instances int, databaseFlags ...string) (*deploy.Deployment, error) {
	return startDeploymentWith(ctx, binaries, deploy.BaseManifest, instances, databaseFlags...)
}

// startDeploymentWith starts a deployment of one group with a given base manifest.
func startDeploymentWith(ctx context.Context, binaries, manifest string, instances int, databaseFlags ...string) (*deploy.Deployment, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	return deploy.Start(ctx, deploy.Options{
		Binaries: binaries, Zones: zones, Groups: []model.GroupID{group}, Instances: instances,
		BaseManifest: manifest, DatabaseFlags: databaseFlags, LogLevel: "info",
	})
}

// writeRow writes one formatted line of a table.
func writeRow(out io.Writer, format string, values ...any) {
	_, _ = fmt.Fprintf(out, format+"\n", values...)
}
