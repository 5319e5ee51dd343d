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

// TestGate runs a read at position 7:100 under different words of the core.
func TestGate(t *testing.T) {
	read := message.OutcomeRead{Position: position(7, 100)}
	release := func(held message.ResultHeld) message.Action {
		return message.ReleaseResult{Request: held.Request, Attempt: held.Attempt}
	}
	abandon := func(held message.ResultHeld) message.Action {
		return message.AbortRequest{Request: held.Request, Attempt: held.Attempt, Reason: "the primary is gone"}
	}
	none := func(message.ResultHeld) message.Action { return nil }
	cases := []struct {
		name     string
		dispatch message.Dispatch
		proven   model.Position
		word     func(message.ResultHeld) message.Action
		want     outcome
		held     bool
	}{
		{
			"fresh replica",
			message.Dispatch{Access: model.AccessRead, MinPosition: position(7, 100)},
			position(0, 0), none,
			outcome{"select a", "", read},
			false,
		},
		{
			"replica behind",
			message.Dispatch{Access: model.AccessRead, MinPosition: position(7, 101)},
			position(0, 0), none,
			outcome{"", "57P03", message.OutcomeBehind{Position: position(7, 100)}},
			false,
		},
		{
			"behind by term",
			message.Dispatch{Access: model.AccessRead, MinPosition: position(8, 1)},
			position(0, 0), none,
			outcome{"", "57P03", message.OutcomeBehind{Position: position(7, 100)}},
			false,
		},
		{"proven", message.Dispatch{HoldUntilDurable: true}, position(7, 100), none, outcome{"select a", "", read}, false},
		{"proven beyond", message.Dispatch{HoldUntilDurable: true}, position(7, 200), none, outcome{"select a", "", read}, false},
		{"proven in another term", message.Dispatch{HoldUntilDurable: true}, position(8, 200), release, outcome{"select a", "", read}, true},
		{"released", message.Dispatch{HoldUntilDurable: true}, position(7, 99), release, outcome{"select a", "", read}, true},
		{
			"abandoned",
			message.Dispatch{HoldUntilDurable: true},
			position(7, 99), abandon,
			outcome{"", "40001", message.OutcomeDatabaseError{SQLState: "40001"}},
			true,
		},
		{
			"read of the primary released",
			message.Dispatch{HoldUntilDurable: true, Access: model.AccessRead},
			position(0, 0), release,
			outcome{"select a", "", read},
			true,
		},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			held := false
			b := newBench(t, func(b *bench, _ *Options) {
				b.core.dispatch = test.dispatch
				b.core.dispatch.Database = testDatabase
				b.core.dispatch.Term = 7
				b.core.hook = func(event message.Event) bool {
					answer, ok := event.(message.ResultHeld)
					if !ok {
						return false
					}
					held = true
					if diff := cmp.Diff(position(7, 100), answer.Position); diff != "" {
						t.Error(diff)
					}
					b.core.edge.HandleAction(test.word(answer))
					return true
				}
			})
			b.edge.HandleAction(message.SetDurablePosition{Group: testGroup, Position: test.proven})
			conn := connect(t, b, "")
			got := outcomeOf(t, b, conn, "select a")
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
			if diff := cmp.Diff(test.held, held); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestCommitHeld checks that no part of a commit's answer is out before the
// core has acknowledged it.
func TestCommitHeld(t *testing.T) {
	cases := []struct {
		name string
		word func(ended message.AttemptEnded) message.Action
		want string
	}{
		{"acknowledged", func(e message.AttemptEnded) message.Action {
			return message.AcknowledgeCommit{Request: e.Request, Attempt: e.Attempt, Token: model.Token{Group: testGroup, Position: position(7, 101)}}
		}, ""},
		{"unknown", func(e message.AttemptEnded) message.Action {
			return message.AbortRequest{Request: e.Request, Attempt: e.Attempt, OutcomeUnknown: true}
		}, "08007"},
		{"proven not to have happened", func(e message.AttemptEnded) message.Action {
			return message.RefuseRequest{Request: e.Request, Reason: message.RefuseNotCommitted}
		}, "40001"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			committed := make(chan message.AttemptEnded, 1)
			b := newBench(t)
			b.core.hook = func(event message.Event) bool {
				ended, ok := event.(message.AttemptEnded)
				if !ok {
					return false
				}
				if _, ok = ended.Outcome.(message.OutcomeCommitted); ok {
					committed <- ended
				}
				return ok
			}
			conn := connect(t, b, "")
			answered := make(chan error, 1)
			go func() {
				_, err := conn.Exec(context.Background(), "INSERT x")
				answered <- err
			}()
			ended := <-committed
			select {
			case err := <-answered:
				t.Fatal("answered before the word of the core: ", err)
			default:
			}
			b.edge.HandleAction(test.word(ended))
			if diff := cmp.Diff(test.want, stateOf(<-answered)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestHeldOverLimit has an answer of more than may be held wait for its proof.
func TestHeldOverLimit(t *testing.T) {
	const rows = 200
	row := strings.Repeat("x", 64<<10)
	b := newBench(t)
	b.db.on("select all", func(c *fakeConn) {
		c.describe()
		c.shown()
		for range rows {
			c.row(row)
		}
		c.complete("SELECT 200")
	})
	held := 0
	b.core.hook = func(event message.Event) bool {
		if _, ok := event.(message.ResultHeld); ok {
			held++
		}
		return false
	}
	conn := connect(t, b, "")
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

// TestCommitProvenAfterLoss loses the connection at a commit that the core then
// proves to have happened.
func TestCommitProvenAfterLoss(t *testing.T) {
	token := model.Token{Group: testGroup, Position: position(7, 101)}
	cases := []struct {
		name string
		say  []string
		want []string
	}{
		{"transaction", []string{"BEGIN", "INSERT x", "COMMIT"}, []string{"eelgrassfold.token ratings/7:101", "COMMIT", "ready I"}},
		{"statement", []string{"INSERT lost"}, []string{"eelgrassfold.token ratings/7:101", "ERROR 08007", "ready I"}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			b := newBench(t)
			b.db.on("COMMIT", func(c *fakeConn) { c.committed(); c.cut() })
			b.db.on("INSERT lost", (*fakeConn).cut)
			b.core.hook = func(event message.Event) bool {
				ended, ok := event.(message.AttemptEnded)
				if ok {
					b.edge.HandleAction(message.AcknowledgeCommit{Request: ended.Request, Attempt: ended.Attempt, Token: token})
				}
				return ok
			}
			caller := startRaw(t, b)
			var got []string
			for _, text := range test.say {
				got = caller.query(text)
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestSlowCaller has a caller not take its answer: it loses its connection, and
// the database's connection is not used again.
func TestSlowCaller(t *testing.T) {
	b := newBench(t, func(_ *bench, options *Options) { options.WriteTimeout = 50 * time.Millisecond })
	b.edge.HandleAction(message.SetDurablePosition{Group: testGroup, Position: position(7, 100)})
	row := strings.Repeat("x", 1<<20)
	b.db.on("select all", func(c *fakeConn) {
		c.describe()
		c.shown()
		for !c.gone {
			c.row(row)
			if c.backend.Flush() != nil {
				c.gone = true
			}
		}
	})
	caller := startRaw(t, b)
	caller.send(&pgproto3.Query{String: "select all"})
	ended := <-b.core.ended
	if diff := cmp.Diff(message.Outcome(message.OutcomeConnectionLost{MayHaveCommitted: true, PartlySent: true}), ended.Outcome); diff != "" {
		t.Error(diff)
	}
}
