package message

import (
	"net/netip"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/lease"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// GossipState tells a peer what the sender knows: newer configuration, databases
// and primaries spread so to instances that the store does not answer. Ages are
// as of Sent. The fields go over the wire without their names.
type GossipState struct {
	_msgpack    struct{} `msgpack:",as_array"` //nolint:unused // The codec reads the tag.
	Instance    model.InstanceID
	Zone        model.ZoneID
	PeerAddress netip.AddrPort
	// SenderClock is the sender's clock. EchoedClock is the newest SenderClock that it has heard of
	// the receiver: what the sender knew after that, it knew after the receiver
	// had said it, by the receiver's own clock.
	SenderClock, EchoedClock time.Duration
	// ReceiverIsMember says that the receiver is a member in the sender's View.
	ReceiverIsMember bool
	// Leaving announces that the sender takes no further work; StoreReachable that the
	// store has answered its last call.
	Leaving, StoreReachable bool
	// ConfigurationVersion is the version in force, DatabasesVersion that of the list of
	// databases.
	ConfigurationVersion, DatabasesVersion uint64
	// ViewVersion is the version of the table of groups, ViewAge how long before Sent
	// the read of it began.
	ViewVersion      uint64
	ViewAge          time.Duration
	CoordinatorLease lease.CoordinatorLease
	// HolderAlive says that the sender has lately heard the holder of the duty.
	HolderAlive bool
	Groups      []GroupGossip
	// ConfigurationAge and DatabasesAge are how long before Sent the sender's
	// Configuration and Databases were known to be the newest.
	ConfigurationAge, DatabasesAge time.Duration
	// ZoneSize is the number of instances in the sender's availability zone, and
	// FleetSize that in all of them, where the sender links the zones.
	ZoneSize, FleetSize int
	// MinViewVersion is the oldest View among the members of the sender's availability
	// zone; zero where one of them was not heard. MinViewMembersHash tells which members
	// these are, by their names.
	MinViewVersion, MinViewMembersHash uint64
}

// GroupGossip is what a Bulletin says of one group.
type GroupGossip struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // The codec reads the tag.
	Group    model.GroupID
	Row      lease.GroupRow
	// UnansweredFor is for how long the sender has had no answer of the primary
	// although it asked; zero means that the primary answers, and less that the
	// sender does not know.
	UnansweredFor time.Duration
	// SampledPosition is a position of the primary's log that covers all commits
	// acknowledged earlier than SampleAge before Sent; zero where there is none.
	SampledPosition model.Position
	SampleAge       time.Duration
	// Observers is the number of instances in the sender's availability zone,
	// itself included, that know whether the primary answers, and UnansweredObservers that of
	// those which it does not.
	Observers, UnansweredObservers int
}

// GossipStateRequest asks a peer for a Bulletin that echoes Sent, to renew the
// sender's view of the table of groups.
type GossipStateRequest struct {
	SenderClock time.Duration `msgpack:"sent"`
}

// PrimarySurveyRequest asks a peer to ask all databases of a group who leads it, after it
// has heard this.
type PrimarySurveyRequest struct {
	Group model.GroupID `msgpack:"grp"`
	// SenderClock is the sender's clock; the answer names it.
	SenderClock time.Duration `msgpack:"sent"`
}

// PrimarySurveyResponse answers a PrimarySurveyRequest.
type PrimarySurveyResponse struct {
	Group       model.GroupID `msgpack:"grp"`
	SenderClock time.Duration `msgpack:"sent"`
	// Primary leads the group alone, where Proved is set.
	Primary   model.DatabaseID `msgpack:"db"`
	Confirmed bool             `msgpack:"ok"`
}

// DatabasesOffer passes on the databases' entries as the store held them.
type DatabasesOffer struct {
	Version uint64          `msgpack:"ver"`
	Entries []DatabaseEntry `msgpack:"rows"`
}

// DatabaseEntry is one entry of DatabasesOffer.
type DatabaseEntry struct {
	Key     string `msgpack:"key"`
	Value   []byte `msgpack:"val"`
	Version uint64 `msgpack:"ver"`
}

// DatabasesRequest asks a peer for the databases' entries.
type DatabasesRequest struct {
	NewerThan uint64 `msgpack:"above"`
}

func (GossipState) isPeerMessage()           {}
func (GossipStateRequest) isPeerMessage()    {}
func (PrimarySurveyRequest) isPeerMessage()  {}
func (PrimarySurveyResponse) isPeerMessage() {}
func (DatabasesOffer) isPeerMessage()        {}
func (DatabasesRequest) isPeerMessage()      {}
