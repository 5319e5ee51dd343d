package caller

import (
	"fmt"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// TestAnswersNeverMixed runs random statements in several sessions over two
// backend connections, some of which break. Each answer must be that of the
// session's own statement, or an error.
func TestAnswersNeverMixed(t *testing.T) {
	setup := newTestSetup(t)
	for session := range 4 {
		for step := range 12 {
			setup.db.answerWith(statementOf(session, step, "disconnect"), (*fakeConn).disconnect)
			setup.db.answerWith(statementOf(session, step, "fail"), func(c *fakeConn) { c.sendPosition(); c.sendError("22012", "division by zero") })
		}
	}
	rapid.Check(t, func(rt *rapid.T) {
		plans := rapid.SliceOfN(rapid.SliceOfN(rapid.SampledFrom([]string{"read", "read", "disconnect", "fail", "transaction"}), 1, 12), 2, 4).Draw(rt, "plans")
		var running sync.WaitGroup
		diffs := make([]string, len(plans))
		for session, plan := range plans {
			caller := startRaw(t, setup)
			running.Add(1)
			go func() {
				defer running.Done()
				defer caller.conn.Close()
				diffs[session] = runPlan(caller, session, plan)
			}()
		}
		running.Wait()
		for _, diff := range diffs {
			if diff != "" {
				rt.Error(diff)
			}
		}
	})
}

func statementOf(session, step int, kind string) string {
	return fmt.Sprintf("select %s %d %d", kind, session, step)
}

// runPlan runs the statements of a session and returns the first difference, or
// "".
func runPlan(caller *rawCaller, session int, plan []string) string {
	for step, kind := range plan {
		sql := statementOf(session, step, kind)
		want := []string{"row " + sql, "SELECT 1", "ready I"}
		switch kind {
		case "disconnect":
			want = []string{"ERROR 08007", "ready I"}
		case "fail":
			want = []string{"ERROR 22012", "ready I"}
		case "transaction":
			caller.query("BEGIN")
			want[2] = "ready T"
		}
		diff := cmp.Diff(want, caller.query(sql))
		if diff != "" {
			return diff
		}
		if kind == "transaction" {
			caller.query("ROLLBACK")
		}
	}
	return ""
}
