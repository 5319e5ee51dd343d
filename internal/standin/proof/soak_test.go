package proof_test

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/eelgrassfold/eelgrassfold/internal/standin/drill"
)

// soakSeeds are the seeds of runs of drill soak. Besides the first, each has failed once.
var soakSeeds = []struct {
	seed      uint64
	minutes   float64
	processes int
	// cause is why the seed has failed.
	cause string
}{
	{seed: 1, minutes: 0.4, processes: 7},
	{seed: 3, minutes: 0.4, processes: 7, cause: "the soak waited for a terminated instance while other faults were due to end"},
	{seed: 101, minutes: 1, processes: 16, cause: scarceConnections},
	{seed: 102, minutes: 1, processes: 16, cause: scarceConnections},
}

// scarceConnections is the cause for which runs with many instances have failed.
const scarceConnections = "the databases had 20 connections for 12 instances, which need three each: " +
	"instances that were started again got no control connection"

// TestSoak injects the faults of each seed, several at a time, and checks what callers,
// operators and databases see.
func TestSoak(t *testing.T) {
	binaries := buildBinaries(t)
	semaphore := make(chan struct{}, maxConcurrentDeployments)
	for _, s := range soakSeeds {
		t.Run(fmt.Sprint("seed ", s.seed), func(t *testing.T) {
			t.Parallel()
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			var out strings.Builder
			soak := drill.Soak{Seed: s.seed, Seeds: 1, Minutes: s.minutes, Processes: s.processes, Rate: 50}
			if err := soak.Run(context.Background(), &out, binaries); err != nil {
				t.Errorf("%v (failed before: %s)\n%s", err, s.cause, out.String())
			}
		})
	}
}
