package message

import (
	"net/netip"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// PeerMessageReceived carries a message from an authenticated peer.
type PeerMessageReceived struct {
	From model.InstanceID
	Body PeerMessage
}

// PeerConnected reports that a link to an authenticated peer is established, no matter
// which side dialed. The ID of a peer that was dialed without its ID becomes known by
// this event.
type PeerConnected struct{ Peer model.InstanceID }

// PeerDisconnected reports that the link to a peer broke or could not be established.
// It does not show whether the peer is alive: only the messages received from it do.
type PeerDisconnected struct {
	// Peer is empty if the peer's ID is unknown, since no link to Address has been
	// established yet.
	Peer model.InstanceID
	// Address is the remote address of the link, whichever side dialed.
	Address netip.AddrPort
}

// PeerMessage is a message between instances. The files event_peer.go and
// event_fleet.go define the variants. The table in edge/peer gives each variant its
// number on the wire.
type PeerMessage interface{ isPeerMessage() }

// Heartbeat shows that an instance is alive and describes it.
type Heartbeat struct {
	Instance    model.InstanceID `msgpack:"id"`
	Zone        model.ZoneID     `msgpack:"zone"`
	PeerAddress netip.AddrPort   `msgpack:"peer"`
	// Sequence counts the sender's heartbeats.
	Sequence uint64 `msgpack:"seq"`
	// Manifest is the number of the manifest in force at the sender.
	Manifest uint64 `msgpack:"man"`
	// Leaving is true if the sender is draining.
	Leaving bool `msgpack:"leave"`
	// Known lists other live instances from which the sender itself has received
	// messages, so that a new instance needs only one seed address.
	Known []KnownPeer `msgpack:"known"`
}

// KnownPeer is one entry of Heartbeat.Known.
type KnownPeer struct {
	Instance    model.InstanceID `msgpack:"id"`
	PeerAddress netip.AddrPort   `msgpack:"peer"`
}

// ManifestOffer forwards a manifest that the platform has accepted.
type ManifestOffer struct {
	Number uint64 `msgpack:"num"`
	// Digest is the SHA-256 hash of Body in hexadecimal, as manifest.Digest returns it.
	Digest string `msgpack:"sum"`
	Body   []byte `msgpack:"body"`
}

// ManifestRequest asks a peer for its manifest in force, if that is newer.
type ManifestRequest struct {
	NewerThan uint64 `msgpack:"above"`
}

// GroupUpdate forwards a group's row as it last was on the platform, and records of the
// group's logbook. It is a hint: only databases confirm a term.
type GroupUpdate struct {
	Group model.GroupID `msgpack:"grp"`
	// Row and Record are JSON documents: the row, and an engine.PromotionRecord.
	Row    []byte `msgpack:"row"`
	Record []byte `msgpack:"rec"`
}

// DatabaseLeaving reports to a peer whether a database is leaving, which means that it
// is shutting down.
type DatabaseLeaving struct {
	Database model.DatabaseID `msgpack:"db"`
	Leaving  bool             `msgpack:"leave"`
}

// LeaseRequest reports to the arbiter of a group the sender's slot demands and the
// leases that it holds. A slot is the right to run one statement at a database; the
// arbiter is the instance that leases a group's slots to all instances. Each
// LeaseRequest replaces the previous one, so that a lost one does no harm. See
// core/rank.
type LeaseRequest struct {
	Group model.GroupID `msgpack:"grp"`
	// Sequence counts the sender's lease requests for this group.
	Sequence uint64 `msgpack:"seq"`
	// LastGrantSeen is the sequence of the newest LeaseGrant that the sender has
	// received from this arbiter. A lease that was granted up to LastGrantSeen and is
	// not in HeldLeases has been returned.
	LastGrantSeen uint64       `msgpack:"seen"`
	Demands       []SlotDemand `msgpack:"wants"`
	HeldLeases    []HeldLease  `msgpack:"held"`
	// Limits lists the databases whose limit the sender has lowered, because of slow or
	// failed answers, below the one that the manifest sets.
	Limits []SlotLimit `msgpack:"lim"`
}

// SlotDemand is the demand of the requests of one rank for slots at any of a set of
// databases.
type SlotDemand struct {
	Databases []model.DatabaseID `msgpack:"dbs"`
	Rank      model.Rank         `msgpack:"rank"`
	// PastTarget is true if the requests can no longer be answered within their latency
	// target. They are served after those of the same rank that can.
	PastTarget bool `msgpack:"late"`
	// Waiting is the number of requests that wait for a slot.
	Waiting int `msgpack:"wait"`
	// TimeToDeadline is the time until the earliest deadline of the waiting requests.
	TimeToDeadline time.Duration `msgpack:"slack"`
}

// HeldLease is one lease in a LeaseRequest.
type HeldLease struct {
	ID       uint64           `msgpack:"id"`
	Database model.DatabaseID `msgpack:"db"`
	Rank     model.Rank       `msgpack:"rank"`
}

// SlotLimit is how many slots of a database all instances together should use,
// according to the sender.
type SlotLimit struct {
	Database model.DatabaseID `msgpack:"db"`
	Slots    int              `msgpack:"n"`
}

// LeaseGrant is sent by the arbiter of a group and lists the leases of the receiving
// instance. Each LeaseGrant replaces the previous one and renews the leases that it
// lists.
type LeaseGrant struct {
	Group model.GroupID `msgpack:"grp"`
	// Sequence counts the arbiter's lease grants to this instance.
	Sequence uint64 `msgpack:"seq"`
	// LastRequestSeen is the sequence of the newest LeaseRequest that the arbiter has
	// received from this instance.
	LastRequestSeen uint64  `msgpack:"seen"`
	Leases          []Lease `msgpack:"leases"`
	// ValidFor is how long the leases are valid after the arrival of the LeaseGrant.
	ValidFor time.Duration `msgpack:"valid"`
}

// Lease allows an instance to use one slot of a database for the requests of one rank,
// one request at a time.
type Lease struct {
	ID       uint64           `msgpack:"id"`
	Database model.DatabaseID `msgpack:"db"`
	Rank     model.Rank       `msgpack:"rank"`
	// Recalled is true if the instance is to return the lease after the request that is
	// using it.
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
