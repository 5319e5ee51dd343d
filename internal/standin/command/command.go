// Package command is the command line of the stand-ins.
//
// # What flows in and out
//
// Arguments flow in; each verb starts one stand-in, and serves until SIGINT or
// SIGTERM. When a stand-in is ready, one JSON line with the addresses that it
// has bound flows out to standard output, so that a caller may use port 0.
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

// line is the command line.
type line struct {
	Platform platformVerb `cmd:"" help:"Serve the platform's tables, objects and list of instances."`
	Database databaseVerb `cmd:"" help:"Serve one database of a group."`
	Load     loadVerb     `cmd:"" help:"Offer work and measure what comes back."`
	Flood    floodVerb    `cmd:"" help:"Run floods of work through schedulers on virtual time."`
}

// streams holds where a verb writes.
type streams struct {
	ctx context.Context
	out io.Writer
}

// Run runs one verb and returns the exit code: 0, or 1 where it failed, or 2
// where the arguments can't be read.
func Run(args []string, out, failures io.Writer) int {
	var parsed line
	exited := -1
	parser, err := kong.New(
		&parsed,
		kong.Name("standin"),
		kong.Description("Stand-ins for tests and measurements of eelgrassfold."),
		kong.UsageOnError(),
		kong.Vars(floodVars()),
		kong.Writers(out, failures),
		kong.Exit(func(code int) { exited = code }),
	)
	if err != nil {
		return report(failures, err, 1)
	}
	chosen, err := parser.Parse(args)
	if exited >= 0 {
		return exited
	}
	if err != nil {
		return report(failures, err, 2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := chosen.Run(&streams{ctx: ctx, out: out}); err != nil {
		return report(failures, err, 1)
	}
	return 0
}

// report writes a failure and returns the exit code for it.
func report(failures io.Writer, err error, code int) int {
	_, _ = fmt.Fprintln(failures, "standin:", err)
	return code
}

// announce writes the addresses of a stand-in that is ready.
func (s *streams) announce(addresses map[string]string) error {
	return json.NewEncoder(s.out).Encode(addresses)
}
