// Command demo shows eelgrassfold at work on one machine, with stand-ins.
package main

import (
	"os"

	"github.com/eelgrassfold/eelgrassfold/internal/standin/demo"
)

func main() { os.Exit(demo.Main()) }
