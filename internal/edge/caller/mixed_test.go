package caller

import (
	"fmt"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// TestAnswersNeverMixed has several sessions run random statements over two
// backend connections, some of which break. Each answer has to be that of the
// session's own statement, or an error.
func TestAnswersNeverMixed(t *testing.T) {
	b := newBench(t)
	for session := range 4 {
		for step := range 12 {
			b.db.on(statementOf(session, step, "cut"), (*fakeConn).cut)
			b.db.on(statementOf(session, step, "fail"), func(c *fakeConn) { c.shown(); c.fail("22012", "division by zero") })
		}
	}
	rapid.Check(t, func(rt *rapid.T) {
		plans := rapid.SliceOfN(rapid.SliceOfN(rapid.SampledFrom([]string{"read", "read", "cut", "fail", "transaction"}), 1, 12), 2, 4).Draw(rt, "plans")
		var running sync.WaitGroup
		faults := make([]string, len(plans))
		for session, plan := range plans {
			caller := startRaw(t, b)
			running.Add(1)
			go func() {
				defer running.Done()
				defer caller.conn.Close()
				faults[session] = runPlan(caller, session, plan)
			}()
		}
		running.Wait()
		for _, fault := range faults {
			if fault != "" {
				rt.Error(fault)
			}
		}
	})
}

func statementOf(session, step int, kind string) string {
	return fmt.Sprintf("select %s %d %d", kind, session, step)
}

// runPlan runs a session's statements and returns what is wrong, if anything.
func runPlan(caller *rawCaller, session int, plan []string) string {
	for step, kind := range plan {
		text := statementOf(session, step, kind)
		want := []string{"row " + text, "SELECT 1", "ready I"}
		switch kind {
		case "cut":
			want = []string{"ERROR 08007", "ready I"}
		case "fail":
			want = []string{"ERROR 22012", "ready I"}
		case "transaction":
			caller.query("BEGIN")
			want[2] = "ready T"
		}
		diff := cmp.Diff(want, caller.query(text))
		if diff != "" {
			return diff
		}
		if kind == "transaction" {
			caller.query("ROLLBACK")
		}
	}
	return ""
}
