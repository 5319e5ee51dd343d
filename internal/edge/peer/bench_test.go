package peer

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// BenchmarkHeartbeat measures what a heartbeat costs both ends together: its
// encoding, authentication and decoding, without the network.
func BenchmarkHeartbeat(b *testing.B) {
	beat := message.Heartbeat{
		Instance: "lanier-1017", Zone: "lanier", PeerAddress: netip.MustParseAddrPort("10.0.4.17:7400"),
		Sequence: 1 << 20, Manifest: 1 << 16,
	}
	for i := range 8 {
		beat.Known = append(beat.Known, message.KnownPeer{
			Instance: model.InstanceID(fmt.Sprintf("savannah-%d", 1000+i)), PeerAddress: beat.PeerAddress,
		})
	}
	send, receive := sealer{key: make([]byte, 32)}, opener{key: make([]byte, 32)}
	size := 0
	b.ReportAllocs()
	for range b.N {
		body, err := encodeMessage(beat)
		if err != nil {
			b.Fatal(err)
		}
		frame, err := send.seal(body)
		if err != nil {
			b.Fatal(err)
		}
		content, err := receive.open(frame)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := decodeMessage(content); err != nil {
			b.Fatal(err)
		}
		size = lengthSize + len(frame)
	}
	b.ReportMetric(float64(size), "bytes")
}
