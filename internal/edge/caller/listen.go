package caller

import (
	"context"
	"net"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

// acceptPause is the pause after a failed accept, such as for want of file
// descriptors.
const acceptPause = 50 * time.Millisecond

const (
	// keepaliveIdle, keepaliveInterval and keepaliveCount set the TCP
	// keepalive towards callers.
	keepaliveIdle     = 30 * time.Second
	keepaliveInterval = 5 * time.Second
	keepaliveCount    = 3
)

// Start listens and serves until ctx ends, or until it is drained and the last
// session has ended. It closes the channel then.
func (e *Server) Start(ctx context.Context) (<-chan error, error) {
	err := e.options.check()
	if err != nil {
		return nil, err
	}
	config := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{
		Enable:   true,
		Idle:     keepaliveIdle,
		Interval: keepaliveInterval,
		Count:    keepaliveCount,
	}}
	e.listener, err = config.Listen(ctx, "tcp", e.options.ListenAddress.String())
	if err != nil {
		return nil, err
	}
	ended := make(chan error, 1)
	stop := context.AfterFunc(ctx, e.wakeAll)
	go func() {
		defer close(ended)
		e.accept(ctx)
		e.running.Wait()
		stop()
		e.note(event.CallersGone)
	}()
	return ended, nil
}

func (e *Server) accept(ctx context.Context) {
	for {
		conn, err := e.listener.Accept()
		if err == nil {
			ended := e.background()
			go func() {
				defer ended()
				e.serve(ctx, conn)
			}()
			continue
		}
		if ctx.Err() != nil || e.draining.Load() {
			return
		}
		e.note(event.AcceptFailed, "reason", err.Error())
		select {
		case <-ctx.Done():
			return
		case <-time.After(acceptPause):
		}
	}
}
