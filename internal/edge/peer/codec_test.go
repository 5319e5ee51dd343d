package peer

import (
	"bytes"
	"encoding/hex"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"github.com/eelgrassfold/eelgrassfold/internal/core/lease"
	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

var update = flag.Bool("update", false, "rewrite the golden files")

var compareOptions = cmp.Options{
	cmpopts.EquateEmpty(),
	cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b }),
	cmpopts.IgnoreUnexported(message.GossipState{}, message.GroupGossip{}, lease.GroupRow{}, lease.CoordinatorLease{}),
	cmpopts.IgnoreUnexported(message.TokenRequest{}, message.TokenGrant{}),
}

// samples contains one message of each type.
var samples = []message.PeerMessage{
	message.Heartbeat{
		Instance: "i1", Zone: "lanier", PeerAddress: netip.MustParseAddrPort("10.0.0.1:7000"), Sequence: 300,
		Manifest: 4, Leaving: true,
		Known: []message.KnownPeer{{Instance: "i2", PeerAddress: netip.MustParseAddrPort("[fd00::2]:7000")}},
	},
	message.ManifestOffer{Number: 5, Digest: "sum", Body: []byte("body")},
	message.ManifestRequest{NewerThan: 4},
	message.GroupUpdate{Group: "ratings", Row: []byte("row"), Record: []byte("rec")},
	message.DatabaseLeaving{Database: "ratings-a", Leaving: true},
	message.LeaseRequest{
		Group: "ratings", Sequence: 9, LastGrantSeen: 8,
		Demands: []message.SlotDemand{
			{Databases: []model.DatabaseID{"ratings-a", "ratings-b"}, Rank: 1, PastTarget: true, Waiting: 3, TimeToDeadline: -time.Second},
		},
		HeldLeases: []message.HeldLease{{ID: 70, Database: "ratings-a", Rank: 1}},
		Limits:     []message.SlotLimit{{Database: "ratings-b", Slots: 1}},
	},
	message.LeaseGrant{
		Group: "ratings", Sequence: 9, LastRequestSeen: 7, ValidFor: time.Second,
		Leases: []message.Lease{{ID: 70, Database: "ratings-a", Rank: 1, Recalled: true}},
	},
	message.GossipState{
		Instance: "front-1", Zone: "lanier", PeerAddress: netip.MustParseAddrPort("10.0.0.1:7000"),
		SenderClock: 9 * time.Second, EchoedClock: 8 * time.Second, StoreReachable: true, ConfigurationVersion: 4, DatabasesVersion: 12,
		ViewVersion: 13, ViewAge: 300 * time.Millisecond, CoordinatorLease: lease.CoordinatorLease{Holder: "front-1-ab", HolderName: "front-1", FencingToken: 2, Version: 11},
		HolderAlive: true,
		Groups: []message.GroupGossip{{
			Group: "ratings", Row: lease.GroupRow{Epoch: 3, Phase: lease.PhaseChanging, Primary: "ratings-a", Term: 2, Coordinator: "front-1-ab"},
			UnansweredFor: time.Second, SampledPosition: model.Position{Term: 2, Offset: 70}, SampleAge: time.Millisecond,
		}},
	},
	message.DatabasesOffer{Version: 12, Entries: []message.DatabaseEntry{{Key: "ratings-a", Value: []byte("entry"), Version: 11}}},
	message.DatabasesRequest{NewerThan: 11},
	message.GossipStateRequest{SenderClock: 9 * time.Second},
	message.PrimarySurveyRequest{Group: "ratings", SenderClock: 9 * time.Second},
	message.PrimarySurveyResponse{Group: "ratings", SenderClock: 9 * time.Second, Primary: "ratings-a", Confirmed: true},
	message.TokenRequest{Tenant: "club", Sequence: 300, Want: 3, Relay: true},
	message.TokenGrant{Sequence: 300, Tokens: 2, Next: 40 * time.Millisecond},
}

func TestBytesOfEachMessage(t *testing.T) {
	if diff := cmp.Diff(len(messageTypes), len(samples)); diff != "" {
		t.Errorf("number of samples: %s", diff)
	}
	var got strings.Builder
	for _, m := range samples {
		content, err := encodeMessage(m, messageLevel)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&got, "%s %s\n", messageTypeOf(m).name, hex.EncodeToString(content))
	}
	const path = "testdata/messages.golden"
	if *update {
		if err := os.WriteFile(path, []byte(got.String()), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), got.String()); diff != "" {
		t.Errorf("changed bytes must stay readable by this protocol version, or the version must change: %s", diff)
	}
}

