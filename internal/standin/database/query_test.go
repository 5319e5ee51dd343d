package database_test

import (
	"context"
	"testing"

	"github.com/jackc/pgx/v5"
)

// queryExecModes are the ways in which pgx can send statements.
var queryExecModes = []pgx.QueryExecMode{
	pgx.QueryExecModeCacheStatement,
	pgx.QueryExecModeCacheDescribe,
	pgx.QueryExecModeDescribeExec,
	pgx.QueryExecModeExec,
	pgx.QueryExecModeSimpleProtocol,
}

func TestDriverModes(t *testing.T) {
	for _, mode := range queryExecModes {
		t.Run(mode.String(), func(t *testing.T) {
			ctx := testContext(t)
			db := startPrimary(t)
			conn := connect(t, db, func(config *pgx.ConnConfig) { config.DefaultQueryExecMode = mode })
			execute(t, conn, "INSERT INTO kv (key, value) VALUES ($1, $2)", "bow", "it's 7")
			execute(t, conn, "/*kind='post'*/ UPDATE kv SET value = $1 WHERE key = $2 /*token='x'*/", "8", "bow")
			execute(t, conn, "INSERT INTO ledger (entry) VALUES ($1)", "e1")
			var value string
			if err := conn.QueryRow(ctx, "SELECT value FROM kv WHERE key = $1", "bow").Scan(&value); err != nil {
				t.Fatal(err)
			}
			var count int
			if err := conn.QueryRow(ctx, "SELECT count(*) FROM ledger WHERE entry = $1", "e1").Scan(&count); err != nil {
				t.Fatal(err)
			}
			equal(t, "8", value)
			equal(t, 1, count)
			equal(t, "1:4", conn.PgConn().ParameterStatus("group_commit"))
			equal(t, "1:4", conn.PgConn().ParameterStatus("group_position"))
			if err := conn.Ping(ctx); err != nil {
				t.Fatal(err)
			}
		})
	}
}

func execute(t *testing.T, conn *pgx.Conn, sql string, args ...any) {
	t.Helper()
	if _, err := conn.Exec(testContext(t), sql, args...); err != nil {
		t.Fatalf("%s: %v", sql, err)
	}
}

func TestLargeAnswer(t *testing.T) {
	conn := connect(t, startPrimary(t), nil)
	rows, err := conn.Query(testContext(t), "SELECT rows($1)", "20000")
	if err != nil {
		t.Fatal(err)
	}
	values, err := pgx.CollectRows(rows, pgx.RowTo[string])
	if err != nil {
		t.Fatal(err)
	}
	equal(t, 20000, len(values))
	equal(t, "0000019999", values[19999][:10])
}

func TestBatchIsOneTransaction(t *testing.T) {
	db := startPrimary(t)
	conn := connect(t, db, nil)
	batch := &pgx.Batch{}
	batch.Queue("INSERT INTO kv (key, value) VALUES ($1, $2)", "a", "1")
	batch.Queue("INSERT INTO kv (key, value) VALUES ($1, $2)", "a", "2")
	if err := conn.SendBatch(context.Background(), batch).Close(); err == nil {
		t.Error("the second insert of a key did not fail")
	}
	equal(t, map[string]string{}, db.Content().KV)
}
