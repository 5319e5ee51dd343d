// Package rank decides which waiting request gets which slot.
//
// # What flows in and out
//
// Work flows in by Offer, which refuses at the door what can't be in time;
// AssignSlots pairs waiting work with free slots, and Finish gives the slot back.
// Peers' words flow in by Hear and out by Messages, so that many instances act
// as one queue. Time comes with each call; the package has no clock.
//
// # Usage
//
//	s := rank.NewScheduler("instance-1")
//	s.Configure(now, manifest)
//	refusal, ok := s.Enqueue(now, rank.Work{Request: 1, Group: "ratings", Deadline: now.Add(time.Second)})
//	for _, grant := range s.AssignSlots(now, candidates) { ... }
//	s.Finish(now, 1, rank.Ending{})
package rank

import (
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/config/manifest"
	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// defaultKind is the kind of work that names none, or one that the manifest
// does not have.
const defaultKind = "default"

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
	// Bytes is the memory that the request holds while it waits.
	Bytes int
	// Transaction says that the slot is kept over several statements.
	Transaction bool
}

// Refusal tells why work was not taken in.
type Refusal struct {
	Reason message.RefusalReason
	// RetryAfter hints when to come again.
	RetryAfter time.Duration
	Detail     string
}

// SlotAssignment pairs a request with a slot of a database.
type SlotAssignment struct {
	Request  model.RequestID
	Database model.DatabaseID
}

// SlotCompletion tells how the use of a slot ended.
type SlotCompletion struct {
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
	self model.InstanceID
	// born is when the first manifest came, now the time of the last call that
	// told it.
	born, now time.Time
	peers     peers
	limits    manifest.DatabaseLimits
	ranks     []manifest.Rank
	floors    []float64
	kinds     map[string]*kind
	groups    map[model.GroupID]*group
	sequence  []*group
	databases map[model.DatabaseID]*database
	waiting   map[model.RequestID]*item
	running   map[model.RequestID]*item
	expiry    deadlines
	expired   []model.RequestID
	grants    []SlotAssignment
	outbox    []message.SendPeer
	order     []model.Rank
	notes     []message.LogEvent
	gates     map[int]*noteGate
	// hasFixedLimits turns adaptive limits off.
	hasFixedLimits bool
}

// Option changes how a scheduler works.
type Option func(*Scheduler)

// WithFixedLimits turns adaptive limits and circuits off.
func WithFixedLimits() Option { return func(s *Scheduler) { s.hasFixedLimits = true } }

// NewScheduler returns a scheduler for the instance self. It takes no work
// before Configure.
func NewScheduler(self model.InstanceID, options ...Option) *Scheduler {
	s := &Scheduler{
		self:      self,
		kinds:     map[string]*kind{},
		groups:    map[model.GroupID]*group{},
		databases: map[model.DatabaseID]*database{},
		waiting:   map[model.RequestID]*item{},
		running:   map[model.RequestID]*item{},
		gates:     map[int]*noteGate{},
	}
	s.peers.until = map[model.InstanceID]time.Time{}
	s.peers.set(time.Time{}, []model.InstanceID{self})
	for _, option := range options {
		option(s)
	}
	return s
}

// Configure puts a manifest's ranks and limits in force. Waiting and running
// work stays; work of a group that is gone waits for its deadline.
func (s *Scheduler) Configure(now time.Time, m *manifest.Manifest) {
	if s.born.IsZero() {
		s.born = now
	}
	s.now = now
	s.limits = m.Limits
	s.ranks = m.Ranks
	s.configureKinds(m.Kinds)
	count := max(len(m.Ranks), len(s.floors), 1)
	s.floors = make([]float64, count)
	for r, declared := range m.Ranks {
		s.floors[r] = declared.MinSlotShare
	}
	known := s.databases
	s.databases = map[model.DatabaseID]*database{}
	s.sequence = nil
	for _, g := range s.groups {
		g.databases = nil
	}
	for _, declared := range m.Groups {
		s.configureGroup(now, declared, known)
	}
	for _, g := range s.groups {
		g.growQueues(count, m.Kinds)
	}
	s.elect(now)
}

func (s *Scheduler) configureKinds(kinds []manifest.RequestKind) {
	known := s.kinds
	s.kinds = map[string]*kind{}
	for _, declared := range kinds {
		k := known[declared.Name]
		if k == nil {
			k = &kind{}
		}
		k.access = declared.Access
		s.kinds[declared.Name] = k
	}
	if s.kinds[defaultKind] == nil {
		s.kinds[defaultKind] = &kind{access: model.AccessWrite}
	}
}

