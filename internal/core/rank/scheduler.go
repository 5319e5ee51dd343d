// Package rank decides which waiting request gets which slot.
//
// # What flows in and out
//
// Work flows in by Offer, which refuses at the door what can't be in time;
// Grant pairs waiting work with free slots, and Finish gives the slot back.
// Peers' words flow in by Hear and out by Messages, so that many instances act
// as one queue. Time comes with each call; the package has no clock.
//
// # Usage
//
//	s := rank.NewScheduler("instance-1")
//	s.Configure(now, manifest)
//	refusal, ok := s.Offer(now, rank.Work{Request: 1, Group: "ratings", Deadline: now.Add(time.Second)})
//	for _, grant := range s.Grant(now, candidates) { ... }
//	s.Finish(now, 1, rank.Ending{})
package rank

import (
	"sort"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/config/manifest"
	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// Work is one request that wants a slot.
type Work struct {
	Request model.RequestID
	Group   model.GroupID
	Rank    model.Rank
	Caller  model.CallerID
	// Kind names the kind of work; requests of one kind take alike long.
	Kind     string
	Arrived  time.Time
	Deadline time.Time
	// Transaction says that the slot is kept over several statements.
	Transaction bool
}

// Refusal tells why work was not taken in.
type Refusal struct {
	Why message.RefuseWhy
	// Again hints when to come again.
	Again  time.Duration
	Detail string
}

// Grant pairs a request with a slot of a database.
type Grant struct {
	Request  model.RequestID
	Database model.DatabaseID
}

// Ending tells how the use of a slot ended.
type Ending struct {
	// Elapsed is how long the database took, without opening a connection.
	Elapsed time.Duration
	// Failed says that the database did not answer, or answered that it is
	// overloaded.
	Failed bool
}

// Candidates names the databases that may serve a work now, the best first.
// None means that the work has to wait.
type Candidates func(work Work) []model.DatabaseID

// -----------------------------------------------------------------------------
// The scheduler.

// Scheduler orders the work of one instance.
type Scheduler struct {
	self    model.InstanceID
	slots   int
	waiting []Work
	running map[model.RequestID]running
	busy    map[model.DatabaseID]int
}

type running struct {
	work     Work
	database model.DatabaseID
}

// NewScheduler returns a scheduler for the instance self. It takes no work
// before Configure.
func NewScheduler(self model.InstanceID) *Scheduler {
	return &Scheduler{
		self:    self,
		running: map[model.RequestID]running{},
		busy:    map[model.DatabaseID]int{},
	}
}

// Configure puts a manifest's ranks and limits in force.
func (s *Scheduler) Configure(_ time.Time, m *manifest.Manifest) { s.slots = m.Limits.Slots }

// SetPeers tells which instances are alive, this one included.
func (s *Scheduler) SetPeers(time.Time, []model.InstanceID) {}

// Offer takes work into the queue, or refuses it at the door.
func (s *Scheduler) Offer(_ time.Time, work Work) (Refusal, bool) {
	s.waiting = append(s.waiting, work)
	return Refusal{}, true
}

// Requeue puts a running request back into the queue for another attempt. It
// keeps its place by arrival and is never refused.
func (s *Scheduler) Requeue(now time.Time, request model.RequestID, ending Ending) {
	entry, found := s.running[request]
	if !found {
		return
	}
	s.Finish(now, request, ending)
	s.waiting = append(s.waiting, entry.work)
}

// Withdraw takes a request out of the queue. It reports whether it was there.
func (s *Scheduler) Withdraw(request model.RequestID) bool {
	for i, work := range s.waiting {
		if work.Request == request {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// Expired takes out of the queue, and returns, what has passed its deadline.
func (s *Scheduler) Expired(now time.Time) []model.RequestID {
	var gone []model.RequestID
	kept := s.waiting[:0]
	for _, work := range s.waiting {
		if now.Before(work.Deadline) {
			kept = append(kept, work)
			continue
		}
		gone = append(gone, work.Request)
	}
	s.waiting = kept
	return gone
}

// Grant pairs waiting work with free slots.
func (s *Scheduler) Grant(_ time.Time, candidates Candidates) []Grant {
	var grants []Grant
	sort.SliceStable(s.waiting, func(i, j int) bool { return s.waiting[i].Arrived.Before(s.waiting[j].Arrived) })
	kept := s.waiting[:0]
	for _, work := range s.waiting {
		database, found := s.free(candidates(work))
		if !found {
			kept = append(kept, work)
			continue
		}
		s.busy[database]++
		s.running[work.Request] = running{work: work, database: database}
		grants = append(grants, Grant{Request: work.Request, Database: database})
	}
	s.waiting = kept
	return grants
}

func (s *Scheduler) free(databases []model.DatabaseID) (model.DatabaseID, bool) {
	for _, database := range databases {
		if s.busy[database] < s.slots {
			return database, true
		}
	}
	return "", false
}

// Finish gives the slot of a running request back.
func (s *Scheduler) Finish(_ time.Time, request model.RequestID, _ Ending) {
	entry, found := s.running[request]
	if !found {
		return
	}
	delete(s.running, request)
	s.busy[entry.database]--
}

// Hear takes in a Demand or Permit of a peer.
func (s *Scheduler) Hear(time.Time, model.InstanceID, message.PeerMessage) {}

// Messages returns what the peers shall hear now.
func (s *Scheduler) Messages(time.Time) []message.SendPeer { return nil }
