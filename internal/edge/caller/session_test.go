package caller

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
)

// TestSimpleQueries sends simple queries and checks the answers and the
// statements that reach the database.
func TestSimpleQueries(t *testing.T) {
	cases := []struct {
		name     string
		queries  []string
		want     [][]string
		executed []string
	}{
		{"no statement", []string{"", " ; ", "-- a comment"}, [][]string{{"empty", "ready I"}, {"empty", "ready I"}, {"empty", "ready I"}}, nil},
		{
			"proxy settings",
			[]string{"SET eelgrassfold.kind = 'post'", "SHOW eelgrassfold.kind", "RESET eelgrassfold.kind", "SHOW eelgrassfold.kind"},
			[][]string{{"SET", "ready I"}, {"row post", "SHOW", "ready I"}, {"RESET", "ready I"}, {"row ", "SHOW", "ready I"}},
			nil,
		},
		{
			"unknown proxy setting",
			[]string{"SET eelgrassfold.rank = '1'", "SHOW eelgrassfold.rank", "SET eelgrassfold.key = 'a'"},
			[][]string{{"ERROR 22023", "ready I"}, {"ERROR 22023", "ready I"}, {"ERROR 22023", "ready I"}},
			nil,
		},
		{
			"malformed token",
			[]string{"SET eelgrassfold.token = 'x'", "SET eelgrassfold.token TO 'other/7:1'"},
			[][]string{{"ERROR 22023", "ready I"}, {"ERROR 22023", "ready I"}},
			nil,
		},
		{
			"malformed comment",
			[]string{"select a /*kind=post*/", "select a /*deadline='soon'*/", "select a /*kind='a',kind='b'*/"},
			[][]string{{"ERROR 22023", "ready I"}, {"ERROR 22023", "ready I"}, {"ERROR 22023", "ready I"}},
			nil,
		},
		{
			"other comments",
			[]string{"select a /*action='show',route='/x'*/", "/* a kind of query */ select a"},
			[][]string{{"row select a", "SELECT 1", "ready I"}, {"row ", "SELECT 1", "ready I"}},
			[]string{"select a", ""},
		},
		{
			"copy",
			[]string{"COPY kv FROM STDIN", "select a"},
			[][]string{{"ERROR 0A000", "ready I"}, {"row select a", "SELECT 1", "ready I"}},
			[]string{"select a"},
		},
		{"listen", []string{"LISTEN a"}, [][]string{{"ERROR 0A000", "ready I"}}, nil},
		{"several statements", []string{"SELECT 1; SELECT 2"}, [][]string{{"row SELECT 1; SELECT 2", "SELECT 1", "ready I"}}, []string{"SELECT 1; SELECT 2"}},
		{
			"token",
			[]string{"INSERT x", "SHOW eelgrassfold.token"},
			[][]string{{"INSERT 0 1", "eelgrassfold.token ratings/7:101", "ready I"}, {"row ratings/7:101", "SHOW", "ready I"}},
			[]string{"INSERT x"},
		},
		{
			"discard",
			[]string{"DISCARD ALL", "RESET ALL", "DEALLOCATE ALL", "DEALLOCATE a"},
			[][]string{{"DISCARD ALL", "ready I"}, {"RESET", "ready I"}, {"DEALLOCATE ALL", "ready I"}, {"DEALLOCATE", "ready I"}},
			nil,
		},
		{
			"error in a transaction",
			[]string{"BEGIN", "SET eelgrassfold.rank = '1'", "INSERT x", "COMMIT", "select a"},
			[][]string{{"BEGIN", "ready T"}, {"ERROR 22023", "ready E"}, {"ERROR 25P02", "ready E"}, {"ROLLBACK", "ready I"}, {"row select a", "SELECT 1", "ready I"}},
			[]string{"BEGIN", "select a"},
		},
		{
			"transaction opened by a later statement",
			[]string{"SELECT 1; BEGIN", "INSERT x", "COMMIT"},
			[][]string{{"BEGIN", "ready T"}, {"INSERT 0 1", "ready T"}, {"COMMIT", "eelgrassfold.token ratings/7:101", "ready I"}},
			[]string{"SELECT 1; BEGIN", "INSERT x", "COMMIT"},
		},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			setup := newTestSetup(t)
			setup.db.answerWith("", func(c *fakeConn) { c.answerDefault("", true) })
			setup.db.answerWith("SELECT 1; BEGIN", func(c *fakeConn) { c.transactionStatus = 'T'; c.sendPosition(); c.sendComplete("BEGIN") })
			caller := startRaw(t, setup)
			var got [][]string
			for _, text := range test.queries {
				got = append(got, caller.query(text))
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
			if diff := cmp.Diff(test.executed, setup.db.statements()); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestSettingsReplayed checks that the settings of a session apply on each
// connection that serves it, and on none that serves another session.
func TestSettingsReplayed(t *testing.T) {
	setup := newTestSetup(t)
	setup.setDatabases(1)
	first, second := startRaw(t, setup), startRaw(t, setup)
	first.query("SET search_path = dinghies")
	second.query("select a")
	first.query("select b")
	first.query("select c")
	second.query("select d")
	want := []string{"SET search_path = dinghies", "select a", "SET search_path = dinghies", "select b", "select c", "select d"}
	if diff := cmp.Diff(want, setup.db.statements()); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(2, setup.db.resets()); diff != "" {
		t.Error(diff)
	}
}

// TestSettingsShared checks that sessions with equal settings share a
// connection without a reset.
func TestSettingsShared(t *testing.T) {
	setup := newTestSetup(t)
	setup.setDatabases(1)
	first, second := connect(t, setup, "&search_path=dinghies"), connect(t, setup, "&search_path=dinghies")
	for range 2 {
		runStatement(t, setup, first, "select a")
		runStatement(t, setup, second, "select b")
	}
	want := []string{"SET search_path = 'dinghies'", "select a", "select b", "select a", "select b"}
	if diff := cmp.Diff(want, setup.db.statements()); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(0, setup.db.resets()); diff != "" {
		t.Error(diff)
	}
}

// TestHints checks the RequestArrived event for each kind of hint.
func TestHints(t *testing.T) {
	cases := []struct {
		name, query string
		want        message.RequestArrived
	}{
		{"none", "select a", message.RequestArrived{IdempotencyKey: "i1-1"}},
		{
			"comment", "select a /*kind='post',deadline='200ms',token='ratings%2F7:3'*/",
			message.RequestArrived{IdempotencyKey: "i1-1", Kind: "post", Deadline: 200e6, TokenPosition: position(7, 3)},
		},
		{"comment before the statement", "/*key='finish-12'*/ INSERT x", message.RequestArrived{IdempotencyKey: "finish-12", CallerSuppliedKey: true}},
		{"transaction", "BEGIN /*kind='post'*/", message.RequestArrived{IdempotencyKey: "i1-1", Kind: "post", Transaction: true}},
		{"start transaction", "start transaction", message.RequestArrived{IdempotencyKey: "i1-1", Transaction: true}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			arrived := make(chan message.RequestArrived, 1)
			setup := newTestSetup(t)
			setup.core.hook = func(event message.Event) bool {
				if one, ok := event.(message.RequestArrived); ok {
					arrived <- one
				}
				return false
			}
			startRaw(t, setup).query(test.query)
			test.want.Request, test.want.Session = 1, 1
			if diff := cmp.Diff(test.want, <-arrived); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestCopy checks that each direction of COPY is rejected and that the session
// continues.
func TestCopy(t *testing.T) {
	cases := []struct {
		name   string
		answer func(c *fakeConn)
		want   []string
	}{
		{"in", func(c *fakeConn) {
			c.backend.Send(&pgproto3.CopyInResponse{})
			c.backend.Flush()
			message, _ := c.backend.Receive()
			if _, failed := message.(*pgproto3.CopyFail); failed {
				c.sendError("57014", "copy failed")
			}
		}, []string{"ERROR 0A000", "ready I"}},
		{"out", func(c *fakeConn) {
			c.backend.Send(&pgproto3.CopyOutResponse{})
			c.backend.Send(&pgproto3.CopyData{Data: []byte("a")})
			c.backend.Send(&pgproto3.CopyDone{})
			c.sendComplete("COPY 1")
		}, []string{"ERROR 0A000", "ready I"}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			setup := newTestSetup(t)
			setup.db.answerWith("WITH a COPY", test.answer)
			caller := startRaw(t, setup)
			if diff := cmp.Diff(test.want, caller.query("WITH a COPY")); diff != "" {
				t.Error(diff)
			}
			if diff := cmp.Diff([]string{"row select a", "SELECT 1", "ready I"}, caller.query("select a")); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestExtendedProtocol sends batches of the extended protocol.
func TestExtendedProtocol(t *testing.T) {
	parse := func(name, text string) pgproto3.FrontendMessage { return &pgproto3.Parse{Name: name, Query: text} }
	bind := func(name string) pgproto3.FrontendMessage { return &pgproto3.Bind{PreparedStatement: name} }
	execute, sync := &pgproto3.Execute{}, &pgproto3.Sync{}
	row := []string{"row select a", "SELECT 1", "ready I"}
	cases := []struct {
		name    string
		batches [][]pgproto3.FrontendMessage
		want    [][]string
	}{
		{"empty", [][]pgproto3.FrontendMessage{{sync}}, [][]string{{"ready I"}}},
		{
			"unnamed in two batches",
			[][]pgproto3.FrontendMessage{{parse("", "select a"), sync}, {bind(""), execute, sync}},
			[][]string{{"parsed", "ready I"}, append([]string{"bound"}, row...)},
		},
		{
			"named",
			[][]pgproto3.FrontendMessage{{parse("s", "select a"), sync}, {bind("s"), execute, sync}, {parse("s", "select a"), bind("s"), execute, sync}},
			[][]string{{"parsed", "ready I"}, append([]string{"bound"}, row...), append([]string{"parsed", "bound"}, row...)},
		},
		{
			"two names for the same text",
			[][]pgproto3.FrontendMessage{{parse("s", "select a"), parse("r", "select a"), bind("r"), execute, sync}},
			[][]string{append([]string{"parsed", "parsed", "bound"}, row...)},
		},
		{"closed", [][]pgproto3.FrontendMessage{
			{parse("s", "select a"), sync},
			{&pgproto3.Close{ObjectType: 'S', Name: "s"}, sync},
			{bind("s"), execute, sync},
		}, [][]string{{"parsed", "ready I"}, {"closed", "ready I"}, {"ERROR 26000", "ready I"}}},
		{"unknown unnamed", [][]pgproto3.FrontendMessage{{bind(""), execute, sync}}, [][]string{{"ERROR 26000", "ready I"}}},
		{
			"proxy setting",
			[][]pgproto3.FrontendMessage{{parse("", "SET eelgrassfold.kind = 'post'"), bind(""), execute, sync}},
			[][]string{{"parsed", "bound", "SET", "ready I"}},
		},
		{
			"flush",
			[][]pgproto3.FrontendMessage{{parse("", "select a"), &pgproto3.Flush{}, sync}, {parse("", "select a"), bind(""), execute, sync}},
			[][]string{{"ERROR 0A000", "ready I"}, append([]string{"parsed", "bound"}, row...)},
		},
		{"function call", [][]pgproto3.FrontendMessage{{&pgproto3.FunctionCall{}}}, [][]string{{"ERROR 0A000", "ready I"}}},
		{
			"pipelined",
			[][]pgproto3.FrontendMessage{{parse("", "BEGIN"), bind(""), execute, parse("", "select a"), bind(""), execute, sync}, {&pgproto3.Query{String: "COMMIT"}}},
			[][]string{{"parsed", "bound", "BEGIN", "parsed", "bound", "row select a", "SELECT 1", "ready T"}, {"COMMIT", "eelgrassfold.token ratings/7:101", "ready I"}},
		},
		{"hint in a prepared statement", [][]pgproto3.FrontendMessage{{parse("s", "select a /*kind=1*/"), sync}}, [][]string{{"ERROR 22023", "ready I"}}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			caller := startRaw(t, newTestSetup(t))
			var got [][]string
			for _, batch := range test.batches {
				caller.send(batch...)
				got = append(got, caller.answer())
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestLimits exceeds each limit of a session.
func TestLimits(t *testing.T) {
	small := func(_ *testSetup, options *Options) { options.MaxMessageSize = 1000 }
	long := strings.Repeat("x", 2000)
	t.Run("message", func(t *testing.T) {
		caller := startRaw(t, newTestSetup(t, small))
		if diff := cmp.Diff([]string{"FATAL 08P01"}, caller.query(long)); diff != "" {
			t.Error(diff)
		}
	})
	t.Run("batch", func(t *testing.T) {
		caller := startRaw(t, newTestSetup(t, small))
		for range 3 {
			caller.send(&pgproto3.Parse{Query: long[:500]})
		}
		caller.send(&pgproto3.Sync{})
		if diff := cmp.Diff([]string{"ERROR 54000", "ready I"}, caller.answer()); diff != "" {
			t.Error(diff)
		}
	})
	t.Run("sessions", func(t *testing.T) {
		setup := newTestSetup(t, func(_ *testSetup, options *Options) { options.MaxSessions = 1 })
		startRaw(t, setup)
		caller := dialRaw(t, setup)
		caller.send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "a"}})
		if diff := cmp.Diff([]string{"FATAL 53300"}, caller.answer()); diff != "" {
			t.Error(diff)
		}
	})
	t.Run("statements", func(t *testing.T) {
		caller := startRaw(t, newTestSetup(t))
		caller.send(&pgproto3.Parse{Name: "s", Query: strings.Repeat(long, 600)}, &pgproto3.Sync{})
		if diff := cmp.Diff([]string{"ERROR 53400", "ready I"}, caller.answer()); diff != "" {
			t.Error(diff)
		}
	})
}

// TestPreparedStatementsAreSeparate checks that a session cannot use statements that
// another one prepared on the connection they share.
func TestPreparedStatementsAreSeparate(t *testing.T) {
	setup := newTestSetup(t)
	setup.setDatabases(1)
	first, second := startRaw(t, setup), startRaw(t, setup)
	parse := &pgproto3.Parse{Name: "s", Query: "select a"}
	first.send(parse, &pgproto3.Parse{Query: "select b"}, &pgproto3.Sync{})
	first.answer()
	for _, name := range []string{"", "s", "e" + digest(parse)} {
		second.send(&pgproto3.Bind{PreparedStatement: name}, &pgproto3.Execute{}, &pgproto3.Sync{})
		if diff := cmp.Diff([]string{"ERROR 26000", "ready I"}, second.answer()); diff != "" {
			t.Errorf("%q: %s", name, diff)
		}
	}
}
