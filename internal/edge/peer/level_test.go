package peer

import (
	"net/netip"
	"reflect"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/eelgrassfold/eelgrassfold/internal/core/lease"
	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// earlierGossipState is message.GossipState of an earlier build, which refuses an array of
// another length.
type earlierGossipState struct {
	_msgpack                               struct{} `msgpack:",as_array"` //nolint:unused // The codec reads the tag.
	Instance                               model.InstanceID
	Zone                                   model.ZoneID
	PeerAddress                            netip.AddrPort
	SenderClock, EchoedClock               time.Duration
	ReceiverIsMember                       bool
	Leaving, StoreReachable                bool
	ConfigurationVersion, DatabasesVersion uint64
	ViewVersion                            uint64
	ViewAge                                time.Duration
	CoordinatorLease                       lease.CoordinatorLease
	HolderAlive                            bool
	Groups                                 []message.GroupGossip
	ConfigurationAge, DatabasesAge         time.Duration
	ZoneSize, FleetSize                    int
	MinViewVersion, MinViewMembersHash     uint64
}

// sampleGossip returns the GossipState of samples.
func sampleGossip() message.GossipState {
	for _, m := range samples {
		if state, isGossip := m.(message.GossipState); isGossip {
			state.MinViewMembersHash, state.MembersVersion = 1<<63, 13
			return state
		}
	}
	return message.GossipState{}
}

// Guards against a restart of one instance after the other with a newer build: an earlier
// build must read the gossip of a newer one, and a newer one that of an earlier one.
func TestGossipWithEarlierBuild(t *testing.T) {
	state := sampleGossip()
	content, err := encodeMessage(state, 0)
	if err != nil {
		t.Fatal(err)
	}
	var earlier earlierGossipState
	if err := msgpack.Unmarshal(content[1:], &earlier); err != nil {
		t.Fatalf("an earlier build does not read the message: %v", err)
	}
	if diff := cmp.Diff(state.MinViewMembersHash, earlier.MinViewMembersHash); diff != "" {
		t.Error(diff)
	}
	body, err := msgpack.Marshal(&earlier)
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := decodeMessage(append(content[:1:1], body...))
	if err != nil {
		t.Fatalf("the message of an earlier build is not read: %v", err)
	}
	state.MembersVersion = 0
	if diff := cmp.Diff(message.PeerMessage(state), decoded, compareOptions); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(gossipFields, reflect.TypeOf(earlier).NumField()-1); diff != "" {
		t.Error(diff)
	}
}

// A later build may have added fields; those of this build are read.
func TestGossipWithLaterBuild(t *testing.T) {
	state := sampleGossip()
	content, err := encodeMessage(state, messageLevel)
	if err != nil {
		t.Fatal(err)
	}
	count := len(exportedFields(reflect.ValueOf(state)))
	longer := append([]byte{content[0], 0xdc, 0, byte(count + 1)}, content[4:]...)
	decoded, err := decodeMessage(append(longer, 0xc3))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(message.PeerMessage(state), decoded, compareOptions); diff != "" {
		t.Error(diff)
	}
}

// An earlier build names no level in its hello.
func TestHelloOfEarlierBuild(t *testing.T) {
	body, err := msgpack.Marshal(struct {
		Instance model.InstanceID `msgpack:"id"`
		Nonce    []byte           `msgpack:"nonce"`
	}{"i1", make([]byte, nonceSize)})
	if err != nil {
		t.Fatal(err)
	}
	got, err := readHello(linkProtocol, append([]byte{0, byte(protocolVersion)}, body...))
	if err != nil || got.Level != 0 {
		t.Errorf("level %d, error %v", got.Level, err)
	}
}
