// Package relay decides through which peer a statement passes to a database that this
// instance has no way to.
//
// # What flows in and out
//
// Inputs are the peers that may serve as relays, with what their gossip says, and the
// outcomes of the statements that were passed to them. The output is the order in which
// they are tried. The package has no clock and no network.
//
// The load that it answers: an instance whose path to a primary is cut while most of its
// peers still reach it. All instances in that position must not choose the same relay,
// and no relay may be tried again and again while it does not answer.
//
// # Usage
//
//	chooser := relay.NewChooser(instanceName, zone)
//	for _, candidate := range chooser.Order(now, database, candidates) { ... }
//	chooser.RecordFailure(now, candidate.Address, database)
package relay

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

const (
	// initialBackoff is the time for which a relay is not chosen after a failure. It
	// doubles with each further failure before an answer, up to maxBackoff.
	initialBackoff = 250 * time.Millisecond
	maxBackoff     = 4 * time.Second
	// maxPreferred is the number of statements outstanding at a relay from which on the
	// other relays of its availability zone are preferred to it.
	maxPreferred = 64
)

// Candidate is a peer that may run statements at a database for this instance.
type Candidate struct {
	// Instance is the name of the peer, Address its relay address.
	Instance model.InstanceID
	Address  netip.AddrPort
	Zone     model.ZoneID
	// ReachesDatabase is true if the peer has reported that the database answers it.
	ReachesDatabase bool
	// IsLeaving is true if the peer is draining.
	IsLeaving bool
	// Outstanding is the number of statements that this instance has passed to the peer
	// and that have not been answered.
	Outstanding int
}

// Chooser orders the relays of one instance. NewChooser makes one. It is safe for
// concurrent use.
type Chooser struct {
	self model.InstanceID
	zone model.ZoneID

	mu       sync.Mutex
	failures map[way]failure
}

// way is a relay, or what it does for one database if that is set.
type way struct {
	address  netip.AddrPort
	database model.DatabaseID
}

// failure is what is known of a relay that has failed.
type failure struct {
	count int
	until time.Time
}

// NewChooser returns a chooser for the instance of the given name and availability zone.
func NewChooser(self model.InstanceID, zone model.ZoneID) *Chooser {
	return &Chooser{self: self, zone: zone, failures: map[way]failure{}}
}

// Order returns the candidates that may run a statement at a database, in the order in
// which they are tried. Those of other availability zones are returned only if there is
// none in the own one. In a zone the order is that of rendezvous hashing by this
// instance and the database, so that the instances spread over the relays; a relay with
// many statements outstanding goes behind the others.
func (c *Chooser) Order(now time.Time, database model.DatabaseID, candidates []Candidate) []Candidate {
	usable := slices.DeleteFunc(slices.Clone(candidates), func(candidate Candidate) bool {
		return candidate.Instance == c.self || candidate.IsLeaving || !candidate.ReachesDatabase || !c.IsUsable(now, candidate.Address, database)
	})
	if isLocal := func(candidate Candidate) bool { return candidate.Zone == c.zone }; slices.ContainsFunc(usable, isLocal) {
		usable = slices.DeleteFunc(usable, func(candidate Candidate) bool { return !isLocal(candidate) })
	}
	key := string(c.self) + "/" + string(database)
	slices.SortFunc(usable, func(a, b Candidate) int {
		if byLoad := cmp.Compare(a.Outstanding/maxPreferred, b.Outstanding/maxPreferred); byLoad != 0 {
			return byLoad
		}
		if byWeight := cmp.Compare(model.RendezvousWeight(b.Instance, key), model.RendezvousWeight(a.Instance, key)); byWeight != 0 {
			return byWeight
		}
		return cmp.Compare(a.Instance, b.Instance)
	})
	return usable
}

// IsUsable reports whether a relay may be chosen for a database as far as its failures
// are concerned. It is for callers that have an order of their own.
func (c *Chooser) IsUsable(now time.Time, address netip.AddrPort, database model.DatabaseID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !now.Before(c.failures[way{address: address}].until) && !now.Before(c.failures[way{address, database}].until)
}

// RecordFailure records that a relay was lost, refused to be one or could not be
// reached. If database is empty, it can't be used for any.
func (c *Chooser) RecordFailure(now time.Time, address netip.AddrPort, database model.DatabaseID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.failures[way{address, database}]
	if now.Before(f.until) {
		// Statements that fail together are one failure.
		return
	}
	const doublings = 4
	f.until = now.Add(min(initialBackoff<<min(f.count, doublings), maxBackoff))
	f.count++
	c.failures[way{address, database}] = f
}

// RecordAnswer records that a relay has run a statement at a database.
func (c *Chooser) RecordAnswer(address netip.AddrPort, database model.DatabaseID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.failures, way{address: address})
	delete(c.failures, way{address, database})
}
