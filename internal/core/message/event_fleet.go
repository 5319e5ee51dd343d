package message

import (
	"net/netip"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/lease"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// Bulletin tells a peer what the sender knows: newer configuration, databases
// and primaries spread so to instances that the store does not answer. Ages are
// as of Sent. The fields go over the wire without their names.
type Bulletin struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // The codec reads the tag.
	Name     model.InstanceID
	Zone     model.ZoneID
	Peer     netip.AddrPort
	// Sent is the sender's clock. Echo is the newest Sent that it has heard of
	// the receiver: what the sender knew after that, it knew after the receiver
	// had said it, by the receiver's own clock.
	Sent, Echo time.Duration
	// Listed says that the receiver is a member in the sender's View.
	Listed bool
	// Leaving announces that the sender takes no further work; Stored that the
	// store has answered its last call.
	Leaving, Stored bool
	// Configuration is the version in force, Databases that of the list of
	// databases.
	Configuration, Databases uint64
	// View is the version of the table of groups, ViewAge how long before Sent
	// the read of it began.
	View    uint64
	ViewAge time.Duration
	Duty    lease.Duty
	// Holder says that the sender has lately heard the holder of the duty.
	Holder bool
	Groups []GroupNote
	// ConfigurationAge and DatabasesAge are how long before Sent the sender's
	// Configuration and Databases were known to be the newest.
	ConfigurationAge, DatabasesAge time.Duration
	// ZoneSize is the number of instances in the sender's availability zone, and
	// FleetSize that in all of them, where the sender links the zones.
	ZoneSize, FleetSize int
	// Floor is the oldest View among the members of the sender's availability
	// zone; zero where one of them was not heard. FloorOf tells which members
	// these are, by their names.
	Floor, FloorOf uint64
}

// GroupNote is what a Bulletin says of one group.
type GroupNote struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // The codec reads the tag.
	Group    model.GroupID
	Row      lease.Row
	// Failing is for how long the sender has had no answer of the primary
	// although it asked; zero means that the primary answers, and less that the
	// sender does not know.
	Failing time.Duration
	// Sampled is a position of the primary's log that covers all commits
	// acknowledged earlier than SampleAge before Sent; zero where there is none.
	Sampled   model.Position
	SampleAge time.Duration
	// Witnesses is the number of instances in the sender's availability zone,
	// itself included, that know whether the primary answers, and Silent that of
	// those which it does not.
	Witnesses, Silent int
}

// BulletinWanted asks a peer for a Bulletin that echoes Sent, to renew the
// sender's view of the table of groups.
type BulletinWanted struct {
	Sent time.Duration `msgpack:"sent"`
}

// SurveyWanted asks a peer to ask all databases of a group who leads it, after it
// has heard this.
type SurveyWanted struct {
	Group model.GroupID `msgpack:"grp"`
	// Sent is the sender's clock; the answer names it.
	Sent time.Duration `msgpack:"sent"`
}

// SurveyTold answers a SurveyWanted.
type SurveyTold struct {
	Group model.GroupID `msgpack:"grp"`
	Sent  time.Duration `msgpack:"sent"`
	// Primary leads the group alone, where Proved is set.
	Primary model.DatabaseID `msgpack:"db"`
	Proved  bool             `msgpack:"ok"`
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

// DatabasesWanted asks a peer for the databases' entries.
type DatabasesWanted struct {
	Above uint64 `msgpack:"above"`
}

func (Bulletin) isPeerMessage()        {}
func (BulletinWanted) isPeerMessage()  {}
func (SurveyWanted) isPeerMessage()    {}
func (SurveyTold) isPeerMessage()      {}
func (DatabasesOffer) isPeerMessage()  {}
func (DatabasesWanted) isPeerMessage() {}
