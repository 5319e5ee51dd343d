package drill

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/standin/deploy"
	"github.com/eelgrassfold/eelgrassfold/internal/standin/load"
)

// Flood offers a steady load of all ranks through all instances, while one request kind
// floods: its rate exceeds by far what the databases can serve.
type Flood struct {
	Place     string        `help:"Whose sizes: consortium or reparto." default:"consortium" enum:"consortium,reparto"`
	Instances int           `help:"Number of instances." default:"6"`
	Loads     []float64     `help:"Offered load, as multiples of the group's capacity." default:"0.5,1,2,5,10"`
	Floods    []string      `help:"Kinds that flood." default:"pull,post" enum:"pull,check,post"`
	Work      time.Duration `help:"Time that a database works on a statement." default:"20ms"`
	Clients   int           `help:"Callers' connections for each kind." default:"300"`
	Warm      time.Duration `help:"Light load before each run." default:"4s"`
	Seconds   float64       `help:"Length of each run, in seconds." default:"5"`
}

// deploymentSize holds the slots and connections of each database and the availability
// zones of a deployment.
type deploymentSize struct {
	slots, connections int
	zones              []model.ZoneID
}

// deploymentSizes holds the values of the flag --place.
var deploymentSizes = map[string]deploymentSize{
	"consortium": {slots: 3, connections: 20, zones: zones},
	"reparto": {
		slots: 2, connections: 30,
		zones: []model.ZoneID{"mazatlan-a", "mazatlan-b", "topolobampo", "guaymas"},
	},
}

// floodKinds are the request kinds with the share of the capacity that their steady load
// uses. Writes use slots of the primary, reads use slots of all databases.
var floodKinds = []struct {
	name   string
	access model.Access
	part   float64
	target time.Duration
	// deadline is sent with each statement. With a long deadline, late statements
	// would occupy all of the callers' connections. The wait for a connection, which
	// counts as latency from the arrival on, would then hide how soon the instances
	// answer.
	deadline time.Duration
}{
	{"post", model.AccessWrite, 0.1, 200 * time.Millisecond, time.Second},
	{"check", model.AccessRead, 0.2, 500 * time.Millisecond, 2 * time.Second},
	{"pull", model.AccessRead, 0.15, 5 * time.Second, 10 * time.Second},
}

// Run implements Experiment.
func (f *Flood) Run(ctx context.Context, out io.Writer, binaries string) error {
	size := deploymentSizes[f.Place]
	capacity := float64(groupDatabases*size.slots) / f.Work.Seconds()
	writeRow(out, "flood: %s, %d instances, 3 databases of %d slots, work %s, capacity %.0f/s, %.0f s each",
		f.Place, f.Instances, size.slots, f.Work, capacity, f.Seconds)
	writeRow(out, "%-6s %5s  %s", "flood", "load", "kind: offered, done, inside target, not run, median and 99th percentile of what was done")
	for _, kind := range f.Floods {
		for _, loadFactor := range f.Loads {
			if err := f.runOnce(ctx, out, binaries, size, kind, capacity, loadFactor); err != nil {
				return err
			}
		}
	}
	return nil
}

// groupDatabases is the number of databases of a group.
const groupDatabases = 3

// runOnce measures one flooding kind at one load and writes its line.
func (f *Flood) runOnce(ctx context.Context, out io.Writer, binaries string, size deploymentSize, floodingKind string, capacity, loadFactor float64) error {
	d, err := f.startDeployment(ctx, binaries, size)
	if err != nil {
		return err
	}
	defer func() { _ = d.Stop() }()
	steadyShare := 0.0
	for _, kind := range floodKinds {
		steadyShare += kind.part
	}
	var kinds []load.Kind
	for _, kind := range floodKinds {
		rate := kind.part * capacity
		if kind.name == floodingKind {
			rate += max(0, loadFactor-steadyShare) * capacity
		}
		kinds = append(kinds, load.Kind{Name: kind.name, Access: kind.access, Rate: rate, Target: kind.target, Deadline: kind.deadline})
	}
	options := load.Options{
		Addresses: callerAddresses(d), Group: group, User: "drill", Connections: f.Clients, Kinds: kinds,
		Duration: time.Duration(f.Seconds * float64(time.Second)), StatementTimeout: 15 * time.Second, Seed: 1,
		AdminAddresses: adminAddresses(d),
	}
	if err := f.warmUp(ctx, options); err != nil {
		return err
	}
	report, err := load.Run(ctx, options)
	if err != nil {
		return err
	}
	var cells []string
	for _, kind := range floodKinds {
		kindReport := report.Kinds[kind.name]
		cells = append(cells, fmt.Sprintf("%s: %5d, %5d, %5.1f%%, %5d, %4.0f and %5.0f ms", kind.name, kindReport.Offered, kindReport.Done,
			percentage(kindReport.InTarget, kindReport.Offered), kindReport.NotRun, kindReport.Latency.P50, kindReport.Latency.P99))
	}
	writeRow(out, "%-6s %5.1f  %s; lost %d, doubled %d, unexpectedly committed %d", floodingKind, loadFactor, strings.Join(cells, " | "),
		report.Comparison.Lost, report.Comparison.Duplicated, report.Comparison.UnexpectedlyCommitted)
	return nil
}

// warmUp offers a light load of each kind, so that the instances are connected to each
// other and to the databases before the measurement.
func (f *Flood) warmUp(ctx context.Context, options load.Options) error {
	options.Duration = f.Warm
	options.AdminAddresses = nil
	options.Kinds = slices.Clone(options.Kinds)
	for i := range options.Kinds {
		const rate = 20
		options.Kinds[i].Rate = rate
	}
	_, err := load.Run(ctx, options)
	return err
}

// startDeployment starts a deployment of the given size.
func (f *Flood) startDeployment(ctx context.Context, binaries string, size deploymentSize) (*deploy.Deployment, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	baseManifest := strings.Replace(deploy.BaseManifest, "slots = 3\nconnections = 20",
		fmt.Sprintf("slots = %d\nconnections = %d", size.slots, size.connections), 1)
	return deploy.Start(ctx, deploy.Options{
		Binaries: binaries, Zones: size.zones, Groups: []model.GroupID{group}, Instances: f.Instances,
		BaseManifest: baseManifest, LogLevel: "warn", DatabaseFlags: []string{
			"--slots", fmt.Sprint(size.slots), "--connections", fmt.Sprint(size.connections), "--work", f.Work.String(),
		},
	})
}
