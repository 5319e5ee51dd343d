package caller

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for the property tests.
func TestMain(m *testing.M) {
	err := flag.Set("rapid.seed", "7")
	if err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