// A message above the threshold is compressed. Compressed content is rejected if
// its decompressed size exceeds a frame, or if it is not a valid message.
func TestCompressedMessages(t *testing.T) {
	large := message.ManifestOffer{Number: 4, Body: bytes.Repeat([]byte("route lookups 1500 ms; "), 1000)}
	content, err := encodeMessage(large, messageLevel)
	if err != nil {
		t.Fatal(err)
	}
	if len(content) > len(large.Body)/10 {
		t.Errorf("encoded size is %d bytes for a body of %d", len(content), len(large.Body))
	}
	decoded, err := decodeMessage(content)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(message.PeerMessage(large), decoded); diff != "" {
		t.Error(diff)
	}
	for name, body := range map[string][]byte{
		"decompresses beyond a frame": make([]byte, maxFrame+1),
		"is empty":                    nil,
		"is compressed twice":         content,
	} {
		compressed, err := compress(body)
		if err != nil {
			t.Fatal(err)
		}
		if m, err := decodeMessage(compressed); err == nil {
			t.Errorf("%s: decoded as %v", name, m)
		}
	}
	if m, err := decodeMessage([]byte{compressedNumber, 0xff, 0xff}); err == nil {
		t.Errorf("invalid compressed content: decoded as %v", m)
	}
}

func TestRoundTrip(t *testing.T) {
	address := rapid.Custom(func(t *rapid.T) netip.AddrPort {
		size := rapid.SampledFrom([]int{4, 16}).Draw(t, "size")
		ip, _ := netip.AddrFromSlice(rapid.SliceOfN(rapid.Byte(), size, size).Draw(t, "ip"))
		return netip.AddrPortFrom(ip, rapid.Uint16().Draw(t, "port"))
	})
	generators := []*rapid.Generator[message.PeerMessage]{
		asMessage(rapid.Make[message.ManifestOffer]()),
		asMessage(rapid.Make[message.ManifestRequest]()),
		asMessage(rapid.Make[message.GroupUpdate]()),
		asMessage(rapid.Make[message.DatabaseLeaving]()),
		asMessage(rapid.Make[message.LeaseRequest]()),
		asMessage(rapid.Make[message.LeaseGrant]()),
		asMessage(rapid.Make[message.DatabasesOffer]()),
		asMessage(rapid.Make[message.DatabasesRequest]()),
		asMessage(rapid.Make[message.GossipStateRequest]()),
		asMessage(rapid.Make[message.PrimarySurveyRequest]()),
		asMessage(rapid.Make[message.PrimarySurveyResponse]()),
		asMessage(rapid.Custom(func(t *rapid.T) message.GossipState {
			groupGossip := rapid.Custom(func(t *rapid.T) message.GroupGossip {
				return message.GroupGossip{
					Group: model.GroupID(rapid.String().Draw(t, "group")),
					Row: lease.GroupRow{
						Epoch: rapid.Uint64().Draw(t, "epoch"), Phase: lease.Phase(rapid.IntRange(0, 1).Draw(t, "phase")),
						Primary: model.DatabaseID(rapid.String().Draw(t, "primary")), Version: rapid.Uint64().Draw(t, "version"),
					},
					UnansweredFor:   time.Duration(rapid.Int64().Draw(t, "unanswered for")),
					SampledPosition: rapid.Make[model.Position]().Draw(t, "sampled position"),
					SampleAge:       time.Duration(rapid.Int64().Draw(t, "age")),
				}
			})
			return message.GossipState{
				Instance: model.InstanceID(rapid.String().Draw(t, "name")), PeerAddress: address.Draw(t, "peer"),
				SenderClock: time.Duration(rapid.Int64().Draw(t, "sender clock")), EchoedClock: time.Duration(rapid.Int64().Draw(t, "echoed clock")),
				ViewVersion: rapid.Uint64().Draw(t, "view"), ViewAge: time.Duration(rapid.Int64().Draw(t, "age")),
				CoordinatorLease: lease.CoordinatorLease{Holder: model.InstanceID(rapid.String().Draw(t, "holder")), FencingToken: rapid.Uint64().Draw(t, "token")},
				Groups:           rapid.SliceOf(groupGossip).Draw(t, "groups"),
			}
		})),
		asMessage(rapid.Custom(func(t *rapid.T) message.TokenRequest {
			return message.TokenRequest{
				Tenant: model.TenantID(rapid.String().Draw(t, "tenant")), Sequence: rapid.Uint64().Draw(t, "sequence"),
				Want: rapid.Int().Draw(t, "want"), Relay: rapid.Bool().Draw(t, "relay"),
			}
		})),
		asMessage(rapid.Custom(func(t *rapid.T) message.TokenGrant {
			return message.TokenGrant{
				Sequence: rapid.Uint64().Draw(t, "sequence"), Tokens: rapid.Int().Draw(t, "tokens"),
				Next: time.Duration(rapid.Int64().Draw(t, "next")),
			}
		})),
		asMessage(rapid.Custom(func(t *rapid.T) message.Heartbeat {
			known := rapid.SliceOf(rapid.Custom(func(t *rapid.T) message.KnownPeer {
				return message.KnownPeer{Instance: model.InstanceID(rapid.String().Draw(t, "id")), PeerAddress: address.Draw(t, "peer")}
			}))
			return message.Heartbeat{
				Instance: model.InstanceID(rapid.String().Draw(t, "id")), Zone: model.ZoneID(rapid.String().Draw(t, "zone")),
				PeerAddress: address.Draw(t, "peer"), Sequence: rapid.Uint64().Draw(t, "seq"),
				Manifest: rapid.Uint64().Draw(t, "man"), Leaving: rapid.Bool().Draw(t, "leave"), Known: known.Draw(t, "known"),
			}
		})),
	}
	if diff := cmp.Diff(len(messageTypes), len(generators)); diff != "" {
		t.Errorf("number of generators: %s", diff)
	}
	rapid.Check(t, func(t *rapid.T) {
		want := rapid.OneOf(generators...).Draw(t, "message")
		content, err := encodeMessage(want, messageLevel)
		if err != nil {
			t.Fatal(err)
		}
		got, err := decodeMessage(content)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, got, compareOptions); diff != "" {
			t.Error(diff)
		}
	})
}

