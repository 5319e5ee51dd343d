package proof_test

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/eelgrassfold/eelgrassfold/internal/standin/drill"
)

// soakSeed is the seed of a run of drill soak, with the cause for which it has failed once.
type soakSeed struct {
	seed  uint64
	cause string
}

// TestSoak injects the faults of each seed, several at a time, and checks what callers,
// operators and databases see.
func TestSoak(t *testing.T) {
	runSoak(t, drill.Soak{Seeds: 1, Minutes: 0.4, Processes: 7, Rate: 50}, []soakSeed{
		{1, "none"},
		{3, "the soak waited for a terminated instance while other faults were due to end"},
	})
}

// TestSoakOfManyInstances does the same with more instances than databases.
func TestSoakOfManyInstances(t *testing.T) {
	const scarceConnections = "the databases had 20 connections for 12 instances, which need three each: " +
		"instances that were started again got no control connection"
	runSoak(t, drill.Soak{Seeds: 1, Minutes: 1, Processes: 16, Rate: 50}, []soakSeed{
		{101, scarceConnections},
		{102, scarceConnections},
	})
}

// runSoak runs seeds one after the other.
func runSoak(t *testing.T, soak drill.Soak, seeds []soakSeed) {
	t.Helper()
	binaries := buildBinaries(t)
	for _, s := range seeds {
		t.Run(fmt.Sprint("seed ", s.seed), func(t *testing.T) {
			var out strings.Builder
			soak.Seed = s.seed
			if err := soak.Run(context.Background(), &out, binaries); err != nil {
				t.Errorf("%v (failed before: %s)\n%s", err, s.cause, out.String())
			}
		})
	}
}
