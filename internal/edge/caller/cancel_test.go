package caller

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
)

// cancelRaw sends a cancel request with the process ID and secret key of a
// session.
func cancelRaw(t *testing.T, setup *testSetup, key pgproto3.BackendKeyData) {
	t.Helper()
	caller := dialRaw(t, setup)
	packet, err := (&pgproto3.CancelRequest{ProcessID: key.ProcessID, SecretKey: key.SecretKey}).Encode(nil)
	if err != nil {
		t.Fatal(err)
	}
	caller.conn.Write(packet)
	caller.conn.Read(make([]byte, 1))
}

// TestCancel cancels a running statement. The cancel request must reach the
// connection that runs the statement, and that connection must not be used
// again.
func TestCancel(t *testing.T) {
	setup := newTestSetup(t)
	running := make(chan uint32, 1)
	setup.db.answerWith("select slow", func(c *fakeConn) {
		running <- c.processID
		canceled := <-c.db.canceled
		if canceled == c.processID {
			c.sendError("57014", "canceled")
		}
	})
	caller := startRaw(t, setup)
	caller.send(&pgproto3.Query{String: "select slow"})
	<-running
	cancelRaw(t, setup, pgproto3.BackendKeyData{ProcessID: caller.key.ProcessID, SecretKey: []byte{0, 0, 0, 0}})
	cancelRaw(t, setup, caller.key)
	if diff := cmp.Diff([]string{"ERROR 57014", "ready I"}, caller.answer()); diff != "" {
		t.Error(diff)
	}
	caller.query("select a")
	if diff := cmp.Diff(2, setup.db.connections()); diff != "" {
		t.Error("the connection was used again after a cancel request: ", diff)
	}
}

// TestCancelIdle cancels a session that runs no statement. Nothing may be
// reported to the core, not even inside a transaction.
func TestCancelIdle(t *testing.T) {
	setup := newTestSetup(t)
	setup.core.hook = func(event message.Event) bool {
		if _, ok := event.(message.RequestCanceled); ok {
			t.Error("the cancellation was reported to the core")
		}
		return false
	}
	caller := startRaw(t, setup)
	cancelRaw(t, setup, caller.key)
	caller.query("BEGIN")
	cancelRaw(t, setup, caller.key)
	caller.query("COMMIT")
}

// TestCancelAfterAnswer cancels a request whose answer has reached the caller, before
// the core has learned that its attempt ended. A caller that has its answer can't mean
// that request.
func TestCancelAfterAnswer(t *testing.T) {
	setup := newTestSetup(t)
	canceled := make(chan struct{})
	setup.core.hook = func(event message.Event) bool {
		switch event.(type) {
		case message.AttemptEnded:
			<-canceled
		case message.RequestCanceled:
			t.Error("the cancellation was reported to the core")
		}
		return false
	}
	caller := startRaw(t, setup)
	caller.query("select a")
	cancelRaw(t, setup, caller.key)
	close(canceled)
}

// TestCancelWaiting cancels a request that waits for its dispatch.
func TestCancelWaiting(t *testing.T) {
	setup := newTestSetup(t)
	waiting := make(chan struct{}, 1)
	setup.core.hook = func(event message.Event) bool {
		switch event := event.(type) {
		case message.RequestArrived:
			waiting <- struct{}{}
			return true
		case message.RequestCanceled:
			setup.server.HandleAction(message.RefuseRequest{Request: event.Request, Reason: message.RefuseCanceled})
			return true
		}
		return false
	}
	caller := startRaw(t, setup)
	caller.send(&pgproto3.Query{String: "select a"})
	<-waiting
	cancelRaw(t, setup, caller.key)
	if diff := cmp.Diff([]string{"ERROR 57014", "ready I"}, caller.answer()); diff != "" {
		t.Error(diff)
	}
}

// TestCallerDisconnects closes a caller's connection while its request runs.
// The core must be notified, and the statement canceled at the database.
func TestCallerDisconnects(t *testing.T) {
	setup := newTestSetup(t)
	running := make(chan struct{}, 1)
	setup.db.answerWith("select slow", func(c *fakeConn) {
		running <- struct{}{}
		<-c.db.canceled
		c.sendError("57014", "canceled")
	})
	caller := startRaw(t, setup)
	caller.send(&pgproto3.Query{String: "select slow"})
	<-running
	caller.conn.Close()
	ended := <-setup.core.ended
	if diff := cmp.Diff(message.Outcome(message.OutcomeDatabaseError{SQLState: "57014"}), ended.Outcome); diff != "" {
		t.Error(diff)
	}
}

// TestAbortRunning lets the core abort a request while its statement runs.
func TestAbortRunning(t *testing.T) {
	setup := newTestSetup(t)
	running := make(chan struct{}, 1)
	setup.db.answerWith("INSERT slow", func(c *fakeConn) {
		running <- struct{}{}
		c.stopAnswering()
	})
	caller := startRaw(t, setup)
	caller.send(&pgproto3.Query{String: "INSERT slow"})
	<-running
	setup.server.HandleAction(message.AbortRequest{Request: 1, Attempt: 1, OutcomeUnknown: true})
	if diff := cmp.Diff([]string{"ERROR 08007", "ready I"}, caller.answer()); diff != "" {
		t.Error(diff)
	}
}

// TestDrain drains the server with one idle session and one whose request runs.
// The request must complete, and both callers must receive FATAL 57P01.
func TestDrain(t *testing.T) {
	setup := newTestSetup(t)
	running, release := make(chan struct{}), make(chan struct{})
	setup.db.answerWith("select slow", func(c *fakeConn) {
		close(running)
		<-release
		c.answerDefault("select slow", true)
	})
	idle, busy := startRaw(t, setup), startRaw(t, setup)
	busy.send(&pgproto3.Query{String: "select slow"})
	<-running
	setup.server.HandleAction(message.Drain{})
	if diff := cmp.Diff([]string{"FATAL 57P01"}, idle.answer()); diff != "" {
		t.Error(diff)
	}
	close(release)
	if diff := cmp.Diff([]string{"row select slow", "SELECT 1", "ready I"}, busy.answer()); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]string{"FATAL 57P01"}, busy.answer()); diff != "" {
		t.Error(diff)
	}
	<-setup.stopped
}

// TestDrainTransaction drains the server while a transaction is open.
func TestDrainTransaction(t *testing.T) {
	setup := newTestSetup(t)
	caller := startRaw(t, setup)
	caller.query("BEGIN")
	setup.server.HandleAction(message.Drain{})
	if diff := cmp.Diff([]string{"INSERT 0 1", "ready T"}, caller.query("INSERT x")); diff != "" {
		t.Error(diff)
	}
	want := []string{"COMMIT", "eelgrassfold.token ratings/7:101", "ready I"}
	if diff := cmp.Diff(want, caller.query("COMMIT")); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]string{"FATAL 57P01"}, caller.answer()); diff != "" {
		t.Error(diff)
	}
	<-setup.stopped
}

// TestStop stops the server while a request runs. No session may remain.
func TestStop(t *testing.T) {
	setup := newTestSetup(t)
	running := make(chan struct{}, 1)
	setup.db.answerWith("select slow", func(c *fakeConn) {
		running <- struct{}{}
		c.stopAnswering()
	})
	caller := startRaw(t, setup)
	caller.send(&pgproto3.Query{String: "select slow"})
	<-running
	setup.stop()
	<-setup.stopped
	if diff := cmp.Diff(0, setup.server.SessionCount()); diff != "" {
		t.Error(diff)
	}
}
