// Package proxy is the command line of eelgrassfold.
//
// # What flows in and out
//
// Arguments flow in. Results flow out on standard output, failures and the log
// of `serve` on standard error, and the exit code tells a pipeline what kind of
// failure it was (see the table in exit.go): a conflict calls for another
// review, an unavailable platform for another try, an unknown outcome for a
// look at the manifest in force.
//
// # How it is laid out
//
// Each verb has a file of its own, verb_*.go. The table in verbs.go lists them
// and feeds the parser, the help and the documents. Help topics are text files
// in topics/, listed by the table in topics.go; all of it is in the binary and
// needs no network. Verbs that ask an instance speak to its operators' address.
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

// Console is what verbs read from and write to.
type Console struct {
	// Context ends when the process shall.
	Context context.Context
	In      io.Reader
	Out     io.Writer
	Err     io.Writer
}

func (c *Console) printf(format string, values ...any) {
	// Standard output that is closed leaves nobody to tell.
	_, _ = fmt.Fprintf(c.Out, format, values...)
}

// -----------------------------------------------------------------------------
// Entry points.

// Main runs the arguments of the process.
func Main() ExitCode {
	console := &Console{Context: context.Background(), In: os.Stdin, Out: os.Stdout, Err: os.Stderr}
	return Run(os.Args[1:], console)
}

// Run runs one command line, without the name of the program.
func Run(args []string, console *Console) ExitCode {
	if len(args) == 0 {
		args = []string{"help"}
	}
	err := parseAndRun(args, console)
	if err == nil {
		return ExitOK
	}
	_, _ = fmt.Fprintf(console.Err, "%s: %v\n", program, err)
	return exitOf(err)
}

// helpShown ends the parsing once kong has printed help.
type helpShown struct{}

func parseAndRun(args []string, console *Console) (err error) {
	defer func() {
		switch stop := recover().(type) {
		case nil:
		case helpShown:
			err = nil
		default:
			panic(stop)
		}
	}()
	parser, err := newParser(console)
	if err != nil {
		return err
	}
	selected, err := parser.Parse(args)
	if err != nil {
		return &UsageError{Reason: err.Error()}
	}
	return selected.Run(console)
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
	for _, verb := range verbs {
		options = append(options, kong.DynamicCommand(verb.name, verb.summary, "", verb.newCommand()))
	}
	return kong.New(&struct{}{}, options...)
}
