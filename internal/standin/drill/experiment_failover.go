package drill

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/standin/database"
	"github.com/eelgrassfold/eelgrassfold/internal/standin/deploy"
	"github.com/eelgrassfold/eelgrassfold/internal/standin/load"
	"github.com/eelgrassfold/eelgrassfold/internal/standin/platform"
)

// Failover makes the primary fail under load, each time in a new deployment, and measures
// the longest gap between acknowledged writes. Lost and duplicated writes are counted
// from the final content of the new primary.
type Failover struct {
	Times     int           `help:"Changes of primary for each fault." default:"10"`
	Instances int           `help:"Number of instances." default:"3"`
	Rate      float64       `help:"Writes a second; as many reads are offered." default:"200"`
	Before    time.Duration `help:"Load before the fault." default:"1s"`
	After     time.Duration `help:"Load after the fault." default:"4s"`
	Logs      string        `help:"Directory for the logs of runs with unknown outcomes."`
	Faults    []string      `help:"Faults of the primary." default:"kill,freeze,isolate" enum:"kill,freeze,isolate"`
}

// Run implements Experiment.
func (f *Failover) Run(ctx context.Context, out io.Writer, binaries string) error {
	writeRow(out, "failover: %d times each, %d instances, %.0f writes/s and %.0f reads/s, fault after %s, load ends %s later",
		f.Times, f.Instances, f.Rate, f.Rate, f.Before, f.After)
	writeRow(out, "%-8s %5s %8s %8s %8s %6s %8s %7s %6s %8s %6s", "fault", "times", "median", "p99", "worst",
		"acked", "unknown", "notrun", "lost", "doubled", "ghosts")
	for _, fault := range f.Faults {
		if err := f.runFaultSeries(ctx, out, binaries, fault); err != nil {
			return err
		}
	}
	return nil
}

// runFaultSeries repeats one fault and writes the line of its figures.
func (f *Failover) runFaultSeries(ctx context.Context, out io.Writer, binaries, fault string) error {
	var gaps []time.Duration
	var total load.Comparison
	var unknown, notRun int64
	for i := range f.Times {
		report, err := f.runOnce(ctx, binaries, fault, uint64(i+1))
		if err != nil {
			return err
		}
		gaps = append(gaps, time.Duration(report.LongestWriteGap*float64(time.Millisecond)))
		total.Acknowledged += report.Comparison.Acknowledged
		total.Lost += report.Comparison.Lost
		total.Duplicated += report.Comparison.Duplicated
		total.UnexpectedlyCommitted += report.Comparison.UnexpectedlyCommitted
		unknown += report.Kinds["post"].Unknown
		notRun += report.Kinds["post"].NotRun
	}
	slices.Sort(gaps)
	writeRow(out, "%-8s %5d %8s %8s %8s %6d %8d %7d %6d %8d %6d", fault, len(gaps),
		roundToMillisecond(gaps[len(gaps)/2]), roundToMillisecond(gaps[(len(gaps)-1)*99/100]), roundToMillisecond(gaps[len(gaps)-1]),
		total.Acknowledged, unknown, notRun, total.Lost, total.Duplicated, total.UnexpectedlyCommitted)
	return nil
}

func roundToMillisecond(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

// runOnce measures one failover.
func (f *Failover) runOnce(ctx context.Context, binaries, fault string, seed uint64) (load.Report, error) {
	d, err := startDeployment(ctx, binaries, f.Instances)
	if err != nil {
		return load.Report{}, err
	}
	defer func() { _ = d.Stop() }()
	faultResult := make(chan error, 1)
	timer := time.AfterFunc(f.Before, func() { faultResult <- injectPrimaryFault(ctx, d, fault) })
	defer timer.Stop()
	report, err := load.Run(ctx, load.Options{
		Addresses: callerAddresses(d), Group: group, User: "drill", Connections: 48,
		Kinds: []load.Kind{
			{Name: "post", Access: model.AccessWrite, Rate: f.Rate},
			{Name: "check", Access: model.AccessRead, Rate: f.Rate},
		},
		Duration: f.Before + f.After, StatementTimeout: 15 * time.Second, Seed: seed, AdminAddresses: adminAddresses(d),
	})
	if err != nil {
		return report, err
	}
	f.saveLogs(d, report)
	return report, <-faultResult
}

// saveLogs writes the instances' log lines to files if a write failed or its outcome is
// unknown, so that the cause can be found. The files are named after the instances, so
// that each such run overwrites those of an earlier one.
func (f *Failover) saveLogs(d *deploy.Deployment, report load.Report) {
	post := report.Kinds["post"]
	if f.Logs == "" || post.Unknown+post.Failed == 0 {
		return
	}
	for _, instance := range d.Instances {
		name := filepath.Join(f.Logs, instance.Name+".log")
		_ = os.WriteFile(name, []byte(strings.Join(instance.Process.LogLines(), "\n")), 0o600)
	}
}

// callerAddresses returns the instances' addresses for callers.
func callerAddresses(d *deploy.Deployment) []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, instance := range d.Instances {
		addresses = append(addresses, instance.CallerAddress)
	}
	return addresses
}

// adminAddresses returns the databases' admin addresses.
func adminAddresses(d *deploy.Deployment) []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, database := range d.Databases {
		addresses = append(addresses, database.AdminAddress)
	}
	return addresses
}

// injectPrimaryFault injects a fault into the first database, which is the primary.
func injectPrimaryFault(ctx context.Context, d *deploy.Deployment, fault string) error {
	primary := d.Databases[0]
	switch fault {
	case "kill":
		primary.Process.Kill()
		return nil
	case "freeze":
		return primary.Process.Pause()
	default:
		return setDatabaseFault(ctx, primary, database.FaultRequest{
			Fault: "isolate", From: []string{string(d.Databases[1].Name), string(d.Databases[2].Name)},
		})
	}
}

// setDatabaseFault sets the fault of a simulated database.
func setDatabaseFault(ctx context.Context, d *deploy.Database, fault database.FaultRequest) error {
	body, err := json.Marshal(fault)
	if err != nil {
		return errors.WithStack(err)
	}
	return sendRequest(ctx, http.MethodPost, fmt.Sprintf("http://%s/fault", d.AdminAddress), body)
}

// setPlatformFault sets the fault of the simulated platform.
func setPlatformFault(ctx context.Context, d *deploy.Deployment, fault platform.FaultRequest) error {
	body, err := json.Marshal(fault)
	if err != nil {
		return errors.WithStack(err)
	}
	return sendRequest(ctx, http.MethodPost, fmt.Sprintf("http://%s/admin/fault", d.PlatformAddress), body)
}

// sendRequest sends an HTTP request to a simulated server. Its error is a
// *load.HTTPStatusError if the status is 300 or above.
func sendRequest(ctx context.Context, method, url string, body []byte) error {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return errors.WithStack(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.WithStack(err)
	}
	_ = response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		return &load.HTTPStatusError{URL: url, Status: response.StatusCode}
	}
	return nil
}
