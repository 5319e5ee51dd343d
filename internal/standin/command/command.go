// Package command is the command line of the simulated platform and databases, of
// the load generator and of the simulated floods.
//
// # What flows in and out
//
// Arguments flow in. The subcommands platform and database serve until SIGINT or
// SIGTERM; when one is ready, a JSON line with the addresses that it has bound
// flows out on standard output, so that whoever starts it may use port 0. The
// subcommands load and flood write their results to standard output.
//
// # Usage
//
//	func main() { os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr)) }
package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// commandLine is the grammar of the command line, as kong reads it.
type commandLine struct {
	Platform platformCommand `cmd:"" help:"Serve the platform's tables, objects and list of instances."`
	Database databaseCommand `cmd:"" help:"Serve one database of a group."`
	Load     loadCommand     `cmd:"" help:"Offer work and measure what comes back."`
	Flood    floodCommand    `cmd:"" help:"Run floods of work through schedulers on virtual time."`
}

// runContext holds what a subcommand runs with: the context that ends it and
// its standard output.
type runContext struct {
	ctx    context.Context
	stdout io.Writer
}

// Run runs one subcommand and returns the exit code: 0 on success, 1 if it
// failed, and 2 if the arguments are invalid.
func Run(args []string, stdout, stderr io.Writer) int {
	var parsed commandLine
	exitCode := -1
	parser, err := kong.New(
		&parsed,
		kong.Name("standin"),
		kong.Description("Stand-ins for tests and measurements of eelgrassfold."),
		kong.UsageOnError(),
		kong.Vars(floodVars()),
		kong.Writers(stdout, stderr),
		kong.Exit(func(code int) { exitCode = code }),
	)
	if err != nil {
		return printError(stderr, err, 1)
	}
	subcommand, err := parser.Parse(args)
	if exitCode >= 0 {
		return exitCode
	}
	if err != nil {
		return printError(stderr, err, 2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := subcommand.Run(&runContext{ctx: ctx, stdout: stdout}); err != nil {
		return printError(stderr, err, 1)
	}
	return 0
}

// printError writes an error to stderr and returns the exit code for it.
func printError(stderr io.Writer, err error, code int) int {
	_, _ = fmt.Fprintln(stderr, "standin:", err)
	return code
}

// printAddresses writes the bound addresses of a server that is ready, as one
// JSON line.
func (r *runContext) printAddresses(addresses map[string]string) error {
	return json.NewEncoder(r.stdout).Encode(addresses)
}
