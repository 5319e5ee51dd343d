package caller

import (
	"context"
	"database/sql"
	"net"
	"net/netip"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	// The driver for database/sql.
	_ "github.com/jackc/pgx/v5/stdlib"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/database"
	standin "github.com/eelgrassfold/eelgrassfold/internal/standin/database"
)

// newStandinBench starts an edge before a stand-in database.
func newStandinBench(t testing.TB, connections int) (*Server, *standin.Database) {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	any := netip.MustParseAddrPort("127.0.0.1:0")
	db := standin.NewDatabase(standin.Options{
		Name: testDatabase, Group: testGroup, Listen: any, AdminListen: any,
		Slots: connections, Connections: connections + 10, Primary: true, Term: 7,
	})
	dbGone, err := db.Start(ctx)
	if err != nil {
		t.Fatal(err)
	}
	pool := database.NewPool(database.PoolOptions{User: "eelgrassfold"}, logr.Discard())
	poolGone, err := pool.Start(ctx)
	if err != nil {
		t.Fatal(err)
	}
	pool.HandleAction(message.SetDatabases{Databases: []message.DatabaseTarget{{
		Database: testDatabase, Group: testGroup, Address: db.Address(), Connections: connections,
	}}})
	core := &fakeCore{
		keys:     map[model.RequestID]string{},
		ended:    make(chan message.AttemptEnded),
		quiet:    true,
		dispatch: message.Dispatch{Database: testDatabase, Term: 7, HoldUntilDurable: true, Access: model.AccessWrite},
	}
	edge := NewServer(Options{ListenAddress: any, IdempotencyKeyPrefix: "i1", Trust: true}, pool, core, logr.Discard())
	core.edge = edge
	edge.HandleAction(message.SetDurablePosition{Group: testGroup, Position: model.Position{Term: 7, Offset: 1 << 60}})
	edgeGone, err := edge.Start(ctx)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		stop()
		<-edgeGone
		<-poolGone
		for range dbGone {
		}
	})
	return edge, db
}

func dial(t testing.TB, address netip.AddrPort) *pgx.Conn {
	t.Helper()
	conn, err := pgx.Connect(context.Background(), "postgres://officer@"+address.String()+"/ratings?sslmode=disable")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close(context.Background()) })
	return conn
}

// TestStandin writes and reads through the edge before a stand-in database.
func TestStandin(t *testing.T) {
	edge, _ := newStandinBench(t, 3)
	ctx := context.Background()
	conn := dial(t, edge.Address())
	tx, err := conn.Begin(ctx)
	if err != nil {
		t.Fatal(err)
	}
	_, err = tx.Exec(ctx, "INSERT INTO kv (key, value) VALUES ($1, $2)", "a", "1")
	if err != nil {
		t.Fatal(err)
	}
	err = tx.Commit(ctx)
	if err != nil {
		t.Fatal(err)
	}
	var got string
	err = conn.QueryRow(ctx, "SELECT value FROM kv WHERE key = $1", "a").Scan(&got)
	if diff := cmp.Diff("1", got); err != nil || diff != "" {
		t.Fatal(err, diff)
	}
	_, err = conn.PgConn().CopyTo(ctx, discard{}, "COPY kv TO STDOUT")
	if diff := cmp.Diff("0A000", stateOf(err)); diff != "" {
		t.Error(diff)
	}
	err = conn.QueryRow(ctx, "SELECT value FROM kv WHERE key = $1", "a").Scan(&got)
	if err != nil {
		t.Error(err)
	}
}

// openSQL opens the edge by database/sql with ordinary settings.
func openSQL(t *testing.T, edge *Server) *sql.DB {
	t.Helper()
	pool, err := sql.Open("pgx", "postgres://officer@"+edge.Address().String()+"/ratings?sslmode=disable")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = pool.Close() })
	return pool
}

// TestStandinSQL runs transactions of database/sql through the edge: what is
// committed can be read, what is rolled back can't, and an error leaves the
// connection usable.
func TestStandinSQL(t *testing.T) {
	edge, _ := newStandinBench(t, 3)
	pool, ctx := openSQL(t, edge), context.Background()
	for _, ending := range []func(*sql.Tx) error{(*sql.Tx).Rollback, (*sql.Tx).Commit} {
		tx, err := pool.BeginTx(ctx, nil)
		if err != nil {
			t.Fatal(err)
		}
		var got string
		err = tx.QueryRowContext(ctx, "SELECT value FROM kv WHERE key = $1", "boat").Scan(&got)
		if diff := cmp.Diff(sql.ErrNoRows, err, cmpopts.EquateErrors()); diff != "" {
			t.Error(diff)
		}
		if _, err = tx.ExecContext(ctx, "INSERT INTO kv (key, value) VALUES ($1, $2)", "boat", "4.5"); err != nil {
			t.Fatal(err)
		}
		if err = ending(tx); err != nil {
			t.Fatal(err)
		}
	}
	_, err := pool.ExecContext(ctx, "SELECT value FROM nowhere")
	if stateOf(err) == "" {
		t.Error("no SQLSTATE: ", err)
	}
	var got string
	err = pool.QueryRowContext(ctx, "SELECT value FROM kv WHERE key = $1", "boat").Scan(&got)
	if diff := cmp.Diff("4.5", got); err != nil || diff != "" {
		t.Error(err, diff)
	}
}

