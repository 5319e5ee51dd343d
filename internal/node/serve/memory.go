package serve

import (
	"os"
	"runtime/debug"
)

// gcPercent is the garbage collector's target percentage: how much the heap may
// grow beyond the live data before a collection. An instance has little live data
// and allocates much, 2 KB per read in the core alone, so the runtime's default
// of 100 would spend processor time to save little memory.
const gcPercent = 200

// processMemory is the memory of an instance without what its callers make it hold, in
// bytes: the size that docs/CAPACITY.md gives, with room for garbage.
const processMemory = 64 << 20

// setMemoryLimit makes garbage collections more frequent while the callers hold much, so
// that garbage does not add to what they may hold, unless the operator has set the
// environment variable GOMEMLIMIT.
func setMemoryLimit(callerBudget int64) {
	if _, isChosen := os.LookupEnv("GOMEMLIMIT"); !isChosen {
		debug.SetMemoryLimit(processMemory + callerBudget)
	}
}

// setGCPercent makes garbage collections less frequent, unless the operator has
// set the environment variable GOGC.
func setGCPercent() {
	if _, isChosen := os.LookupEnv("GOGC"); !isChosen {
		debug.SetGCPercent(gcPercent)
	}
}
