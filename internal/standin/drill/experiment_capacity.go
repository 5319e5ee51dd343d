package drill

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/standin/deploy"
	"github.com/eelgrassfold/eelgrassfold/internal/standin/platform"
)

// Capacity measures what an idle deployment costs one instance, in processor
// time, memory and control bytes. Three series vary one number each: of
// instances, of groups, and of names in the platform's list behind which there
// is no instance. The slope of each series is a least-squares fit.
type Capacity struct {
	Instances []int         `help:"Numbers of instances, before one group." default:"1,2,4,8,16,32"`
	Groups    []int         `help:"Numbers of groups, behind one instance." default:"1,2,4,8,16"`
	Listed    []int         `help:"Numbers of names in the platform's list, with one instance and one group." default:"100,400,1600"`
	Settle    time.Duration `help:"Idle time before each measurement." default:"6s"`
	Measure   time.Duration `help:"Length of each measurement." default:"6s"`
}

// idleCost is what one instance costs on average while nothing is asked of it.
type idleCost struct {
	// processor is the share of a core, in percent.
	processor float64
	// resident is in megabytes.
	resident float64
	// peers, databases and platform are control bytes a second, both ways.
	peers, databases, platform float64
}

// point is one measurement of a series.
type point struct {
	number float64
	cost   idleCost
}

// Run implements Experiment.
func (c *Capacity) Run(ctx context.Context, out io.Writer, binaries string) error {
	row(out, "capacity: idle cost of one instance, mean over all, %s after %s of rest", c.Measure, c.Settle)
	series := []struct {
		name    string
		numbers []int
		measure func(context.Context, string, int) (idleCost, error)
	}{
		{"instances", c.Instances, c.measureInstances},
		{"groups", c.Groups, c.measureGroups},
		{"listed", c.Listed, c.measureListed},
	}
	for _, s := range series {
		row(out, "%-10s %8s %12s %10s %10s %12s %10s", s.name, "", "core %", "MB", "peer B/s", "database B/s", "platf. B/s")
		var points []point
		for _, number := range s.numbers {
			cost, err := s.measure(ctx, binaries, number)
			if err != nil {
				return err
			}
			points = append(points, point{float64(number), cost})
			writeCost(out, "", fmt.Sprint(number), cost)
		}
		if len(points) > 1 {
			writeCost(out, "slope", "each", slopes(points))
		}
	}
	return nil
}

func writeCost(out io.Writer, name, number string, cost idleCost) {
	row(out, "%-10s %8s %12.4f %10.3f %10.1f %12.1f %10.2f",
		name, number, cost.processor, cost.resident, cost.peers, cost.databases, cost.platform)
}

// -----------------------------------------------------------------------------
// Series.

func (c *Capacity) measureInstances(ctx context.Context, binaries string, number int) (idleCost, error) {
	return c.measureIdle(ctx, binaries, number, 1, 0)
}

func (c *Capacity) measureGroups(ctx context.Context, binaries string, number int) (idleCost, error) {
	return c.measureIdle(ctx, binaries, 1, number, 0)
}

func (c *Capacity) measureListed(ctx context.Context, binaries string, number int) (idleCost, error) {
	return c.measureIdle(ctx, binaries, 1, 1, number)
}

// spareConnections is the number of connections that a database takes beside
// one control connection of each instance. With 20 in all, as in the manifest,
// the last of 32 instances can't ask a database anything.
const spareConnections = 20

// measureIdle starts a deployment, lets it rest and measures it.
func (c *Capacity) measureIdle(ctx context.Context, binaries string, instances, groups, listed int) (idleCost, error) {
	const startEach = 4 * time.Second
	starting, cancel := context.WithTimeout(ctx, startTime+time.Duration(instances+groups)*startEach)
	defer cancel()
	var names []model.GroupID
	for i := range groups {
		names = append(names, model.GroupID(fmt.Sprintf("%s-%d", group, i+1)))
	}
	d, err := deploy.Start(starting, deploy.Options{
		Binaries: binaries, Zones: zones, Groups: names, Instances: instances, BaseManifest: deploy.BaseManifest, LogLevel: "warn",
		DatabaseFlags: []string{"--connections", fmt.Sprint(spareConnections + instances)},
	})
	if err != nil {
		return idleCost{}, err
	}
	defer func() { _ = d.Stop() }()
	rest := c.Settle
	if listed > 0 {
		if err := listPhantoms(ctx, d, listed); err != nil {
			return idleCost{}, err
		}
		rest += listTime
	}
	if err := pause(ctx, rest); err != nil {
		return idleCost{}, err
	}
	return c.measure(ctx, d)
}

