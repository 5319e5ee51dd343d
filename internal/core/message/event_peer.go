package message

import (
	"net/netip"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// PeerMessageReceived carries a message of an authenticated peer.
type PeerMessageReceived struct {
	From model.InstanceID
	Body PeerMessage
}

// PeerConnected tells that a link to an authenticated peer stands, whoever made it.
// A seed's name is learnt so.
type PeerConnected struct{ Peer model.InstanceID }

// PeerDisconnected tells that the link to a peer broke or could not be made. It says
// nothing of the peer's health: only heartbeats do.
type PeerDisconnected struct {
	Peer    model.InstanceID
	Address netip.AddrPort
}

// PeerMessage is what instances say to each other. The files peer_*.go hold
// the variants, one family a file; each has a number on the wire, given by the
// table in edge/peer.
type PeerMessage interface{ isPeerMessage() }

// Heartbeat proves that an instance is alive and introduces it.
type Heartbeat struct {
	Instance    model.InstanceID `msgpack:"id"`
	Zone        model.ZoneID     `msgpack:"zone"`
	PeerAddress netip.AddrPort   `msgpack:"peer"`
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
	Instance    model.InstanceID `msgpack:"id"`
	PeerAddress netip.AddrPort   `msgpack:"peer"`
}

// ManifestOffer passes on a manifest that the platform has accepted.
type ManifestOffer struct {
	Number uint64 `msgpack:"num"`
	Digest string `msgpack:"sum"`
	Body   []byte `msgpack:"body"`
}

// ManifestRequest asks a peer for the manifest in force there.
type ManifestRequest struct {
	NewerThan uint64 `msgpack:"above"`
}

// GroupUpdate passes on a group's row as the platform last held it, and records
// of its logbook. It is a hint: only databases prove a term.
type GroupUpdate struct {
	Group  model.GroupID `msgpack:"grp"`
	Row    []byte        `msgpack:"row"`
	Record []byte        `msgpack:"rec"`
}

// DatabaseLeaving passes on that a database is shutting down.
type DatabaseLeaving struct {
	Database model.DatabaseID `msgpack:"db"`
	Leaving  bool             `msgpack:"leave"`
}

// LeaseRequest tells the arbiter of a group what the sender wants and which leases it
// holds. Each LeaseRequest replaces the one before, so that a lost one does no harm.
// See core/rank.
type LeaseRequest struct {
	Group model.GroupID `msgpack:"grp"`
	// Sequence counts the sender's demands for this group.
	Sequence uint64 `msgpack:"seq"`
	// LastGrantSeen is the sequence of the newest Permit that the sender has heard
	// from this arbiter. A lease granted up to LastGrantSeen that is not in Held has
	// been given back.
	LastGrantSeen uint64       `msgpack:"seen"`
	Demands       []SlotDemand `msgpack:"wants"`
	HeldLeases    []HeldLease  `msgpack:"held"`
	// Limits lists the databases for which the sender has lowered its limit.
	Limits []SlotLimit `msgpack:"lim"`
}

// SlotDemand is the demand of one rank on any one of a set of databases.
type SlotDemand struct {
	Databases []model.DatabaseID `msgpack:"dbs"`
	Rank      model.Rank         `msgpack:"rank"`
	// PastTarget says that they can no longer be answered inside their target; they
	// are served after those of the same rank that can.
	PastTarget bool `msgpack:"late"`
	// Waiting counts the requests that wait for a slot.
	Waiting int `msgpack:"wait"`
	// TimeToDeadline is the time until the earliest deadline among those waiting.
	TimeToDeadline time.Duration `msgpack:"slack"`
}

// HeldLease is one lease in a Demand.
type HeldLease struct {
	ID       uint64           `msgpack:"id"`
	Database model.DatabaseID `msgpack:"db"`
	Rank     model.Rank       `msgpack:"rank"`
}

// SlotLimit is how many slots of a database all instances together should use.
type SlotLimit struct {
	Database model.DatabaseID `msgpack:"db"`
	Slots    int              `msgpack:"n"`
}

// LeaseGrant tells an instance which leases it has, from the arbiter of the group.
// Each LeaseGrant replaces the one before and renews the leases that it lists.
type LeaseGrant struct {
	Group model.GroupID `msgpack:"grp"`
	// Sequence counts the arbiter's permits to this instance.
	Sequence uint64 `msgpack:"seq"`
	// LastRequestSeen is the sequence of the newest Demand that the arbiter has heard
	// from this instance.
	LastRequestSeen uint64  `msgpack:"seen"`
	Leases          []Lease `msgpack:"leases"`
	// ValidFor is how long the leases hold from the arrival of the permit.
	ValidFor time.Duration `msgpack:"valid"`
}

// Lease lets an instance use one slot of a database for one rank, for one
// request after another.
type Lease struct {
	ID       uint64           `msgpack:"id"`
	Database model.DatabaseID `msgpack:"db"`
	Rank     model.Rank       `msgpack:"rank"`
	// Recalled asks for the lease back after the request that uses it.
	Recalled bool `msgpack:"back"`
}

func (PeerMessageReceived) isEvent() {}
func (PeerConnected) isEvent()       {}
func (PeerDisconnected) isEvent()    {}

func (Heartbeat) isPeerMessage()       {}
func (ManifestOffer) isPeerMessage()   {}
func (ManifestRequest) isPeerMessage() {}
func (GroupUpdate) isPeerMessage()     {}
func (DatabaseLeaving) isPeerMessage() {}
func (LeaseRequest) isPeerMessage()    {}
func (LeaseGrant) isPeerMessage()      {}
