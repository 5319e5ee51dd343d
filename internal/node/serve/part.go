package serve

import (
	"context"

	"go.uber.org/fx"
)

// maxComponents is an upper bound of the number of components. It is the buffer
// size of the channel on which they report their exit.
const maxComponents = 16

// The names of the components, as errors and log lines show them.
const (
	componentPool     = "database edge"
	componentGroup    = "group edge"
	componentPlatform = "platform edge"
	componentPeer     = "peer edge"
	componentOperator = "operator edge"
	componentRunner   = "runner"
	componentCaller   = "caller edge"
)

// starter is implemented by all components. Start runs the component until ctx
// ends; the returned channel reports how it ended.
type starter interface {
	Start(ctx context.Context) (<-chan error, error)
}

// componentExit reports that a component has ended. err is nil if it ended on
// request.
type componentExit struct {
	name string
	err  error
}

// component is one component that the lifecycle starts and stops.
type component struct {
	name   string
	impl   starter
	exits  chan<- componentExit
	cancel context.CancelFunc
	done   chan struct{}
}

// supervise registers a component with the lifecycle, which starts and stops it.
func supervise(lifecycle fx.Lifecycle, exits chan<- componentExit, name string, impl starter) {
	p := &component{name: name, impl: impl, exits: exits, done: make(chan struct{})}
	lifecycle.Append(fx.Hook{OnStart: p.start, OnStop: p.stop})
}

// start starts the component. Its context does not end with ctx, which covers
// only the startup phase.
func (p *component) start(ctx context.Context) error {
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	p.cancel = cancel
	exited, err := p.impl.Start(runCtx)
	if err != nil {
		cancel()
		return err
	}
	go p.reportExit(exited)
	return nil
}

// reportExit waits until the component has ended and reports how.
func (p *component) reportExit(exited <-chan error) {
	err := <-exited
	p.exits <- componentExit{name: p.name, err: err}
	close(p.done)
}

// stop cancels the component's context and waits until its exit is reported. The
// error is a *ComponentError if ctx ends first.
func (p *component) stop(ctx context.Context) error {
	p.cancel()
	select {
	case <-p.done:
		return nil
	case <-ctx.Done():
		return &ComponentError{Component: p.name, Cause: ctx.Err()}
	}
}
