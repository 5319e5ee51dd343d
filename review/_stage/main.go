// Command stage runs one case of the review: the system's processes, with stand-ins for
// the platform, the databases and the clients.
package main

import (
	"fmt"
	"os"
)

var cases = map[string]func(w string, trouble bool) int{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stage CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(cases[os.Args[1]](os.Args[2], os.Getenv("TROUBLE") != "0"))
}
