package replica

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

func compareGolden(t *testing.T, path, got string) {
	t.Helper()
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

func position(term, offset int) model.Position {
	return model.Position{Term: model.Term(term), Offset: uint64(offset)}
}

// answer returns the answer of a replica in term 2 with a log of that term.
func answer(id model.DatabaseID, offset int, changes ...func(*Answer)) Answer {
	a := Answer{Copy: Copy{ID: id, Incarnation: 1}, Term: 2, Position: position(2, offset)}
	for _, change := range changes {
		change(&a)
	}
	return a
}

func leaving(a *Answer)   { a.Leaving = true }
func retired(a *Answer)   { a.Leaving, a.Retired = true, true }
func leads(a *Answer)     { a.IsPrimary = true }
func promoted(a *Answer)  { a.IsPrimary, a.Term = true, 3 }
func restarted(a *Answer) { a.Incarnation = 2 }
func empty(a *Answer)     { a.Incarnation, a.Position = 2, position(1, 0) }
func barred(a *Answer)    { a.IsBarred = true }
func behind(a *Answer)    { a.Term, a.Position.Term = 1, 1 }

// The primary p of term 2 is replaced; its log ended at 2:10 when it was promoted.
func changeOf(answers ...Answer) Change {
	return Change{
		Primary: "p", Term: 2, Base: position(2, 10), CanResume: true, Answers: answers,
		Copies: []Copy{{ID: "a", Incarnation: 1}, {ID: "b", Incarnation: 1}, {ID: "p", Incarnation: 1}},
	}
}

func overdue(c Change) Change { c.IsOverdue = true; return c }
func lost(c Change) Change    { c.IsLost = true; return c }

func unresumable(c Change) Change { c.CanResume = false; return c }

// Guards against a promotion that loses acknowledged commits, for each of the ways to it
// that one state of a group shows.
func TestDecide(t *testing.T) {
	unfinished := overdue(changeOf(answer("p", 20, leads), answer("a", 15), answer("b", 14)))
	unfinished.CanResume = false
	drained := changeOf(answer("b", 15), Answer{Copy: Copy{ID: "c", Incarnation: 2}, Term: 2, Position: position(2, 20)})
	drained.Copies[0].Leaving = true
	taken := drained
	taken.Copies = []Copy{{ID: "a", Incarnation: 1}, {ID: "b", Incarnation: 1}, {ID: "p", Incarnation: 1}}
	heir := changeOf(answer("b", 15), Answer{Copy: Copy{ID: "c", Incarnation: 2}, Term: 2, Position: position(2, 20)})
	heir.Copies[2].Leaving = true
	refilled := changeOf(answer("a", 18, restarted), answer("b", 15))
	refilled.Copies[0] = Copy{ID: "a", Incarnation: 2, Floor: position(2, 19)}
	// The row of a group's first primary does not tell its term.
	first := func(answers ...Answer) Change {
		c := changeOf(answers...)
		c.Term, c.Base = 0, model.Position{}
		return c
	}
	// p has been promoted to term 3 from the end 2:10 and has no commits since.
	fresh := func(answers ...Answer) Change {
		c := changeOf(answers...)
		c.Term = 3
		return c
	}
	next := func(a *Answer) { a.Term = 3 }
	returned := func(a *Answer) { a.ID, a.IsPrimary = "q", true }
	var lines []string
	for _, c := range []struct {
		name   string
		change Change
	}{
		{"all replicas answer", changeOf(answer("a", 20), answer("b", 15))},
		{"the longest log is of a leaving one", changeOf(answer("a", 20, leaving), answer("b", 15))},
		{"the longest log is of a retired one", changeOf(answer("a", 20, retired), answer("b", 15))},
		{"equal logs, one is leaving", changeOf(answer("a", 20, leaving), answer("b", 20))},
		{"the longest log is of a newcomer", changeOf(answer("a", 20, barred), answer("b", 15))},
		{"the longest log is of a newcomer, the primary answers", changeOf(answer("p", 20, leads), answer("a", 20, barred))},
		{"one does not answer", changeOf(answer("b", 15))},
		{"one does not answer and is lost", lost(changeOf(answer("b", 15)))},
		{"none answers and all are lost", lost(changeOf())},
		{"no log holds the base", changeOf(answer("a", 9), answer("b", 8))},
		{"no log holds the base, which is lost", lost(changeOf(answer("a", 9), answer("b", 8)))},
		{"one has restarted with its log", changeOf(answer("a", 20, restarted), answer("b", 15))},
		{"one has restarted without its log", changeOf(answer("a", 0, empty), answer("b", 15))},
		{"one was refilled in part", refilled},
		{"a drained log was moved to a new database", drained},
		{"a new database has the address of one that crashed", taken},
		{"the log of the primary was moved to a new database", heir},
		{"the log of an earlier term is longer", changeOf(answer("a", 30, behind), answer("b", 15))},
		{"only logs of an earlier term, without the base", changeOf(answer("a", 30, behind), answer("b", 28, behind))},
		{"the primary answers, a replica has caught up", changeOf(answer("p", 20, leads), answer("b", 20))},
		{"the primary answers, a leaving replica has caught up", changeOf(answer("p", 20, leads), answer("a", 20, leaving), answer("b", 15))},
		{"the primary leaves, so does the replica that has caught up", overdue(changeOf(answer("p", 20, leads, leaving), answer("a", 20, leaving)))},
		{"the primary is retired, the replica that has caught up leaves", changeOf(answer("p", 20, leads, retired), answer("a", 20, leaving))},
		{"the primary answers, no replica has caught up", changeOf(answer("p", 20, leads), answer("a", 15), answer("b", 14))},
		{"the primary answers, no replica has caught up in time", overdue(changeOf(answer("p", 20, leads), answer("a", 15), answer("b", 14)))},
		{"the same after an unfinished change", unfinished},
		{"the primary is retired, no replica has caught up", overdue(changeOf(answer("p", 20, leads, retired), answer("a", 15)))},
		{"the primary has stepped down, no replica has caught up", overdue(changeOf(answer("p", 20), answer("a", 15), answer("b", 14)))},
		{"the primary has lost its log", overdue(changeOf(answer("p", 0, empty), answer("a", 15)))},
		{"the primary has lost its log, all replicas answer", changeOf(answer("p", 0, empty), answer("a", 15), answer("b", 14))},
		{"another was promoted already", changeOf(answer("a", 20, promoted), answer("b", 25))},
		{"another was promoted already, the primary answers", changeOf(answer("p", 30, leads), answer("a", 20, promoted))},
		{"the primary is back under another ID", changeOf(answer("p", 20, returned), answer("a", 15), answer("b", 14))},
		{"the primary is back under another ID, a replica is lost", changeOf(answer("p", 20, returned), answer("a", 15))},
		{"the primary is back under another ID, a replica has caught up", changeOf(answer("p", 20, returned), answer("a", 20))},
		{"the primary is back under another ID and leaves, a replica has caught up", changeOf(answer("p", 20, returned, leaving), answer("a", 20))},
		{"the primary is back under another ID without its log", changeOf(answer("p", 0, returned), answer("a", 20))},
		{"the primary is back under another ID, behind a replica", changeOf(answer("p", 15, returned), answer("a", 20))},
		{"the primary is back under another ID, calls are not known", unresumable(changeOf(answer("p", 20, returned), answer("a", 15)))},
		{"the primary has less than the base, a replica does not answer", changeOf(answer("p", 9, leads), answer("b", 8))},
		{"the primary has less than a replica, another does not answer", changeOf(answer("p", 15, leads), answer("b", 20))},
		{"a replica of an earlier term is longer than the primary's", changeOf(answer("p", 20, leads), answer("a", 20), answer("b", 30, behind))},
		{"the term is not known, logs of two terms", first(answer("a", 12), answer("b", 30, behind))},
		{"a log that was rolled back by the last promotion is longer", fresh(answer("a", 30), answer("b", 10, next))},
		{"a primary of an earlier term has not stepped down", fresh(answer("q", 30, leads), answer("b", 10, next))},
		{"the first primary is back under another ID", first(answer("p", 20, returned), answer("a", 15))},
		{"the first primary is back, another was promoted already", first(answer("p", 20, returned), answer("a", 15, promoted), answer("b", 14))},
	} {
		lines = append(lines, c.name+": "+describe(Decide(c.change))+"\n")
	}
	compareGolden(t, "testdata/decisions.golden", strings.Join(lines, ""))
}

func describe(decision Decision) string {
	switch d := decision.(type) {
	case Promote:
		return fmt.Sprintf("promote %s, proof %s", d.Database, d.Proof)
	case Resume:
		return "resume"
	case Wait:
		return fmt.Sprintf("wait for %v", d.Missing)
	default:
		return fmt.Sprintf("%T", decision)
	}
}

// A planned change must not begin before a database that stays has the whole log, or it
// turns back to one that is behind.
func TestHasSuccessor(t *testing.T) {
	primary := answer("p", 20, leads)
	var got []bool
	for _, others := range [][]Answer{
		{answer("a", 20)},
		{answer("a", 20, leaving), answer("b", 15)},
		{answer("a", 20, retired)},
		{answer("a", 15), answer("b", 21)},
		{primary},
		nil,
	} {
		got = append(got, HasSuccessor(primary, others))
	}
	if diff := cmp.Diff([]bool{true, false, false, true, false, false}, got); diff != "" {
		t.Error(diff)
	}
}
