package database_test

import (
	"flag"
	"fmt"
	"net"
	"os"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/eelgrassfold/eelgrassfold/internal/standin/database"
)

var update = flag.Bool("update", false, "write the golden files")

// protocolClient is a client that sends single protocol messages and records
// the responses in transcript.
type protocolClient struct {
	t          *testing.T
	conn       net.Conn
	frontend   *pgproto3.Frontend
	transcript []string
}

func newProtocolClient(t *testing.T, db *database.Database, parameters map[string]string) *protocolClient {
	t.Helper()
	conn, err := net.Dial("tcp", db.Address().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	client := &protocolClient{t: t, conn: conn, frontend: pgproto3.NewFrontend(conn, conn)}
	client.frontend.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: parameters})
	client.receive()
	client.transcript = nil
	return client
}

// send sends messages and records the responses up to ReadyForQuery.
func (c *protocolClient) send(messages ...pgproto3.FrontendMessage) {
	c.t.Helper()
	for _, message := range messages {
		c.frontend.Send(message)
	}
	c.receive()
}

func (c *protocolClient) query(sql string) {
	c.t.Helper()
	c.transcript = append(c.transcript, "> "+sql)
	c.send(&pgproto3.Query{String: sql})
}

func (c *protocolClient) receive() {
	c.t.Helper()
	if err := c.frontend.Flush(); err != nil {
		c.t.Fatal(err)
	}
	for {
		message, err := c.frontend.Receive()
		if err != nil {
			c.t.Fatal(err)
		}
		c.transcript = append(c.transcript, render(message))
		if _, ready := message.(*pgproto3.ReadyForQuery); ready {
			return
		}
	}
}

// render returns a message as one line of the transcript.
func render(message pgproto3.BackendMessage) string {
	switch message := message.(type) {
	case *pgproto3.ParameterStatus:
		return "  status " + message.Name + " " + message.Value
	case *pgproto3.RowDescription:
		var names []string
		for _, field := range message.Fields {
			names = append(names, fmt.Sprintf("%s:%d", field.Name, field.DataTypeOID))
		}
		return "  columns " + strings.Join(names, " ")
	case *pgproto3.DataRow:
		var values []string
		for _, value := range message.Values {
			values = append(values, string(value))
		}
		return "  row " + strings.Join(values, "|")
	case *pgproto3.CommandComplete:
		return "  complete " + string(message.CommandTag)
	case *pgproto3.ErrorResponse:
		return "  error " + message.Code + " " + message.Message
	case *pgproto3.NoticeResponse:
		return "  notice " + message.Message
	case *pgproto3.ReadyForQuery:
		return "  ready " + string(message.TxStatus)
	case *pgproto3.ParameterDescription:
		return fmt.Sprintf("  parameters %v", message.ParameterOIDs)
	}
	return "  " + strings.TrimPrefix(fmt.Sprintf("%T", message), "*pgproto3.")
}

func compareGolden(t *testing.T, name string, lines []string) {
	t.Helper()
	got := strings.Join(lines, "\n") + "\n"
	path := "testdata/" + name + ".golden"
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	equal(t, string(want), got)
}

// -----------------------------------------------------------------------------
// Transcripts.

func TestSimpleQueriesGolden(t *testing.T) {
	client := newProtocolClient(t, startPrimary(t), map[string]string{"user": "clerk", "eelgrassfold.kind": "post"})
	for _, sql := range []string{
		"",
		"-- ping",
		"SELECT 1",
		"/*kind='post'*/ INSERT INTO kv (key, value) VALUES ('bow', 'it''s 7') /* token='x' */;",
		"INSERT INTO kv (key, value) VALUES ('bow', '8')",
		"select VALUE from kv where key='bow'",
		"SELECT value FROM kv WHERE key = 'none'",
		"UPDATE kv SET value = 9 WHERE key = 'bow'",
		"UPDATE kv SET value = 9 WHERE key = 'none'",
		"INSERT INTO kv (key, value) VALUES ('aft', -3)",
		"SELECT key, value FROM kv",
		"DELETE FROM kv WHERE key = 'aft'",
		"DELETE FROM kv WHERE key = 'aft'",
		"INSERT INTO ledger (entry) VALUES ('e1'); INSERT INTO ledger (entry) VALUES ('e1'); SELECT 1",
		"SELECT entry FROM ledger",
		"SELECT count(*) FROM ledger WHERE entry = 'e1'",
		"SELECT work('1ms')",
		"SELECT work('soon')",
		"SELECT rows(2)",
		"NOTICE 'low tide'",
		"COPY kv FROM STDIN",
		"SELECT key FROM kv",
		"SELECT 1 /* open",
		"SELECT 'open",
		"SHOW eelgrassfold.kind",
		"SET eelgrassfold.kind = 'check'; SHOW eelgrassfold.kind",
		"RESET eelgrassfold.kind; SHOW eelgrassfold.kind",
		"SHOW nothing",
		"DEALLOCATE ALL",
		"DISCARD ALL",
		"CALL group_status()",
	} {
		client.query(sql)
	}
	compareGolden(t, "simple", client.transcript)
}

