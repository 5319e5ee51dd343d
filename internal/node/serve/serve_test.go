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
	"github.com/eelgrassfold/eelgrassfold/internal/standin/platform"
)

// testLimit bounds a test that hangs; no verdict depends on it.
const testLimit = 60 * time.Second

// testSecret is the operators' token, the key between instances, and the
// password of the databases.
const testSecret = "a secret of this test"

// fixture is an instance before a stand-in platform and three databases.
type fixture struct {
	settings *settings.Settings
	signals  chan os.Signal
	ended    chan error
	manifest string
}

func newFixture(t *testing.T) (*fixture, context.Context) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	t.Cleanup(cancel)
	shop := platform.NewPlatform(platform.Options{Listen: loopback(t)})
	ended, err := shop.Start(ctx)
	await(t, ended, err)
	secret := filepath.Join(t.TempDir(), "secret")
	if err := os.WriteFile(secret, []byte(testSecret), 0o600); err != nil {
		t.Fatal(err)
	}
	text := fmt.Sprintf(`name = "a"
zone = "z"
listen = { callers = %q, peers = %q, operators = %q }
platform = { url = "http://%s" }
peer = { key = "file:%s" }
operator = { token = "file:%s" }
database = { password = "file:%s" }
caller = { trust = true }
`, loopback(t), loopback(t), loopback(t), shop.Address(), secret, secret, secret)
	read, err := settings.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return &fixture{
		settings: read,
		signals:  make(chan os.Signal, 2),
		ended:    make(chan error, 1),
		manifest: startDatabases(ctx, t),
	}, ctx
}

// loopback returns an address that nothing listens on now.
func loopback(t *testing.T) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

func await(t *testing.T, ended <-chan error, err error) {
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
			Listen: loopback(t), AdminListen: loopback(t), Slots: 3, Connections: 20,
			Primary: i == 0, Term: 1, Source: source, Password: testSecret,
		})
		ended, err := db.Start(ctx)
		await(t, ended, err)
		if i == 0 {
			source = db.Address()
		}
		manifest += fmt.Sprintf("[[group.database]]\nname = %q\nzone = \"z\"\naddress = %q\n", name, db.Address())
	}
	return manifest
}

func (f *fixture) run(ctx context.Context) {
	go func() {
		f.ended <- Run(ctx, Options{Settings: f.settings, Signals: f.signals, LogWriter: io.Discard})
	}()
}

// serveManifest submits the manifest and waits until the instance is ready.
func (f *fixture) serveManifest(ctx context.Context, t *testing.T) {
	t.Helper()
	client := operator.NewClient(f.settings.Listen.Operators, testSecret)
	retry(ctx, t, func() error {
		decision, err := client.Submit(ctx, []byte(f.manifest), 0, "test")
		if err == nil && decision.Outcome != "ok" {
			t.Fatalf("decision %+v", decision)
		}
		return err
	})
	retry(ctx, t, func() error { return client.Ready(ctx) })
}

func retry(ctx context.Context, t *testing.T, step func() error) {
	t.Helper()
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for {
		err := step()
		if err == nil {
			return
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			t.Fatalf("gave up: %v", err)
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
	f.serveManifest(ctx, t)
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
	// The transaction that was open when the drain began goes on to its end.
	if err := tx.Commit(ctx); err != nil {
		t.Fatalf("commit during the drain: %v", err)
	}
	if err := <-f.ended; err != nil {
		t.Fatalf("Run = %v, want the end of a drain", err)
	}
}

func TestSecondSignalEndsAtOnce(t *testing.T) {
	f, ctx := newFixture(t)
	f.run(ctx)
	f.serveManifest(ctx, t)
	conn := f.connect(ctx, t)
	if _, err := conn.Begin(ctx); err != nil {
		t.Fatal(err)
	}
	f.signals <- syscall.SIGTERM
	f.signals <- syscall.SIGINT
	var interrupted *InterruptedError
	if err := <-f.ended; !errors.As(err, &interrupted) {
		t.Fatalf("Run = %v, want an *InterruptedError", err)
	}
	if diff := cmp.Diff(syscall.SIGINT, interrupted.Signal); diff != "" {
		t.Errorf("signal (-want +got):\n%s", diff)
	}
}

// -----------------------------------------------------------------------------
// Starts that fail.

func TestStartFailures(t *testing.T) {
	cases := map[string]struct {
		spoil func(t *testing.T, s *settings.Settings)
		want  string
	}{
		"address in use": {
			spoil: func(t *testing.T, s *settings.Settings) {
				listener, err := net.Listen("tcp", s.Listen.Callers.String())
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { listener.Close() })
			},
			want: "address already in use",
		},
		"no secret": {
			spoil: func(_ *testing.T, s *settings.Settings) {
				s.Peer.SharedKey, _ = settings.ParseSecretReference("env:SECRET_OF_NOBODY")
			},
			want: "secret env:SECRET_OF_NOBODY: is empty",
		},
		"no certificate": {
			spoil: func(_ *testing.T, s *settings.Settings) {
				s.Caller.TLS = settings.TLSFiles{CertificateFile: "absent.pem", PrivateKeyFile: "absent.key"}
			},
			want: "absent.pem",
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f, ctx := newFixture(t)
			c.spoil(t, f.settings)
			err := Run(ctx, Options{Settings: f.settings, Signals: f.signals, LogWriter: io.Discard})
			var start *StartError
			if !errors.As(err, &start) || !strings.Contains(err.Error(), c.want) {
				t.Errorf("Run = %v, want a *StartError with %q", err, c.want)
			}
		})
	}
}
