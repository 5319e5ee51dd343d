package caller

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// statementOutcome is what a caller received, and the outcome reported to the
// core.
type statementOutcome struct {
	Value    string
	SQLState string
	Reported message.Outcome
}

// runStatement runs one statement and returns its outcome.
func runStatement(t *testing.T, setup *testSetup, conn *pgx.Conn, statement string) statementOutcome {
	t.Helper()
	var got statementOutcome
	err := conn.QueryRow(context.Background(), statement, pgx.QueryExecModeSimpleProtocol).Scan(&got.Value)
	got.SQLState = sqlStateOf(err)
	got.Reported = (<-setup.core.ended).Outcome
	return got
}

// sqlStateOf returns the SQLSTATE of an error, "no rows" for pgx.ErrNoRows, "broken"
// for any other error, or "" for none.
func sqlStateOf(err error) string {
	var pgErr *pgconn.PgError
	switch {
	case err == nil:
		return ""
	case errors.As(err, &pgErr):
		return pgErr.Code
	case errors.Is(err, pgx.ErrNoRows):
		return "no rows"
	}
	return "broken"
}

// TestStatementFaults runs one write outside a transaction against each fault
// in the answer of a database, and against two answers without a fault. SQLSTATE
// 08007 tells the caller that the outcome of the write is unknown, and 57P03 that it
// was not run.
func TestStatementFaults(t *testing.T) {
	position := model.Position{Term: 7, Offset: 100}
	commit := model.Position{Term: 7, Offset: 101}
	lost := message.OutcomeConnectionLost{MayHaveCommitted: true}
	cases := []struct {
		name   string
		answer func(c *fakeConn)
		want   statementOutcome
	}{
		{
			"complete", func(c *fakeConn) {
				c.sendDescription()
				c.sendPosition()
				c.sendRow("a")
				c.sendCommitPosition()
				c.sendComplete("INSERT 0 1")
			},
			statementOutcome{"a", "", message.OutcomeCommitted{Position: commit}},
		},
		{
			"nothing written", func(c *fakeConn) { c.sendDescription(); c.sendPosition(); c.sendRow("a"); c.sendComplete("SELECT 1") },
			statementOutcome{"a", "", message.OutcomeRead{Position: position}},
		},
		{"disconnect at once", (*fakeConn).disconnect, statementOutcome{"", "08007", lost}},
		{"disconnect after the description", func(c *fakeConn) { c.sendDescription(); c.disconnect() }, statementOutcome{"", "08007", lost}},
		{"disconnect after the position", func(c *fakeConn) { c.sendDescription(); c.sendPosition(); c.disconnect() }, statementOutcome{"", "08007", lost}},
		{"disconnect after a row", func(c *fakeConn) { c.sendDescription(); c.sendPosition(); c.sendRow("a"); c.disconnect() }, statementOutcome{"", "08007", lost}},
		{"disconnect after the commit", func(c *fakeConn) {
			c.sendDescription()
			c.sendPosition()
			c.sendRow("a")
			c.sendCommitPosition()
			c.disconnect()
		}, statementOutcome{"", "08007", lost}},
		{"disconnect before ready", func(c *fakeConn) {
			c.sendDescription()
			c.sendPosition()
			c.sendRow("a")
			c.sendCommitPosition()
			c.sendComplete("INSERT 0 1")
			c.disconnect()
		}, statementOutcome{"", "08007", lost}},
		{
			"wrong term", func(c *fakeConn) { c.sendError("EG002", "term is 8") },
			statementOutcome{"", "57P03", message.OutcomeNotStarted{Reason: message.NotStartedWrongTerm}},
		},
		{
			"duplicate key", func(c *fakeConn) { c.sendPosition(); c.sendError("EG003", "key is used") },
			statementOutcome{"", "57P03", message.OutcomeNotStarted{Reason: message.NotStartedDuplicateKey}},
		},
		{
			"read only", func(c *fakeConn) { c.sendError("25006", "read only") },
			statementOutcome{"", "57P03", message.OutcomeNotStarted{Reason: message.NotStartedReadOnly}},
		},
		{
			"error", func(c *fakeConn) { c.sendPosition(); c.sendError("23505", "exists") },
			statementOutcome{"", "23505", message.OutcomeDatabaseError{SQLState: "23505"}},
		},
		{
			"error after a row", func(c *fakeConn) {
				c.sendDescription()
				c.sendPosition()
				c.sendRow("a")
				c.sendError("22012", "division by zero")
			},
			statementOutcome{"a", "22012", message.OutcomeDatabaseError{SQLState: "22012"}},
		},
		{
			"shutdown while running", func(c *fakeConn) { c.sendError("57P01", "terminating"); c.disconnect() },
			statementOutcome{"", "08007", lost},
		},
		{
			"row without position", func(c *fakeConn) { c.sendDescription(); c.sendRow("a"); c.sendComplete("SELECT 1") },
			statementOutcome{"", "08007", lost},
		},
		{
			"malformed position", func(c *fakeConn) { c.sendParameter("group_position", "x"); c.sendComplete("SELECT 1") },
			statementOutcome{"", "08007", lost},
		},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			setup := newTestSetup(t)
			setup.db.answerWith("INSERT x", test.answer)
			conn := connect(t, setup, "")
			got := runStatement(t, setup, conn, "INSERT x")
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
			next := runStatement(t, setup, conn, "select after")
			if diff := cmp.Diff("select after", next.Value); diff != "" {
				t.Error("the session does not continue: ", diff)
			}
		})
	}
}

