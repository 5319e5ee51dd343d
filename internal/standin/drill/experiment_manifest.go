package drill

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/standin/deploy"
	"github.com/eelgrassfold/eelgrassfold/internal/standin/platform"
)

// Manifest measures the time from the acceptance of a manifest until it is in force on
// all instances, with the platform up, slow, and down right after the acceptance.
type Manifest struct {
	Instances int `help:"Number of instances." default:"7"`
	Times     int `help:"Submissions for each state of the platform." default:"5"`
}

// manifestStates are the states of the platform, each with the platform's fault before
// and after the submission.
var manifestStates = []struct {
	name                    string
	faultBefore, faultAfter platform.FaultRequest
}{
	{"up", platform.FaultRequest{Fault: "none"}, platform.FaultRequest{Fault: "none"}},
	{"slow", platform.FaultRequest{Fault: "slow", Delay: "1s"}, platform.FaultRequest{Fault: "slow", Delay: "1s"}},
	{"down", platform.FaultRequest{Fault: "none"}, platform.FaultRequest{Fault: "outage"}},
}

// Run implements Experiment.
func (m *Manifest) Run(ctx context.Context, out io.Writer, binaries string) error {
	d, err := startDeployment(ctx, binaries, m.Instances)
	if err != nil {
		return err
	}
	defer func() { _ = d.Stop() }()
	writeRow(out, "manifest: %d instances, %d submissions in each state of the platform, from acceptance to in force on all",
		m.Instances, m.Times)
	writeRow(out, "%-9s %9s %9s", "platform", "median", "worst")
	number := 1
	for _, state := range manifestStates {
		var times []time.Duration
		for range m.Times {
			elapsed, err := m.measureSubmission(ctx, d, number, state.faultBefore, state.faultAfter)
			if err != nil {
				return err
			}
			number++
			times = append(times, elapsed)
		}
		slices.Sort(times)
		writeRow(out, "%-9s %9s %9s", state.name, roundToMillisecond(times[len(times)/2]), roundToMillisecond(times[len(times)-1]))
	}
	return setPlatformFault(ctx, d, platform.FaultRequest{Fault: "none"})
}

// measureSubmission submits one manifest, waits until it is in force on all instances,
// and returns the time that this took since the acceptance.
func (m *Manifest) measureSubmission(ctx context.Context, d *deploy.Deployment, number int, faultBefore, faultAfter platform.FaultRequest) (time.Duration, error) {
	if err := setPlatformFault(ctx, d, faultBefore); err != nil {
		return 0, err
	}
	text := fmt.Sprintf("# change %d\n%s", number, d.ManifestText())
	if _, err := d.SubmitManifest(ctx, d.Instances[number%len(d.Instances)], text, number); err != nil {
		return 0, err
	}
	acceptedAt := time.Now()
	if err := setPlatformFault(ctx, d, faultAfter); err != nil {
		return 0, err
	}
	wantedNumber := uint64(number + 1)
	for _, instance := range d.Instances {
		err := deploy.Retry(ctx, func() error {
			report, err := d.Status(ctx, instance)
			if err == nil && report.ManifestNumber < wantedNumber {
				err = &deploy.ProcessError{Name: instance.Name, Reason: "has an older manifest"}
			}
			return err
		})
		if err != nil {
			return 0, err
		}
	}
	return time.Since(acceptedAt), nil
}
