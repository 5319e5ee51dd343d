package engine_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets the seed and the number of checks of the property tests to fixed
// values, which flags on the command line override.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "20"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
