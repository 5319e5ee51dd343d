package caller

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
)

// closeFirstAttempt returns a hook that closes the connection of attempt 1 of
// each request at the event selected by selectAction. It dispatches requests
// again whose connection was lost before a part of the answer was sent.
func closeFirstAttempt(setup *testSetup, selectAction func(event message.Event) (message.CloseConnection, bool)) func(event message.Event) bool {
	return func(event message.Event) bool {
		action, matches := selectAction(event)
		if matches && action.Attempt == 1 {
			setup.server.HandleAction(action)
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
		setup.core.sendDispatch(ended.Request, ended.Attempt+1)
		return true
	}
}

// TestCloseConnectionHeld closes the connection of an answer that is held until
// its position is durable. The request must run again, and the caller must
// receive only the second answer.
func TestCloseConnectionHeld(t *testing.T) {
	setup := newTestSetup(t)
	setup.core.hook = closeFirstAttempt(setup, func(event message.Event) (message.CloseConnection, bool) {
		held, ok := event.(message.ResultHeld)
		return message.CloseConnection{Request: held.Request, Attempt: held.Attempt}, ok
	})
	caller := startRaw(t, setup)
	if diff := cmp.Diff([]string{"row select a", "SELECT 1", "ready I"}, caller.query("select a")); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]string{"select a", "select a"}, setup.db.statements()); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(message.Outcome(message.OutcomeConnectionLost{}), (<-setup.core.ended).Outcome); diff != "" {
		t.Error(diff)
	}
}

// TestCloseConnectionRunning closes the connection of a running statement.
func TestCloseConnectionRunning(t *testing.T) {
	setup := newTestSetup(t)
	running := make(chan struct{}, 1)
	setup.db.answerWith("INSERT slow", func(c *fakeConn) {
		running <- struct{}{}
		c.stopAnswering()
	})
	caller := startRaw(t, setup)
	caller.send(&pgproto3.Query{String: "INSERT slow"})
	<-running
	setup.server.HandleAction(message.CloseConnection{Request: 1, Attempt: 2})
	setup.server.HandleAction(message.CloseConnection{Request: 1, Attempt: 1})
	if diff := cmp.Diff([]string{"ERROR 08007", "ready I"}, caller.answer()); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(message.Outcome(message.OutcomeConnectionLost{MayHaveCommitted: true}), (<-setup.core.ended).Outcome); diff != "" {
		t.Error(diff)
	}
}

// TestCloseConnectionIdleTransaction closes the connection of a transaction
// whose caller is idle. The caller must receive the error with its next
// statement, and no further statement of the transaction may run.
func TestCloseConnectionIdleTransaction(t *testing.T) {
	setup := newTestSetup(t)
	caller := startRaw(t, setup)
	caller.query("BEGIN")
	setup.server.HandleAction(message.CloseConnection{Request: 1, Attempt: 1})
	if diff := cmp.Diff(message.Outcome(message.OutcomeConnectionLost{PartlySent: true}), (<-setup.core.ended).Outcome); diff != "" {
		t.Error(diff)
	}
	want := [][]string{{"ERROR 40001", "ready E"}, {"ERROR 25P02", "ready E"}, {"ROLLBACK", "ready I"}}
	got := [][]string{caller.query("INSERT x"), caller.query("INSERT y"), caller.query("ROLLBACK")}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]string{"BEGIN"}, setup.db.statements()); diff != "" {
		t.Error(diff)
	}
}

// TestRetryAfterLostCommit lets the core dispatch a request again whose commit
// did not survive. The caller must receive only the second answer.
func TestRetryAfterLostCommit(t *testing.T) {
	setup := newTestSetup(t)
	setup.core.hook = func(event message.Event) bool {
		ended, ok := event.(message.AttemptEnded)
		if !ok || ended.Attempt > 1 {
			return false
		}
		setup.core.sendDispatch(ended.Request, 2)
		return true
	}
	caller := startRaw(t, setup)
	want := []string{"INSERT 0 1", "eelgrassfold.token ratings/7:102", "ready I"}
	if diff := cmp.Diff(want, caller.query("INSERT x")); diff != "" {
		t.Error(diff)
	}
}
