package proxy

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/config/settings"
	"github.com/eelgrassfold/eelgrassfold/internal/node/serve"
	"github.com/eelgrassfold/eelgrassfold/platform"
)

// signalBuffer is the number of signals that are buffered until they are handled.
const signalBuffer = 4

var serveSubcommand = subcommand{
	name:    "serve",
	summary: "Run one instance.",
	detail: "The instance runs in the foreground and logs to standard error. On SIGTERM or SIGINT\n" +
		"it finishes the requests in flight and ends; a second signal ends it at once, with\n" +
		"exit code 1. It stores nothing on disk.",
	examples:   []string{"eelgrassfold serve --settings /etc/eelgrassfold/settings.toml"},
	newCommand: func() any { return &serveCommand{} },
}

type serveCommand struct {
	Settings string        `required:"" xor:"from" placeholder:"FILE" help:"The settings of this instance."`
	Platform bool          `required:"" xor:"from" help:"Run on the users' platform, by the settings file that it provides."`
	Leave    time.Duration `placeholder:"TIME" help:"On the platform: the wait that a read has to save to leave its availability zone; the share that leaves follows the measured waits. Without it, a fixed cost of 12ms decides about each read."`
	Patience time.Duration `default:"30s" placeholder:"TIME" help:"On the platform, with synchronous replication: how long a failover waits for databases that have no entry and may hold acknowledged commits (${default})."`
}

// Run reads the settings and runs the instance until it ends.
func (c *serveCommand) Run(console *Console) error {
	if c.Platform {
		if c.Leave < 0 {
			return &UsageError{Reason: "the time to leave a zone must not be negative, but is " + c.Leave.String()}
		}
		if c.Patience <= 0 {
			return &UsageError{Reason: "the patience must be positive, but is " + c.Patience.String()}
		}
		return platform.Serve(console.Context, console.Out, platform.Flags{ZonePrice: c.Leave, Patience: c.Patience})
	}
	parsed, err := c.readSettings(console)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, signalBuffer)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	// The end of the log's reader must not end the process.
	signal.Ignore(syscall.SIGPIPE)
	err = serve.Run(console.Context, serve.Options{
		Settings:  parsed,
		Version:   Version,
		Signals:   signals,
		LogWriter: console.Err,
	})
	return asInputError(err)
}

// asInputError turns an error about a file that the settings name into an
// *InputError. It returns other errors unchanged.
func asInputError(err error) error {
	var secret *settings.SecretError
	var certificate *serve.CertificateError
	if errors.As(err, &secret) || errors.As(err, &certificate) {
		return &InputError{Reason: err.Error()}
	}
	return err
}

func (c *serveCommand) readSettings(console *Console) (*settings.Settings, error) {
	body, err := os.ReadFile(c.Settings)
	if err != nil {
		return nil, &InputError{Reason: fmt.Sprintf("%s: %v", c.Settings, errors.Unwrap(err))}
	}
	parsed, warnings, err := settings.ParseWithWarnings(body)
	stderrConsole := &Console{Out: console.Err}
	if !printDiagnostics(stderrConsole, c.Settings, warnings, err) {
		return nil, &InputError{Reason: c.Settings + " has faults"}
	}
	return parsed, nil
}
