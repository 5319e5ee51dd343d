package peer

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// BenchmarkHeartbeat measures the cost of a heartbeat for both ends together: its
// encoding, authentication and decoding, without the network.
func BenchmarkHeartbeat(b *testing.B) {
	heartbeat := message.Heartbeat{
		Instance: "lanier-1017", Zone: "lanier", PeerAddress: netip.MustParseAddrPort("10.0.4.17:7400"),
		Sequence: 1 << 20, Manifest: 1 << 16,
	}
	for i := range 8 {
		heartbeat.Known = append(heartbeat.Known, message.KnownPeer{
			Instance: model.InstanceID(fmt.Sprintf("savannah-%d", 1000+i)), PeerAddress: heartbeat.PeerAddress,
		})
	}
	frameSealer, frameOpener := sealer{key: make([]byte, 32), limit: maxFrame}, opener{key: make([]byte, 32)}
	size := 0
	b.ReportAllocs()
	for range b.N {
		body, err := encodeMessage(heartbeat, messageLevel)
		if err != nil {
			b.Fatal(err)
		}
		frame, err := frameSealer.seal(body)
		if err != nil {
			b.Fatal(err)
		}
		content, err := frameOpener.open(frame)
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
