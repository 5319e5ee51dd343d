package message

import (
	"net/netip"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// PeerHeard carries a message of an authenticated peer.
type PeerHeard struct {
	From model.InstanceID
	Body PeerMessage
}

// PeerLinked tells that a link to an authenticated peer stands, whoever made it.
// A seed's name is learnt so.
type PeerLinked struct{ Peer model.InstanceID }

// PeerLost tells that the link to a peer broke or could not be made. It says
// nothing of the peer's health: only heartbeats do.
type PeerLost struct {
	Peer    model.InstanceID
	Address netip.AddrPort
}

// PeerMessage is what instances say to each other. The files peer_*.go hold
// the variants, one family a file; each has a number on the wire, given by the
// table in edge/peer.
type PeerMessage interface{ isPeerMessage() }

// Heartbeat proves that an instance is alive and introduces it.
type Heartbeat struct {
	Instance model.InstanceID `msgpack:"id"`
	Zone     model.ZoneID     `msgpack:"zone"`
	Peer     netip.AddrPort   `msgpack:"peer"`
	// Sequence counts the sender's heartbeats.
	Sequence uint64 `msgpack:"seq"`
	// Manifest is the number of the manifest in force at the sender.
	Manifest uint64 `msgpack:"man"`
	// Leaving announces that the sender takes no further work.
	Leaving bool `msgpack:"leave"`
	// Known lists other live instances that the sender has heard itself, so
	// that a new instance needs one seed only.
	Known []KnownPeer `msgpack:"known"`
}

// KnownPeer is one entry of Heartbeat.Known.
type KnownPeer struct {
	Instance model.InstanceID `msgpack:"id"`
	Peer     netip.AddrPort   `msgpack:"peer"`
}

// ManifestOffer passes on a manifest that the platform has accepted.
type ManifestOffer struct {
	Number uint64 `msgpack:"num"`
	Digest string `msgpack:"sum"`
	Body   []byte `msgpack:"body"`
}

// ManifestWanted asks a peer for the manifest in force there.
type ManifestWanted struct {
	Above uint64 `msgpack:"above"`
}

// GroupNews passes on a group's row as the platform last held it, and records
// of its logbook. It is a hint: only databases prove a term.
type GroupNews struct {
	Group  model.GroupID `msgpack:"grp"`
	Row    []byte        `msgpack:"row"`
	Record []byte        `msgpack:"rec"`
}

// DatabaseLeaving passes on that a database is shutting down.
type DatabaseLeaving struct {
	Database model.DatabaseID `msgpack:"db"`
	Leaving  bool             `msgpack:"leave"`
}

// Demand tells the arbiter of a group what the sender wants. See core/rank.
type Demand struct {
	Group    model.GroupID `msgpack:"grp"`
	Sequence uint64        `msgpack:"seq"`
	Wants    []Want        `msgpack:"wants"`
}

// Want is the demand of one rank on one database.
type Want struct {
	Database model.DatabaseID `msgpack:"db"`
	Rank     model.Rank       `msgpack:"rank"`
	// Waiting and Running count requests.
	Waiting int `msgpack:"wait"`
	Running int `msgpack:"run"`
	// Slack is the time until the earliest deadline among those waiting.
	Slack time.Duration `msgpack:"slack"`
}

// Permit tells an instance which slots it may use, from the arbiter.
type Permit struct {
	Group    model.GroupID `msgpack:"grp"`
	Sequence uint64        `msgpack:"seq"`
	Slots    []PermitSlots `msgpack:"slots"`
	// Valid is how long the permit holds from its arrival.
	Valid time.Duration `msgpack:"valid"`
}

// PermitSlots is the part of a permit for one database and rank.
type PermitSlots struct {
	Database model.DatabaseID `msgpack:"db"`
	Rank     model.Rank       `msgpack:"rank"`
	Slots    int              `msgpack:"n"`
}

func (PeerHeard) isEvent()  {}
func (PeerLinked) isEvent() {}
func (PeerLost) isEvent()   {}

func (Heartbeat) isPeerMessage()       {}
func (ManifestOffer) isPeerMessage()   {}
func (ManifestWanted) isPeerMessage()  {}
func (GroupNews) isPeerMessage()       {}
func (DatabaseLeaving) isPeerMessage() {}
func (Demand) isPeerMessage()          {}
func (Permit) isPeerMessage()          {}
