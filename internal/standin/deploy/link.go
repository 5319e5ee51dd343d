package deploy

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/eelgrassfold/eelgrassfold/internal/standin/task"
)

// LinkFault is a fault of a link. It concerns the connections that are open as well as
// new ones.
type LinkFault interface{ isLinkFault() }

// The variants of LinkFault.
type (
	// LinkUp is no fault: the link forwards everything at once.
	LinkUp struct{}
	// LinkReset is a fault: open connections are reset, and new ones as soon as they are accepted.
	LinkReset struct{}
	// LinkSilent is a fault: nothing arrives until the fault ends, as when packets are lost.
	LinkSilent struct{}
	// LinkOneWay is a fault: nothing arrives at the client until the fault ends.
	LinkOneWay struct{}
	// LinkSlow is a fault: everything arrives after Delay.
	LinkSlow struct{ Delay time.Duration }
)

func (LinkUp) isLinkFault()     {}
func (LinkReset) isLinkFault()  {}
func (LinkSilent) isLinkFault() {}
func (LinkOneWay) isLinkFault() {}
func (LinkSlow) isLinkFault()   {}

// linkBufferSize is the size of the buffer for each direction of a connection, in bytes.
const linkBufferSize = 32 << 10

// Link forwards connections from an address of its own to that of a process, and injects
// faults between them.
type Link struct {
	// Address is the address on which the link listens.
	Address netip.AddrPort

	target  netip.AddrPort
	cancel  context.CancelFunc
	done    <-chan error
	mu      sync.Mutex
	fault   LinkFault
	changed chan struct{}
	open    map[net.Conn]bool
}

// newLink returns a link to a target. It ends with Close.
func newLink(target netip.AddrPort) (*Link, error) {
	listener, address, err := task.Listen(netip.AddrPortFrom(loopback, 0))
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &Link{
		Address: address, target: target, cancel: cancel,
		fault: LinkUp{}, changed: make(chan struct{}), open: map[net.Conn]bool{},
	}
	group := task.NewGroup()
	group.Start(ctx, func(ctx context.Context) error { return l.accept(ctx, group, listener) })
	l.done = group.Supervise(cancel)
	return l, nil
}

// Close closes all connections and returns when the link's goroutines have ended.
func (l *Link) Close() error {
	l.cancel()
	l.closeConnections()
	return <-l.done
}

// Set replaces the fault of the link.
func (l *Link) Set(fault LinkFault) {
	l.mu.Lock()
	l.fault = fault
	close(l.changed)
	l.changed = make(chan struct{})
	l.mu.Unlock()
	if fault == (LinkReset{}) {
		l.closeConnections()
	}
}

// current returns the fault in force, and a channel that is closed when it changes.
func (l *Link) current() (LinkFault, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fault, l.changed
}

// closeConnections resets all open connections: what they have not delivered is lost.
func (l *Link) closeConnections() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.open {
		reset(conn)
	}
}

func reset(conn net.Conn) {
	if tcp, is := conn.(*net.TCPConn); is {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// accept accepts connections until the context ends.
func (l *Link) accept(ctx context.Context, group *task.Group, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		switch {
		case ctx.Err() != nil:
			if err == nil {
				reset(conn)
			}
			return nil
		case err != nil:
			return errors.Wrap(err, "accept")
		}
		group.Start(ctx, func(ctx context.Context) error {
			l.serve(ctx, conn)
			return nil
		})
	}
}

// serve forwards one connection until one of its sides closes it.
func (l *Link) serve(ctx context.Context, client net.Conn) {
	defer l.track(client)()
	if fault, _ := l.current(); fault == (LinkReset{}) || !l.pass(ctx, false) {
		return
	}
	var dialer net.Dialer
	server, err := dialer.DialContext(ctx, "tcp", l.target.String())
	if err != nil {
		return
	}
	defer l.track(server)()
	done := make(chan struct{}, 2)
	forward := func(from, to net.Conn, toClient bool) {
		defer func() { done <- struct{}{} }()
		buffer := make([]byte, linkBufferSize)
		for {
			n, err := from.Read(buffer)
			if n > 0 && !l.pass(ctx, toClient) {
				return
			}
			if n > 0 {
				if _, err := to.Write(buffer[:n]); err != nil {
					return
				}
			}
			if err != nil {
				return
			}
		}
	}
	go forward(client, server, false)
	go forward(server, client, true)
	// After the end of one direction, the other one ends with its connection: the
	// processes of a deployment close a connection in both directions.
	<-done
	_ = client.Close()
	_ = server.Close()
	<-done
}

// track adds a connection to the open ones. The returned function closes and removes it.
func (l *Link) track(conn net.Conn) func() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[conn] = true
	return func() {
		_ = conn.Close()
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.open, conn)
	}
}

// pass waits until the fault in force lets data pass in a direction, and reports whether
// it does before the context ends.
func (l *Link) pass(ctx context.Context, toClient bool) bool {
	for {
		fault, changed := l.current()
		switch fault := fault.(type) {
		case LinkUp, LinkReset:
			return true
		case LinkSlow:
			return task.Sleep(ctx, fault.Delay)
		case LinkOneWay:
			if !toClient {
				return true
			}
		case LinkSilent:
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}
