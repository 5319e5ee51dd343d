package database_test

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/standin/database"
)

// testTimeout limits each wait of the tests. It only ends a test that would
// hang; no assertion depends on it.
const testTimeout = 60 * time.Second

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

var (
	loopback = netip.MustParseAddrPort("127.0.0.1:0")
	// loopbackClosed is an address on which nothing listens.
	loopbackClosed = netip.MustParseAddrPort("127.0.0.1:1")
)

// start runs a database until the test ends.
func start(t *testing.T, options database.Options) *database.Database {
	t.Helper()
	options.Listen, options.AdminListen = loopback, loopback
	options.Slots = max(options.Slots, 1)
	if options.Connections == 0 {
		options.Connections = 20
	}
	db := database.NewDatabase(options)
	ctx, cancel := context.WithCancel(context.Background())
	done, err := db.Start(ctx)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return db
}

func startPrimary(t *testing.T) *database.Database {
	t.Helper()
	return start(t, database.Options{Name: "a", Group: "ratings", Zone: "lanier", Primary: true, Term: 1})
}

// connect opens a connection. The function adjust may change its configuration.
func connect(t *testing.T, db *database.Database, adjust func(config *pgx.ConnConfig)) *pgx.Conn {
	t.Helper()
	config, err := pgx.ParseConfig("postgres://clerk:secret@" + db.Address().String() + "/ratings?sslmode=prefer")
	if err != nil {
		t.Fatal(err)
	}
	if adjust != nil {
		adjust(config)
	}
	conn, err := pgx.ConnectConfig(testContext(t), config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

func equal(t *testing.T, want, got any) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("(-want +got)\n%s", diff)
	}
}

// awaitReceived waits until a database has received a position.
func awaitReceived(t *testing.T, db *database.Database, position model.Position) {
	t.Helper()
	await(t, db, func(s database.State) bool { return s.Received == position })
}

func await(t *testing.T, db *database.Database, meets func(s database.State) bool) {
	t.Helper()
	if state, err := db.AwaitState(testContext(t), meets); err != nil {
		t.Fatalf("%v: %+v", err, state)
	}
}
