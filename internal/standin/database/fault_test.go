package database_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/standin/database"
)

// noAnswerWait is how long a test waits before it concludes that no response
// comes.
const noAnswerWait = 30 * time.Millisecond

// isUnanswered sends a query and reports whether no response comes.
func (c *protocolClient) isUnanswered() bool {
	c.t.Helper()
	c.frontend.Send(&pgproto3.Query{String: "SELECT 1"})
	if err := c.frontend.Flush(); err != nil {
		c.t.Fatal(err)
	}
	if err := c.conn.SetReadDeadline(time.Now().Add(noAnswerWait)); err != nil {
		c.t.Fatal(err)
	}
	_, err := c.conn.Read(make([]byte, 1))
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// receiveHeld receives the response that a fault has held back.
func (c *protocolClient) receiveHeld() {
	c.t.Helper()
	if err := c.conn.SetReadDeadline(time.Time{}); err != nil {
		c.t.Fatal(err)
	}
	c.receive()
}

var clerk = map[string]string{"user": "clerk"}

func TestFreeze(t *testing.T) {
	db := startPrimary(t)
	client := newProtocolClient(t, db, clerk)
	db.SetFault(database.FaultFreeze{})
	equal(t, true, client.isUnanswered())
	db.SetFault(database.FaultNone{})
	client.receiveHeld()
	equal(t, "  ready I", client.transcript[len(client.transcript)-1])
}

func TestReplicasDisconnectFromFrozenPrimary(t *testing.T) {
	group := startGroup(t, nil)
	group[0].SetFault(database.FaultFreeze{})
	for _, replica := range group[1:] {
		await(t, replica, func(s database.State) bool { return !s.Streaming })
	}
	group[0].SetFault(database.FaultNone{})
	for _, replica := range group[1:] {
		await(t, replica, func(s database.State) bool { return s.Streaming })
	}
}

func TestReplicaCatchesUpAfterIsolation(t *testing.T) {
	for _, isolatedIndex := range []int{0, 1} {
		group := startGroup(t, nil)
		a, b := group[0], group[1]
		group[isolatedIndex].SetFault(database.FaultIsolate{From: []string{"zone-a", "zone-b"}})
		await(t, b, func(s database.State) bool { return !s.Streaming })
		execute(t, connect(t, a, nil), "INSERT INTO ledger (entry) VALUES ('e1')")
		awaitReceived(t, group[2], position(1, 2))
		equal(t, position(1, 1), b.State().Received)
		group[isolatedIndex].SetFault(database.FaultNone{})
		awaitReceived(t, b, position(1, 2))
	}
}

func TestSilent(t *testing.T) {
	db := startPrimary(t)
	client := newProtocolClient(t, db, clerk)
	db.SetFault(database.FaultSilent{})
	equal(t, true, client.isUnanswered())
	newProtocolClient(t, db, clerk).query("SELECT 1")
	db.SetFault(database.FaultNone{})
	equal(t, true, client.isUnanswered())
}

func TestFailStatements(t *testing.T) {
	db := startPrimary(t)
	conn := connect(t, db, nil)
	db.SetFault(database.FaultFailStatements{Share: 0.5})
	var got []string
	for range 4 {
		_, err := conn.Exec(testContext(t), "INSERT INTO ledger (entry) VALUES ('e')")
		got = append(got, sqlState(t, err))
	}
	equal(t, []string{"", "58030", "", "58030"}, got)
	equal(t, []string{"e", "e"}, db.Content().Ledger)
}

func TestSlow(t *testing.T) {
	db := start(t, database.Options{Name: "a", Primary: true, StatementTime: time.Microsecond})
	db.SetFault(database.FaultSlow{Factor: 1e10})
	equal(t, "57014", runAndCancel(t, connect(t, db, nil), "SELECT value FROM kv WHERE key = 'bow'"))
}

func TestLeave(t *testing.T) {
	cases := []struct {
		name  string
		fault database.FaultLeave
		want  string
	}{
		{"immediately", database.FaultLeave{}, "57P01"},
		{"after a grace period", database.FaultLeave{Grace: time.Hour}, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			db := startPrimary(t)
			openConn := connect(t, db, nil)
			db.SetFault(c.fault)
			row, _ := call(t, control(t, db), "CALL group_status()")
			equal(t, "t", row["leaving"].(string))
			execute(t, openConn, "SELECT 1")
			equal(t, c.want, connectState(t, db))
		})
	}
}

// connectState opens a data connection and returns the SQLSTATE of its failure.
func connectState(t *testing.T, db *database.Database) string {
	t.Helper()
	conn, err := pgx.Connect(testContext(t), "postgres://clerk:secret@"+db.Address().String()+"/ratings?sslmode=disable")
	if err == nil {
		_ = conn.Close(context.Background())
	}
	return sqlState(t, err)
}

// runAndCancel runs a statement that would not end by itself, cancels it, and
// returns its SQLSTATE. A cancel request that arrives before the statement has
// started has no effect, so the requests are repeated.
func runAndCancel(t *testing.T, conn *pgx.Conn, sql string) string {
	t.Helper()
	result := make(chan error, 1)
	go func() {
		_, err := conn.Exec(testContext(t), sql, pgx.QueryExecModeSimpleProtocol)
		result <- err
	}()
	for {
		select {
		case err := <-result:
			return sqlState(t, err)
		default:
			if err := conn.PgConn().CancelRequest(testContext(t)); err != nil {
				t.Fatal(err)
			}
		}
	}
}

