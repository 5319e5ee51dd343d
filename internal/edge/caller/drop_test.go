package caller

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
)

// dropFirst has the core drop attempt 1 of each request where at says so, and
// dispatch again what was lost without a part of its answer out.
func dropFirst(b *bench, at func(event message.Event) (message.CloseConnection, bool)) func(event message.Event) bool {
	return func(event message.Event) bool {
		drop, now := at(event)
		if now && drop.Attempt == 1 {
			b.edge.HandleAction(drop)
			return true
		}
		ended, ok := event.(message.AttemptEnded)
		if !ok {
			return false
		}
		lost, ok := ended.Outcome.(message.OutcomeConnectionLost)
		if !ok || lost.PartlySent {
			return false
		}
		b.core.send(ended.Request, ended.Attempt+1)
		return true
	}
}

// TestDropHeld drops an answer that waits for its proof: the request runs again
// and only its second answer goes to the caller.
func TestDropHeld(t *testing.T) {
	b := newBench(t)
	b.core.hook = dropFirst(b, func(event message.Event) (message.CloseConnection, bool) {
		held, ok := event.(message.ResultHeld)
		return message.CloseConnection{Request: held.Request, Attempt: held.Attempt}, ok
	})
	caller := startRaw(t, b)
	if diff := cmp.Diff([]string{"row select a", "SELECT 1", "ready I"}, caller.query("select a")); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]string{"select a", "select a"}, b.db.statements()); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(message.Outcome(message.OutcomeConnectionLost{}), (<-b.core.ended).Outcome); diff != "" {
		t.Error(diff)
	}
}

// TestDropRunning drops a statement that runs.
func TestDropRunning(t *testing.T) {
	b := newBench(t)
	running := make(chan struct{}, 1)
	b.db.on("INSERT slow", func(c *fakeConn) {
		running <- struct{}{}
		c.mute()
	})
	caller := startRaw(t, b)
	caller.send(&pgproto3.Query{String: "INSERT slow"})
	<-running
	b.edge.HandleAction(message.CloseConnection{Request: 1, Attempt: 2})
	b.edge.HandleAction(message.CloseConnection{Request: 1, Attempt: 1})
	if diff := cmp.Diff([]string{"ERROR 08007", "ready I"}, caller.answer()); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(message.Outcome(message.OutcomeConnectionLost{MayHaveCommitted: true}), (<-b.core.ended).Outcome); diff != "" {
		t.Error(diff)
	}
}

// TestDropIdleTransaction drops a transaction whose caller is idle: the caller
// learns it with its next statement, and nothing more of it runs.
func TestDropIdleTransaction(t *testing.T) {
	b := newBench(t)
	caller := startRaw(t, b)
	caller.query("BEGIN")
	b.edge.HandleAction(message.CloseConnection{Request: 1, Attempt: 1})
	if diff := cmp.Diff(message.Outcome(message.OutcomeConnectionLost{PartlySent: true}), (<-b.core.ended).Outcome); diff != "" {
		t.Error(diff)
	}
	want := [][]string{{"ERROR 40001", "ready E"}, {"ERROR 25P02", "ready E"}, {"ROLLBACK", "ready I"}}
	got := [][]string{caller.query("INSERT x"), caller.query("INSERT y"), caller.query("ROLLBACK")}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]string{"BEGIN"}, b.db.statements()); diff != "" {
		t.Error(diff)
	}
}

// TestRunAgainAfterCommit has a commit proven not to have survived: the core
// runs the work again, and the caller gets the second answer alone.
func TestRunAgainAfterCommit(t *testing.T) {
	b := newBench(t)
	b.core.hook = func(event message.Event) bool {
		ended, ok := event.(message.AttemptEnded)
		if !ok || ended.Attempt > 1 {
			return false
		}
		b.core.send(ended.Request, 2)
		return true
	}
	caller := startRaw(t, b)
	want := []string{"INSERT 0 1", "eelgrassfold.token ratings/7:102", "ready I"}
	if diff := cmp.Diff(want, caller.query("INSERT x")); diff != "" {
		t.Error(diff)
	}
}
