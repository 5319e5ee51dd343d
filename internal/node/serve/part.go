package serve

import (
	"context"

	"go.uber.org/fx"
)

// maxParts bounds the number of parts.
const maxParts = 16

// The names of the parts.
const (
	partPool     = "database edge"
	partGroup    = "group edge"
	partPlatform = "platform edge"
	partPeer     = "peer edge"
	partOperator = "operator edge"
	partRunner   = "runner"
	partCaller   = "caller edge"
)

// starter is the common shape of all parts: Start runs the part until the
// context ends, and the channel reports its end.
type starter interface {
	Start(ctx context.Context) (<-chan error, error)
}

// partEnd tells that a part has ended; err is nil where it was asked to.
type partEnd struct {
	name string
	err  error
}

// part is one part under the supervision of the lifecycle.
type part struct {
	name   string
	starts starter
	ends   chan<- partEnd
	cancel context.CancelFunc
	ended  chan struct{}
}

// supervise lets the lifecycle start and stop a part.
func supervise(lifecycle fx.Lifecycle, ends chan<- partEnd, name string, starts starter) {
	p := &part{name: name, starts: starts, ends: ends, ended: make(chan struct{})}
	lifecycle.Append(fx.Hook{OnStart: p.start, OnStop: p.stop})
}

// start starts the part under a context that outlives the start of the process.
func (p *part) start(ctx context.Context) error {
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	p.cancel = cancel
	end, err := p.starts.Start(running)
	if err != nil {
		cancel()
		return err
	}
	go p.forward(end)
	return nil
}

// forward reports the end of the part.
func (p *part) forward(end <-chan error) {
	err := <-end
	p.ends <- partEnd{name: p.name, err: err}
	close(p.ended)
}

// stop ends the part and waits for its report.
func (p *part) stop(ctx context.Context) error {
	p.cancel()
	select {
	case <-p.ended:
		return nil
	case <-ctx.Done():
		return &ComponentError{Component: p.name, Cause: ctx.Err()}
	}
}