func (s *Scheduler) configureGroup(now time.Time, declared manifest.Group, known map[model.DatabaseID]*database) {
	g := s.groups[declared.Name]
	if g == nil {
		g = &group{id: declared.Name, leasing: newLeasing(), retries: retries{saved: retryFirst, since: now}}
		s.groups[declared.Name] = g
	}
	s.sequence = append(s.sequence, g)
	for i, member := range declared.Databases {
		d := known[member.Name]
		if d == nil {
			d = &database{id: member.Name, limiter: newLimiter(s.limits.MaxConcurrentStatements)}
			d.ledger.since, d.fleet.since = now, now
			d.meter.since, d.fleetMeter.since = now, now
		}
		d.group = g
		d.bit = 1 << i
		d.ledger.grow(len(s.floors))
		d.fleet.grow(len(s.floors))
		g.databases = append(g.databases, d)
		s.databases[d.id] = d
	}
}

// growQueues makes a queue for each rank.
func (g *group) growQueues(count int, kinds []manifest.RequestKind) {
	for r := model.Rank(len(g.queues)); int(r) < count; r++ {
		g.queues = append(g.queues, newQueue(r, widthOf(r, kinds)))
	}
}

// widthOf returns the width of the buckets in which a rank's deadlines fall.
func widthOf(r model.Rank, kinds []manifest.RequestKind) time.Duration {
	longest := time.Duration(0)
	for _, k := range kinds {
		if k.Rank == r {
			longest = max(longest, k.Deadline)
		}
	}
	if longest == 0 {
		return defaultWidth
	}
	return max(longest*4/(3*bucketCount), time.Millisecond)
}

// -----------------------------------------------------------------------------
// What the manifest says.

// kind returns what is known of a kind; an unknown name is the default.
func (s *Scheduler) kind(name string) *kind {
	if known := s.kinds[name]; known != nil {
		return known
	}
	return s.kinds[defaultKind]
}

func (s *Scheduler) access(name string) model.Access { return s.kind(name).access }

// target returns the target time of a rank, or 0.
func (s *Scheduler) target(r model.Rank) time.Duration {
	if int(r) < len(s.ranks) {
		return s.ranks[r].LatencyTarget
	}
	return 0
}

// clamp returns the nearest rank that the manifest has.
func (s *Scheduler) clamp(r model.Rank) model.Rank {
	return min(max(r, 0), model.Rank(len(s.floors)-1))
}

// queueOf returns the queue of a work.
func (g *group) queueOf(work *Work) *queue {
	return g.queues[min(max(int(work.Rank), 0), len(g.queues)-1)]
}

// -----------------------------------------------------------------------------
// The queue.

// Enqueue takes work into the queue, or refuses it at the door.
func (s *Scheduler) Enqueue(now time.Time, work Work) (Refusal, bool) {
	g := s.groups[work.Group]
	if g == nil || len(g.databases) == 0 {
		return Refusal{Reason: message.RefuseUnknownGroup, Detail: string(work.Group)}, false
	}
	q := g.queueOf(&work)
	it := &item{work: work, cost: s.kind(work.Kind).cost(now)}
	refusal, ok := s.admit(now, g, q, it)
	if !ok {
		s.noteRefused(now, &work, &refusal)
		return refusal, false
	}
	s.enter(now, q, it)
	return Refusal{}, true
}

// Requeue puts a running request back into the queue for another attempt. It
// keeps its place by arrival and is never refused.
func (s *Scheduler) Requeue(now time.Time, request model.RequestID, ending SlotCompletion) {
	it := s.running[request]
	if it == nil {
		return
	}
	s.Finish(now, request, ending)
	g := s.groups[it.work.Group]
	s.enter(now, g.queueOf(&it.work), &item{work: it.work, cost: it.cost, target: it.target, class: it.class})
}

// Cancel takes a request out of the queue. It reports whether it was there.
func (s *Scheduler) Cancel(request model.RequestID) bool {
	it := s.waiting[request]
	if it == nil {
		return false
	}
	q := s.groups[it.work.Group].queueOf(&it.work)
	s.leave(q, it)
	q.count.withdrawn++
	return true
}

