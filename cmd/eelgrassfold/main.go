// Command eelgrassfold is the database proxy and its operators' tool.
package main

import (
	"os"

	"github.com/eelgrassfold/eelgrassfold/internal/command/proxy"
)

func main() { os.Exit(int(proxy.Main())) }
