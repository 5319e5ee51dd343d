package settings

import (
	"errors"
	"flag"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

var update = flag.Bool("update", false, "rewrite the golden files")

func TestDiagnostics(t *testing.T) {
	paths, _ := filepath.Glob("testdata/faults/*.toml")
	if len(paths) == 0 {
		t.Fatal("no cases")
	}
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			body, _ := os.ReadFile(path)
			_, warnings, err := ParseWithWarnings(body)
			if err == nil {
				t.Fatal("no errors were reported")
			}
			got := err.Error() + "\n"
			for _, warning := range warnings {
				got += "warning: " + warning.String() + "\n"
			}
			if strings.Contains(got, "hunter2") {
				t.Error("the messages contain a secret")
			}
			golden := strings.TrimSuffix(path, ".toml") + ".golden"
			if *update {
				os.WriteFile(golden, []byte(got), 0o600)
			}
			want, _ := os.ReadFile(golden)
			if diff := cmp.Diff(string(want), got); diff != "" {
				t.Errorf("%s (-want +got):\n%s", golden, diff)
			}
		})
	}
}

func TestExamples(t *testing.T) {
	for name, zone := range map[string]string{"consortium": "lanier", "reparto": "mazatlan-a"} {
		body, err := os.ReadFile(filepath.Join("../../../examples", name, "settings.toml"))
		if err != nil {
			t.Fatal(err)
		}
		s, warnings, err := ParseWithWarnings(body)
		if err != nil || len(warnings) > 0 {
			t.Fatalf("ParseWithWarnings(%s) = %v, warnings %v", name, err, warnings)
		}
		if string(s.Zone) != zone || len(s.Caller.Users) != 3 || len(s.SeedAddresses) != 3 {
			t.Errorf("%s: zone %s, %d users, %d seeds", name, s.Zone, len(s.Caller.Users), len(s.SeedAddresses))
		}
	}
}

func TestSmallestSettings(t *testing.T) {
	body := `name = "a"
zone = "z"
listen = { callers = "127.0.0.1:0", peers = "127.0.0.1:7400", operators = "127.0.0.1:0" }
platform = { url = "http://127.0.0.1:8080" }
peer = { key = "env:PEER_KEY" }
caller = { trust = true }
`
	got, err := Parse([]byte(body))
	if err != nil {
		t.Fatal(err)
	}
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	want := &Settings{
		Name: "a", Zone: "z", TickInterval: DefaultTickInterval,
		Listen:   ListenAddresses{Callers: loopback, Peers: netip.MustParseAddrPort("127.0.0.1:7400"), Operators: loopback},
		Platform: Platform{URL: &url.URL{Scheme: "http", Host: "127.0.0.1:8080"}},
		Peer:     Peer{SharedKey: SecretReference{source: sourceEnv, name: "PEER_KEY"}},
		Caller:   Caller{TrustAnyUser: true, MaxConnections: DefaultMaxConnections, MemoryBudget: DefaultCallerMemoryMiB << 20},
		Database: DatabaseCredentials{User: DefaultDatabaseUser},
		Log:      Log{Level: event.LevelInfo, Format: FormatJSON},
	}
	same := cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })
	if diff := cmp.Diff(want, got, same, cmp.AllowUnexported(SecretReference{})); diff != "" {
		t.Errorf("settings (-want +got):\n%s", diff)
	}
}

func TestSecretLoad(t *testing.T) {
	path := filepath.Join(t.TempDir(), "key")
	os.WriteFile(path, []byte("hunter2\n"), 0o600)
	empty := filepath.Join(t.TempDir(), "empty")
	os.WriteFile(empty, nil, 0o600)
	t.Setenv("SECRET_OF_TEST", "hunter3")
	cases := map[string]struct {
		reference, want string
		fail            bool
	}{
		"file":        {reference: "file:" + path, want: "hunter2"},
		"environment": {reference: "env:SECRET_OF_TEST", want: "hunter3"},
		"no file":     {reference: "file:" + path + "-absent", fail: true},
		"empty file":  {reference: "file:" + empty, fail: true},
		"not set":     {reference: "env:SECRET_OF_NOBODY", fail: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			secret, valid := ParseSecretReference(c.reference)
			if !valid || fmt.Sprint(secret) != c.reference {
				t.Fatalf("ParseSecretReference(%q) = %v, %v", c.reference, secret, valid)
			}
			got, err := secret.Load()
			var typed *SecretError
			if errors.As(err, &typed) != c.fail || got != c.want {
				t.Errorf("Load = %q, %v", got, err)
			}
		})
	}
}

func FuzzParse(f *testing.F) {
	for _, pattern := range []string{"testdata/faults/*.toml", "../../../examples/*/settings.toml"} {
		paths, _ := filepath.Glob(pattern)
		for _, path := range paths {
			body, _ := os.ReadFile(path)
			f.Add(body)
		}
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		s, err := Parse(body)
		var validationErr *ValidationError
		if (s == nil) == (err == nil) || err != nil && !errors.As(err, &validationErr) {
			t.Errorf("Parse = %v, %v", s, err)
		}
	})
}
