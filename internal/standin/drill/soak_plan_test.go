package drill

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update", false, "write the golden files again")

// A seed always gives the same faults, so that a run that has failed can be repeated.
func TestSoakPlan(t *testing.T) {
	const path = "testdata/soak_plan.golden"
	counts := map[soakTarget]int{soakInstance: 3, soakDatabase: 3, soakPlatform: 1}
	var text strings.Builder
	for _, f := range planSoak(7, 30*time.Second, soakFaults, counts) {
		fmt.Fprintf(&text, "%s to %s: %s\n", f.from, f.to, f)
	}
	if *update {
		if err := os.WriteFile(path, []byte(text.String()), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), text.String()); diff != "" {
		t.Error(diff)
	}
}

// No plan may kill two databases, since the group would lose what only these hold, leave
// less than the stated time at its ends, or have a target in the same fault twice.
func TestSoakPlanLimits(t *testing.T) {
	const duration = 30 * time.Second
	counts := map[soakTarget]int{soakInstance: 3, soakDatabase: 3, soakPlatform: 1}
	drawn := map[string]int{}
	for seed := range uint64(200) {
		plan := planSoak(seed, duration, soakFaults, counts)
		kills := 0
		for i, f := range plan {
			drawn[f.name]++
			if f.name == "dbkill" {
				kills++
			}
			if f.from < soakWarmUp || f.to > duration-soakCoolDown || f.to <= f.from || f.index >= counts[f.target] {
				t.Fatalf("seed %d: %s from %s to %s", seed, f, f.from, f.to)
			}
			for _, other := range plan[:i] {
				if other.name == f.name && other.index == f.index && other.to >= f.from {
					t.Fatalf("seed %d: %s at %s, and again at %s", seed, f, other.from, f.from)
				}
			}
		}
		if kills > 1 {
			t.Fatalf("seed %d kills %d databases", seed, kills)
		}
	}
	for _, f := range soakFaults {
		if drawn[f.name] == 0 {
			t.Errorf("%s was never drawn", f.name)
		}
	}
}

func TestChosenFaults(t *testing.T) {
	var unknown *UnknownFaultError
	if _, err := chosenFaults([]string{"kill", "flood"}); !errors.As(err, &unknown) || unknown.Name != "flood" {
		t.Errorf("got %v", err)
	}
}
