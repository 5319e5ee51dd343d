package drill

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/standin/deploy"
)

// Manifest measures how long an accepted manifest takes to be in force on all
// instances, with the platform up, slow, and down right after the acceptance.
type Manifest struct {
	Instances int `help:"Number of instances." default:"7"`
	Times     int `help:"Submissions for each state of the platform." default:"5"`
}

// manifestStates are the states of the platform; each gives the fault before
// the submission and the one after it.
var manifestStates = []struct{ name, before, after string }{
	{"up", `{"fault":"none"}`, `{"fault":"none"}`},
	{"slow", `{"fault":"slow","delay":"1s"}`, `{"fault":"slow","delay":"1s"}`},
	{"down", `{"fault":"none"}`, `{"fault":"outage"}`},
}

// Run implements Experiment.
func (m *Manifest) Run(ctx context.Context, out io.Writer, binaries string) error {
	d, err := start(ctx, binaries, m.Instances)
	if err != nil {
		return err
	}
	defer func() { _ = d.Stop() }()
	row(out, "manifest: %d instances, %d submissions in each state of the platform, from acceptance to in force on all",
		m.Instances, m.Times)
	row(out, "%-9s %9s %9s", "platform", "median", "worst")
	number := 1
	for _, state := range manifestStates {
		var times []time.Duration
		for range m.Times {
			took, err := m.submit(ctx, d, number, state.before, state.after)
			if err != nil {
				return err
			}
			number++
			times = append(times, took)
		}
		slices.Sort(times)
		row(out, "%-9s %9s %9s", state.name, round(times[len(times)/2]), round(times[len(times)-1]))
	}
	return setPlatform(ctx, d, `{"fault":"none"}`)
}

// submit submits one manifest and waits until it is in force on all instances.
func (m *Manifest) submit(ctx context.Context, d *deploy.Deployment, number int, before, after string) (time.Duration, error) {
	if err := setPlatform(ctx, d, before); err != nil {
		return 0, err
	}
	text := fmt.Sprintf("# change %d\n%s", number, d.ManifestText())
	if _, err := d.SubmitManifest(ctx, d.Instances[number%len(d.Instances)], text, number); err != nil {
		return 0, err
	}
	accepted := time.Now()
	if err := setPlatform(ctx, d, after); err != nil {
		return 0, err
	}
	want := uint64(number + 1)
	for _, in := range d.Instances {
		err := deploy.Retry(ctx, func() error {
			report, err := d.Status(ctx, in)
			if err == nil && report.ManifestNumber < want {
				err = &deploy.ProcessError{Name: in.Name, Reason: "has an older manifest"}
			}
			return err
		})
		if err != nil {
			return 0, err
		}
	}
	return time.Since(accepted), nil
}

// setPlatform lets a fault happen at the platform.
func setPlatform(ctx context.Context, d *deploy.Deployment, fault string) error {
	return send(ctx, http.MethodPost, fmt.Sprintf("http://%s/admin/fault", d.PlatformAddress), []byte(fault))
}
