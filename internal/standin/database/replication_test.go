package database_test

import (
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/pkg/errors"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/standin/database"
)

// startGroup starts a primary a and replicas b and c, and returns when the
// replicas receive the log.
func startGroup(t *testing.T, adjust func(options *database.Options)) []*database.Database {
	t.Helper()
	var group []*database.Database
	for i, name := range []model.DatabaseID{"a", "b", "c"} {
		options := database.Options{Name: name, Group: "ratings", Zone: model.ZoneID("zone-" + name)}
		if i == 0 {
			options.Primary = true
		} else {
			options.Source = group[0].Address()
		}
		if adjust != nil {
			adjust(&options)
		}
		group = append(group, start(t, options))
	}
	for _, replica := range group[1:] {
		await(t, replica, func(s database.State) bool { return s.Streaming && s.Received.Offset == 1 })
	}
	return group
}

// control opens a control connection.
func control(t *testing.T, db *database.Database) *pgx.Conn {
	t.Helper()
	return connect(t, db, func(config *pgx.ConnConfig) {
		config.DefaultQueryExecMode = pgx.QueryExecModeSimpleProtocol
		config.RuntimeParams["group_control"] = "on"
	})
}

// call runs a control statement. It returns the row by column name, or the
// SQLSTATE of the error.
func call(t *testing.T, conn *pgx.Conn, sql string) (map[string]any, string) {
	t.Helper()
	rows, err := conn.Query(testContext(t), sql)
	if err != nil {
		return nil, sqlState(t, err)
	}
	row, err := pgx.CollectExactlyOneRow(rows, pgx.RowToMap)
	return row, sqlState(t, err)
}

// sqlState returns the SQLSTATE of an error, or an empty string if there is no
// error.
func sqlState(t *testing.T, err error) string {
	t.Helper()
	var pgErr *pgconn.PgError
	if err != nil && !errors.As(err, &pgErr) {
		t.Fatal(err)
	}
	if pgErr == nil {
		return ""
	}
	return pgErr.Code
}

func position(term, offset int) model.Position {
	return model.Position{Term: model.Term(term), Offset: uint64(offset)}
}

func TestReplicasReceiveAndApply(t *testing.T) {
	group := startGroup(t, nil)
	execute(t, connect(t, group[0], nil), "INSERT INTO kv (key, value) VALUES ('bow', '7')")
	for _, replica := range group[1:] {
		await(t, replica, func(s database.State) bool { return s.Applied == position(1, 2) })
		equal(t, group[0].Content(), replica.Content())
	}
}

func TestOldPrimaryDropsDivergedEntries(t *testing.T) {
	group := startGroup(t, nil)
	a, b, c := group[0], group[1], group[2]
	old := connect(t, a, nil)
	execute(t, old, "INSERT INTO kv (key, value) VALUES ('shared', '1')")
	awaitReceived(t, b, position(1, 2))
	awaitReceived(t, c, position(1, 2))

	a.SetFault(database.FaultIsolate{From: []string{"b", "zone-c"}})
	execute(t, old, "INSERT INTO kv (key, value) VALUES ('lost', '1')")
	await(t, b, func(s database.State) bool { return !s.Streaming })
	await(t, c, func(s database.State) bool { return !s.Streaming })

	toB, toC := control(t, b), control(t, c)
	for _, conn := range []*pgx.Conn{toB, toC} {
		row, failed := call(t, conn, "CALL group_fence(2, 'n2')")
		equal(t, "", failed)
		equal(t, "2", row["term"].(string))
	}
	row, _ := call(t, toB, "CALL group_promote(2, 'n2')")
	equal(t, "2:3", row["received"].(string))
	_, failed := call(t, toC, "CALL group_follow(2, 'b', '"+b.Address().String()+"')")
	equal(t, "", failed)
	awaitReceived(t, c, position(2, 3))

	a.SetFault(database.FaultNone{})
	execute(t, connect(t, b, nil), "INSERT INTO kv (key, value) VALUES ('kept', '1')")
	_, failed = call(t, control(t, a), "CALL group_follow(2, 'b', '"+b.Address().String()+"')")
	equal(t, "", failed)
	for _, db := range group {
		await(t, db, func(s database.State) bool { return s.Applied == position(2, 4) })
		equal(t, map[string]string{"shared": "1", "kept": "1"}, db.Content().KV)
	}
}
