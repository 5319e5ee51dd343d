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
	// Registers the driver for database/sql.
	_ "github.com/jackc/pgx/v5/stdlib"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/database"
	standin "github.com/eelgrassfold/eelgrassfold/internal/standin/database"
)

// startSimulatedDatabase starts a simulated database and a server in front of
// it.
func startSimulatedDatabase(t testing.TB, connections int) (*Server, *standin.Database) {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	anyAddress := netip.MustParseAddrPort("127.0.0.1:0")
	simulated := standin.NewDatabase(standin.Options{
		Name: testDatabase, Group: testGroup, Listen: anyAddress, AdminListen: anyAddress,
		Slots: connections, Connections: connections + 10, Primary: true, Term: 7,
	})
	databaseStopped, err := simulated.Start(ctx)
	if err != nil {
		t.Fatal(err)
	}
	pool := database.NewPool(database.PoolOptions{User: "eelgrassfold"}, logr.Discard())
	poolStopped, err := pool.Start(ctx)
	if err != nil {
		t.Fatal(err)
	}
	pool.HandleAction(message.SetDatabases{Databases: []message.DatabaseTarget{{
		Database: testDatabase, Group: testGroup, Address: simulated.Address(), Connections: connections,
	}}})
	core := &fakeCore{
		keys:          map[model.RequestID]string{},
		ended:         make(chan message.AttemptEnded),
		discardEvents: true,
		dispatch:      message.Dispatch{Database: testDatabase, Term: 7, HoldUntilDurable: true, Access: model.AccessWrite},
	}
	server := NewServer(Options{ListenAddress: anyAddress, IdempotencyKeyPrefix: "i1", Trust: true}, pool, core, logr.Discard())
	core.server = server
	server.HandleAction(message.SetDurablePosition{Group: testGroup, Position: model.Position{Term: 7, Offset: 1 << 60}})
	serverStopped, err := server.Start(ctx)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		stop()
		<-serverStopped
		<-poolStopped
		for range databaseStopped {
		}
	})
	return server, simulated
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

// TestSimulatedDatabase writes and reads through the server at a simulated
// database.
func TestSimulatedDatabase(t *testing.T) {
	server, _ := startSimulatedDatabase(t, 3)
	ctx := context.Background()
	conn := dial(t, server.Address())
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
	_, err = conn.PgConn().CopyTo(ctx, discardWriter{}, "COPY kv TO STDOUT")
	if diff := cmp.Diff("0A000", sqlStateOf(err)); diff != "" {
		t.Error(diff)
	}
	err = conn.QueryRow(ctx, "SELECT value FROM kv WHERE key = $1", "a").Scan(&got)
	if err != nil {
		t.Error(err)
	}
}

// openSQL connects database/sql to the server with default settings.
func openSQL(t *testing.T, server *Server) *sql.DB {
	t.Helper()
	pool, err := sql.Open("pgx", "postgres://officer@"+server.Address().String()+"/ratings?sslmode=disable")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = pool.Close() })
	return pool
}

// TestSimulatedDatabaseSQL runs transactions of database/sql through the
// server. Committed data must be readable, rolled back data must not be, and an
// error must leave the connection usable.
func TestSimulatedDatabaseSQL(t *testing.T) {
	server, _ := startSimulatedDatabase(t, 3)
	pool, ctx := openSQL(t, server), context.Background()
	for _, end := range []func(*sql.Tx) error{(*sql.Tx).Rollback, (*sql.Tx).Commit} {
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
		if err = end(tx); err != nil {
			t.Fatal(err)
		}
	}
	_, err := pool.ExecContext(ctx, "SELECT value FROM nowhere")
	if sqlStateOf(err) == "" {
		t.Error("the error has no SQLSTATE: ", err)
	}
	var got string
	err = pool.QueryRowContext(ctx, "SELECT value FROM kv WHERE key = $1", "boat").Scan(&got)
	if diff := cmp.Diff("4.5", got); err != nil || diff != "" {
		t.Error(err, diff)
	}
}

// TestSimulatedDatabaseSQLPrepared runs one prepared statement of database/sql
// from more goroutines than there are connections to the database.
func TestSimulatedDatabaseSQLPrepared(t *testing.T) {
	server, _ := startSimulatedDatabase(t, 3)
	pool, ctx := openSQL(t, server), context.Background()
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
	counts := map[string]int{}
	for got := range values {
		counts[got]++
	}
	if diff := cmp.Diff(map[string]int{"4.5": clients * rounds}, counts); diff != "" {
		t.Error(diff)
	}
}

type discardWriter struct{}

func (discardWriter) Write(b []byte) (int, error) { return len(b), nil }

// -----------------------------------------------------------------------------
// Benchmarks.

// BenchmarkStatements measures a short statement directly and through the
// server, on several connections at once.
func BenchmarkStatements(b *testing.B) {
	for _, clients := range []int{1, 16, 64} {
		server, db := startSimulatedDatabase(b, 60)
		b.Run(benchmarkName("direct", clients), func(b *testing.B) { benchmarkAddress(b, db.Address(), clients) })
		b.Run(benchmarkName("through", clients), func(b *testing.B) { benchmarkAddress(b, server.Address(), clients) })
	}
}

func benchmarkName(route string, clients int) string {
	return route + "-" + time.Duration(clients).String()[:len(time.Duration(clients).String())-2]
}

func benchmarkAddress(b *testing.B, address netip.AddrPort, clients int) {
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

// BenchmarkIdleMemory measures the heap and stack memory of an idle caller's
// connection in this process. The caller's end is a bare socket, to keep its
// share small.
func BenchmarkIdleMemory(b *testing.B) {
	server, _ := startSimulatedDatabase(b, 3)
	const count = 2000
	conns := make([]net.Conn, 0, count)
	startup := startupPacket(0x30000, "user\x00a\x00database\x00ratings\x00\x00")
	query, _ := (&pgproto3.Query{String: "SELECT 1"}).Encode(nil)
	memoryBefore := memoryInUse()
	for range count {
		conn, err := net.Dial("tcp", server.Address().String())
		if err != nil {
			b.Fatal(err)
		}
		conn.Write(append(append([]byte(nil), startup...), query...))
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
	b.ReportMetric(float64(memoryInUse()-memoryBefore)/count, "B/connection")
	for _, conn := range conns {
		conn.Close()
	}
}

func memoryInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse + stats.StackInuse
}
