package relay

import (
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/eelgrassfold/eelgrassfold/internal/edge/peer"
)

// Guards against frames that stay counted in the limit of a relay's bytes after a write of
// the link has failed: after some broken links the relay refused every statement.
func TestFramesOfBrokenLinkAreDropped(t *testing.T) {
	near, far := net.Pipe()
	accepted := make(chan error, 1)
	go func() {
		_, err := peer.AcceptChannel(t.Context(), far, protocol, "i2", []byte(testKey), testTimeout)
		accepted <- err
	}()
	channel, err := peer.DialChannel(t.Context(), near, protocol, "i1", []byte(testKey), testTimeout)
	if err != nil {
		t.Fatal(err)
	}
	if err := <-accepted; err != nil {
		t.Fatal(err)
	}
	_ = far.Close()
	b, written := newOutbox(), 0
	const frames = 5
	for range frames {
		// Larger than the buffer of the channel, so that the first write fails.
		b.push(&outgoing{content: make([]byte, 64<<10), written: func() { written++ }})
	}
	closed := make(chan struct{})
	ended := time.AfterFunc(testTimeout, func() { close(closed) })
	defer ended.Stop()
	if err := b.write(channel, closed); err == nil {
		t.Fatal("the write to a closed connection succeeded")
	}
	b.drop()
	if diff := cmp.Diff(frames, written); diff != "" {
		t.Errorf("frames given back: %s", diff)
	}
}
