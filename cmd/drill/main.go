// Command drill runs fault-injection benchmarks of eelgrassfold on one machine,
// with simulated databases and a simulated platform.
package main

import (
	"os"

	"github.com/eelgrassfold/eelgrassfold/internal/standin/drill"
)

func main() { os.Exit(drill.Main()) }
