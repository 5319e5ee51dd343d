package database

import (
	"bufio"
	"context"
	"net"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/standin/task"
)

const (
	// heartbeatInterval is the time between heartbeats on a stream.
	heartbeatInterval = 100 * time.Millisecond
	// streamTimeout is the silence after which a stream is lost.
	streamTimeout = 500 * time.Millisecond
	// followRetry is the time between tries to reach the primary.
	followRetry = 50 * time.Millisecond
)

// -----------------------------------------------------------------------------
// The primary's end.

// serveStream sends the log to one replica until the stream breaks, the
// replica is cut off, or this database is no longer primary.
func (d *Database) serveStream(ctx context.Context, conn net.Conn, reader *bufio.Reader) {
	if _, err := reader.Discard(len(streamMagic)); err != nil {
		return
	}
	var h hello
	if err := readFrame(reader, &h); err != nil || !d.awaitReplica(ctx, h) {
		return
	}
	w, ok := d.node.greet(h)
	if !ok || writeFrame(conn, w) != nil {
		return
	}
	for next := w.Common + 1; ; {
		changed := d.node.changes()
		entries, ok := d.node.entriesFrom(next, w.Term)
		if !ok || !d.awaitReplica(ctx, h) || writeFrame(conn, batch{Entries: entries}) != nil {
			return
		}
		next += uint64(len(entries))
		if !d.awaitEntries(ctx, changed, next, w) {
			return
		}
	}
}

// awaitReplica waits while the replica is cut off; it gives up when the
// replica has given up too.
func (d *Database) awaitReplica(ctx context.Context, h hello) bool {
	ctx, cancel := context.WithTimeout(ctx, streamTimeout)
	defer cancel()
	return d.faults.awaitReachable(ctx, h.Name, h.Zone)
}

// awaitEntries waits for entries from an offset on, for a change of the term,
// or for the next heartbeat. New entries wait for the shipping delay.
func (d *Database) awaitEntries(ctx context.Context, changed <-chan struct{}, next uint64, w welcome) bool {
	heartbeat := time.NewTimer(heartbeatInterval)
	defer heartbeat.Stop()
	for {
		entries, ok := d.node.entriesFrom(next, w.Term)
		if !ok {
			return false
		}
		if len(entries) > 0 {
			return task.Sleep(ctx, d.options.ShippingDelay)
		}
		select {
		case <-changed:
			changed = d.node.changes()
		case <-heartbeat.C:
			return true
		case <-ctx.Done():
			return false
		}
	}
}

// -----------------------------------------------------------------------------
// The replica's end.

// follow pulls the log from whatever primary is followed.
func (d *Database) follow(ctx context.Context) error {
	for ctx.Err() == nil {
		target, retarget := d.node.followed()
		if !target.address.IsValid() {
			select {
			case <-retarget:
			case <-ctx.Done():
			}
			continue
		}
		d.pull(ctx, target, retarget)
		d.node.endStream(retarget)
		task.Sleep(ctx, followRetry)
	}
	return nil
}

// pull follows one primary until the stream is lost or the target changes.
func (d *Database) pull(ctx context.Context, target target, retarget <-chan struct{}) {
	dialer := net.Dialer{Timeout: streamTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", target.address.String())
	if err != nil {
		return
	}
	closed := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		defer raw.Close() //nolint:errcheck // nothing is left to be lost
		select {
		case <-retarget:
		case <-closed:
		case <-ctx.Done():
		}
	}()
	conn := &gatedConn{Conn: raw, faults: d.faults, done: ctx.Done()}
	d.pullFrom(ctx, conn, retarget)
	close(closed)
	<-ended
}

func (d *Database) pullFrom(ctx context.Context, conn net.Conn, retarget <-chan struct{}) {
	if _, err := conn.Write([]byte(streamMagic)); err != nil {
		return
	}
	if err := writeFrame(conn, d.node.hello()); err != nil {
		return
	}
	var w welcome
	reader := bufio.NewReader(conn)
	if !d.hear(ctx, conn, reader, &w) || !d.awaitPrimary(ctx, w) {
		return
	}
	if !d.node.beginStream(retarget, w) {
		return
	}
	for {
		var b batch
		if !d.hear(ctx, conn, reader, &b) || !d.awaitPrimary(ctx, w) {
			return
		}
		if !d.node.receive(retarget, w, b.Entries, time.Now()) {
			return
		}
	}
}

// hear reads one frame, or reports false after the silence of a lost stream.
func (d *Database) hear(ctx context.Context, conn net.Conn, reader *bufio.Reader, frame any) bool {
	if ctx.Err() != nil || conn.SetReadDeadline(time.Now().Add(streamTimeout)) != nil {
		return false
	}
	return readFrame(reader, frame) == nil
}

// awaitPrimary holds back what came from a primary that is cut off, until the
// stream counts as lost.
func (d *Database) awaitPrimary(ctx context.Context, w welcome) bool {
	ctx, cancel := context.WithTimeout(ctx, streamTimeout)
	defer cancel()
	return d.faults.awaitReachable(ctx, w.Name, w.Zone)
}
