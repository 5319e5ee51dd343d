package proof_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
	"github.com/eelgrassfold/eelgrassfold/internal/report/status"
	"github.com/eelgrassfold/eelgrassfold/internal/standin/database"
	"github.com/eelgrassfold/eelgrassfold/internal/standin/deploy"
	"github.com/eelgrassfold/eelgrassfold/internal/standin/load"
	"github.com/eelgrassfold/eelgrassfold/internal/standin/platform"
)

const (
	group = model.GroupID("ratings")
	// caseTimeout bounds the time of a case, so that a hang becomes a failure.
	caseTimeout = 60 * time.Second
	// entriesBeforeFault is the number of entries that the ledger must hold before a
	// fault is injected under load.
	entriesBeforeFault = 20
)

// scenario is the deployment of one case: three instances and one group of three
// databases, the first of which is primary.
type scenario struct {
	*testing.T
	*deploy.Deployment
	ctx context.Context
}

func newScenario(t *testing.T, binaries string) *scenario {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), caseTimeout)
	t.Cleanup(cancel)
	d, err := deploy.Start(ctx, deploy.Options{
		Binaries: binaries, Zones: []model.ZoneID{"lanier", "savannah", "allatoona"},
		Groups: []model.GroupID{group}, Instances: 3, BaseManifest: deploy.BaseManifest,
	})
	if err != nil {
		t.Fatal(err)
	}
	s := &scenario{T: t, Deployment: d, ctx: ctx}
	t.Cleanup(s.cleanUp)
	return s
}

// cleanUp stops all processes, each of which must end when requested. It logs the end of
// their logs if the test has failed.
func (s *scenario) cleanUp() {
	if err := s.Stop(); err != nil {
		s.Error(err)
	}
	if !s.Failed() {
		return
	}
	for _, process := range s.Processes() {
		s.Logf("the end of the log of %s:\n%s", process.Name, process.LogTail())
	}
}

func (s *scenario) requireNoError(err error) {
	s.Helper()
	if err != nil {
		s.Fatal(err)
	}
}

func (s *scenario) checkEqual(what string, want, got any) {
	s.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		s.Errorf("%s (-want +got):\n%s", what, diff)
	}
}

// await waits until a condition is true, or ends the test when its time is over.
func (s *scenario) await(what string, condition func() bool) {
	s.Helper()
	err := deploy.Retry(s.ctx, func() error {
		if condition() {
			return nil
		}
		// The condition need not concern a process; the type only provides the text.
		return &deploy.ProcessError{Name: what, Reason: "does not hold yet"}
	})
	if err != nil {
		s.Fatalf("waiting for %s: %v", what, err)
	}
}

// -----------------------------------------------------------------------------
// Load.

// runUnderLoad offers load, injects a fault once the ledger holds entriesBeforeFault
// entries, and compares the outcomes that callers received with the primary's ledger.
func (s *scenario) runUnderLoad(fault func()) load.Report {
	s.Helper()
	type result struct {
		report load.Report
		err    error
	}
	done := make(chan result, 1)
	options := s.loadOptions()
	go func() {
		report, err := load.Run(s.ctx, options)
		done <- result{report, err}
	}()
	s.await("load", func() bool { return len(s.databaseContent(s.Databases[0]).Ledger) >= entriesBeforeFault })
	fault()
	r := <-done
	s.requireNoError(r.err)
	s.checkReport(r.report)
	return r.report
}

func (s *scenario) loadOptions() load.Options {
	options := load.Options{
		Group: group, User: "proof", Connections: 6, ConsistencyCheckers: 2, Seed: 4711,
		Kinds: []load.Kind{
			{Name: "post", Access: model.AccessWrite, Rate: 100},
			{Name: "check", Access: model.AccessRead, Rate: 100},
		},
		Duration: 3 * time.Second, StatementTimeout: 15 * time.Second,
	}
	for _, instance := range s.Instances {
		options.Addresses = append(options.Addresses, instance.CallerAddress)
	}
	for _, d := range s.Databases {
		options.AdminAddresses = append(options.AdminAddresses, d.AdminAddress)
	}
	return options
}

// checkReport checks that no write was lost, duplicated or unexpectedly committed, and
// that every write was visible to its session's reads through other instances.
func (s *scenario) checkReport(report load.Report) {
	s.Helper()
	text, _ := json.Marshal(report)
	s.Logf("load: %s", text)
	comparison := *report.Comparison
	s.checkEqual("ledger compared with callers' outcomes", load.Comparison{Acknowledged: comparison.Acknowledged}, comparison)
	s.checkEqual("reads that did not return their session's write", int64(0), report.Check.Violations)
	if comparison.Acknowledged < entriesBeforeFault || report.Check.Checks == 0 {
		s.Errorf("too few writes or checks to be meaningful: %s", text)
	}
}

