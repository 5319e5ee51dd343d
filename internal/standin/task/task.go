// Package task starts the goroutines of the simulated platform and databases, and
// waits for their end.
//
// # What flows in and out
//
// Functions that take a context flow in. Each runs in a goroutine of its own and
// sends its result to a channel that the Group reads. When every function has
// returned, the first error flows out, if there was one. Therefore no goroutine
// outlives its server, and a test that has stopped a server can rely on all of its
// goroutines having returned.
//
// # Usage
//
//	group := task.NewGroup()
//	group.Start(ctx, acceptConnections)
//	done := group.Supervise(cancel)
//	...
//	err := <-done
package task

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// -----------------------------------------------------------------------------
// Goroutines.

// Group is a set of goroutines that end together.
type Group struct {
	results chan error
	running atomic.Int64
}

// NewGroup returns an empty group.
func NewGroup() *Group { return &Group{results: make(chan error)} }

// Start runs a function in a goroutine of the group. It must be called before
// Supervise or from a goroutine of the group, so that the number of running
// goroutines cannot reach zero while another one is about to start.
func (g *Group) Start(ctx context.Context, run func(ctx context.Context) error) {
	g.running.Add(1)
	go func() { g.results <- run(ctx) }()
}

// Supervise receives the results of all goroutines. After the first error it calls
// cancel. When all goroutines have returned, it sends that error, if there was one,
// to the returned channel, calls cancel and closes the channel.
func (g *Group) Supervise(cancel context.CancelFunc) <-chan error {
	done := make(chan error, 1)
	go func() {
		defer close(done)
		defer cancel()
		var firstErr error
		for g.running.Load() > 0 {
			err := <-g.results
			g.running.Add(-1)
			if err != nil && firstErr == nil {
				firstErr = err
				cancel()
			}
		}
		if firstErr != nil {
			done <- firstErr
		}
	}()
	return done
}

// Sleep waits for a duration, or until the context ends. It reports whether the
// whole duration has passed.
func Sleep(ctx context.Context, duration time.Duration) bool {
	if duration <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// -----------------------------------------------------------------------------
// Listeners.

// Listen binds a TCP address and returns the listener and the bound address. With
// port 0 the system chooses a free port.
func Listen(address netip.AddrPort) (net.Listener, netip.AddrPort, error) {
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
	if err != nil {
		return nil, netip.AddrPort{}, errors.Wrapf(err, "listen on %s", address)
	}
	bound, err := netip.ParseAddrPort(listener.Addr().String())
	if err != nil {
		return nil, netip.AddrPort{}, errors.Wrap(err, "read the bound address")
	}
	return listener, bound, nil
}

// ServeHTTP serves requests until the context ends, and then closes every
// connection.
func ServeHTTP(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve HTTP")
}

// readHeaderTimeout limits the time that a client may take to send the header of a
// request.
const readHeaderTimeout = 10 * time.Second
