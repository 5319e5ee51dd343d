package database

import (
	"bufio"
	"context"
	"net"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/standin/task"
)

const (
	// heartbeatInterval is the time between heartbeats on a stream. A heartbeat is an
	// empty batch.
	heartbeatInterval = 100 * time.Millisecond
	// streamTimeout is the time without a frame after which a stream counts as broken.
	streamTimeout = 500 * time.Millisecond
	// followRetryInterval is the time between attempts to connect to the primary.
	followRetryInterval = 50 * time.Millisecond
)

// -----------------------------------------------------------------------------
// Primary side.

// serveStream sends the log to one replica until the stream breaks, the replica
// is isolated for streamTimeout, or this database is no longer primary.
func (d *Database) serveStream(ctx context.Context, conn net.Conn, reader *bufio.Reader) {
	if _, err := reader.Discard(len(streamMagic)); err != nil {
		return
	}
	var startup streamStartup
	if err := readFrame(reader, &startup); err != nil || !d.awaitReplica(ctx, startup) {
		return
	}
	ready, ok := d.node.acceptReplica(startup)
	if !ok || writeFrame(conn, ready) != nil {
		return
	}
	for next := ready.Common + 1; ; {
		changed := d.node.changeSignal()
		entries, ok := d.node.entriesFrom(next, ready.Term)
		if !ok || !d.awaitReplica(ctx, startup) || writeFrame(conn, batch{Entries: entries}) != nil {
			return
		}
		next += uint64(len(entries))
		if !d.awaitEntries(ctx, changed, next, ready) {
			return
		}
	}
}

// awaitReplica blocks while the replica is isolated, for at most streamTimeout,
// after which the replica has closed the stream too. It reports whether the
// replica is reachable.
func (d *Database) awaitReplica(ctx context.Context, startup streamStartup) bool {
	ctx, cancel := context.WithTimeout(ctx, streamTimeout)
	defer cancel()
	return d.faults.awaitReachable(ctx, startup.Name, startup.Zone)
}

// awaitEntries returns when there are entries from offset next on, after the
// shipping delay, or when the next heartbeat is due. It returns false if the
// stream must end, because the database is no longer primary of the term or the
// context has ended.
func (d *Database) awaitEntries(ctx context.Context, changed <-chan struct{}, next uint64, ready streamReady) bool {
	heartbeat := time.NewTimer(heartbeatInterval)
	defer heartbeat.Stop()
	for {
		entries, ok := d.node.entriesFrom(next, ready.Term)
		if !ok {
			return false
		}
		if len(entries) > 0 {
			return task.Sleep(ctx, d.options.ShippingDelay)
		}
		select {
		case <-changed:
			changed = d.node.changeSignal()
		case <-heartbeat.C:
			return true
		case <-ctx.Done():
			return false
		}
	}
}

// -----------------------------------------------------------------------------
// Replica side.

// follow pulls the log from the current source until the context ends. The channel
// sourceChanged also identifies the source: the node has a new channel after each
// change, so that it ignores a stream that was started with an older one.
func (d *Database) follow(ctx context.Context) error {
	for ctx.Err() == nil {
		source, sourceChanged := d.node.currentSource()
		if !source.address.IsValid() {
			select {
			case <-sourceChanged:
			case <-ctx.Done():
			}
			continue
		}
		d.pull(ctx, source, sourceChanged)
		d.node.endStream(sourceChanged)
		task.Sleep(ctx, followRetryInterval)
	}
	return nil
}

// pull receives the log from one source until the stream breaks or the source
// changes.
func (d *Database) pull(ctx context.Context, source streamSource, sourceChanged <-chan struct{}) {
	dialer := net.Dialer{Timeout: streamTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", source.address.String())
	if err != nil {
		return
	}
	streamEnded := make(chan struct{})
	connClosed := make(chan struct{})
	go func() {
		defer close(connClosed)
		defer raw.Close() //nolint:errcheck // the connection is no longer used
		select {
		case <-sourceChanged:
		case <-streamEnded:
		case <-ctx.Done():
		}
	}()
	conn := &faultConn{Conn: raw, faults: d.faults, done: ctx.Done()}
	d.receiveStream(ctx, conn, sourceChanged)
	close(streamEnded)
	<-connClosed
}

// receiveStream receives the log on an open connection to a primary.
func (d *Database) receiveStream(ctx context.Context, conn net.Conn, sourceChanged <-chan struct{}) {
	if _, err := conn.Write([]byte(streamMagic)); err != nil {
		return
	}
	if err := writeFrame(conn, d.node.startupMessage()); err != nil {
		return
	}
	var ready streamReady
	reader := bufio.NewReader(conn)
	if !d.receiveFrame(ctx, conn, reader, &ready) || !d.awaitPrimary(ctx, ready) {
		return
	}
	if !d.node.beginStream(sourceChanged, ready) {
		return
	}
	for {
		var b batch
		if !d.receiveFrame(ctx, conn, reader, &b) || !d.awaitPrimary(ctx, ready) {
			return
		}
		if !d.node.receive(sourceChanged, ready, b.Entries, time.Now()) {
			return
		}
	}
}

// receiveFrame reads one frame. It returns false if the stream breaks or no
// frame arrives within streamTimeout.
func (d *Database) receiveFrame(ctx context.Context, conn net.Conn, reader *bufio.Reader, frame any) bool {
	if ctx.Err() != nil || conn.SetReadDeadline(time.Now().Add(streamTimeout)) != nil {
		return false
	}
	return readFrame(reader, frame) == nil
}

// awaitPrimary delays what was received from an isolated primary, for at most
// streamTimeout, after which the stream counts as broken. It reports whether
// the primary is reachable.
func (d *Database) awaitPrimary(ctx context.Context, ready streamReady) bool {
	ctx, cancel := context.WithTimeout(ctx, streamTimeout)
	defer cancel()
	return d.faults.awaitReachable(ctx, ready.Name, ready.Zone)
}