// -----------------------------------------------------------------------------
// Simulated databases and platform.

// databaseState holds the fields of a database's state that the tests use.
type databaseState struct {
	Role      string     `json:"role"`
	Term      model.Term `json:"term"`
	Streaming bool       `json:"streaming"`
}

func (s *scenario) databaseState(d *deploy.Database) databaseState {
	s.Helper()
	var got databaseState
	s.getJSON(d.AdminAddress, "/state", &got)
	return got
}

func (s *scenario) databaseContent(d *deploy.Database) database.Content {
	s.Helper()
	var got database.Content
	s.getJSON(d.AdminAddress, "/content", &got)
	return got
}

// injectFault sets the fault of a simulated database.
func (s *scenario) injectFault(d *deploy.Database, fault database.FaultRequest) {
	s.Helper()
	s.postJSON(d.AdminAddress, "/fault", fault)
}

// injectPlatformFault sets the fault of the simulated platform.
func (s *scenario) injectPlatformFault(fault string) {
	s.Helper()
	s.postJSON(s.PlatformAddress, "/admin/fault", platform.FaultRequest{Fault: fault})
}

// loseWriteResponses makes the platform apply writes but lose their responses. It runs
// the step, waits until the platform has received a write, and clears the fault.
func (s *scenario) loseWriteResponses(step func()) {
	s.Helper()
	before := s.platformWrites()
	s.postJSON(s.PlatformAddress, "/admin/fault", platform.FaultRequest{Fault: "lose", Writes: true})
	step()
	s.await("a lost answer", func() bool { return s.platformWrites() > before })
	s.injectPlatformFault("none")
}

// platformWrites returns the number of writes that reached the platform.
func (s *scenario) platformWrites() int64 {
	s.Helper()
	var stats platform.Stats
	s.getJSON(s.PlatformAddress, "/admin/stats", &stats)
	return stats.Writes
}

// getJSON decodes the JSON document at a path into target.
func (s *scenario) getJSON(address netip.AddrPort, path string, target any) {
	s.Helper()
	request, err := http.NewRequestWithContext(s.ctx, http.MethodGet, "http://"+address.String()+path, nil)
	s.requireNoError(err)
	response, err := http.DefaultClient.Do(request)
	s.requireNoError(err)
	defer func() { _ = response.Body.Close() }()
	s.requireNoError(json.NewDecoder(response.Body).Decode(target))
}

// postJSON sends a body as JSON and ends the test if the status is 300 or above.
func (s *scenario) postJSON(address netip.AddrPort, path string, body any) {
	s.Helper()
	text, err := json.Marshal(body)
	s.requireNoError(err)
	request, err := http.NewRequestWithContext(s.ctx, http.MethodPost, "http://"+address.String()+path, bytes.NewReader(text))
	s.requireNoError(err)
	response, err := http.DefaultClient.Do(request)
	s.requireNoError(err)
	_ = response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		s.Fatalf("%s answered %s", path, response.Status)
	}
}

// -----------------------------------------------------------------------------
// Instances.

// runningInstances returns the instances whose process is running.
func (s *scenario) runningInstances() []*deploy.Instance {
	return slices.DeleteFunc(slices.Clone(s.Instances), func(instance *deploy.Instance) bool { return instance.Process.HasEnded() })
}

// awaitStatus waits until the status of each running instance meets a condition.
func (s *scenario) awaitStatus(what string, condition func(report status.Status) bool) {
	s.Helper()
	for _, instance := range s.runningInstances() {
		s.await(instance.Name+": "+what, func() bool {
			report, err := s.Status(s.ctx, instance)
			return err == nil && condition(report)
		})
	}
}

// awaitPromotion waits until each running instance reports a primary other than the first
// database. It returns the primary that the last of these instances reports; it does not
// check that all of them report the same one.
func (s *scenario) awaitPromotion() *deploy.Database {
	s.Helper()
	var name string
	s.awaitStatus("a new primary", func(report status.Status) bool {
		name = report.Groups[0].Primary
		return report.Groups[0].Term > 1 && name != "" && name != string(s.Databases[0].Name)
	})
	i := slices.IndexFunc(s.Databases, func(d *deploy.Database) bool { return string(d.Name) == name })
	return s.Databases[i]
}

// awaitEvent waits until an instance has logged an event.
func (s *scenario) awaitEvent(wanted event.Event) {
	s.Helper()
	pattern := fmt.Sprintf(" event=%d ", wanted.Number)
	s.await("event "+wanted.Name, func() bool {
		return slices.ContainsFunc(s.Instances, func(instance *deploy.Instance) bool {
			return slices.ContainsFunc(instance.Process.LogLines(), func(line string) bool { return strings.Contains(line, pattern) })
		})
	})
}
