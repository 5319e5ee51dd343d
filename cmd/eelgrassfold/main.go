// Command eelgrassfold runs the database proxy and its tools for operators.
package main

import (
	"os"

	"github.com/eelgrassfold/eelgrassfold/internal/command/proxy"
)

func main() { os.Exit(int(proxy.Main())) }
