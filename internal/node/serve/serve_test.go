package serve

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5"

	"github.com/eelgrassfold/eelgrassfold/internal/config/settings"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/operator"
	"github.com/eelgrassfold/eelgrassfold/internal/standin/database"
	"github.com/eelgrassfold/eelgrassfold/internal/standin/deploy"
	"github.com/eelgrassfold/eelgrassfold/internal/standin/platform"
)

// testTimeout ends a test that hangs. The result of a passing test does not
// depend on it.
const testTimeout = 60 * time.Second

// testSecret is the operators' token, the key between instances, and the
// password of the databases.
const testSecret = "a secret of this test"

// fixture is an instance with a simulated platform and three simulated databases.
type fixture struct {
	settings *settings.Settings
	signals  chan os.Signal
	runErr   chan error
	manifest string
}

func newFixture(t *testing.T) (*fixture, context.Context) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	simulated := platform.NewPlatform(platform.Options{Listen: freeLoopbackAddress(t)})
	ended, err := simulated.Start(ctx)
	requireStarted(t, ended, err)
	secretPath := filepath.Join(t.TempDir(), "secret")
	if err := os.WriteFile(secretPath, []byte(testSecret), 0o600); err != nil {
		t.Fatal(err)
	}
	settingsText := fmt.Sprintf(`name = "a"
zone = "z"
listen = { callers = %q, peers = %q, operators = %q }
platform = { url = "http://%s" }
peer = { key = "file:%s" }
operator = { token = "file:%s" }
database = { password = "file:%s" }
caller = { trust = true }
`, freeLoopbackAddress(t), freeLoopbackAddress(t), freeLoopbackAddress(t), simulated.Address(), secretPath, secretPath, secretPath)
	parsed, err := settings.Parse([]byte(settingsText))
	if err != nil {
		t.Fatal(err)
	}
	return &fixture{
		settings: parsed,
		signals:  make(chan os.Signal, 2),
		runErr:   make(chan error, 1),
		manifest: startDatabases(ctx, t),
	}, ctx
}

// freeLoopbackAddress returns a loopback address on which nothing listens, and which no
// outgoing connection occupies.
func freeLoopbackAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	reservation, err := deploy.ReserveAddresses(1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = reservation.Close() })
	return reservation.Addresses[0]
}

func requireStarted(t *testing.T, ended <-chan error, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { go func() { <-ended }() })
}

// startDatabases starts a group and returns the manifest that declares it.
func startDatabases(ctx context.Context, t *testing.T) string {
	t.Helper()
	manifest := `service = "s"
limits = { slots = 3, connections = 20, reserve = 4 }
rank = [{ name = "only", target = "1s", worth = 1, floor = 0.5 }]
[[group]]
name = "ratings"
`
	var source netip.AddrPort
	for i := range 3 {
		name := fmt.Sprintf("ratings-%d", i)
		db := database.NewDatabase(database.Options{
			Name: model.DatabaseID(name), Group: "ratings", Zone: "z",
			Listen: freeLoopbackAddress(t), AdminListen: freeLoopbackAddress(t), Slots: 3, Connections: 20,
			Primary: i == 0, Term: 1, Source: source, Password: testSecret,
		})
		ended, err := db.Start(ctx)
		requireStarted(t, ended, err)
		if i == 0 {
			source = db.Address()
		}
		manifest += fmt.Sprintf("[[group.database]]\nname = %q\nzone = \"z\"\naddress = %q\n", name, db.Address())
	}
	return manifest
}

func (f *fixture) run(ctx context.Context) {
	go func() {
		f.runErr <- Run(ctx, Options{Settings: f.settings, Signals: f.signals, LogWriter: io.Discard})
	}()
}

