package promotion

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

var update = flag.Bool("update", false, "rewrite the golden files")

func compareGolden(t *testing.T, path string, lines []string) {
	t.Helper()
	got := strings.Join(lines, "\n") + "\n"
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), got); diff != "" {
		t.Error(diff)
	}
}

// called returns a database that was in term 1 when it was called.
func called(id model.DatabaseID, changes ...func(*Sighting)) Sighting {
	s := Sighting{Call: Call{Database: id, Term: 1}}
	for _, change := range changes {
		change(&s)
	}
	return s
}

func follows(s *Sighting)   { s.HasAnswered, s.Newest = true, 1 }
func leads(s *Sighting)     { s.HasAnswered, s.IsPrimary, s.Newest = true, true, 2 }
func leadsNext(s *Sighting) { s.HasAnswered, s.IsPrimary, s.Newest = true, true, 3 }
func led(s *Sighting)       { s.HasAnswered, s.IsPrimary, s.Newest = true, true, 1 }
func unchanged(s *Sighting) { s.IsUnchanged = true }
func replaced(s *Sighting)  { s.IsReplaced = true }
func refused(s *Sighting)   { s.WasRefused = true }
func stopped(s *Sighting)   { s.IsStopped = true }
func lost(s *Sighting)      { s.IsLost = true }
func abandoned(s *Sighting) { s.IsAbandoned = true }

func describeCalls(calls Calls) string {
	var ids []string
	for _, c := range calls.Calls {
		ids = append(ids, fmt.Sprintf("%s abandoned %t", c.Database, c.IsAbandoned))
	}
	return "[" + strings.Join(ids, ", ") + "]"
}

func describe(settlement Settlement) string {
	switch s := settlement.(type) {
	case Pending:
		return "pending " + string(s.Call.Database)
	case Led:
		return fmt.Sprintf("%s leads, remaining %s", s.Call.Database, describeCalls(s.Calls))
	case Free:
		return "free, remaining " + describeCalls(s.Calls)
	default:
		return fmt.Sprintf("%T", settlement)
	}
}

// Guards against a second promotion while a first one may still take effect, and against
// another database that is taken for the result.
func TestSettle(t *testing.T) {
	var lines []string
	for _, c := range []struct {
		name      string
		sightings []Sighting
	}{
		{"no call", nil},
		{"it follows", []Sighting{called("a", follows)}},
		{"it does not answer", []Sighting{called("a")}},
		{"it leads the next term", []Sighting{called("a", leads)}},
		{"it leads the term of its call", []Sighting{called("a", led)}},
		{"it leads the term of its call, long after the call was accepted", []Sighting{called("a", led, unchanged)}},
		{"it has started again", []Sighting{called("a", follows, replaced)}},
		{"another database has its address", []Sighting{called("a", replaced)}},
		{"its calls were refused and it does not answer", []Sighting{called("a", refused, stopped)}},
		{"its calls were refused and it answers", []Sighting{called("a", refused, stopped, follows)}},
		{"it is stopped", []Sighting{called("a", stopped)}},
		{"it is said to be stopped and answers", []Sighting{called("a", stopped, follows)}},
		{"it is lost", []Sighting{called("a", lost)}},
		{"it counted as lost and answers", []Sighting{called("a", lost, follows)}},
		{"it was abandoned", []Sighting{called("a", abandoned)}},
		{"it was abandoned and follows again", []Sighting{called("a", abandoned, follows)}},
		{"it was abandoned and leads", []Sighting{called("a", abandoned, leads)}},
		{"it was abandoned and another database has its address", []Sighting{called("a", abandoned, replaced)}},
		{"the abandoned one leads, the next one follows", []Sighting{called("a", abandoned, leads), called("b", follows)}},
		{"the abandoned one is away, the next one leads", []Sighting{called("a", abandoned), called("b", leads)}},
		{"both lead, the abandoned one a newer term", []Sighting{called("a", abandoned, leadsNext), called("b", leads)}},
		{"both lead, the next one a newer term", []Sighting{called("a", abandoned, leads), called("b", leadsNext)}},
	} {
		lines = append(lines, c.name+": "+describe(Settle(c.sightings)))
	}
	compareGolden(t, "testdata/settlements.golden", lines)
}

// Guards against an answer of the next primary that counts although the promotion of a lost
// database has taken effect after all.
func TestCheck(t *testing.T) {
	entry := func(w *Watched) { w.HasEntry = true }
	refusing := func(w *Watched) { w.IsRefusing = true }
	watch := func(s Sighting, changes ...func(*Watched)) Watched {
		w := Watched{Sighting: s}
		for _, change := range changes {
			change(&w)
		}
		return w
	}
	var lines []string
	for _, c := range []struct {
		name    string
		watched []Watched
	}{
		{"no call", nil},
		{"it has no entry and does not answer", []Watched{watch(called("a"))}},
		{"it has an entry and does not answer", []Watched{watch(called("a"), entry)}},
		{"it has an entry and refuses", []Watched{watch(called("a"), entry, refusing)}},
		{"it follows", []Watched{watch(called("a", follows), entry)}},
		{"it leads", []Watched{watch(called("a", leads), entry)}},
		{"it has started again", []Watched{watch(called("a", follows, replaced), entry)}},
		{"one has started again, one follows", []Watched{watch(called("a", replaced)), watch(called("b", follows))}},
		{"one does not answer, one leads", []Watched{watch(called("a"), entry), watch(called("b", leads))}},
	} {
		lines = append(lines, c.name+": "+Check(c.watched).String())
	}
	compareGolden(t, "testdata/guards.golden", lines)
}

// Guards against an old primary that is taken for a promoted database in the first failover
// of a group, whose row does not tell the term.
func TestIsTakenOver(t *testing.T) {
	end := model.Position{Term: 1, Offset: 9}
	got := []bool{IsTakenOver(1, 0, end), IsTakenOver(2, 0, end), IsTakenOver(2, 2, end), IsTakenOver(3, 2, end)}
	if diff := cmp.Diff([]bool{false, true, false, true}, got); diff != "" {
		t.Error(diff)
	}
}
