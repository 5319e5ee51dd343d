package proof_test

import (
	"context"
	"strings"
	"testing"

	"github.com/eelgrassfold/eelgrassfold/internal/standin/drill"
)

// soakSeeds are the seeds of short runs of drill soak. Besides the first, each has failed
// once.
var soakSeeds = []struct {
	seed    uint64
	minutes float64
	// cause is why the seed has failed.
	cause string
}{
	{seed: 1, minutes: 0.4},
}

// TestSoak injects the faults of each seed, several at a time, and checks what callers,
// operators and databases see.
func TestSoak(t *testing.T) {
	binaries := buildBinaries(t)
	for _, s := range soakSeeds {
		var out strings.Builder
		soak := drill.Soak{Seed: s.seed, Seeds: 1, Minutes: s.minutes, Processes: 7, Rate: 50}
		if err := soak.Run(context.Background(), &out, binaries); err != nil {
			t.Errorf("%v (failed before: %s)\n%s", err, s.cause, out.String())
		}
	}
}
