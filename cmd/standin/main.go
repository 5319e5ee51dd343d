// Command standin holds stand-ins for the systems that eelgrassfold serves.
package main

import (
	"os"

	"github.com/eelgrassfold/eelgrassfold/internal/standin/command"
)

func main() { os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr)) }
