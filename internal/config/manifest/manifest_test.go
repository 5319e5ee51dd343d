package manifest

import (
	"flag"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

var update = flag.Bool("update", false, "rewrite the golden files")

func compareGolden(t *testing.T, path, got string) {
	t.Helper()
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), got); diff != "" {
		t.Errorf("%s (-want +got):\n%s", path, diff)
	}
}

// -----------------------------------------------------------------------------
// Diagnostics.

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
			report := err.Error() + "\n"
			for _, warning := range warnings {
				report += "warning: " + warning.String() + "\n"
			}
			compareGolden(t, strings.TrimSuffix(path, ".toml")+".golden", report)
		})
	}
}

// -----------------------------------------------------------------------------
// Examples.

func readExample(t testing.TB, name string) ([]byte, *Manifest) {
	t.Helper()
	body, err := os.ReadFile(filepath.Join("../../../examples", name, "manifest.toml"))
	if err != nil {
		t.Fatal(err)
	}
	m, warnings, err := ParseWithWarnings(body)
	if err != nil || len(warnings) > 0 {
		t.Fatalf("ParseWithWarnings(%s) = %v, warnings %v", name, err, warnings)
	}
	return body, m
}

func TestExamples(t *testing.T) {
	for name, slots := range map[string]int{"consortium": 3, "reparto": 2} {
		t.Run(name, func(t *testing.T) {
			_, m := readExample(t, name)
			if m.Limits.MaxConcurrentStatements != slots || len(m.Groups) != 3 || len(m.Ranks) != 3 {
				t.Errorf("%d slots, %d groups, %d ranks", m.Limits.MaxConcurrentStatements, len(m.Groups), len(m.Ranks))
			}
			compareGolden(t, "testdata/"+name+".golden", string(Format(m)))
		})
	}
}

func TestDefaultKind(t *testing.T) {
	_, m := readExample(t, "consortium")
	want := RequestKind{Name: "default", Rank: 1, Access: model.AccessWrite, Deadline: 10 * time.Second}
	if diff := cmp.Diff(want, m.Kinds[len(m.Kinds)-1]); diff != "" {
		t.Errorf("default kind (-want +got):\n%s", diff)
	}
}

func TestDiff(t *testing.T) {
	body, before := readExample(t, "consortium")
	text := strings.Replace(string(body), "slots = 3", "slots = 2", 1)
	text = strings.Replace(text, "stale = \"2s\"\n", "", 1)
	text = strings.Replace(text, `name = "import-ratings"`, `name = "import"`, 1)
	after, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	var lines []string
	for _, change := range Diff(before, after) {
		lines = append(lines, change.String())
	}
	compareGolden(t, "testdata/diff.golden", strings.Join(lines, "\n")+"\n")
	if changes := Diff(after, after); len(changes) > 0 {
		t.Errorf("Diff of a manifest with itself: %v", changes)
	}
}

// -----------------------------------------------------------------------------
// Properties.

