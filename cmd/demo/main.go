// Command demo demonstrates eelgrassfold on one machine, with simulated databases
// and a simulated platform.
package main

import (
	"os"

	"github.com/eelgrassfold/eelgrassfold/internal/standin/demo"
)

func main() { os.Exit(demo.Main()) }
