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

// TestTransactionFaults runs BEGIN, INSERT x, select y, COMMIT with a fault at
// one of them. want lists the SQLSTATE of each statement.
func TestTransactionFaults(t *testing.T) {
	lost := message.OutcomeConnectionLost{PartlySent: true}
	uncertain := message.OutcomeConnectionLost{PartlySent: true, MayHaveCommitted: true}
	wrongTerm := func(c *fakeConn) { c.sendError("EG002", "term is 8") }
	cases := []struct {
		name        string
		statement   string
		answer      func(c *fakeConn)
		want        []string
		wantOutcome message.Outcome
	}{
		{"none", "", nil, []string{"", "", "", ""}, message.OutcomeCommitted{Position: model.Position{Term: 7, Offset: 101}}},
		{"disconnect at BEGIN", "BEGIN", (*fakeConn).disconnect, []string{"40001"}, message.OutcomeConnectionLost{}},
		{"disconnect at INSERT", "INSERT x", (*fakeConn).disconnect, []string{"", "40001", "25P02", ""}, lost},
		{
			"disconnect after a row", "select y", func(c *fakeConn) { c.sendDescription(); c.sendPosition(); c.sendRow("y"); c.disconnect() },
			[]string{"", "", "40001", ""},
			lost,
		},
		{"disconnect at COMMIT", "COMMIT", (*fakeConn).disconnect, []string{"", "", "", "08007"}, uncertain},
		{"disconnect after the commit", "COMMIT", func(c *fakeConn) { c.sendCommitPosition(); c.disconnect() }, []string{"", "", "", "08007"}, uncertain},
		{
			"wrong term at INSERT", "INSERT x", wrongTerm,
			[]string{"", "40001", "25P02", ""},
			message.OutcomeDatabaseError{SQLState: "40001"},
		},
		{
			"wrong term at COMMIT", "COMMIT", func(c *fakeConn) { c.sendError("EG002", "term is 8"); c.transactionStatus = 'I' },
			[]string{"", "", "", "40001"},
			message.OutcomeDatabaseError{SQLState: "40001"},
		},
		{
			"duplicate key at COMMIT", "COMMIT", func(c *fakeConn) { c.sendError("EG003", "forbidden"); c.transactionStatus = 'I' },
			[]string{"", "", "", "40001"},
			message.OutcomeDatabaseError{SQLState: "40001"},
		},
		{
			"error", "select y", func(c *fakeConn) { c.sendPosition(); c.sendError("22012", "division by zero") },
			[]string{"", "", "22012", ""},
			message.OutcomeDatabaseError{SQLState: "22012"},
		},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			setup := newTestSetup(t)
			if test.answer != nil {
				setup.db.answerWith(test.statement, test.answer)
			}
			conn := connect(t, setup, "")
			var got []string
			for _, statement := range []string{"BEGIN", "INSERT x", "select y", "COMMIT"} {
				_, err := conn.Exec(context.Background(), statement, pgx.QueryExecModeSimpleProtocol)
				got = append(got, sqlStateOf(err))
				if statement == "BEGIN" && err != nil {
					break
				}
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
			ended := <-setup.core.ended
			if diff := cmp.Diff(test.wantOutcome, ended.Outcome); diff != "" {
				t.Error(diff)
			}
			if status := conn.PgConn().TxStatus(); status != 'I' {
				t.Errorf("the transaction status of the caller is %c", status)
			}
			next := runStatement(t, setup, conn, "select after")
			if diff := cmp.Diff("select after", next.Value); diff != "" {
				t.Error("the session does not continue: ", diff)
			}
		})
	}
}

// TestNothingRunsAfterLostTransaction checks that statements sent after a transaction
// was lost do not run outside a transaction.
func TestNothingRunsAfterLostTransaction(t *testing.T) {
	setup := newTestSetup(t)
	setup.db.answerWith("INSERT x", (*fakeConn).disconnect)
	conn := connect(t, setup, "")
	for _, statement := range []string{"BEGIN", "INSERT x", "INSERT y", "ROLLBACK"} {
		conn.Exec(context.Background(), statement)
	}
	if diff := cmp.Diff([]string{"BEGIN", "INSERT x"}, setup.db.statements()); diff != "" {
		t.Error(diff)
	}
}

