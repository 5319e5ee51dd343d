// Command standin runs simulated versions of the systems that eelgrassfold works
// with: the platform, databases, and the load of callers.
package main

import (
	"os"

	"github.com/eelgrassfold/eelgrassfold/internal/standin/command"
)

func main() { os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr)) }
