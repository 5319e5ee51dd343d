package caller

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

func position(term model.Term, offset uint64) model.Position {
	return model.Position{Term: term, Offset: offset}
}

// TestHoldUntilDurable runs a read at position 7:100 with different dispatches,
// durable positions and actions of the core. An answer below the minimum position
// must be rejected as behind. With HoldUntilDurable, an answer whose position is not
// known to be durable must be held until the core releases it or aborts the request.
func TestHoldUntilDurable(t *testing.T) {
	read := message.OutcomeRead{Position: position(7, 100)}
	release := func(held message.ResultHeld) message.Action {
		return message.ReleaseResult{Request: held.Request, Attempt: held.Attempt}
	}
	abort := func(held message.ResultHeld) message.Action {
		return message.AbortRequest{Request: held.Request, Attempt: held.Attempt, Reason: "the primary is gone"}
	}
	noAction := func(message.ResultHeld) message.Action { return nil }
	cases := []struct {
		name     string
		dispatch message.Dispatch
		durable  model.Position
		action   func(message.ResultHeld) message.Action
		want     statementOutcome
		// held is true if the answer must be reported to the core as held.
		held bool
	}{
		{
			"fresh replica",
			message.Dispatch{Access: model.AccessRead, MinPosition: position(7, 100)},
			position(0, 0), noAction,
			statementOutcome{"select a", "", read},
			false,
		},
		{
			"replica behind",
			message.Dispatch{Access: model.AccessRead, MinPosition: position(7, 101)},
			position(0, 0), noAction,
			statementOutcome{"", "57P03", message.OutcomeBehind{Position: position(7, 100)}},
			false,
		},
		{
			"behind by term",
			message.Dispatch{Access: model.AccessRead, MinPosition: position(8, 1)},
			position(0, 0), noAction,
			statementOutcome{"", "57P03", message.OutcomeBehind{Position: position(7, 100)}},
			false,
		},
		{"durable", message.Dispatch{HoldUntilDurable: true}, position(7, 100), noAction, statementOutcome{"select a", "", read}, false},
		{"durable beyond the position", message.Dispatch{HoldUntilDurable: true}, position(7, 200), noAction, statementOutcome{"select a", "", read}, false},
		{"durable in another term", message.Dispatch{HoldUntilDurable: true}, position(8, 200), release, statementOutcome{"select a", "", read}, true},
		{"released", message.Dispatch{HoldUntilDurable: true}, position(7, 99), release, statementOutcome{"select a", "", read}, true},
		{
			"aborted",
			message.Dispatch{HoldUntilDurable: true},
			position(7, 99), abort,
			statementOutcome{"", "40001", message.OutcomeDatabaseError{SQLState: "40001"}},
			true,
		},
		{
			"read of the primary released",
			message.Dispatch{HoldUntilDurable: true, Access: model.AccessRead},
			position(0, 0), release,
			statementOutcome{"select a", "", read},
			true,
		},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			held := false
			setup := newTestSetup(t, func(setup *testSetup, _ *Options) {
				setup.core.dispatch = test.dispatch
				setup.core.dispatch.Database = testDatabase
				setup.core.dispatch.Term = 7
				setup.core.hook = func(event message.Event) bool {
					answer, ok := event.(message.ResultHeld)
					if !ok {
						return false
					}
					held = true
					if diff := cmp.Diff(position(7, 100), answer.Position); diff != "" {
						t.Error(diff)
					}
					setup.core.server.HandleAction(test.action(answer))
					return true
				}
			})
			setup.server.HandleAction(message.SetDurablePosition{Group: testGroup, Position: test.durable})
			conn := connect(t, setup, "")
			got := runStatement(t, setup, conn, "select a")
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
			if diff := cmp.Diff(test.held, held); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestCommitHeld checks that no part of a commit's answer is sent before the
// core has acknowledged the commit.
func TestCommitHeld(t *testing.T) {
	cases := []struct {
		name   string
		action func(ended message.AttemptEnded) message.Action
		want   string
	}{
		{"acknowledged", func(e message.AttemptEnded) message.Action {
			return message.AcknowledgeCommit{Request: e.Request, Attempt: e.Attempt, Token: model.Token{Group: testGroup, Position: position(7, 101)}}
		}, ""},
		{"outcome unknown", func(e message.AttemptEnded) message.Action {
			return message.AbortRequest{Request: e.Request, Attempt: e.Attempt, OutcomeUnknown: true}
		}, "08007"},
		{"confirmed not committed", func(e message.AttemptEnded) message.Action {
			return message.RefuseRequest{Request: e.Request, Reason: message.RefuseNotCommitted}
		}, "40001"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			committed := make(chan message.AttemptEnded, 1)
			setup := newTestSetup(t)
			setup.core.hook = func(event message.Event) bool {
				ended, ok := event.(message.AttemptEnded)
				if !ok {
					return false
				}
				if _, ok = ended.Outcome.(message.OutcomeCommitted); ok {
					committed <- ended
				}
				return ok
			}
			conn := connect(t, setup, "")
			result := make(chan error, 1)
			go func() {
				_, err := conn.Exec(context.Background(), "INSERT x")
				result <- err
			}()
			ended := <-committed
			select {
			case err := <-result:
				t.Fatal("answered before the action of the core: ", err)
			default:
			}
			setup.server.HandleAction(test.action(ended))
			if diff := cmp.Diff(test.want, sqlStateOf(<-result)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestHeldAnswerOverLimit reads an answer of 12.5 MiB, which is larger than
// maxHeldAnswer (4 MiB). The server must stop reading, wait once for the release
// and then send every row.
func TestHeldAnswerOverLimit(t *testing.T) {
	const rows = 200
	row := strings.Repeat("x", 64<<10)
	setup := newTestSetup(t)
	setup.db.answerWith("select all", func(c *fakeConn) {
		c.sendDescription()
		c.sendPosition()
		for range rows {
			c.sendRow(row)
		}
		c.sendComplete("SELECT 200")
	})
	held := 0
	setup.core.hook = func(event message.Event) bool {
		if _, ok := event.(message.ResultHeld); ok {
			held++
		}
		return false
	}
	conn := connect(t, setup, "")
	answer, err := conn.Query(context.Background(), "select all", pgx.QueryExecModeSimpleProtocol)
	if err != nil {
		t.Fatal(err)
	}
	got := 0
	for answer.Next() {
		if string(answer.RawValues()[0]) != row {
			t.Fatal("row differs")
		}
		got++
	}
	if diff := cmp.Diff(rows, got); diff != "" || answer.Err() != nil {
		t.Error(diff, answer.Err())
	}
	if diff := cmp.Diff(1, held); diff != "" {
		t.Error(diff)
	}
}

// TestCommitAcknowledgedAfterLoss loses the connection at a commit that the
// core acknowledges afterwards. The caller must receive the token of the commit.
// The answer to a COMMIT can be generated, but that of any other statement is lost:
// error 08007 reports that the statement was committed without its answer.
func TestCommitAcknowledgedAfterLoss(t *testing.T) {
	token := model.Token{Group: testGroup, Position: position(7, 101)}
	cases := []struct {
		name    string
		queries []string
		want    []string
	}{
		{"transaction", []string{"BEGIN", "INSERT x", "COMMIT"}, []string{"eelgrassfold.token ratings/7:101", "COMMIT", "ready I"}},
		{"statement", []string{"INSERT lost"}, []string{"eelgrassfold.token ratings/7:101", "ERROR 08007", "ready I"}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			setup := newTestSetup(t)
			setup.db.answerWith("COMMIT", func(c *fakeConn) { c.sendCommitPosition(); c.disconnect() })
			setup.db.answerWith("INSERT lost", (*fakeConn).disconnect)
			setup.core.hook = func(event message.Event) bool {
				ended, ok := event.(message.AttemptEnded)
				if ok {
					setup.server.HandleAction(message.AcknowledgeCommit{Request: ended.Request, Attempt: ended.Attempt, Token: token})
				}
				return ok
			}
			caller := startRaw(t, setup)
			var got []string
			for _, text := range test.queries {
				got = caller.query(text)
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestSlowCaller has a caller that does not read its answer. It must lose its
// connection, and the backend connection must be closed.
func TestSlowCaller(t *testing.T) {
	setup := newTestSetup(t, func(_ *testSetup, options *Options) { options.WriteTimeout = 50 * time.Millisecond })
	setup.server.HandleAction(message.SetDurablePosition{Group: testGroup, Position: position(7, 100)})
	row := strings.Repeat("x", 1<<20)
	setup.db.answerWith("select all", func(c *fakeConn) {
		c.sendDescription()
		c.sendPosition()
		for !c.ended {
			c.sendRow(row)
			if c.backend.Flush() != nil {
				c.ended = true
			}
		}
	})
	caller := startRaw(t, setup)
	caller.send(&pgproto3.Query{String: "select all"})
	ended := <-setup.core.ended
	if diff := cmp.Diff(message.Outcome(message.OutcomeConnectionLost{MayHaveCommitted: true, PartlySent: true}), ended.Outcome); diff != "" {
		t.Error(diff)
	}
}
