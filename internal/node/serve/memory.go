package serve

import (
	"os"
	"runtime/debug"
)

// collectPercent is how much the heap may grow, in percent of what is in use,
// until garbage is collected. An instance holds little and makes much garbage,
// 2 KB a read in the core alone, so that the runtime's own 100 costs processor
// time for little memory.
const collectPercent = 200

// relaxCollector lets garbage be collected less often, unless the operator has
// chosen by the environment variable GOGC.
func relaxCollector() {
	if _, isChosen := os.LookupEnv("GOGC"); !isChosen {
		debug.SetGCPercent(collectPercent)
	}
}
