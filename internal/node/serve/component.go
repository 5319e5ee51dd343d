package serve

import (
	"context"

	"go.uber.org/fx"
)

// maxComponents is the buffer size of the channel on which the components
// report their exit. It is an upper bound of their number, so that a report
// never blocks.
const maxComponents = 16

// The names of the components, as errors and log lines show them.
const (
	componentDatabase = "database edge"
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
	c := &component{name: name, impl: impl, exits: exits, done: make(chan struct{})}
	lifecycle.Append(fx.Hook{OnStart: c.start, OnStop: c.stop})
}

// start starts the component. Its context does not end with ctx, which covers
// only the startup phase.
func (c *component) start(ctx context.Context) error {
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	c.cancel = cancel
	exited, err := c.impl.Start(runCtx)
	if err != nil {
		cancel()
		return err
	}
	go c.reportExit(exited)
	return nil
}

// reportExit waits until the component has ended and reports how.
func (c *component) reportExit(exited <-chan error) {
	err := <-exited
	c.exits <- componentExit{name: c.name, err: err}
	close(c.done)
}

// stop cancels the component's context and waits until its exit is reported. The
// error is a *ComponentError if ctx ends first.
func (c *component) stop(ctx context.Context) error {
	c.cancel()
	select {
	case <-c.done:
		return nil
	case <-ctx.Done():
		return &ComponentError{Component: c.name, Cause: ctx.Err()}
	}
}