func drawManifest(t *rapid.T) *Manifest {
	anyDuration := rapid.Int64Range(1, int64(time.Hour))
	m := &Manifest{Service: "s"}
	m.Limits.MaxConcurrentStatements = rapid.IntRange(1, 9).Draw(t, "slots")
	m.Limits.MaxConnections = rapid.IntRange(m.Limits.MaxConcurrentStatements, 99).Draw(t, "connections")
	m.Limits.ReservedConnections = rapid.IntRange(0, m.Limits.MaxConnections-1).Draw(t, "reserve")
	m.Limits.ConnectTime = time.Duration(anyDuration.Draw(t, "open"))
	for i := range rapid.IntRange(1, 4).Draw(t, "ranks") {
		m.Ranks = append(m.Ranks, Rank{
			Name:          fmt.Sprintf("r%d", i),
			LatencyTarget: time.Duration(anyDuration.Draw(t, "target")),
			Value:         rapid.Float64Range(0.001, 1e9).Draw(t, "worth"),
			MinSlotShare:  rapid.Float64Range(0, 0.25).Draw(t, "floor"),
		})
	}
	for i := range rapid.IntRange(0, 4).Draw(t, "kinds") {
		kind := RequestKind{Name: fmt.Sprintf("k%d", i), Deadline: time.Duration(anyDuration.Draw(t, "deadline"))}
		kind.Rank = model.Rank(rapid.IntRange(0, len(m.Ranks)-1).Draw(t, "rank"))
		kind.Retryable = rapid.Bool().Draw(t, "repeat")
		if rapid.Bool().Draw(t, "read") {
			kind.Access, kind.HasStalenessBound = model.AccessRead, rapid.Bool().Draw(t, "bounded")
		}
		if kind.HasStalenessBound {
			kind.MaxStaleness = time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "stale"))
		}
		m.Kinds = append(m.Kinds, kind)
	}
	m.addDefaultKind()
	for g := range rapid.IntRange(1, 3).Draw(t, "groups") {
		group := Group{Name: model.GroupID(fmt.Sprintf("g%d", g))}
		for d := range rapid.SampledFrom([]int{1, 3, 5}).Draw(t, "size") {
			group.Databases = append(group.Databases, Database{
				Name:    model.DatabaseID(fmt.Sprintf("g%d-%d", g, d)),
				Zone:    "z",
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(g), byte(d)}), 5432),
				Leaving: rapid.Bool().Draw(t, "leaving"),
			})
		}
		m.Groups = append(m.Groups, group)
	}
	return m
}

func TestParseReadsFormatOutput(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := drawManifest(t)
		got, err := Parse(Format(want))
		if err != nil {
			t.Fatalf("Parse: %v\n%s", err, Format(want))
		}
		if diff := cmp.Diff(want, got, cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })); diff != "" {
			t.Errorf("after Format and Parse (-want +got):\n%s", diff)
		}
	})
}

func FuzzParse(f *testing.F) {
	for _, name := range []string{"consortium", "reparto"} {
		body, _ := readExample(f, name)
		f.Add(body)
	}
	paths, _ := filepath.Glob("testdata/faults/*.toml")
	for _, path := range paths {
		body, _ := os.ReadFile(path)
		f.Add(body)
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		m, err := Parse(body)
		if err != nil {
			return
		}
		again, err := Parse(Format(m))
		if err != nil {
			t.Fatalf("Parse of the printed form: %v\n%s", err, Format(m))
		}
		if changes := Diff(m, again); len(changes) > 0 {
			t.Errorf("the manifest differs after Format and Parse: %v", changes)
		}
	})
}

// -----------------------------------------------------------------------------
// Cost by size.

// BenchmarkParse measures Parse for manifests with various numbers of groups, of
// three databases each.
func BenchmarkParse(b *testing.B) {
	for _, groups := range []int{3, 30, 300, 1133} {
		body := []byte(manifestWithGroups(groups))
		b.Run(fmt.Sprint(groups), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				if _, err := Parse(body); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(body)), "bytes")
		})
	}
}

// manifestWithGroups returns a manifest with the given number of groups.
func manifestWithGroups(groups int) string {
	const head = "service = \"handicap-db\"\n[limits]\nslots = 3\nconnections = 20\nreserve = 4\n" +
		"[[rank]]\nname = \"urgent\"\ntarget = \"200ms\"\nworth = 10\nfloor = 0.5\n"
	var text strings.Builder
	text.WriteString(head)
	for i := range groups {
		fmt.Fprintf(&text, "[[group]]\nname = \"ratings-%d\"\n", i+1)
		for j, zone := range []string{"lanier", "savannah", "allatoona"} {
			fmt.Fprintf(&text, "[[group.database]]\nname = \"ratings-%d-%d\"\nzone = %q\naddress = \"10.%d.%d.%d:5432\"\n",
				i+1, j+1, zone, j, i/250, i%250)
		}
	}
	return text.String()
}
