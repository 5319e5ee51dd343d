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

// Capacity measures the cost of one instance in an idle deployment: processor time,
// memory and control traffic. Each of three series varies one number: instances, groups,
// and names in the platform's list without an instance behind them. The slope of each
// series is a least-squares fit.
type Capacity struct {
	Instances []int         `help:"Numbers of instances, before one group." default:"1,2,4,8,16,32"`
	Groups    []int         `help:"Numbers of groups, behind one instance." default:"1,2,4,8,16"`
	Listed    []int         `help:"Numbers of names in the platform's list, with one instance and one group." default:"100,400,1600"`
	Settle    time.Duration `help:"Idle time before each measurement." default:"6s"`
	Measure   time.Duration `help:"Length of each measurement." default:"6s"`
}

// idleCost is the mean cost of one instance without load.
type idleCost struct {
	// processorPercent is the used share of a processor core, in percent.
	processorPercent float64
	// residentMB is the resident memory, in megabytes.
	residentMB float64
	// peerRate, databaseRate and platformRate are the control bytes per second, sent
	// and received.
	peerRate, databaseRate, platformRate float64
}

// point is one measurement of a series: the varied number and the cost.
type point struct {
	size float64
	cost idleCost
}

// Run implements Experiment.
func (c *Capacity) Run(ctx context.Context, out io.Writer, binaries string) error {
	writeRow(out, "capacity: cost of one idle instance, mean over all, %s after %s of idle time", c.Measure, c.Settle)
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
		writeRow(out, "%-10s %8s %12s %10s %10s %12s %10s", s.name, "", "core %", "MB", "peer B/s", "database B/s", "platf. B/s")
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
	writeRow(out, "%-10s %8s %12.4f %10.3f %10.1f %12.1f %10.2f",
		name, number, cost.processorPercent, cost.residentMB, cost.peerRate, cost.databaseRate, cost.platformRate)
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

// spareConnections is the number of connections that a database accepts in addition to
// one control connection for each instance. With 20 connections in total, as in the
// manifest, the last of 32 instances cannot open a control connection.
const spareConnections = 20

// measureIdle starts a deployment, leaves it idle for a while and measures its cost.
func (c *Capacity) measureIdle(ctx context.Context, binaries string, instances, groups, listed int) (idleCost, error) {
	const timePerProcess = 4 * time.Second
	startCtx, cancel := context.WithTimeout(ctx, startTimeout+time.Duration(instances+groups)*timePerProcess)
	defer cancel()
	var names []model.GroupID
	for i := range groups {
		names = append(names, model.GroupID(fmt.Sprintf("%s-%d", group, i+1)))
	}
	d, err := deploy.Start(startCtx, deploy.Options{
		Binaries: binaries, Zones: zones, Groups: names, Instances: instances, BaseManifest: deploy.BaseManifest, LogLevel: "warn",
		DatabaseFlags: []string{"--connections", fmt.Sprint(spareConnections + instances)},
	})
	if err != nil {
		return idleCost{}, err
	}
	defer func() { _ = d.Stop() }()
	restTime := c.Settle
	if listed > 0 {
		if err := listPhantomInstances(ctx, d, listed); err != nil {
			return idleCost{}, err
		}
		restTime += listRefreshTime
	}
	if err := sleep(ctx, restTime); err != nil {
		return idleCost{}, err
	}
	return c.measure(ctx, d)
}

// listRefreshTime is the time after which every instance has read the platform's
// changed list.
const listRefreshTime = 15 * time.Second

// listPhantomInstances replaces the platform's list by instances that do not exist:
// nothing listens at their addresses.
func listPhantomInstances(ctx context.Context, d *deploy.Deployment, count int) error {
	const firstPort, portsPerAddress = 1, 1000
	var listed []platform.Instance
	for i := range count {
		address := netip.AddrFrom4([4]byte{127, 0, 1, byte(1 + i/portsPerAddress)})
		listed = append(listed, platform.Instance{
			ID: model.InstanceID(fmt.Sprintf("phantom-%d", i+1)), Zone: zones[i%len(zones)],
			Peer: netip.AddrPortFrom(address, uint16(firstPort+i%portsPerAddress)),
		})
	}
	body, err := json.Marshal(listed)
	if err != nil {
		return errors.WithStack(err)
	}
	return sendRequest(ctx, http.MethodPut, fmt.Sprintf("http://%s/admin/instances", d.PlatformAddress), body)
}

// -----------------------------------------------------------------------------
// Measurement.

// measure reads the counters of all instances twice, c.Measure apart, and returns the
// mean cost of an instance in between.
func (c *Capacity) measure(ctx context.Context, d *deploy.Deployment) (idleCost, error) {
	before, err := readTotals(ctx, d)
	if err != nil {
		return idleCost{}, err
	}
	if err := sleep(ctx, c.Measure); err != nil {
		return idleCost{}, err
	}
	after, err := readTotals(ctx, d)
	if err != nil {
		return idleCost{}, err
	}
	const percent, megabyte = 100, 1 << 20
	instanceSeconds := after.takenAt.Sub(before.takenAt).Seconds() * float64(len(d.Instances))
	rate := func(name string) float64 { return float64(after.bytes[name]-before.bytes[name]) / instanceSeconds }
	return idleCost{
		processorPercent: percent * (after.processor - before.processor).Seconds() / instanceSeconds,
		residentMB:       float64(after.resident) / megabyte / float64(len(d.Instances)),
		peerRate:         rate("peers"), databaseRate: rate("control"), platformRate: rate("platform"),
	}, nil
}

// totals holds counters summed over all instances.
type totals struct {
	takenAt   time.Time
	processor time.Duration
	resident  int64
	// bytes holds the bytes sent plus received, by the name of the counter map.
	bytes map[string]int64
}

func readTotals(ctx context.Context, d *deploy.Deployment) (totals, error) {
	sum := totals{takenAt: time.Now(), bytes: map[string]int64{}}
	for _, instance := range d.Instances {
		processor, resident, err := instance.Process.Usage()
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

// slopes fits a line to each cost of a series and returns the slopes.
func slopes(points []point) idleCost {
	fit := func(metric func(idleCost) float64) float64 {
		var sizes, costs []float64
		for _, p := range points {
			sizes = append(sizes, p.size)
			costs = append(costs, metric(p.cost))
		}
		return slope(sizes, costs)
	}
	return idleCost{
		processorPercent: fit(func(c idleCost) float64 { return c.processorPercent }),
		residentMB:       fit(func(c idleCost) float64 { return c.residentMB }),
		peerRate:         fit(func(c idleCost) float64 { return c.peerRate }),
		databaseRate:     fit(func(c idleCost) float64 { return c.databaseRate }),
		platformRate:     fit(func(c idleCost) float64 { return c.platformRate }),
	}
}

// slope returns the slope of the least-squares line through points, or 0 if all x are
// equal.
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
