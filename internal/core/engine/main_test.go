package engine_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain gives the property tests a fixed seed and number of checks, which
// the command line may change.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "20"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
