package story

import (
	"bytes"
	"errors"
	"flag"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update", false, "rewrite the golden files")

func TestWriteTimeline(t *testing.T) {
	for name, target := range map[string]string{"request": "r1", "group": "ratings"} {
		t.Run(name, func(t *testing.T) {
			in, err := os.ReadFile("testdata/change.log")
			if err != nil {
				t.Fatal(err)
			}
			var out bytes.Buffer
			if err := WriteTimeline(bytes.NewReader(in), &out, target); err != nil {
				t.Fatal(err)
			}
			path := "testdata/" + name + ".golden"
			if *update {
				if err := os.WriteFile(path, out.Bytes(), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			want, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(string(want), out.String()); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestWriteTimelineWithoutMatch(t *testing.T) {
	var missing *NotFoundError
	if err := WriteTimeline(strings.NewReader("{}\n"), &bytes.Buffer{}, "r9"); !errors.As(err, &missing) {
		t.Errorf("got %v, want a *NotFoundError", err)
	}
}
