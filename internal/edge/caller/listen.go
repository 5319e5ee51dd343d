package caller

import (
	"context"
	"net"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

// acceptPause is the pause after a failed accept, which may be due to a lack of
// file descriptors.
const acceptPause = 50 * time.Millisecond

const (
	// keepaliveIdle, keepaliveInterval and keepaliveCount configure the TCP
	// keepalive of callers' connections.
	keepaliveIdle     = 30 * time.Second
	keepaliveInterval = 5 * time.Second
	keepaliveCount    = 3
)

// Start listens and serves until ctx ends, or until the server is drained and
// the last session has ended. The returned channel is closed then.
func (srv *Server) Start(ctx context.Context) (<-chan error, error) {
	err := srv.options.validate()
	if err != nil {
		return nil, err
	}
	config := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{
		Enable:   true,
		Idle:     keepaliveIdle,
		Interval: keepaliveInterval,
		Count:    keepaliveCount,
	}}
	srv.listener, err = config.Listen(ctx, "tcp", srv.options.ListenAddress.String())
	if err != nil {
		return nil, err
	}
	stopped := make(chan error, 1)
	stop := context.AfterFunc(ctx, srv.wakeAll)
	go func() {
		defer close(stopped)
		srv.accept(ctx)
		srv.goroutines.Wait()
		stop()
		srv.logEvent(event.CallersGone)
	}()
	return stopped, nil
}

func (srv *Server) accept(ctx context.Context) {
	for {
		conn, err := srv.listener.Accept()
		if err == nil {
			srv.startServing(ctx, conn)
			continue
		}
		if ctx.Err() != nil || srv.draining.Load() {
			return
		}
		srv.logEvent(event.AcceptFailed, "reason", err.Error())
		select {
		case <-ctx.Done():
			return
		case <-time.After(acceptPause):
		}
	}
}

// startServing serves a connection in a goroutine of its own, or closes it if there are too
// many.
func (srv *Server) startServing(ctx context.Context, conn net.Conn) {
	account := srv.limits.Open(ctx, conn)
	if account == nil {
		_ = conn.Close()
		return
	}
	done := srv.trackGoroutine()
	go func() {
		defer done()
		defer account.Close()
		srv.serve(ctx, conn, account)
	}()
}
