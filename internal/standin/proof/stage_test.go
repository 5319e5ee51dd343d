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
	// caseLimit turns a hang into a failure.
	caseLimit = 60 * time.Second
	// beforeFault is the number of entries that the ledger holds when a fault
	// happens under load.
	beforeFault = 20
)

// stage is one case's deployment: three databases of one group, the first of
// them primary, and three instances.
type stage struct {
	*testing.T
	*deploy.Deployment
	ctx context.Context
}

func newStage(t *testing.T, binaries string) *stage {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), caseLimit)
	t.Cleanup(cancel)
	d, err := deploy.Start(ctx, deploy.Options{
		Binaries: binaries, Zones: []model.ZoneID{"lanier", "savannah", "allatoona"},
		Groups: []model.GroupID{group}, Instances: 3, BaseManifest: deploy.BaseManifest,
	})
	if err != nil {
		t.Fatal(err)
	}
	s := &stage{T: t, Deployment: d, ctx: ctx}
	t.Cleanup(s.end)
	return s
}

// end stops what is left: each process has to end as asked.
func (s *stage) end() {
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

func (s *stage) must(err error) {
	s.Helper()
	if err != nil {
		s.Fatal(err)
	}
}

func (s *stage) equal(what string, want, got any) {
	s.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		s.Errorf("%s (-want +got):\n%s", what, diff)
	}
}

// await repeats a question until it is answered by true.
func (s *stage) await(what string, holds func() bool) {
	s.Helper()
	err := deploy.Retry(s.ctx, func() error {
		if holds() {
			return nil
		}
		return &deploy.ProcessError{Name: what, Reason: "does not hold yet"}
	})
	if err != nil {
		s.Fatalf("waiting for %s: %v", what, err)
	}
}

// -----------------------------------------------------------------------------
// Load.

// under offers load while the fault happens, and judges what callers were told
// by what the primary's ledger holds. The fault happens once the ledger holds
// some entries.
func (s *stage) under(fault func()) load.Report {
	s.Helper()
	type result struct {
		report load.Report
		err    error
	}
	ended := make(chan result, 1)
	options := s.loadOptions()
	go func() {
		report, err := load.Run(s.ctx, options)
		ended <- result{report, err}
	}()
	s.await("load", func() bool { return len(s.content(s.Databases[0]).Ledger) >= beforeFault })
	fault()
	r := <-ended
	s.must(r.err)
	s.judge(r.report)
	return r.report
}

func (s *stage) loadOptions() load.Options {
	options := load.Options{
		Group: group, User: "proof", Connections: 6, ConsistencyCheckers: 2, Seed: 4711,
		Kinds: []load.Kind{
			{Name: "post", Access: model.AccessWrite, Rate: 100},
			{Name: "check", Access: model.AccessRead, Rate: 100},
		},
		Duration: 3 * time.Second, StatementTimeout: 15 * time.Second,
	}
	for _, in := range s.Instances {
		options.Addresses = append(options.Addresses, in.CallerAddress)
	}
	for _, d := range s.Databases {
		options.AdminAddresses = append(options.AdminAddresses, d.AdminAddress)
	}
	return options
}

// judge wants nothing lost, doubled or there against what callers were told,
// and every write seen by its session's reads through other instances.
func (s *stage) judge(report load.Report) {
	s.Helper()
	text, _ := json.Marshal(report)
	s.Logf("load: %s", text)
	compared := *report.Comparison
	s.equal("ledger against callers", load.Comparison{Acknowledged: compared.Acknowledged}, compared)
	s.equal("reads that miss their session's write", int64(0), report.Check.Violations)
	if compared.Acknowledged < beforeFault || report.Check.Checks == 0 {
		s.Errorf("too little was judged: %s", text)
	}
}

// -----------------------------------------------------------------------------
// Stand-ins.

// state is what the proof reads of a database's state.
type state struct {
	Role      string     `json:"role"`
	Term      model.Term `json:"term"`
	Streaming bool       `json:"streaming"`
}

func (s *stage) state(d *deploy.Database) state {
	s.Helper()
	var got state
	s.get(d.AdminAddress, "/state", &got)
	return got
}

func (s *stage) content(d *deploy.Database) database.Content {
	s.Helper()
	var got database.Content
	s.get(d.AdminAddress, "/content", &got)
	return got
}

func (s *stage) fail(d *deploy.Database, fault database.FaultRequest) {
	s.Helper()
	s.post(d.AdminAddress, "/fault", fault)
}

func (s *stage) failPlatform(fault string) {
	s.Helper()
	s.post(s.PlatformAddress, "/admin/fault", platform.FaultRequest{Fault: fault})
}

// loseWrites lets changes take effect at the platform while their answers are
// lost, until one has done so during the step.
func (s *stage) loseWrites(step func()) {
	s.Helper()
	before := s.platformWrites()
	s.post(s.PlatformAddress, "/admin/fault", platform.FaultRequest{Fault: "lose", Writes: true})
	step()
	s.await("a lost answer", func() bool { return s.platformWrites() > before })
	s.failPlatform("none")
}

// platformWrites returns the number of writes that reached the platform.
func (s *stage) platformWrites() int64 {
	s.Helper()
	var stats platform.Stats
	s.get(s.PlatformAddress, "/admin/stats", &stats)
	return stats.Writes
}

func (s *stage) get(address netip.AddrPort, path string, into any) {
	s.Helper()
	request, err := http.NewRequestWithContext(s.ctx, http.MethodGet, "http://"+address.String()+path, nil)
	s.must(err)
	answer, err := http.DefaultClient.Do(request)
	s.must(err)
	defer func() { _ = answer.Body.Close() }()
	s.must(json.NewDecoder(answer.Body).Decode(into))
}

func (s *stage) post(address netip.AddrPort, path string, body any) {
	s.Helper()
	text, err := json.Marshal(body)
	s.must(err)
	request, err := http.NewRequestWithContext(s.ctx, http.MethodPost, "http://"+address.String()+path, bytes.NewReader(text))
	s.must(err)
	answer, err := http.DefaultClient.Do(request)
	s.must(err)
	_ = answer.Body.Close()
	if answer.StatusCode >= http.StatusMultipleChoices {
		s.Fatalf("%s answered %s", path, answer.Status)
	}
}

// -----------------------------------------------------------------------------
// Instances.

// running returns the instances whose process is there.
func (s *stage) running() []*deploy.Instance {
	return slices.DeleteFunc(slices.Clone(s.Instances), func(in *deploy.Instance) bool { return in.Process.HasEnded() })
}

// awaitStatus waits until the report of each running instance passes.
func (s *stage) awaitStatus(what string, passes func(report status.Status) bool) {
	s.Helper()
	for _, in := range s.running() {
		s.await(in.Name+": "+what, func() bool {
			report, err := s.Status(s.ctx, in)
			return err == nil && passes(report)
		})
	}
}

// awaitPromotion waits until each running instance knows another primary than
// the first one, and returns it.
func (s *stage) awaitPromotion() *deploy.Database {
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
func (s *stage) awaitEvent(wanted event.Event) {
	s.Helper()
	mark := fmt.Sprintf(" event=%d ", wanted.Number)
	s.await("event "+wanted.Name, func() bool {
		return slices.ContainsFunc(s.Instances, func(in *deploy.Instance) bool {
			return slices.ContainsFunc(in.Process.LogLines(), func(line string) bool { return strings.Contains(line, mark) })
		})
	})
}