// -----------------------------------------------------------------------------
// Slots and connections.

func TestSlotsAndCancellation(t *testing.T) {
	db := startPrimary(t)
	holder, waiter := connect(t, db, nil), connect(t, db, nil)
	holderDone := make(chan error, 1)
	go func() {
		_, err := holder.Exec(context.Background(), "SELECT work('1h')", pgx.QueryExecModeSimpleProtocol)
		holderDone <- err
	}()
	status := control(t, db)
	for {
		row, failed := call(t, status, "CALL group_status()")
		equal(t, "", failed)
		if row["busy"] == "1" {
			break
		}
	}
	equal(t, "57014", runAndCancel(t, waiter, "SELECT 1"))
	if err := holder.PgConn().CancelRequest(testContext(t)); err != nil {
		t.Fatal(err)
	}
	equal(t, "57014", sqlState(t, <-holderDone))
	execute(t, waiter, "SELECT 1")
	equal(t, 0, db.State().Busy)
}

func TestConnectionLimit(t *testing.T) {
	db := start(t, database.Options{Name: "a", Primary: true, Connections: 2})
	first := connect(t, db, nil)
	control(t, db)
	equal(t, "53300", connectState(t, db))
	if err := first.Close(context.Background()); err != nil {
		t.Fatal(err)
	}
	ctx := testContext(t)
	for connectState(t, db) != "" {
		if ctx.Err() != nil {
			t.Fatal(ctx.Err())
		}
	}
}

func TestPassword(t *testing.T) {
	for password, want := range map[string]string{"secret": "", "other": "28P01"} {
		db := start(t, database.Options{Name: "a", Primary: true, Password: password})
		equal(t, want, connectState(t, db))
	}
}

func TestCancelWithWrongKeyIsIgnored(t *testing.T) {
	db := startPrimary(t)
	conn := connect(t, db, nil)
	raw, err := net.Dial("tcp", db.Address().String())
	if err != nil {
		t.Fatal(err)
	}
	defer raw.Close()
	frontend := pgproto3.NewFrontend(raw, raw)
	frontend.Send(&pgproto3.CancelRequest{ProcessID: conn.PgConn().PID(), SecretKey: []byte("none")})
	if err := frontend.Flush(); err != nil {
		t.Fatal(err)
	}
	if _, err := raw.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("reading after a cancel request: got error %v, want EOF", err)
	}
	execute(t, conn, "SELECT 1")
}

// -----------------------------------------------------------------------------
// Administration.

func TestAdmin(t *testing.T) {
	db := startPrimary(t)
	execute(t, connect(t, db, nil), "INSERT INTO kv (key, value) VALUES ('bow', '7')")
	cases := []struct {
		method, path, body string
		status             int
		want               string
	}{
		{"GET", "/content", "", 200, `{"kv":{"bow":"7"},"ledger":[],"committed":{},"settled":{}}`},
		{"PUT", "/lag", `{"lag":"1s"}`, 200, ""},
		{"PUT", "/lag", `{"lag":"soon"}`, 400, "the lag is no duration"},
		{"POST", "/fault", `{"fault":"freeze"}`, 200, ""},
		{"POST", "/fault", `{"fault":"none"}`, 200, ""},
		{"POST", "/fault", `{"fault":"isolate","from":["lanier"]}`, 200, ""},
		{"POST", "/fault", `{"fault":"isolate"}`, 400, ""},
		{"POST", "/fault", `{"fault":"silent"}`, 200, ""},
		{"POST", "/fault", `{"fault":"slow","factor":10}`, 200, ""},
		{"POST", "/fault", `{"fault":"slow"}`, 400, ""},
		{"POST", "/fault", `{"fault":"err","share":0.1}`, 200, ""},
		{"POST", "/fault", `{"fault":"err","share":2}`, 400, ""},
		{"POST", "/fault", `{"fault":"leave","grace":"soon"}`, 400, ""},
		{"POST", "/fault", `{"fault":"leave","grace":"1s"}`, 200, ""},
		{"POST", "/fault", `{"fault":"flood"}`, 400, ""},
		{"GET", "/state", "", 200, `{"name":"a","term":1,"nonce":"","source":"","streaming":false,"leaving":true,"slots":1,"busy":0,"connections":1,"role":"primary","received":"1:2","applied":"1:2"}`},
	}
	for _, c := range cases {
		request, err := http.NewRequestWithContext(testContext(t), c.method, "http://"+db.AdminAddress().String()+c.path, strings.NewReader(c.body))
		if err != nil {
			t.Fatal(err)
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		body, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		equal(t, c.status, response.StatusCode)
		if c.want != "" {
			equal(t, c.want, strings.TrimSpace(string(body)))
		}
	}
}

func TestLag(t *testing.T) {
	group := startGroup(t, func(options *database.Options) { options.ApplyLag = time.Hour })
	execute(t, connect(t, group[0], nil), "INSERT INTO ledger (entry) VALUES ('e1')")
	awaitReceived(t, group[1], position(1, 2))
	equal(t, model.Position{}, group[1].State().Applied)
	equal(t, []string{}, group[1].Content().Ledger)
	group[1].SetLag(0)
	await(t, group[1], func(s database.State) bool { return s.Applied == position(1, 2) })
	equal(t, []string{"e1"}, group[1].Content().Ledger)
}