// TestTransactionDeadline lets the deadline of a transaction pass while its
// caller is idle.
func TestTransactionDeadline(t *testing.T) {
	setup := newTestSetup(t)
	setup.core.hook = func(event message.Event) bool {
		arrived, ok := event.(message.RequestArrived)
		if !ok || !arrived.Transaction {
			return false
		}
		setup.core.server.HandleAction(message.Dispatch{
			Request: arrived.Request, Attempt: 1, Database: testDatabase, Term: 7, IdempotencyKey: arrived.IdempotencyKey,
			Deadline: time.Now().Add(300 * time.Millisecond),
		})
		return true
	}
	conn := connect(t, setup, "")
	runStatement(t, setup, conn, "select warm")
	_, err := conn.Exec(context.Background(), "BEGIN")
	if err != nil {
		t.Fatal(err)
	}
	ended := <-setup.core.ended
	if diff := cmp.Diff(message.Outcome(message.OutcomeDatabaseError{SQLState: "25P03"}), ended.Outcome); diff != "" {
		t.Error(diff)
	}
	var got []string
	for _, statement := range []string{"INSERT x", "INSERT y", "ROLLBACK", "select after"} {
		_, err = conn.Exec(context.Background(), statement)
		got = append(got, sqlStateOf(err))
	}
	if diff := cmp.Diff([]string{"25P03", "25P02", "", ""}, got); diff != "" {
		t.Error(diff)
	}
}

// TestCallerDisconnectsInTransaction closes the caller's connection inside a
// transaction. The attempt must end, and with it the backend connection.
func TestCallerDisconnectsInTransaction(t *testing.T) {
	setup := newTestSetup(t)
	conn := connect(t, setup, "")
	_, err := conn.Exec(context.Background(), "BEGIN")
	if err != nil {
		t.Fatal(err)
	}
	conn.Close(context.Background())
	ended := <-setup.core.ended
	if _, failed := ended.Outcome.(message.OutcomeDatabaseError); !failed {
		t.Errorf("got %#v", ended.Outcome)
	}
}

// TestRetries lets the core run a request again after each outcome that allows
// it, also with a prepared statement.
func TestRetries(t *testing.T) {
	for _, mode := range []pgx.QueryExecMode{pgx.QueryExecModeSimpleProtocol, pgx.QueryExecModeCacheStatement} {
		for _, fault := range []struct {
			name   string
			answer func(c *fakeConn)
		}{
			{"term", func(c *fakeConn) { c.sendError("EG002", "term is 8") }},
			{"lost", (*fakeConn).disconnect},
		} {
			t.Run(mode.String()+" "+fault.name, func(t *testing.T) {
				setup := newTestSetup(t)
				attempts := 0
				setup.db.answerWith("select a", func(c *fakeConn) {
					attempts++
					if attempts == 1 {
						fault.answer(c)
						return
					}
					if mode == pgx.QueryExecModeSimpleProtocol {
						c.sendDescription()
					}
					c.sendPosition()
					c.sendRow("a")
					c.sendComplete("SELECT 1")
				})
				setup.core.hook = func(event message.Event) bool {
					ended, ok := event.(message.AttemptEnded)
					if !ok {
						return false
					}
					switch ended.Outcome.(type) {
					case message.OutcomeNotStarted, message.OutcomeConnectionLost:
						setup.core.sendDispatch(ended.Request, ended.Attempt+1)
						return true
					}
					return false
				}
				conn := connect(t, setup, "")
				var got string
				err := conn.QueryRow(context.Background(), "select a", mode).Scan(&got)
				if diff := cmp.Diff("a", got); err != nil || diff != "" {
					t.Error(err, diff)
				}
			})
		}
	}
}
