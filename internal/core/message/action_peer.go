package message

import (
	"net/netip"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// SendPeer sends a message to a peer. It may be lost; nothing depends on its
// arrival.
type SendPeer struct {
	To   model.InstanceID
	Body PeerMessage
}

// SetPeers tells the peer edge which links to keep. It replaces what was told
// before. An entry without an Instance is a seed of the settings, whose name
// is learnt when the link stands.
type SetPeers struct{ Peers []PeerTarget }

// PeerTarget is one link of SetPeers.
type PeerTarget struct {
	Instance model.InstanceID
	Address  netip.AddrPort
}

func (SendPeer) isAction() {}
func (SetPeers) isAction() {}
