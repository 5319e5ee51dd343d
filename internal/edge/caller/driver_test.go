package caller

import (
	"context"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5"
)

// connect opens a caller's connection with pgx.
func connect(t *testing.T, setup *testSetup, parameters string) *pgx.Conn {
	t.Helper()
	conn, err := pgx.Connect(context.Background(), setup.url(parameters))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close(context.Background()) })
	return conn
}

func TestDriverModes(t *testing.T) {
	for _, mode := range []string{"cache_statement", "cache_describe", "describe_exec", "exec", "simple_protocol"} {
		t.Run(mode, func(t *testing.T) {
			setup := newTestSetup(t)
			conn := connect(t, setup, "&default_query_exec_mode="+mode)
			for range 3 {
				for _, want := range []string{"select a", "select b"} {
					var got string
					err := conn.QueryRow(context.Background(), want).Scan(&got)
					if diff := cmp.Diff(want, got); err != nil || diff != "" {
						t.Fatal(err, diff)
					}
				}
			}
			_, err := conn.Exec(context.Background(), "INSERT x")
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff("ratings/7:101", conn.PgConn().ParameterStatus("eelgrassfold.token")); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestDriverTransaction(t *testing.T) {
	setup := newTestSetup(t)
	ctx := context.Background()
	tx, err := connect(t, setup, "").Begin(ctx)
	if err != nil {
		t.Fatal(err)
	}
	_, err = tx.Exec(ctx, "INSERT a")
	if err != nil {
		t.Fatal(err)
	}
	var got string
	err = tx.QueryRow(ctx, "select b").Scan(&got)
	if err != nil {
		t.Fatal(err)
	}
	err = tx.Commit(ctx)
	if err != nil {
		t.Fatal(err)
	}
	want := []string{"begin", "INSERT a", "select b", "commit"}
	if diff := cmp.Diff(want, setup.db.statements()); diff != "" {
		t.Error(diff)
	}
}
