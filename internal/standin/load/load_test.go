package load

import (
	"context"
	"encoding/json"
	"flag"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/pkg/errors"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/standin/database"
)

var update = flag.Bool("update", false, "write the golden files")

func equal(t *testing.T, want, got any) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("(-want +got)\n%s", diff)
	}
}

var (
	postKind  = Kind{Name: "post", Access: model.AccessWrite, Rate: 500}
	checkKind = Kind{Name: "check", Access: model.AccessRead, Rate: 500}
)

// startDatabase runs a database until the end of the test.
func startDatabase(t *testing.T, options database.Options) *database.Database {
	t.Helper()
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	options.Listen, options.AdminListen = loopback, loopback
	options.Slots, options.Connections = 3, 50
	db := database.NewDatabase(options)
	ctx, cancel := context.WithCancel(context.Background())
	done, err := db.Start(ctx)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return db
}

// newTestRun returns a run that connects directly to databases, the primary first.
func newTestRun(databases ...*database.Database) *run {
	options := Options{
		Group: "ratings", User: "load", Kinds: []Kind{postKind, checkKind}, Connections: 2,
		Duration: 50 * time.Millisecond, StatementTimeout: time.Minute, Seed: 1, Direct: true,
	}
	for _, db := range databases {
		options.Addresses = append(options.Addresses, db.Address())
		options.AdminAddresses = append(options.AdminAddresses, db.AdminAddress())
	}
	return &run{options: options, entryPrefix: "run"}
}

// -----------------------------------------------------------------------------
// Kinds and outcomes.

func TestParseKind(t *testing.T) {
	cases := []struct {
		text string
		want Kind
		ok   bool
	}{
		{"post=write:500/s", postKind, true},
		{"check=read:0.5/s", Kind{Name: "check", Access: model.AccessRead, Rate: 0.5}, true},
		{"post=500/s", Kind{}, false},
		{"post=delete:500/s", Kind{}, false},
		{"post=write:500", Kind{}, false},
		{"post=write:0/s", Kind{}, false},
		{"post=write:NaN/s", Kind{}, false},
		{"=write:5/s", Kind{}, false},
		{"", Kind{}, false},
	}
	for _, c := range cases {
		t.Run(c.text, func(t *testing.T) {
			got, err := ParseKind(c.text)
			equal(t, c.want, got)
			equal(t, c.ok, err == nil)
		})
	}
}

func TestClassify(t *testing.T) {
	serverError := func(code, message string) error {
		return errors.Wrap(&pgconn.PgError{Code: code, Message: message}, "write")
	}
	cases := []struct {
		name   string
		err    error
		access model.Access
		want   outcome
		cause  string
	}{
		{"done", nil, model.AccessWrite, outcomeDone, ""},
		{"refused", serverError("53000", "not run: overloaded"), model.AccessWrite, outcomeNotRun, "53000"},
		{"unknown", serverError("08007", "outcome unknown"), model.AccessWrite, outcomeUnknown, "08007"},
		{"failed", serverError("58030", "input or output error"), model.AccessWrite, outcomeFailed, "58030"},
		{"write broken", context.Canceled, model.AccessWrite, outcomeUnknown, causeBroken},
		{"write timeout", errors.Wrap(context.DeadlineExceeded, "write"), model.AccessWrite, outcomeUnknown, causeTimeout},
		{"read broken", context.Canceled, model.AccessRead, outcomeFailed, causeBroken},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, cause := classify(c.err, c.access)
			equal(t, c.want, got)
			equal(t, c.cause, cause)
		})
	}
}

func TestCompareLedger(t *testing.T) {
	outcomes := map[string]outcome{
		"run-kept":       outcomeDone,
		"run-lost":       outcomeDone,
		"run-duplicated": outcomeDone,
		"run-unexpected": outcomeNotRun,
		"run-failed":     outcomeFailed,
		"run-unknown":    outcomeUnknown,
		"run-refused":    outcomeNotRun,
	}
	ledger := []string{"run-kept", "run-duplicated", "run-duplicated", "run-unexpected", "run-failed", "run-unknown", "other", "other"}
	equal(t, Comparison{Acknowledged: 3, Lost: 1, Duplicated: 1, UnexpectedlyCommitted: 2}, compareLedger(outcomes, "run", ledger))
}

// -----------------------------------------------------------------------------
// Runs.

func TestRunReportAddsUp(t *testing.T) {
	db := startDatabase(t, database.Options{Name: "a", Group: "ratings", Primary: true})
	for _, closedLoop := range []bool{false, true} {
		options := newTestRun(db).options
		options.ClosedLoop = closedLoop
		options.ConsistencyCheckers = 1
		report, err := Run(t.Context(), options)
		if err != nil {
			t.Fatal(err)
		}
		for name, kind := range report.Kinds {
			equal(t, kind.Offered, kind.Done+kind.NotRun+kind.Unknown+kind.Failed)
			equal(t, KindReport{}, KindReport{Unknown: kind.Unknown, Failed: kind.Failed})
			t.Logf("%s: %d offered", name, kind.Offered)
		}
		equal(t, int64(0), report.Check.Violations)
		equal(t, Comparison{Acknowledged: int(report.Kinds["post"].Done)}, *report.Comparison)
	}
}

