package message

import (
	"net/netip"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/lease"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// GossipState carries the sender's knowledge to a peer, so that newer configurations,
// lists of databases and primaries reach instances that cannot reach the store. Ages
// are as of SenderClock. The fields are encoded without their names, so that their
// order is the wire format.
type GossipState struct {
	_msgpack    struct{} `msgpack:",as_array"` //nolint:unused // The codec reads the tag.
	Instance    model.InstanceID
	Zone        model.ZoneID
	PeerAddress netip.AddrPort
	// SenderClock is the sender's clock. EchoedClock is the newest SenderClock that the
	// sender has received from the receiver: anything that the sender learned after
	// that is newer than EchoedClock by the receiver's own clock.
	SenderClock, EchoedClock time.Duration
	// ReceiverIsMember is true if the receiver is among the members that the sender has
	// read, by a row that can be decoded (see MembersVersion).
	ReceiverIsMember bool
	// Leaving is true if the sender is draining, StoreReachable if the store has
	// answered the sender's last request.
	Leaving, StoreReachable bool
	// ConfigurationVersion is the version of the configuration in force,
	// DatabasesVersion that of the list of databases.
	ConfigurationVersion, DatabasesVersion uint64
	// ViewVersion is the version of the sender's view of the table of groups, ViewAge
	// the time from the start of its read to SenderClock.
	ViewVersion      uint64
	ViewAge          time.Duration
	CoordinatorLease lease.CoordinatorLease
	// HolderAlive is true if the holder of the coordinator lease is available: the
	// sender is the holder or has recently received a message from it, and the holder
	// reaches the store and is not leaving.
	HolderAlive bool
	Groups      []GroupGossip
	// ConfigurationAge and DatabasesAge are how long before SenderClock the sender's
	// configuration and list of databases were last known to be the newest.
	ConfigurationAge, DatabasesAge time.Duration
	// ZoneSize is the number of instances in the sender's availability zone. FleetSize
	// is the number in all zones from which the sender receives messages.
	ZoneSize, FleetSize int
	// MinViewVersion is the lowest view version among the members in the sender's
	// availability zone; zero if no message has arrived from one of them.
	// MinViewMembersHash is a hash of the names of these members.
	MinViewVersion, MinViewMembersHash uint64
	// MembersVersion is the version of the table of groups at which the sender read the
	// members; zero if that was too long ago.
	MembersVersion uint64
	// GroupsVersion counts the states of the sender's groups. If GroupsSince is not zero,
	// Groups contains only those that have changed after the version GroupsSince, which
	// the receiver has acknowledged; otherwise it contains all.
	GroupsVersion, GroupsSince uint64
	// GroupsReceived acknowledges the GroupsVersion up to which the sender knows the
	// receiver's groups; zero if it does not know them.
	GroupsReceived uint64
}

// GroupGossip is the part of a GossipState about one group.
type GroupGossip struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // The codec reads the tag.
	Group    model.GroupID
	Row      lease.GroupRow
	// UnansweredFor is how long the sender has had no answer from the primary although
	// it sent requests. Zero means that the primary answers; a negative value means
	// that the sender does not know.
	UnansweredFor time.Duration
	// SampledPosition is a position of the primary's log that covers all commits
	// acknowledged more than SampleAge before SenderClock; zero if there is none.
	SampledPosition model.Position
	SampleAge       time.Duration
	// Observers is the number of instances in the sender's availability zone, including
	// the sender, that have observed whether the primary answers them.
	// UnansweredObservers is the number of those that it does not answer.
	Observers, UnansweredObservers int
}

// GossipStateRequest asks a peer for a GossipState that echoes SenderClock, to renew
// the sender's view of the table of groups.
type GossipStateRequest struct {
	SenderClock time.Duration `msgpack:"sent"`
}

// PrimarySurveyRequest asks a peer to survey a group: to ask all databases of the group
// for its primary, after the peer has received this message.
type PrimarySurveyRequest struct {
	Group model.GroupID `msgpack:"grp"`
	// SenderClock is the sender's clock; the response repeats it.
	SenderClock time.Duration `msgpack:"sent"`
}

// PrimarySurveyResponse answers a PrimarySurveyRequest.
type PrimarySurveyResponse struct {
	Group       model.GroupID `msgpack:"grp"`
	SenderClock time.Duration `msgpack:"sent"`
	// Primary is the only primary of the group if Confirmed is true.
	Primary   model.DatabaseID `msgpack:"db"`
	Confirmed bool             `msgpack:"ok"`
}

// DatabasesOffer forwards the databases' entries as they were in the store.
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
