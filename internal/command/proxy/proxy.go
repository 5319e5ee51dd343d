// Package proxy implements the command line of eelgrassfold.
//
// # What flows in and out
//
// Arguments flow in. Results flow out on standard output, error messages and the
// log of `serve` on standard error. The exit code states, for pipelines, the kind
// of failure (see the table in exit.go): a conflict requires another review, an
// unavailable platform another attempt, an unknown outcome a check of the
// manifest in force.
//
// # How it is laid out
//
// Each subcommand has a file of its own, verb_*.go. The table in verbs.go lists
// them and is the source for the parser, the help and the documents. Help topics
// are text files in topics/, listed by the table in topics.go; they are embedded
// in the binary, so that help needs no network. Subcommands that send requests to
// an instance connect to its operators' address.
//
// # Usage
//
//	func main() { os.Exit(int(proxy.Main())) }
package proxy

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"
)

// Version is the version that `eelgrassfold version` prints.
const Version = "0.1.0"

const program = "eelgrassfold"

// Console holds the input and outputs of subcommands.
type Console struct {
	// Context ends when the process has to end.
	Context context.Context
	In      io.Reader
	Out     io.Writer
	Err     io.Writer
}

func (c *Console) printf(format string, values ...any) {
	// An error is ignored: if standard output is closed, no one reads a report.
	_, _ = fmt.Fprintf(c.Out, format, values...)
}

// -----------------------------------------------------------------------------
// Entry points.

// Main runs the command line of the process.
func Main() ExitCode {
	console := &Console{Context: context.Background(), In: os.Stdin, Out: os.Stdout, Err: os.Stderr}
	return Run(os.Args[1:], console)
}

// Run runs one command line, given without the name of the program.
func Run(args []string, console *Console) ExitCode {
	if len(args) == 0 {
		args = []string{"help"}
	}
	err := parseAndRun(args, console)
	if err == nil {
		return ExitOK
	}
	_, _ = fmt.Fprintf(console.Err, "%s: %v\n", program, err)
	return exitCodeOf(err)
}

// helpShown is the panic value that ends parsing after kong has printed help.
type helpShown struct{}

func parseAndRun(args []string, console *Console) (err error) {
	defer func() {
		switch recovered := recover().(type) {
		case nil:
		case helpShown:
			err = nil
		default:
			panic(recovered)
		}
	}()
	parser, err := newParser(console)
	if err != nil {
		return err
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		return &UsageError{Reason: err.Error()}
	}
	return parsed.Run(console)
}

func newParser(console *Console) (*kong.Kong, error) {
	options := []kong.Option{
		kong.Name(program),
		kong.Description("A database proxy with session consistency."),
		kong.Writers(console.Out, console.Err),
		kong.Exit(func(int) { panic(helpShown{}) }),
		kong.Help(printHelp),
		kong.ConfigureHelp(kong.HelpOptions{NoExpandSubcommands: true, WrapUpperBound: helpWidth}),
	}
	for _, command := range subcommands {
		options = append(options, kong.DynamicCommand(command.name, command.summary, "", command.newCommand()))
	}
	return kong.New(&struct{}{}, options...)
}