// listTime is the time after which every instance has read the platform's list.
const listTime = 15 * time.Second

// listPhantoms puts names into the platform's list at whose addresses nothing
// listens.
func listPhantoms(ctx context.Context, d *deploy.Deployment, count int) error {
	const firstPort, ports = 1, 1000
	var listed []platform.Instance
	for i := range count {
		address := netip.AddrFrom4([4]byte{127, 0, 1, byte(1 + i/ports)})
		listed = append(listed, platform.Instance{
			ID: model.InstanceID(fmt.Sprintf("phantom-%d", i+1)), Zone: zones[i%len(zones)],
			Peer: netip.AddrPortFrom(address, uint16(firstPort+i%ports)),
		})
	}
	body, err := json.Marshal(listed)
	if err != nil {
		return errors.WithStack(err)
	}
	return send(ctx, http.MethodPut, fmt.Sprintf("http://%s/admin/instances", d.PlatformAddress), body)
}

// -----------------------------------------------------------------------------
// Measurement.

// measure compares the counters of all instances before and after a while.
func (c *Capacity) measure(ctx context.Context, d *deploy.Deployment) (idleCost, error) {
	before, err := readTotals(ctx, d)
	if err != nil {
		return idleCost{}, err
	}
	if err := pause(ctx, c.Measure); err != nil {
		return idleCost{}, err
	}
	after, err := readTotals(ctx, d)
	if err != nil {
		return idleCost{}, err
	}
	const percent, mega = 100, 1 << 20
	seconds := after.at.Sub(before.at).Seconds() * float64(len(d.Instances))
	rate := func(name string) float64 { return float64(after.bytes[name]-before.bytes[name]) / seconds }
	return idleCost{
		processor: percent * (after.processor - before.processor).Seconds() / seconds,
		resident:  float64(after.resident) / mega / float64(len(d.Instances)),
		peers:     rate("peers"), databases: rate("control"), platform: rate("platform"),
	}, nil
}

// totals are counters summed up over all instances.
type totals struct {
	at        time.Time
	processor time.Duration
	resident  int64
	// bytes holds the bytes sent and received, by map of counters.
	bytes map[string]int64
}

func readTotals(ctx context.Context, d *deploy.Deployment) (totals, error) {
	sum := totals{at: time.Now(), bytes: map[string]int64{}}
	for _, in := range d.Instances {
		processor, resident, err := in.Process.Usage()
		if err != nil {
			return sum, err
		}
		sum.processor += processor
		sum.resident += resident
	}
	for _, name := range []string{"peers", "control", "platform"} {
		counts, err := sumCounters(ctx, d, name)
		if err != nil {
			return sum, err
		}
		sum.bytes[name] = counts["sent.bytes"] + counts["received.bytes"]
	}
	return sum, nil
}

// -----------------------------------------------------------------------------
// Slopes.

// slopes fits a line through each cost of a series and returns the slopes.
func slopes(points []point) idleCost {
	fit := func(of func(idleCost) float64) float64 {
		var numbers, costs []float64
		for _, p := range points {
			numbers = append(numbers, p.number)
			costs = append(costs, of(p.cost))
		}
		return slope(numbers, costs)
	}
	return idleCost{
		processor: fit(func(c idleCost) float64 { return c.processor }),
		resident:  fit(func(c idleCost) float64 { return c.resident }),
		peers:     fit(func(c idleCost) float64 { return c.peers }),
		databases: fit(func(c idleCost) float64 { return c.databases }),
		platform:  fit(func(c idleCost) float64 { return c.platform }),
	}
}

// slope is the slope of the least-squares line through points. It is 0 where
// all x are the same.
func slope(x, y []float64) float64 {
	var sumX, sumY float64
	for i := range x {
		sumX += x[i]
		sumY += y[i]
	}
	meanX, meanY := sumX/float64(len(x)), sumY/float64(len(y))
	var product, square float64
	for i := range x {
		product += (x[i] - meanX) * (y[i] - meanY)
		square += (x[i] - meanX) * (x[i] - meanX)
	}
	if square == 0 {
		return 0
	}
	return product / square
}
