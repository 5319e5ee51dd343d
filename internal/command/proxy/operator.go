package proxy

import (
	"context"
	"net/netip"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/config/settings"
	"github.com/eelgrassfold/eelgrassfold/internal/report/status"
)

// instanceClient sends the requests of subcommands to a running instance. Its
// errors implement exitError.
type instanceClient interface {
	Status(ctx context.Context) (status.Status, error)
	Logbook(ctx context.Context, group string) (status.Logbook, error)
	Manifest(ctx context.Context) (status.Manifest, error)
	// Submit returns the number of the manifest that was accepted.
	Submit(ctx context.Context, body []byte, expected uint64, who string) (uint64, error)
	Drain(ctx context.Context) error
}

// operatorFlags holds the flags that all subcommands with requests to an instance
// share.
type operatorFlags struct {
	Address netip.AddrPort `default:"127.0.0.1:7480" env:"EELGRASSFOLD_OPERATOR" help:"Operators' address of the instance."`
	Token   string         `env:"EELGRASSFOLD_TOKEN" placeholder:"REFERENCE" help:"Token of the operators, as file:PATH or env:NAME."`
	Timeout time.Duration  `default:"15s" help:"Time to wait for the answer."`
}

// newClient returns a client of the instance that the flags name, and a context
// with the timeout of one request. The caller calls the cancel function.
func (f *operatorFlags) newClient(console *Console) (instanceClient, context.Context, context.CancelFunc, error) {
	token, err := f.loadToken()
	if err != nil {
		return nil, nil, nil, err
	}
	ctx, cancel := context.WithTimeout(console.Context, f.Timeout)
	return newHTTPClient(f.Address, token), ctx, cancel, nil
}

func (f *operatorFlags) loadToken() (string, error) {
	if f.Token == "" {
		return "", nil
	}
	secret, valid := settings.ParseSecretReference(f.Token)
	if !valid {
		return "", &UsageError{Reason: "--token must be a reference, file:PATH or env:NAME"}
	}
	token, err := secret.Load()
	if err != nil {
		return "", &InputError{Reason: err.Error()}
	}
	return token, nil
}