// TestUnansweredWrite runs a write whose answer never arrives.
func TestUnansweredWrite(t *testing.T) {
	setup := newTestSetup(t, func(setup *testSetup, _ *Options) {
		setup.core.dispatch.SilenceTimeout = time.Millisecond
	})
	setup.db.answerWith("INSERT x", (*fakeConn).stopAnswering)
	conn := connect(t, setup, "")
	got := runStatement(t, setup, conn, "INSERT x")
	want := statementOutcome{"", "08007", message.OutcomeConnectionLost{MayHaveCommitted: true, Unresponsive: true}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// TestSlowStatement runs a statement that is only slow. The database reports
// that it is running a statement, so the connection must not be closed.
func TestSlowStatement(t *testing.T) {
	setup := newTestSetup(t, func(setup *testSetup, _ *Options) {
		setup.core.dispatch.SilenceTimeout = time.Millisecond
	})
	setup.db.runningStatements = "1"
	setup.db.answerWith("INSERT slow", func(c *fakeConn) {
		// One check of the silent connection sends checkSamples status queries
		// (package database), which is fewer than 15, so several checks must pass.
		for range 15 {
			<-c.db.statusQueries
		}
		c.answerDefault("INSERT slow", false)
	})
	conn := connect(t, setup, "")
	_, err := conn.Exec(context.Background(), "INSERT slow", pgx.QueryExecModeSimpleProtocol)
	if err != nil {
		t.Error(err)
	}
}

// TestDeadline lets the deadline of a running statement pass. The statement
// must be canceled at the database, and the connection closed if the database
// does not answer.
func TestDeadline(t *testing.T) {
	cases := []struct {
		name   string
		answer func(c *fakeConn)
		want   statementOutcome
	}{
		{
			"canceled", func(c *fakeConn) { <-c.db.canceled; c.sendError("57014", "canceled") },
			statementOutcome{"", "57014", message.OutcomeDatabaseError{SQLState: "57014"}},
		},
		{
			"unresponsive", func(c *fakeConn) { <-c.db.canceled; c.stopAnswering() },
			statementOutcome{"", "08007", message.OutcomeConnectionLost{MayHaveCommitted: true}},
		},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			setup := newTestSetup(t)
			setup.db.answerWith("INSERT x", test.answer)
			conn := connect(t, setup, "")
			runStatement(t, setup, conn, "select warm")
			setup.core.dispatch.Deadline = time.Now().Add(50 * time.Millisecond)
			got := runStatement(t, setup, conn, "INSERT x")
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}
