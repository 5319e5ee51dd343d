package command

import (
	"bytes"
	"flag"
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update", false, "write the golden files")

func TestHelpGolden(t *testing.T) {
	t.Setenv("COLUMNS", "80")
	for _, verb := range []string{"platform", "database", "load", "flood"} {
		t.Run(verb, func(t *testing.T) {
			var out, failures bytes.Buffer
			if code := Run([]string{verb, "--help"}, &out, &failures); code != 0 {
				t.Fatalf("exit %d: %s", code, failures.String())
			}
			golden := "testdata/help_" + verb + ".golden"
			if *update {
				if err := os.WriteFile(golden, out.Bytes(), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			want, err := os.ReadFile(golden)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(string(want), out.String()); diff != "" {
				t.Errorf("(-want +got)\n%s", diff)
			}
		})
	}
}

func TestExitCodes(t *testing.T) {
	cases := []struct {
		name string
		args []string
		want int
	}{
		{"no verb", nil, 2},
		{"unknown flag", []string{"platform", "--flood"}, 2},
		{"both roles", []string{"database", "--name", "a", "--group", "g", "--primary", "--source", "127.0.0.1:1"}, 2},
		{"no kind", []string{"load", "--address", "127.0.0.1:1", "--group", "g", "--kinds", "post"}, 1},
		{"bad address", []string{"platform", "--listen", "lanier"}, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var out, failures bytes.Buffer
			code := Run(c.args, &out, &failures)
			if diff := cmp.Diff(c.want, code); diff != "" {
				t.Errorf("(-want +got)\n%s\n%s", diff, failures.String())
			}
		})
	}
}
