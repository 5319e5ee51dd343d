package rank

import (
	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// slotsAhead is the number of requests that all instances together may have on
// their way to a database beyond its slots.
var slotsAhead = 2

// limitOf returns the slots of d that all instances together should use.
func (s *Scheduler) limitOf(*database) int { return s.limits.Slots }

// lowered returns the limits that this instance has lowered.
func (s *Scheduler) lowered(*group) []message.SlotLimit { return nil }

// Connections returns the connections to a database that this instance may
// have open. One share more than there are known instances is counted, so that
// an instance that joins does not take the total above the limit.
func (s *Scheduler) Connections(model.DatabaseID) int {
	budget := max(0, s.limits.Connections-s.limits.Reserve)
	return max(1, budget/(len(s.peers.known)+1))
}

// perInstance returns the slots of d that one instance may use at once.
func (s *Scheduler) perInstance(d *database) int {
	return min(s.limitOf(d), s.Connections(d.id))
}
