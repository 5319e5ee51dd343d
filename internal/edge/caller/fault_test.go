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

// outcome is what a caller got, and what the core was told.
type outcome struct {
	Value  string
	State  string
	Answer message.Outcome
}

// outcomeOf runs one statement and returns what came of it.
func outcomeOf(t *testing.T, b *bench, conn *pgx.Conn, statement string) outcome {
	t.Helper()
	var got outcome
	err := conn.QueryRow(context.Background(), statement, pgx.QueryExecModeSimpleProtocol).Scan(&got.Value)
	got.State = stateOf(err)
	got.Answer = (<-b.core.ended).Outcome
	return got
}

// stateOf returns the SQLSTATE of an error, or a word for other errors.
func stateOf(err error) string {
	var answer *pgconn.PgError
	switch {
	case err == nil:
		return ""
	case errors.As(err, &answer):
		return answer.Code
	case errors.Is(err, pgx.ErrNoRows):
		return "no rows"
	}
	return "broken"
}

// TestStatementFaults runs one write outside of a transaction against each
// fault of a database's answer.
func TestStatementFaults(t *testing.T) {
	position := model.Position{Term: 7, Offset: 100}
	commit := model.Position{Term: 7, Offset: 101}
	lost := message.OutcomeConnectionLost{MayHaveCommitted: true}
	cases := []struct {
		name   string
		answer func(c *fakeConn)
		want   outcome
	}{
		{
			"whole", func(c *fakeConn) { c.describe(); c.shown(); c.row("a"); c.committed(); c.complete("INSERT 0 1") },
			outcome{"a", "", message.OutcomeCommitted{Position: commit}},
		},
		{
			"nothing written", func(c *fakeConn) { c.describe(); c.shown(); c.row("a"); c.complete("SELECT 1") },
			outcome{"a", "", message.OutcomeRead{Position: position}},
		},
		{"cut at once", (*fakeConn).cut, outcome{"", "08007", lost}},
		{"cut after the description", func(c *fakeConn) { c.describe(); c.cut() }, outcome{"", "08007", lost}},
		{"cut after the position", func(c *fakeConn) { c.describe(); c.shown(); c.cut() }, outcome{"", "08007", lost}},
		{"cut after a row", func(c *fakeConn) { c.describe(); c.shown(); c.row("a"); c.cut() }, outcome{"", "08007", lost}},
		{"cut after the commit", func(c *fakeConn) { c.describe(); c.shown(); c.row("a"); c.committed(); c.cut() }, outcome{"", "08007", lost}},
		{"cut before ready", func(c *fakeConn) {
			c.describe()
			c.shown()
			c.row("a")
			c.committed()
			c.complete("INSERT 0 1")
			c.cut()
		}, outcome{"", "08007", lost}},
		{
			"another term", func(c *fakeConn) { c.fail("EG002", "term is 8") },
			outcome{"", "57P03", message.OutcomeNotStarted{Reason: message.NotStartedWrongTerm}},
		},
		{
			"key used", func(c *fakeConn) { c.shown(); c.fail("EG003", "key is used") },
			outcome{"", "57P03", message.OutcomeNotStarted{Reason: message.NotStartedDuplicateKey}},
		},
		{
			"no primary", func(c *fakeConn) { c.fail("25006", "read only") },
			outcome{"", "57P03", message.OutcomeNotStarted{Reason: message.NotStartedReadOnly}},
		},
		{
			"error", func(c *fakeConn) { c.shown(); c.fail("23505", "exists") },
			outcome{"", "23505", message.OutcomeDatabaseError{SQLState: "23505"}},
		},
		{
			"error after a row", func(c *fakeConn) { c.describe(); c.shown(); c.row("a"); c.fail("22012", "division by zero") },
			outcome{"a", "22012", message.OutcomeDatabaseError{SQLState: "22012"}},
		},
		{
			"shutdown while running", func(c *fakeConn) { c.fail("57P01", "terminating"); c.cut() },
			outcome{"", "08007", lost},
		},
		{
			"row without position", func(c *fakeConn) { c.describe(); c.row("a"); c.complete("SELECT 1") },
			outcome{"", "08007", lost},
		},
		{
			"malformed position", func(c *fakeConn) { c.parameter("group_position", "x"); c.complete("SELECT 1") },
			outcome{"", "08007", lost},
		},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			b := newBench(t)
			b.db.on("INSERT x", test.answer)
			conn := connect(t, b, "")
			got := outcomeOf(t, b, conn, "INSERT x")
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
			after := outcomeOf(t, b, conn, "select after")
			if diff := cmp.Diff("select after", after.Value); diff != "" {
				t.Error("the session does not go on: ", diff)
			}
		})
	}
}

// TestMuteStatement runs a write whose answer never comes.
func TestMuteStatement(t *testing.T) {
	b := newBench(t, func(b *bench, _ *Options) {
		b.core.dispatch.SilenceTimeout = time.Millisecond
	})
	b.db.on("INSERT x", (*fakeConn).mute)
	conn := connect(t, b, "")
	got := outcomeOf(t, b, conn, "INSERT x")
	want := outcome{"", "08007", message.OutcomeConnectionLost{MayHaveCommitted: true, Unresponsive: true}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// TestSlowStatement runs a statement that is merely slow: the database says
// that it is running something, so the connection is left alone.
func TestSlowStatement(t *testing.T) {
	b := newBench(t, func(b *bench, _ *Options) {
		b.core.dispatch.SilenceTimeout = time.Millisecond
	})
	b.db.busy = "1"
	b.db.on("INSERT slow", func(c *fakeConn) {
		// More questions than one check asks.
		for range 15 {
			<-c.db.asked
		}
		c.standard("INSERT slow", false)
	})
	conn := connect(t, b, "")
	_, err := conn.Exec(context.Background(), "INSERT slow", pgx.QueryExecModeSimpleProtocol)
	if err != nil {
		t.Error(err)
	}
}

// TestDeadline lets the deadline of a running statement pass: the database is
// asked to cancel it, and where it does not answer, the connection is closed.
func TestDeadline(t *testing.T) {
	cases := []struct {
		name   string
		answer func(c *fakeConn)
		want   outcome
	}{
		{
			"canceled", func(c *fakeConn) { <-c.db.canceled; c.fail("57014", "canceled") },
			outcome{"", "57014", message.OutcomeDatabaseError{SQLState: "57014"}},
		},
		{
			"mute", func(c *fakeConn) { <-c.db.canceled; c.mute() },
			outcome{"", "08007", message.OutcomeConnectionLost{MayHaveCommitted: true}},
		},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			b := newBench(t)
			b.db.on("INSERT x", test.answer)
			conn := connect(t, b, "")
			outcomeOf(t, b, conn, "select warm")
			b.core.dispatch.Deadline = time.Now().Add(50 * time.Millisecond)
			got := outcomeOf(t, b, conn, "INSERT x")
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}