func TestClientCountsOutcomes(t *testing.T) {
	db := startDatabase(t, database.Options{Name: "a", Group: "ratings", Primary: true})
	r := newTestRun(db)
	c := newClient(r, postKind, 0)
	t.Cleanup(c.session.close)
	c.sendStatement(t.Context(), t.Context(), time.Now())
	db.SetFault(database.FaultFailStatements{Share: 1})
	c.sendStatement(t.Context(), t.Context(), time.Now())
	db.SetFault(database.FaultNone{})
	c.sendStatement(t.Context(), t.Context(), time.Now())
	equal(t, int64(2), c.tally.Done)
	equal(t, map[string]int64{"58030": 1}, c.tally.causes)
	equal(t, map[string]outcome{"run-post-0-0": outcomeDone, "run-post-0-1": outcomeFailed, "run-post-0-2": outcomeDone}, c.outcomes)
	equal(t, []string{"run-post-0-0", "run-post-0-2"}, db.Content().Ledger)
}

func TestCheckerCountsStaleReads(t *testing.T) {
	a := startDatabase(t, database.Options{Name: "a", Group: "ratings", Primary: true})
	b := startDatabase(t, database.Options{Name: "b", Group: "ratings", Source: a.Address(), ApplyLag: time.Hour})
	c := newChecker(newTestRun(a, b), 0)
	t.Cleanup(c.session.close)
	equal(t, true, c.write(t.Context(), 0, true))
	c.read(t.Context(), 1)
	equal(t, CheckReport{Checks: 1, Violations: 1}, c.report)
	b.SetLag(0)
	if _, err := b.AwaitState(t.Context(), func(s database.State) bool { return s.Applied.Offset == 2 }); err != nil {
		t.Fatal(err)
	}
	c.read(t.Context(), 1)
	equal(t, CheckReport{Checks: 2, Violations: 1}, c.report)
}

func TestStatementComments(t *testing.T) {
	kind := Kind{Name: "post", Deadline: 2 * time.Second}
	s := newSession(Options{RotateAddresses: true})
	equal(t, "SELECT 1 /*kind='post',deadline='2s'*/", s.withComment("SELECT 1", kind))
	s.token = model.Token{Group: "ratings", Position: model.Position{Term: 3, Offset: 14}}
	equal(t, "SELECT 1 /*kind='post',deadline='2s',token='ratings%2F3:14'*/", s.withComment("SELECT 1", kind))
}

// -----------------------------------------------------------------------------
// The report.

func TestWriteGapIncludesStartAndEnd(t *testing.T) {
	startedAt := time.Unix(100, 0)
	cases := []struct {
		name      string
		successes []time.Duration
		want      time.Duration
	}{
		{"none", nil, 10 * time.Second},
		{"from the start", []time.Duration{6 * time.Second, 9 * time.Second}, 6 * time.Second},
		{"between", []time.Duration{1 * time.Second, 8 * time.Second}, 7 * time.Second},
		{"to the end", []time.Duration{2 * time.Second}, 8 * time.Second},
		{"after the end", []time.Duration{5 * time.Second, 25 * time.Second}, 5 * time.Second},
		{"out of order", []time.Duration{5 * time.Second, 4 * time.Second, 9 * time.Second}, 5 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			meter := gapMeter{lastSuccess: startedAt, measurementEnd: startedAt.Add(10 * time.Second)}
			for _, offset := range c.successes {
				meter.recordSuccess(startedAt.Add(offset))
			}
			meter.recordSuccess(meter.measurementEnd)
			equal(t, c.want, meter.longest)
		})
	}
}

func TestReportGolden(t *testing.T) {
	r := newTestRun()
	startedAt := time.Unix(100, 0)
	r.writeGaps = gapMeter{lastSuccess: startedAt, measurementEnd: startedAt.Add(10 * time.Second)}
	c := newClient(r, postKind, 0)
	for i := range 4 {
		c.tally.Offered++
		c.tally.count(outcomeDone, "")
		c.tally.recordLatency(time.Duration(i+1)*time.Millisecond, 2*time.Millisecond)
		r.writeGaps.recordSuccess(startedAt.Add(time.Duration(i*i) * time.Second))
	}
	c.tally.Offered++
	c.tally.count(outcomeUnknown, "08007")
	c.outcomes["run-post-0-0"] = outcomeDone
	r.clients = append(r.clients, c)
	report := r.report(10 * time.Second)
	report.Check = &CheckReport{Checks: 5}
	report.Comparison = &Comparison{Acknowledged: 4}
	got, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	const golden = "testdata/report.golden"
	if *update {
		if err := os.WriteFile(golden, append(got, '\n'), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(golden)
	if err != nil {
		t.Fatal(err)
	}
	equal(t, string(want), string(got)+"\n")
}