// submitManifest submits the manifest and waits until the instance is ready.
func (f *fixture) submitManifest(ctx context.Context, t *testing.T) {
	t.Helper()
	client := operator.NewClient(f.settings.Listen.Operators, testSecret)
	retry(ctx, t, func() error {
		select {
		case err := <-f.runErr:
			t.Fatalf("Run = %v before the instance was ready", err)
		default:
		}
		decision, err := client.Submit(ctx, []byte(f.manifest), 0, "test")
		if err == nil && decision.Outcome != "ok" {
			t.Fatalf("decision %+v", decision)
		}
		return err
	})
	retry(ctx, t, func() error { return client.Ready(ctx) })
}

func retry(ctx context.Context, t *testing.T, attempt func() error) {
	t.Helper()
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for {
		err := attempt()
		if err == nil {
			return
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			t.Fatalf("timed out, last error: %v", err)
		}
	}
}

func (f *fixture) connect(ctx context.Context, t *testing.T) *pgx.Conn {
	t.Helper()
	conn, err := pgx.Connect(ctx, "postgres://officer@"+f.settings.Listen.Callers.String()+"/ratings")
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

// -----------------------------------------------------------------------------
// One instance.

func TestRunServesAndDrains(t *testing.T) {
	f, ctx := newFixture(t)
	f.run(ctx)
	f.submitManifest(ctx, t)
	conn := f.connect(ctx, t)
	tx, err := conn.Begin(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := tx.Exec(ctx, "INSERT INTO kv (key, value) VALUES ($1, $2)", "sail", "14:03"); err != nil {
		t.Fatal(err)
	}
	f.signals <- syscall.SIGTERM
	client := operator.NewClient(f.settings.Listen.Operators, "")
	retry(ctx, t, func() error {
		if client.Ready(ctx) == nil {
			return &ComponentError{Component: "instance", Cause: errors.ErrUnsupported}
		}
		return nil
	})
	// The transaction was open when the drain began, so it may still commit.
	if err := tx.Commit(ctx); err != nil {
		t.Fatalf("commit during the drain: %v", err)
	}
	if err := <-f.runErr; err != nil {
		t.Fatalf("Run = %v, want nil after the drain", err)
	}
}

func TestSecondSignalEndsAtOnce(t *testing.T) {
	f, ctx := newFixture(t)
	f.run(ctx)
	f.submitManifest(ctx, t)
	conn := f.connect(ctx, t)
	if _, err := conn.Begin(ctx); err != nil {
		t.Fatal(err)
	}
	f.signals <- syscall.SIGTERM
	f.signals <- syscall.SIGINT
	var interrupted *InterruptedError
	if err := <-f.runErr; !errors.As(err, &interrupted) {
		t.Fatalf("Run = %v, want an *InterruptedError", err)
	}
	if diff := cmp.Diff(syscall.SIGINT, interrupted.Signal); diff != "" {
		t.Errorf("signal (-want +got):\n%s", diff)
	}
}

// -----------------------------------------------------------------------------
// Failures to start.

func TestStartFailures(t *testing.T) {
	cases := map[string]struct {
		misconfigure func(t *testing.T, s *settings.Settings)
		want         string
	}{
		"address in use": {
			misconfigure: func(t *testing.T, s *settings.Settings) {
				listener, err := net.Listen("tcp", s.Listen.Callers.String())
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { listener.Close() })
			},
			want: "address already in use",
		},
		"no secret": {
			misconfigure: func(_ *testing.T, s *settings.Settings) {
				s.Peer.SharedKey, _ = settings.ParseSecretReference("env:SECRET_OF_NOBODY")
			},
			want: "secret env:SECRET_OF_NOBODY: is empty",
		},
		"no certificate": {
			misconfigure: func(_ *testing.T, s *settings.Settings) {
				s.Caller.TLS = settings.TLSFiles{CertificateFile: "absent.pem", PrivateKeyFile: "absent.key"}
			},
			want: "absent.pem",
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f, ctx := newFixture(t)
			c.misconfigure(t, f.settings)
			err := Run(ctx, Options{Settings: f.settings, Signals: f.signals, LogWriter: io.Discard})
			var start *StartError
			if !errors.As(err, &start) || !strings.Contains(err.Error(), c.want) {
				t.Errorf("Run = %v, want a *StartError with %q", err, c.want)
			}
		})
	}
}