func TestTransactionsGolden(t *testing.T) {
	client := newProtocolClient(t, startPrimary(t), map[string]string{"user": "clerk"})
	for _, sql := range []string{
		"BEGIN",
		"INSERT INTO kv (key, value) VALUES ('bow', '7')",
		"SELECT value FROM kv WHERE key = 'bow'",
		"DISCARD ALL",
		"SELECT 1",
		"COMMIT",
		"SELECT value FROM kv WHERE key = 'bow'",
		"START TRANSACTION ISOLATION LEVEL SERIALIZABLE",
		"INSERT INTO kv (key, value) VALUES ('bow', '7')",
		"INSERT INTO ledger (entry) VALUES ('e1')",
		"COMMIT",
		"SELECT key, value FROM kv",
		"BEGIN; UPDATE kv SET value = '8' WHERE key = 'bow'",
		"ROLLBACK",
		"BEGIN READ ONLY; SELECT 1",
		"DELETE FROM kv WHERE key = 'bow'",
		"ROLLBACK",
		"BEGIN",
		"COMMIT",
		"COMMIT",
		"INSERT INTO ledger (entry) VALUES ('e2'); SELECT work('never')",
		"SELECT entry FROM ledger",
	} {
		client.query(sql)
	}
	compareGolden(t, "transaction", client.transcript)
}

func TestGroupSettingsGolden(t *testing.T) {
	client := newProtocolClient(t, startPrimary(t), map[string]string{"user": "clerk"})
	for _, sql := range []string{
		"SET group_work = '1/k1'",
		"INSERT INTO ledger (entry) VALUES ('e1')",
		"INSERT INTO ledger (entry) VALUES ('e1')",
		"BEGIN; INSERT INTO ledger (entry) VALUES ('e1')",
		"COMMIT",
		"SET group_work = '1/'",
		"SELECT 1",
		"SET group_work = '2/k2'",
		"SELECT 1",
		"BEGIN",
		"INSERT INTO ledger (entry) VALUES ('e2')",
		"SET group_work = 'soon'",
		"DISCARD ALL",
		"SET group_read = 'on'",
		"INSERT INTO ledger (entry) VALUES ('e3')",
		"SELECT entry FROM ledger",
		"DISCARD ALL",
		"INSERT INTO ledger (entry) VALUES ('e4')",
	} {
		client.query(sql)
	}
	compareGolden(t, "settings", client.transcript)
}

func TestExtendedQueriesGolden(t *testing.T) {
	client := newProtocolClient(t, startPrimary(t), map[string]string{"user": "clerk"})
	insert := &pgproto3.Parse{Name: "insert", Query: "INSERT INTO kv (key, value) VALUES ($1, $2)"}
	bind := func(statement string, values ...string) *pgproto3.Bind {
		b := &pgproto3.Bind{PreparedStatement: statement}
		for _, value := range values {
			b.Parameters = append(b.Parameters, []byte(value))
		}
		return b
	}
	execute := &pgproto3.Execute{}
	sync := &pgproto3.Sync{}
	steps := []struct {
		name     string
		messages []pgproto3.FrontendMessage
	}{
		{"prepare", []pgproto3.FrontendMessage{insert, &pgproto3.Describe{ObjectType: 'S', Name: "insert"}, sync}},
		{"one", []pgproto3.FrontendMessage{bind("insert", "a", "1"), execute, sync}},
		{"two in one transaction", []pgproto3.FrontendMessage{bind("insert", "b", "2"), execute, bind("insert", "c", "3"), execute, sync}},
		{"the second fails", []pgproto3.FrontendMessage{bind("insert", "d", "4"), execute, bind("insert", "a", "5"), execute, bind("insert", "e", "6"), execute, sync}},
		{"commit after other messages", []pgproto3.FrontendMessage{bind("insert", "f", "7"), execute, &pgproto3.Close{ObjectType: 'S', Name: "other"}, sync}},
		{"flush", []pgproto3.FrontendMessage{bind("insert", "g", "8"), execute, &pgproto3.Flush{}, sync}},
		{"rows in parts", []pgproto3.FrontendMessage{
			&pgproto3.Parse{Query: "SELECT key, value FROM kv"}, bind(""), &pgproto3.Describe{ObjectType: 'P'},
			&pgproto3.Execute{MaxRows: 3}, &pgproto3.Execute{MaxRows: 3}, sync,
		}},
		{"NULL", []pgproto3.FrontendMessage{&pgproto3.Bind{PreparedStatement: "insert", Parameters: [][]byte{nil, nil}}, execute, sync}},
		{"too few parameters", []pgproto3.FrontendMessage{bind("insert", "a"), execute, sync}},
		{"unknown statement", []pgproto3.FrontendMessage{bind("none"), sync}},
		{"unknown portal", []pgproto3.FrontendMessage{&pgproto3.Execute{Portal: "none"}, sync}},
		{"syntax", []pgproto3.FrontendMessage{&pgproto3.Parse{Query: "SELECT 2"}, sync}},
		{"two statements", []pgproto3.FrontendMessage{&pgproto3.Parse{Query: "SELECT 1; SELECT 1"}, sync}},
		{"empty", []pgproto3.FrontendMessage{&pgproto3.Parse{}, bind(""), &pgproto3.Describe{ObjectType: 'P'}, execute, sync}},
		{"transaction", []pgproto3.FrontendMessage{
			&pgproto3.Parse{Query: "BEGIN"}, bind(""), execute, bind("insert", "h", "9"), execute,
			&pgproto3.Parse{Query: "COMMIT"}, bind(""), execute, sync,
		}},
	}
	for _, step := range steps {
		client.transcript = append(client.transcript, "> "+step.name)
		client.send(step.messages...)
	}
	compareGolden(t, "extended", client.transcript)
}