func asMessage[M message.PeerMessage](g *rapid.Generator[M]) *rapid.Generator[message.PeerMessage] {
	return rapid.Map(g, func(m M) message.PeerMessage { return m })
}

// Arbitrary bytes, authenticated or not, are decoded or rejected with an error and
// cause no panic. A decoded message is equal after it is encoded and decoded again.
func FuzzReadFrames(f *testing.F) {
	key := []byte("0123456789abcdef")
	for _, m := range samples {
		content, err := encodeMessage(m, messageLevel)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(content, true)
		f.Add(content[:len(content)-1], true)
		f.Add(content, false)
	}
	f.Add([]byte{0, 0, 0, 1, 0}, false)
	f.Add([]byte{0xff, 0xff, 0xff, 0xff}, false)
	f.Add([]byte{1, 0xdd, 0xff, 0xff, 0xff, 0xff}, true)
	f.Fuzz(func(t *testing.T, content []byte, sealed bool) {
		stream := string(content)
		if sealed {
			frame, err := (&sealer{key: key, limit: maxFrame}).seal(content)
			if err != nil {
				return
			}
			var out strings.Builder
			if err := writeFrame(&out, frame); err != nil {
				t.Fatal(err)
			}
			stream = out.String()
		}
		m, err := readMessage(strings.NewReader(stream), key)
		if err != nil || m == nil {
			return
		}
		reencoded, err := encodeMessage(m, messageLevel)
		if err != nil {
			t.Fatal(err)
		}
		got, err := decodeMessage(reencoded)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(m, got, compareOptions); diff != "" {
			t.Error(diff)
		}
	})
}

func readMessage(r *strings.Reader, key []byte) (message.PeerMessage, error) {
	frame, err := readFrame(r, maxFrame)
	if err != nil {
		return nil, err
	}
	content, err := (&opener{key: key}).open(frame)
	if err != nil {
		return nil, err
	}
	return decodeMessage(content)
}

// BenchmarkFrame measures the encoding, authentication and decoding of each message
// without the network, and its size on the wire.
func BenchmarkFrame(b *testing.B) {
	for _, m := range samples {
		b.Run(messageTypeOf(m).name, func(b *testing.B) {
			frameSealer, frameOpener := sealer{key: testKey, limit: maxFrame}, opener{key: testKey}
			size := 0
			b.ReportAllocs()
			for b.Loop() {
				content, _ := encodeMessage(m, messageLevel)
				frame, _ := frameSealer.seal(content)
				size = lengthSize + len(frame)
				opened, _ := frameOpener.open(frame)
				if _, err := decodeMessage(opened); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(size), "wire-bytes")
		})
	}
}

// -----------------------------------------------------------------------------
// Queues.

func TestQueueDropsTheOldestReplaceable(t *testing.T) {
	heartbeat := func(sequence uint64) message.PeerMessage { return message.Heartbeat{Sequence: sequence} }
	groupUpdate := message.PeerMessage(message.GroupUpdate{Group: "ratings"})
	cases := []struct {
		name string
		// oldest is at the head of a queue that is filled up with group updates.
		oldest, pushed, dropped message.PeerMessage
	}{
		{"heartbeat is dropped", heartbeat(1), groupUpdate, heartbeat(1)},
		{"lease request is dropped", message.LeaseRequest{Sequence: 1}, heartbeat(2), message.LeaseRequest{Sequence: 1}},
		{"lease grant is dropped", message.LeaseGrant{Sequence: 1}, heartbeat(2), message.LeaseGrant{Sequence: 1}},
		{"pushed message is dropped", groupUpdate, message.ManifestRequest{NewerThan: 1}, message.ManifestRequest{NewerThan: 1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			q := newQueue()
			q.push(c.oldest)
			for range maxQueuedMessages - 1 {
				if _, full := q.push(groupUpdate); full {
					t.Fatal("queue is full below its limit")
				}
			}
			dropped, full := q.push(c.pushed)
			if diff := cmp.Diff(true, full); diff != "" {
				t.Error(diff)
			}
			if diff := cmp.Diff(c.dropped, dropped, compareOptions); diff != "" {
				t.Error(diff)
			}
			if diff := cmp.Diff(maxQueuedMessages, len(q.messages)); diff != "" {
				t.Error(diff)
			}
		})
	}
}
