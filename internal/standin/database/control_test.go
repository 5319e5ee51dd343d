package database_test

import (
	"context"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/standin/database"
)

func TestControlGolden(t *testing.T) {
	db := startPrimary(t)
	data := connect(t, db, nil)
	execute(t, data, "SET group_work = '1/k1'")
	execute(t, data, "INSERT INTO ledger (entry) VALUES ('e1')")
	client := newProtocolClient(t, db, map[string]string{"user": "steward", "group_control": "on"})
	for _, sql := range []string{
		"CALL group_status()",
		"CALL group_wait('1:2', 0)",
		"CALL group_wait('1:9', 0)",
		"CALL group_wait('0:9', 60000)",
		"CALL group_wait('soon', 0)",
		"CALL group_wait('1:2', 'soon')",
		"CALL group_settle(1, 'k1')",
		"CALL group_settle(1, 'k2')",
		"CALL group_settle(1, 'k2')",
		"CALL group_settle(1, '')",
		"CALL group_settle(2, 'k1')",
		"CALL group_fence(1, 'n1')",
		"CALL group_fence(2, 'n2')",
		"CALL group_fence(2, 'n2')",
		"CALL group_fence(2, 'other')",
		"CALL group_fence(1, '')",
		"CALL group_settle(2, 'k1')",
		"CALL group_promote(2, 'other')",
		"CALL group_promote(3, 'n2')",
		"CALL group_promote(2, 'n2')",
		"CALL group_promote(2, 'n2')",
		"CALL group_fence(2, 'n2')",
		"CALL group_settle(2, 'k2')",
		"CALL group_follow(1, 'b', '127.0.0.1:1')",
		"CALL group_follow(2, 'b', '127.0.0.1:1')",
		"CALL group_follow(3, 'b', 'lanier')",
		"CALL group_follow(3, 'b', '127.0.0.1:1')",
		"CALL group_follow(3, 'b', '127.0.0.1:1')",
		"CALL group_promote(3, 'n2')",
		"CALL group_promote(3, '')",
		"CALL group_settle(3, 'k1')",
		"SELECT 1",
		"CALL group_unknown()",
	} {
		client.query(sql)
	}
	compareGolden(t, "control", client.transcript)
}

func TestFenceFailsOpenTransactions(t *testing.T) {
	cases := []struct {
		name string
		sql  string
	}{
		{"write", "INSERT INTO ledger (entry) VALUES ('e2')"},
		{"read", "SELECT entry FROM ledger"},
		{"commit", "COMMIT"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			db := startPrimary(t)
			conn := connect(t, db, nil)
			execute(t, conn, "BEGIN")
			execute(t, conn, "INSERT INTO ledger (entry) VALUES ('e1')")
			_, failed := call(t, control(t, db), "CALL group_fence(2, 'n2')")
			equal(t, "", failed)
			_, err := conn.Exec(testContext(t), c.sql)
			equal(t, "EG002", sqlState(t, err))
			execute(t, conn, "ROLLBACK")
			_, err = conn.Exec(testContext(t), "INSERT INTO ledger (entry) VALUES ('e2')")
			equal(t, "25006", sqlState(t, err))
			equal(t, []string{}, db.Content().Ledger)
		})
	}
}

func TestSettleForbidsCommitOfOpenTransaction(t *testing.T) {
	db := startPrimary(t)
	conn := connect(t, db, nil)
	execute(t, conn, "SET group_work = '1/k1'")
	execute(t, conn, "BEGIN")
	execute(t, conn, "INSERT INTO ledger (entry) VALUES ('e1')")
	row, _ := call(t, control(t, db), "CALL group_settle(1, 'k1')")
	equal(t, map[string]any{"committed": "f", "position": "1:2"}, row)
	_, err := conn.Exec(testContext(t), "COMMIT")
	equal(t, "EG003", sqlState(t, err))
	equal(t, map[string]string{"k1": "1:2"}, db.Content().Settled)
}

