package proxy

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/eelgrassfold/eelgrassfold/internal/config/settings"
	"github.com/eelgrassfold/eelgrassfold/internal/node/serve"
	"github.com/eelgrassfold/eelgrassfold/platform"
)

// signalRoom is the number of signals that are kept until they are looked at.
const signalRoom = 4

var verbServe = verb{
	name:    "serve",
	summary: "Run one instance.",
	detail: "The instance runs in the foreground and logs to standard error. SIGTERM or SIGINT\n" +
		"lets it finish the requests in flight and leave; a second signal ends it at once,\n" +
		"with exit code 1. It keeps nothing on disk.",
	examples:   []string{"eelgrassfold serve --settings /etc/eelgrassfold/settings.toml"},
	newCommand: func() any { return &serveCommand{} },
}

type serveCommand struct {
	Settings string `required:"" xor:"from" placeholder:"FILE" help:"The settings of this instance."`
	Platform bool   `required:"" xor:"from" help:"Run on the users' platform, by the settings file that it provides."`
}

// Run reads the settings and runs the instance until it has left.
func (c *serveCommand) Run(console *Console) error {
	if c.Platform {
		return platform.Serve(console.Context, console.Out)
	}
	read, err := c.readSettings(console)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, signalRoom)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	err = serve.Run(console.Context, serve.Options{
		Settings:  read,
		Version:   Version,
		Signals:   signals,
		LogWriter: console.Err,
	})
	return asInputError(err)
}

// asInputError marks failures of files that the settings name as bad input.
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
	read, warnings, err := settings.ParseWithWarnings(body)
	onError := &Console{Out: console.Err}
	if !printFaults(onError, c.Settings, warnings, err) {
		return nil, &InputError{Reason: c.Settings + " has faults"}
	}
	return read, nil
}
