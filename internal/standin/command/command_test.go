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
	for _, subcommand := range []string{"platform", "database", "load", "flood"} {
		t.Run(subcommand, func(t *testing.T) {
			var stdout, stderr bytes.Buffer
			if code := Run([]string{subcommand, "--help"}, &stdout, &stderr); code != 0 {
				t.Fatalf("exit code %d, want 0: %s", code, stderr.String())
			}
			golden := "testdata/help_" + subcommand + ".golden"
			if *update {
				if err := os.WriteFile(golden, stdout.Bytes(), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			want, err := os.ReadFile(golden)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(string(want), stdout.String()); diff != "" {
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
		{"no subcommand", nil, 2},
		{"unknown flag", []string{"platform", "--flood"}, 2},
		{"both roles", []string{"database", "--name", "a", "--group", "g", "--primary", "--source", "127.0.0.1:1"}, 2},
		{"kind without a rate", []string{"load", "--address", "127.0.0.1:1", "--group", "g", "--kinds", "post"}, 1},
		{"invalid address", []string{"platform", "--listen", "lanier"}, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var stdout, stderr bytes.Buffer
			code := Run(c.args, &stdout, &stderr)
			if diff := cmp.Diff(c.want, code); diff != "" {
				t.Errorf("(-want +got)\n%s\n%s", diff, stderr.String())
			}
		})
	}
}
