package caller

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// TestTransactionFaults runs BEGIN, INSERT x, select y, COMMIT against a fault
// at each of them. The steps give the SQLSTATE of each statement.
func TestTransactionFaults(t *testing.T) {
	broken := message.OutcomeConnectionLost{PartlySent: true}
	unsure := message.OutcomeConnectionLost{PartlySent: true, MayHaveCommitted: true}
	fenced := func(c *fakeConn) { c.fail("EG002", "term is 8") }
	cases := []struct {
		name     string
		at       string
		answer   func(c *fakeConn)
		want     []string
		answered message.Outcome
	}{
		{"none", "", nil, []string{"", "", "", ""}, message.OutcomeCommitted{Position: model.Position{Term: 7, Offset: 101}}},
		{"cut at BEGIN", "BEGIN", (*fakeConn).cut, []string{"40001"}, message.OutcomeConnectionLost{}},
		{"cut at INSERT", "INSERT x", (*fakeConn).cut, []string{"", "40001", "25P02", ""}, broken},
		{
			"cut after a row", "select y", func(c *fakeConn) { c.describe(); c.shown(); c.row("y"); c.cut() },
			[]string{"", "", "40001", ""},
			broken,
		},
		{"cut at COMMIT", "COMMIT", (*fakeConn).cut, []string{"", "", "", "08007"}, unsure},
		{"cut after the commit", "COMMIT", func(c *fakeConn) { c.committed(); c.cut() }, []string{"", "", "", "08007"}, unsure},
		{
			"fenced at INSERT", "INSERT x", fenced,
			[]string{"", "40001", "25P02", ""},
			message.OutcomeDatabaseError{SQLState: "40001"},
		},
		{
			"fenced at COMMIT", "COMMIT", func(c *fakeConn) { c.fail("EG002", "term is 8"); c.status = 'I' },
			[]string{"", "", "", "40001"},
			message.OutcomeDatabaseError{SQLState: "40001"},
		},
		{
			"settled at COMMIT", "COMMIT", func(c *fakeConn) { c.fail("EG003", "forbidden"); c.status = 'I' },
			[]string{"", "", "", "40001"},
			message.OutcomeDatabaseError{SQLState: "40001"},
		},
		{
			"error", "select y", func(c *fakeConn) { c.shown(); c.fail("22012", "division by zero") },
			[]string{"", "", "22012", ""},
			message.OutcomeDatabaseError{SQLState: "22012"},
		},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			b := newBench(t)
			if test.answer != nil {
				b.db.on(test.at, test.answer)
			}
			conn := connect(t, b, "")
			var got []string
			for _, statement := range []string{"BEGIN", "INSERT x", "select y", "COMMIT"} {
				_, err := conn.Exec(context.Background(), statement, pgx.QueryExecModeSimpleProtocol)
				got = append(got, stateOf(err))
				if statement == "BEGIN" && err != nil {
					break
				}
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
			ended := <-b.core.ended
			if diff := cmp.Diff(test.answered, ended.Outcome); diff != "" {
				t.Error(diff)
			}
			if status := conn.PgConn().TxStatus(); status != 'I' {
				t.Errorf("the caller believes in state %c", status)
			}
			after := outcomeOf(t, b, conn, "select after")
			if diff := cmp.Diff("select after", after.Value); diff != "" {
				t.Error("the session does not go on: ", diff)
			}
		})
	}
}

// TestNothingRunsAfterLoss checks that what a caller sends after its
// transaction was lost does not run on its own.
func TestNothingRunsAfterLoss(t *testing.T) {
	b := newBench(t)
	b.db.on("INSERT x", (*fakeConn).cut)
	conn := connect(t, b, "")
	for _, statement := range []string{"BEGIN", "INSERT x", "INSERT y", "ROLLBACK"} {
		conn.Exec(context.Background(), statement)
	}
	if diff := cmp.Diff([]string{"BEGIN", "INSERT x"}, b.db.statements()); diff != "" {
		t.Error(diff)
	}
}

// TestTransactionDeadline lets the deadline of a transaction pass while its
// caller is idle.
func TestTransactionDeadline(t *testing.T) {
	b := newBench(t)
	b.core.hook = func(event message.Event) bool {
		arrived, ok := event.(message.RequestArrived)
		if !ok || !arrived.Transaction {
			return false
		}
		b.core.edge.HandleAction(message.Dispatch{
			Request: arrived.Request, Attempt: 1, Database: testDatabase, Term: 7, IdempotencyKey: arrived.IdempotencyKey,
			Deadline: time.Now().Add(300 * time.Millisecond),
		})
		return true
	}
	conn := connect(t, b, "")
	outcomeOf(t, b, conn, "select warm")
	_, err := conn.Exec(context.Background(), "BEGIN")
	if err != nil {
		t.Fatal(err)
	}
	ended := <-b.core.ended
	if diff := cmp.Diff(message.Outcome(message.OutcomeDatabaseError{SQLState: "25P03"}), ended.Outcome); diff != "" {
		t.Error(diff)
	}
	var got []string
	for _, statement := range []string{"INSERT x", "INSERT y", "ROLLBACK", "select after"} {
		_, err = conn.Exec(context.Background(), statement)
		got = append(got, stateOf(err))
	}
	if diff := cmp.Diff([]string{"25P03", "25P02", "", ""}, got); diff != "" {
		t.Error(diff)
	}
}

// TestCallerLeavesTransaction closes the caller's connection within a
// transaction: the database has to see its connection closed.
func TestCallerLeavesTransaction(t *testing.T) {
	b := newBench(t)
	conn := connect(t, b, "")
	_, err := conn.Exec(context.Background(), "BEGIN")
	if err != nil {
		t.Fatal(err)
	}
	conn.Close(context.Background())
	ended := <-b.core.ended
	if _, failed := ended.Outcome.(message.OutcomeDatabaseError); !failed {
		t.Errorf("got %#v", ended.Outcome)
	}
}

// TestAttempts has the core run a request again after each answer that allows
// it, also with a prepared statement.
func TestAttempts(t *testing.T) {
	for _, mode := range []pgx.QueryExecMode{pgx.QueryExecModeSimpleProtocol, pgx.QueryExecModeCacheStatement} {
		for _, fault := range []struct {
			name   string
			answer func(c *fakeConn)
		}{
			{"term", func(c *fakeConn) { c.fail("EG002", "term is 8") }},
			{"lost", (*fakeConn).cut},
		} {
			t.Run(mode.String()+" "+fault.name, func(t *testing.T) {
				b := newBench(t)
				tries := 0
				b.db.on("select a", func(c *fakeConn) {
					tries++
					if tries == 1 {
						fault.answer(c)
						return
					}
					if mode == pgx.QueryExecModeSimpleProtocol {
						c.describe()
					}
					c.shown()
					c.row("a")
					c.complete("SELECT 1")
				})
				b.core.hook = func(event message.Event) bool {
					ended, ok := event.(message.AttemptEnded)
					if !ok {
						return false
					}
					switch ended.Outcome.(type) {
					case message.OutcomeNotStarted, message.OutcomeConnectionLost:
						b.core.send(ended.Request, ended.Attempt+1)
						return true
					}
					return false
				}
				conn := connect(t, b, "")
				var got string
				err := conn.QueryRow(context.Background(), "select a", mode).Scan(&got)
				if diff := cmp.Diff("a", got); err != nil || diff != "" {
					t.Error(err, diff)
				}
			})
		}
	}
}
