package message

import (
	"net/netip"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// SendPeer sends a message to a peer. Delivery is not guaranteed, and correctness does
// not depend on it.
type SendPeer struct {
	To   model.InstanceID
	Body PeerMessage
}

// SetPeers gives the peer adapter the list of links to maintain. It replaces the
// previous list. An entry without an Instance, such as a seed address from the
// settings, has an Address only; the peer's ID becomes known when the link is
// established.
type SetPeers struct{ Peers []PeerTarget }

// PeerTarget is one link of SetPeers.
type PeerTarget struct {
	Instance model.InstanceID
	Address  netip.AddrPort
}

func (SendPeer) isAction() {}
func (SetPeers) isAction() {}
