package relay

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/edge/peer"
)

const (
	// maxQueuedFrames and maxQueuedBytes bound what waits to be written to one link.
	maxQueuedFrames = 1024
	maxQueuedBytes  = 16 << 20
	// writeTimeout is how long the other end may take no data.
	writeTimeout = 2 * time.Second
)

// outgoing is a frame in an outbox. It is claimed once: by the writer, which then sends
// it, or by the one who has queued it, so that it is never sent.
type outgoing struct {
	content []byte
	claimed atomic.Bool
	// written, if set, is called once the frame has been written or dropped.
	written func()
}

// claim returns true to the first who calls it.
func (o *outgoing) claim() bool { return o.claimed.CompareAndSwap(false, true) }

// outbox holds the frames to be written to one link.
type outbox struct {
	// wake has a capacity of one and receives a value when a frame is queued.
	wake chan struct{}

	mu     sync.Mutex
	queued []*outgoing
	// frames and bytes count what was queued and is not written or dropped yet.
	frames, bytes int
}

func newOutbox() *outbox { return &outbox{wake: make(chan struct{}, 1)} }

// push queues a frame. It returns false if the outbox is full.
func (b *outbox) push(frame *outgoing) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.frames >= maxQueuedFrames || b.bytes+len(frame.content) > maxQueuedBytes {
		return false
	}
	b.queued = append(b.queued, frame)
	b.frames++
	b.bytes += len(frame.content)
	select {
	case b.wake <- struct{}{}:
	default:
	}
	return true
}

// take removes and returns all queued frames. They count until release is called for each.
func (b *outbox) take() []*outgoing {
	b.mu.Lock()
	defer b.mu.Unlock()
	queued := b.queued
	b.queued = nil
	return queued
}

// putBack queues frames again that were taken and not written.
func (b *outbox) putBack(frames []*outgoing) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queued = append(slices.Clone(frames), b.queued...)
}

// release stops counting a frame that was taken.
func (b *outbox) release(frame *outgoing) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.frames--
	b.bytes -= len(frame.content)
}

// write writes the queued frames to a channel until closed is closed or a write fails,
// whose error it returns.
func (b *outbox) write(channel *peer.Channel, closed <-chan struct{}) error {
	for {
		taken := b.take()
		for i, frame := range taken {
			if !frame.claim() {
				b.release(frame)
				continue
			}
			err := channel.Write(frame.content, writeTimeout)
			b.release(frame)
			if frame.written != nil {
				frame.written()
			}
			if err != nil {
				b.putBack(taken[i+1:])
				return err
			}
		}
		if err := channel.Flush(); err != nil {
			return err
		}
		select {
		case <-closed:
			return &LinkClosedError{}
		case <-b.wake:
		}
	}
}

// drop calls the written function of the frames that are left.
func (b *outbox) drop() {
	for _, frame := range b.take() {
		if frame.claim() && frame.written != nil {
			frame.written()
		}
	}
}
