package caller

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
)

// cancelRaw sends a cancel request with a session's key.
func cancelRaw(t *testing.T, b *bench, key pgproto3.BackendKeyData) {
	t.Helper()
	caller := dialRaw(t, b)
	packet, err := (&pgproto3.CancelRequest{ProcessID: key.ProcessID, SecretKey: key.SecretKey}).Encode(nil)
	if err != nil {
		t.Fatal(err)
	}
	caller.conn.Write(packet)
	caller.conn.Read(make([]byte, 1))
}

// TestCancel cancels a statement that runs: the cancel request reaches the
// connection that the statement runs on, which is not used again.
func TestCancel(t *testing.T) {
	b := newBench(t)
	running := make(chan uint32, 1)
	b.db.on("select slow", func(c *fakeConn) {
		running <- c.process
		canceled := <-c.db.canceled
		if canceled == c.process {
			c.fail("57014", "canceled")
		}
	})
	caller := startRaw(t, b)
	caller.send(&pgproto3.Query{String: "select slow"})
	<-running
	cancelRaw(t, b, pgproto3.BackendKeyData{ProcessID: caller.key.ProcessID, SecretKey: []byte{0, 0, 0, 0}})
	cancelRaw(t, b, caller.key)
	if diff := cmp.Diff([]string{"ERROR 57014", "ready I"}, caller.answer()); diff != "" {
		t.Error(diff)
	}
	caller.query("select a")
	if diff := cmp.Diff(2, b.db.connections()); diff != "" {
		t.Error("the connection was used again after a cancel request: ", diff)
	}
}

// TestCancelIdle cancels a session that runs nothing: nothing is told to
// anybody, also not within a transaction.
func TestCancelIdle(t *testing.T) {
	b := newBench(t)
	b.core.hook = func(event message.Event) bool {
		if _, ok := event.(message.RequestCanceled); ok {
			t.Error("the core was told")
		}
		return false
	}
	caller := startRaw(t, b)
	cancelRaw(t, b, caller.key)
	caller.query("BEGIN")
	cancelRaw(t, b, caller.key)
	caller.query("COMMIT")
}

// TestCancelWaiting cancels a request that waits for its dispatch.
func TestCancelWaiting(t *testing.T) {
	b := newBench(t)
	waiting := make(chan struct{}, 1)
	b.core.hook = func(event message.Event) bool {
		switch event := event.(type) {
		case message.RequestArrived:
			waiting <- struct{}{}
			return true
		case message.RequestCanceled:
			b.edge.HandleAction(message.RefuseRequest{Request: event.Request, Reason: message.RefuseCanceled})
			return true
		}
		return false
	}
	caller := startRaw(t, b)
	caller.send(&pgproto3.Query{String: "select a"})
	<-waiting
	cancelRaw(t, b, caller.key)
	if diff := cmp.Diff([]string{"ERROR 57014", "ready I"}, caller.answer()); diff != "" {
		t.Error(diff)
	}
}

// TestCallerGone closes a caller's connection while its request runs: the core
// learns it, and the database is asked to stop.
func TestCallerGone(t *testing.T) {
	b := newBench(t)
	running := make(chan struct{}, 1)
	b.db.on("select slow", func(c *fakeConn) {
		running <- struct{}{}
		<-c.db.canceled
		c.fail("57014", "canceled")
	})
	caller := startRaw(t, b)
	caller.send(&pgproto3.Query{String: "select slow"})
	<-running
	caller.conn.Close()
	ended := <-b.core.ended
	if diff := cmp.Diff(message.Outcome(message.OutcomeDatabaseError{SQLState: "57014"}), ended.Outcome); diff != "" {
		t.Error(diff)
	}
}

// TestAbandonRunning has the core abandon a request while its statement runs.
func TestAbandonRunning(t *testing.T) {
	b := newBench(t)
	running := make(chan struct{}, 1)
	b.db.on("INSERT slow", func(c *fakeConn) {
		running <- struct{}{}
		c.mute()
	})
	caller := startRaw(t, b)
	caller.send(&pgproto3.Query{String: "INSERT slow"})
	<-running
	b.edge.HandleAction(message.AbortRequest{Request: 1, Attempt: 1, OutcomeUnknown: true})
	if diff := cmp.Diff([]string{"ERROR 08007", "ready I"}, caller.answer()); diff != "" {
		t.Error(diff)
	}
}

// TestDrain drains the edge with one session idle and one whose request runs:
// the request ends whole, and both are told to connect again.
func TestDrain(t *testing.T) {
	b := newBench(t)
	running, finish := make(chan struct{}), make(chan struct{})
	b.db.on("select slow", func(c *fakeConn) {
		close(running)
		<-finish
		c.standard("select slow", true)
	})
	idle, busy := startRaw(t, b), startRaw(t, b)
	busy.send(&pgproto3.Query{String: "select slow"})
	<-running
	b.edge.HandleAction(message.Drain{})
	if diff := cmp.Diff([]string{"FATAL 57P01"}, idle.answer()); diff != "" {
		t.Error(diff)
	}
	close(finish)
	if diff := cmp.Diff([]string{"row select slow", "SELECT 1", "ready I"}, busy.answer()); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]string{"FATAL 57P01"}, busy.answer()); diff != "" {
		t.Error(diff)
	}
	<-b.gone
}

// TestDrainTransaction drains the edge while a transaction is open.
func TestDrainTransaction(t *testing.T) {
	b := newBench(t)
	caller := startRaw(t, b)
	caller.query("BEGIN")
	b.edge.HandleAction(message.Drain{})
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
	<-b.gone
}

// TestEnd ends the edge while a request runs: nothing is left behind.
func TestEnd(t *testing.T) {
	b := newBench(t)
	running := make(chan struct{}, 1)
	b.db.on("select slow", func(c *fakeConn) {
		running <- struct{}{}
		c.mute()
	})
	caller := startRaw(t, b)
	caller.send(&pgproto3.Query{String: "select slow"})
	<-running
	b.stop()
	<-b.gone
	if diff := cmp.Diff(0, b.edge.SessionCount()); diff != "" {
		t.Error(diff)
	}
}