// TestStandinSQLPrepared runs one prepared statement of database/sql from many
// goroutines, over more connections than there are to the database.
func TestStandinSQLPrepared(t *testing.T) {
	edge, _ := newStandinBench(t, 3)
	pool, ctx := openSQL(t, edge), context.Background()
	if _, err := pool.ExecContext(ctx, "INSERT INTO kv (key, value) VALUES ($1, $2)", "boat", "4.5"); err != nil {
		t.Fatal(err)
	}
	prepared, err := pool.PrepareContext(ctx, "SELECT value FROM kv WHERE key = $1")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = prepared.Close() }()
	const clients, rounds = 8, 20
	values := make(chan string, clients*rounds)
	var running sync.WaitGroup
	for range clients {
		running.Go(func() {
			for range rounds {
				var got string
				if err := prepared.QueryRowContext(ctx, "boat").Scan(&got); err != nil {
					got = err.Error()
				}
				values <- got
			}
		})
	}
	running.Wait()
	close(values)
	counted := map[string]int{}
	for got := range values {
		counted[got]++
	}
	if diff := cmp.Diff(map[string]int{"4.5": clients * rounds}, counted); diff != "" {
		t.Error(diff)
	}
}

type discard struct{}

func (discard) Write(b []byte) (int, error) { return len(b), nil }

// -----------------------------------------------------------------------------
// Measurements.

// BenchmarkStatements measures a short statement directly and through the
// edge, with several connections at once.
func BenchmarkStatements(b *testing.B) {
	for _, clients := range []int{1, 16, 64} {
		edge, db := newStandinBench(b, 60)
		b.Run(name("direct", clients), func(b *testing.B) { benchmark(b, db.Address(), clients) })
		b.Run(name("through", clients), func(b *testing.B) { benchmark(b, edge.Address(), clients) })
	}
}

func name(way string, clients int) string {
	return way + "-" + time.Duration(clients).String()[:len(time.Duration(clients).String())-2]
}

func benchmark(b *testing.B, address netip.AddrPort, clients int) {
	conns := make([]*pgx.Conn, clients)
	for i := range conns {
		conns[i] = dial(b, address)
		_, err := conns[i].Exec(context.Background(), "SELECT 1")
		if err != nil {
			b.Fatal(err)
		}
	}
	b.ReportAllocs()
	b.ResetTimer()
	var running sync.WaitGroup
	for i := range conns {
		running.Add(1)
		go func() {
			defer running.Done()
			for range b.N / clients {
				var got int64
				err := conns[i].QueryRow(context.Background(), "SELECT 1").Scan(&got)
				if err != nil {
					b.Error(err)
					return
				}
			}
		}()
	}
	running.Wait()
}

// BenchmarkIdleMemory measures what an idle caller's connection takes in this
// process: heap and stacks, with the caller's own end of it left out as far as a
// bare socket allows.
func BenchmarkIdleMemory(b *testing.B) {
	edge, _ := newStandinBench(b, 3)
	const count = 2000
	conns := make([]net.Conn, 0, count)
	hello := startupPacket(0x30000, "user\x00a\x00database\x00ratings\x00\x00")
	query, _ := (&pgproto3.Query{String: "SELECT 1"}).Encode(nil)
	before := memory()
	for range count {
		conn, err := net.Dial("tcp", edge.Address().String())
		if err != nil {
			b.Fatal(err)
		}
		conn.Write(append(append([]byte(nil), hello...), query...))
		conns = append(conns, conn)
		for ready := 0; ready < 2; {
			var answer [4096]byte
			n, err := conn.Read(answer[:])
			if err != nil {
				b.Fatal(err)
			}
			ready += strings.Count(string(answer[:n]), "Z\x00\x00\x00\x05I")
		}
	}
	b.ReportMetric(float64(memory()-before)/count, "B/connection")
	for _, conn := range conns {
		conn.Close()
	}
}

func memory() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse + stats.StackInuse
}