func TestWaitReturnsWhenPositionIsReceived(t *testing.T) {
	group := startGroup(t, nil)
	received := make(chan map[string]any)
	waiting := control(t, group[1])
	go func() {
		rows, _ := waiting.Query(context.Background(), "CALL group_wait('1:2', 60000)")
		row, _ := pgx.CollectExactlyOneRow(rows, pgx.RowToMap)
		received <- row
	}()
	execute(t, connect(t, group[0], nil), "INSERT INTO ledger (entry) VALUES ('e1')")
	equal(t, "1:2", (<-received)["received"].(string))
}

func TestReplicaRejectsWrites(t *testing.T) {
	group := startGroup(t, nil)
	conn := connect(t, group[1], nil)
	_, err := conn.Exec(testContext(t), "INSERT INTO ledger (entry) VALUES ('e1')")
	equal(t, "25006", sqlState(t, err))
}

func TestReplicaInHigherTermRejectsOldPrimary(t *testing.T) {
	group := startGroup(t, nil)
	a, b, c := group[0], group[1], group[2]
	toB := control(t, b)
	_, failed := call(t, toB, "CALL group_fence(2, 'n2')")
	equal(t, "", failed)
	_, failed = call(t, toB, "CALL group_follow(2, 'a', '"+a.Address().String()+"')")
	equal(t, "", failed)
	execute(t, connect(t, a, nil), "INSERT INTO ledger (entry) VALUES ('e1')")
	awaitReceived(t, c, position(1, 2))
	state := b.State()
	equal(t, position(1, 1), state.Received)
	equal(t, false, state.Streaming)
}

func TestSettleAfterFailover(t *testing.T) {
	group := startGroup(t, nil)
	a, b, c := group[0], group[1], group[2]
	old := connect(t, a, nil)
	execute(t, old, "SET group_work = '1/kept'")
	execute(t, old, "INSERT INTO ledger (entry) VALUES ('kept')")
	awaitReceived(t, b, position(1, 2))
	a.SetFault(database.FaultIsolate{From: []string{"b", "c"}})
	execute(t, old, "SET group_work = '1/lost'")
	execute(t, old, "INSERT INTO ledger (entry) VALUES ('lost')")

	toB := control(t, b)
	for _, sql := range []string{"CALL group_fence(2, 'n2')", "CALL group_promote(2, 'n2')"} {
		_, failed := call(t, toB, sql)
		equal(t, "", failed)
	}
	row, _ := call(t, toB, "CALL group_settle(2, 'kept')")
	equal(t, map[string]any{"committed": "t", "position": "1:2"}, row)
	row, _ = call(t, toB, "CALL group_settle(2, 'lost')")
	equal(t, map[string]any{"committed": "f", "position": "2:4"}, row)

	a.SetFault(database.FaultNone{})
	for _, db := range []*database.Database{a, c} {
		_, failed := call(t, control(t, db), "CALL group_follow(2, 'b', '"+b.Address().String()+"')")
		equal(t, "", failed)
		await(t, db, func(s database.State) bool { return s.Applied == position(2, 4) })
		equal(t, b.Content(), db.Content())
		equal(t, model.Nonce("n2"), db.State().Nonce)
	}
}

func TestDatabaseWithoutLogRejectsFenceAndPromote(t *testing.T) {
	db := start(t, database.Options{Name: "b", Group: "ratings", Source: loopbackClosed})
	for _, sql := range []string{"CALL group_fence(2, 'n2')", "CALL group_promote(0, '')"} {
		_, failed := call(t, control(t, db), sql)
		equal(t, "57P03", failed)
	}
	a := startPrimary(t)
	_, failed := call(t, control(t, db), "CALL group_follow(1, 'a', '"+a.Address().String()+"')")
	equal(t, "", failed)
	awaitReceived(t, db, position(1, 1))
	row, failed := call(t, control(t, db), "CALL group_fence(2, 'n2')")
	equal(t, "", failed)
	equal(t, "n2", strings.TrimSpace(row["nonce"].(string)))
}
