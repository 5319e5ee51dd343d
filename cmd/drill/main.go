// Command drill measures eelgrassfold under faults on one machine, with
// stand-ins.
package main

import (
	"os"

	"github.com/eelgrassfold/eelgrassfold/internal/standin/drill"
)

func main() { os.Exit(drill.Main()) }