// TakeExpired takes out of the queue, and returns, what has passed its deadline.
func (s *Scheduler) TakeExpired(now time.Time) []model.RequestID {
	s.expire(now)
	gone := s.expired
	s.expired = nil
	return gone
}

// expire moves what has passed its deadline from the queue to s.expired.
func (s *Scheduler) expire(now time.Time) {
	for len(s.expiry) > 0 && !now.Before(s.expiry[0].work.Deadline) {
		it := s.expiry[0]
		q := s.groups[it.work.Group].queueOf(&it.work)
		s.leave(q, it)
		q.count.expired++
		s.noteExpired(now, &it.work)
		s.expired = append(s.expired, it.work.Request)
	}
}

// AssignSlots pairs waiting work with free slots. It starts nothing that has passed
// its deadline; Expired returns that.
func (s *Scheduler) AssignSlots(now time.Time, candidates Candidates) []SlotAssignment {
	s.expire(now)
	s.grants, s.now = nil, now
	s.peers.refresh(now)
	for _, g := range s.sequence {
		s.grantGroup(now, g, candidates, 0)
		s.outbox = append(s.outbox, g.leasing.messages(s, now, g)...)
		if g.leasing.arbiter != nil {
			s.grantGroup(now, g, candidates, rechecksPerGrant)
		}
	}
	return s.grants
}

// Finish gives the slot of a running request back.
func (s *Scheduler) Finish(now time.Time, request model.RequestID, ending SlotCompletion) {
	it := s.running[request]
	if it == nil {
		return
	}
	delete(s.running, request)
	q := s.groups[it.work.Group].queueOf(&it.work)
	took := now.Sub(it.started)
	it.database.ledger.stop(now, q.rank)
	it.database.group.leasing.holder.finished(it)
	s.learn(now, it, ending)
	s.charge(now, q, it, took-it.cost)
	q.count.running--
	if ending.Failed {
		q.count.failed++
		return
	}
	s.kind(it.work.Kind).measure(now, took)
	q.count.served++
	s.groups[it.work.Group].retries.add(retryShare)
	if target := s.target(q.rank); target > 0 && now.Sub(it.work.Arrived) > target {
		q.count.late++
	}
}

// -----------------------------------------------------------------------------
// Slots.

// isFree reports whether this instance may use one more slot of d.
func (s *Scheduler) isFree(d *database) bool { return d.ledger.busy() < s.perInstance(d) }

// slotsOf returns the slots that this instance may count on for an access: its
// equal share, or what it used lately where that is more.
func (s *Scheduler) slotsOf(g *group, a model.Access) float64 {
	databases := len(g.databases)
	if a == model.AccessWrite {
		databases = 1
	}
	equal := float64(s.limits.MaxConcurrentStatements*databases) / float64(max(1, len(s.peers.known)))
	used := 0.0
	for _, q := range g.queues {
		used += q.drained(a)
	}
	return max(equal, used)
}

// -----------------------------------------------------------------------------
// Peers.

// SetPeers tells which instances are alive, this one included.
func (s *Scheduler) SetPeers(now time.Time, live []model.InstanceID) {
	s.now = now
	for _, id := range s.peers.set(now, live) {
		s.note(now, shareReserved(id, s.peers.until[id]))
	}
	s.elect(now)
}

// RemovePeer ends the reserved share of an instance that has announced its leaving
// and is not alive any more.
func (s *Scheduler) RemovePeer(now time.Time, id model.InstanceID) {
	delete(s.peers.until, id)
	s.peers.refresh(now)
}

// elect adopts the arbiters that the live instances give.
func (s *Scheduler) elect(now time.Time) {
	for _, g := range s.sequence {
		g.leasing.elect(s, now, g)
	}
}

// HandlePeerMessage takes in a Demand or Permit of a peer.
func (s *Scheduler) HandlePeerMessage(now time.Time, from model.InstanceID, body message.PeerMessage) {
	var id model.GroupID
	switch body := body.(type) {
	case message.LeaseRequest:
		id = body.Group
	case message.LeaseGrant:
		id = body.Group
	}
	if g := s.groups[id]; g != nil {
		g.leasing.hear(s, now, g, from, body)
	}
}

// TakeMessages returns what the peers shall hear now, as the last Grant left it.
func (s *Scheduler) TakeMessages(time.Time) []message.SendPeer {
	out := s.outbox
	s.outbox = nil
	return out
}
