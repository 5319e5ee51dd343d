// Package rank decides which waiting request gets which slot. A slot is the right
// to run one statement at a database; slot-time is the time for which it is held.
//
// # Inputs and outputs
//
// Requests enter by Enqueue, which rejects those that can't be answered in time;
// AssignSlots pairs waiting requests with free slots, and Finish releases the slot.
// Peers' messages enter by HandlePeerMessage and leave by TakeMessages, so that
// many instances act as one queue. The time is passed with each call; the package
// reads no clock.
//
// # Usage
//
//	s := rank.NewScheduler("instance-1")
//	s.Configure(now, manifest)
//	refusal, ok := s.Enqueue(now, rank.Work{Request: 1, Group: "ratings", Deadline: now.Add(time.Second)})
//	for _, assignment := range s.AssignSlots(now, candidates) { ... }
//	s.Finish(now, 1, rank.SlotCompletion{})
package rank

import (
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/config/manifest"
	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// defaultKind is the kind of requests that name no kind, or one that is not in
// the manifest.
const defaultKind = "default"

// Work is one request for a slot.
type Work struct {
	Request model.RequestID
	Group   model.GroupID
	Rank    model.Rank
	Caller  model.CallerID
	// Kind names the request kind; requests of one kind take similar times.
	Kind     string
	Arrived  time.Time
	Deadline time.Time
	// Bytes is the memory that the request holds while it waits.
	Bytes int
	// Transaction is true if the slot is kept over several statements.
	Transaction bool
}

// Refusal is the reason for which a request was rejected.
type Refusal struct {
	Reason message.RefusalReason
	// RetryAfter suggests when to retry, or is zero.
	RetryAfter time.Duration
	Detail     string
}

// SlotAssignment lets a request run in a slot of a database.
type SlotAssignment struct {
	Request  model.RequestID
	Database model.DatabaseID
}

// SlotCompletion describes the outcome of the use of a slot.
type SlotCompletion struct {
	// Elapsed is the time that the database took, without the time to open a
	// connection.
	Elapsed time.Duration
	// Failed is true if the database did not answer, or answered that it is
	// overloaded.
	Failed bool
}

// Candidates returns the databases that may serve a request now, the best
// first. If there is none, the request waits.
type Candidates func(work Work) []model.DatabaseID

// -----------------------------------------------------------------------------
// The scheduler.

// Scheduler orders the requests of one instance.
type Scheduler struct {
	self model.InstanceID
	// configuredAt is the time of the first Configure, now the time passed to
	// the last call of Configure, AssignSlots or SetPeers.
	configuredAt, now time.Time
	peers             peers
	limits            manifest.DatabaseLimits
	ranks             []manifest.Rank
	minShares         []float64
	kinds             map[string]*requestKind
	groups            map[model.GroupID]*group
	orderedGroups     []*group
	databases         map[model.DatabaseID]*database
	// waiting holds the requests in the queue, running those that use a slot.
	waiting map[model.RequestID]*item
	running map[model.RequestID]*item
	// expiry orders the waiting requests by deadline; expired holds those that
	// TakeExpired is to return.
	expiry      deadlines
	expired     []model.RequestID
	assignments []SlotAssignment
	outbox      []message.SendPeer
	// rankOrder is a buffer for the ranks in the order in which they are served.
	rankOrder []model.Rank
	logEvents []message.LogEvent
	// logLimits holds the limit of each event by the event's number.
	logLimits map[int]*logLimit
	// hasFixedLimits turns adaptive limits and circuit breakers off.
	hasFixedLimits bool
}

// Option configures a Scheduler.
type Option func(*Scheduler)

// WithFixedLimits turns adaptive limits and circuit breakers off.
func WithFixedLimits() Option { return func(s *Scheduler) { s.hasFixedLimits = true } }

// NewScheduler returns a scheduler for the instance self. It rejects all
// requests until Configure is called.
func NewScheduler(self model.InstanceID, options ...Option) *Scheduler {
	s := &Scheduler{
		self:      self,
		kinds:     map[string]*requestKind{},
		groups:    map[model.GroupID]*group{},
		databases: map[model.DatabaseID]*database{},
		waiting:   map[model.RequestID]*item{},
		running:   map[model.RequestID]*item{},
		logLimits: map[int]*logLimit{},
	}
	s.peers.reservedUntil = map[model.InstanceID]time.Time{}
	s.peers.set(time.Time{}, []model.InstanceID{self})
	for _, option := range options {
		option(s)
	}
	return s
}

// Configure applies the ranks, kinds, groups and limits of a manifest. Waiting
// and running requests stay; waiting requests of a group that the manifest no
// longer has expire at their deadline.
func (s *Scheduler) Configure(now time.Time, m *manifest.Manifest) {
	if s.configuredAt.IsZero() {
		s.configuredAt = now
	}
	s.now = now
	s.limits = m.Limits
	s.ranks = m.Ranks
	s.configureKinds(m.Kinds)
	rankCount := max(len(m.Ranks), len(s.minShares), 1)
	s.minShares = make([]float64, rankCount)
	for r, declared := range m.Ranks {
		s.minShares[r] = declared.MinSlotShare
	}
	previous := s.databases
	s.databases = map[model.DatabaseID]*database{}
	s.orderedGroups = nil
	for _, g := range s.groups {
		g.databases = nil
	}
	for _, declared := range m.Groups {
		s.configureGroup(now, declared, previous)
	}
	for _, g := range s.groups {
		g.addQueues(rankCount, m.Kinds)
	}
	s.updateArbiter(now)
}

func (s *Scheduler) configureKinds(kinds []manifest.RequestKind) {
	previous := s.kinds
	s.kinds = map[string]*requestKind{}
	for _, declared := range kinds {
		k := previous[declared.Name]
		if k == nil {
			k = &requestKind{}
		}
		k.access = declared.Access
		s.kinds[declared.Name] = k
	}
	if s.kinds[defaultKind] == nil {
		s.kinds[defaultKind] = &requestKind{access: model.AccessWrite}
	}
}

func (s *Scheduler) configureGroup(now time.Time, declared manifest.Group, previous map[model.DatabaseID]*database) {
	g := s.groups[declared.Name]
	if g == nil {
		g = &group{
			id: declared.Name, leasing: newLeasing(),
			retryBudget: retryBudget{balance: initialRetries, updatedAt: now},
		}
		s.groups[declared.Name] = g
	}
	s.orderedGroups = append(s.orderedGroups, g)
	for i, member := range declared.Databases {
		d := previous[member.Name]
		if d == nil {
			d = &database{id: member.Name, limiter: newLimiter(s.limits.MaxConcurrentStatements)}
			d.rankUsage.updatedAt, d.fleetUsage.updatedAt = now, now
			d.meter.updatedAt, d.fleetMeter.updatedAt = now, now
		}
		d.group = g
		d.bit = 1 << i
		d.rankUsage.grow(len(s.minShares))
		d.fleetUsage.grow(len(s.minShares))
		g.databases = append(g.databases, d)
		s.databases[d.id] = d
	}
}

// addQueues adds the missing queues, up to one for each rank.
func (g *group) addQueues(rankCount int, kinds []manifest.RequestKind) {
	for r := model.Rank(len(g.queues)); int(r) < rankCount; r++ {
		g.queues = append(g.queues, newQueue(r, bucketWidthOf(r, kinds)))
	}
}

// bucketWidthOf returns the width of a rank's backlog buckets. The buckets
// together span four thirds of the longest deadline of the rank's kinds; later
// deadlines are counted in the last bucket.
func bucketWidthOf(r model.Rank, kinds []manifest.RequestKind) time.Duration {
	longest := time.Duration(0)
	for _, k := range kinds {
		if k.Rank == r {
			longest = max(longest, k.Deadline)
		}
	}
	if longest == 0 {
		return defaultBucketWidth
	}
	return max(longest*4/(3*bucketCount), time.Millisecond)
}

// -----------------------------------------------------------------------------
// Lookups in the manifest.

// requestKind returns the state of a kind; an unknown name is the default kind.
func (s *Scheduler) requestKind(name string) *requestKind {
	if found := s.kinds[name]; found != nil {
		return found
	}
	return s.kinds[defaultKind]
}

func (s *Scheduler) access(name string) model.Access { return s.requestKind(name).access }

// latencyTarget returns the latency target of a rank, or 0 if it has none.
func (s *Scheduler) latencyTarget(r model.Rank) time.Duration {
	if int(r) < len(s.ranks) {
		return s.ranks[r].LatencyTarget
	}
	return 0
}

// clampRank returns the nearest rank that has a queue.
func (s *Scheduler) clampRank(r model.Rank) model.Rank {
	return min(max(r, 0), model.Rank(len(s.minShares)-1))
}

// queueOf returns the queue of a request's rank.
func (g *group) queueOf(work *Work) *queue {
	return g.queues[min(max(int(work.Rank), 0), len(g.queues)-1)]
}

// -----------------------------------------------------------------------------
// The queue.

// Enqueue adds a request to the queue and returns true, or rejects it and
// returns the reason and false.
func (s *Scheduler) Enqueue(now time.Time, work Work) (Refusal, bool) {
	g := s.groups[work.Group]
	if g == nil || len(g.databases) == 0 {
		return Refusal{Reason: message.RefuseUnknownGroup, Detail: string(work.Group)}, false
	}
	q := g.queueOf(&work)
	it := &item{work: work, cost: s.requestKind(work.Kind).cost(now)}
	refusal, ok := s.admit(now, g, q, it)
	if !ok {
		s.logRejected(now, &work, &refusal)
		return refusal, false
	}
	s.addItem(now, q, it)
	return Refusal{}, true
}

// Requeue finishes a running request and puts it back into the queue for
// another attempt. The request keeps its arrival time and is never rejected.
func (s *Scheduler) Requeue(now time.Time, request model.RequestID, completion SlotCompletion) {
	it := s.running[request]
	if it == nil {
		return
	}
	s.Finish(now, request, completion)
	g := s.groups[it.work.Group]
	s.addItem(now, g.queueOf(&it.work), &item{work: it.work, cost: it.cost, target: it.target, class: it.class})
}

// Cancel removes a request from the queue. It reports whether the request was
// waiting there.
func (s *Scheduler) Cancel(request model.RequestID) bool {
	it := s.waiting[request]
	if it == nil {
		return false
	}
	q := s.groups[it.work.Group].queueOf(&it.work)
	s.removeItem(q, it)
	q.count.canceled++
	return true
}

// TakeExpired removes the requests that have passed their deadline from the
// queue and returns them, with those that AssignSlots has removed since the
// last call.
func (s *Scheduler) TakeExpired(now time.Time) []model.RequestID {
	s.expireWaiting(now)
	requests := s.expired
	s.expired = nil
	return requests
}

// expireWaiting moves the requests that have passed their deadline from the
// queue to s.expired.
func (s *Scheduler) expireWaiting(now time.Time) {
	for len(s.expiry) > 0 && !now.Before(s.expiry[0].work.Deadline) {
		it := s.expiry[0]
		q := s.groups[it.work.Group].queueOf(&it.work)
		s.removeItem(q, it)
		q.count.expired++
		s.logExpired(now, &it.work)
		s.expired = append(s.expired, it.work.Request)
	}
}

// AssignSlots assigns free slots to waiting requests. Requests that have passed
// their deadline are not started; TakeExpired returns them. If this instance is
// a group's arbiter, it grants leases to itself when it produces the messages;
// the second assignGroup assigns the slots of these leases.
func (s *Scheduler) AssignSlots(now time.Time, candidates Candidates) []SlotAssignment {
	s.expireWaiting(now)
	s.assignments, s.now = nil, now
	s.peers.refresh(now)
	for _, g := range s.orderedGroups {
		s.assignGroup(now, g, candidates, 0)
		s.outbox = append(s.outbox, g.leasing.messages(s, now, g)...)
		if g.leasing.arbiter != nil {
			s.assignGroup(now, g, candidates, rechecksPerAssign)
		}
	}
	return s.assignments
}

// Finish releases the slot of a running request and updates the measurements,
// limits and counters. It ignores a request that does not run.
func (s *Scheduler) Finish(now time.Time, request model.RequestID, completion SlotCompletion) {
	it := s.running[request]
	if it == nil {
		return
	}
	delete(s.running, request)
	q := s.groups[it.work.Group].queueOf(&it.work)
	slotTime := now.Sub(it.started)
	it.database.rankUsage.stop(now, q.rank)
	it.database.group.leasing.leaseHolder.finished(it)
	s.recordCompletion(now, it, completion)
	s.chargeSlotTime(now, q, it, slotTime-it.cost)
	q.count.running--
	if completion.Failed {
		q.count.failed++
		return
	}
	s.requestKind(it.work.Kind).recordSlotTime(now, slotTime)
	q.count.served++
	s.groups[it.work.Group].retryBudget.add(retriesPerSuccess)
	if target := s.latencyTarget(q.rank); target > 0 && now.Sub(it.work.Arrived) > target {
		q.count.late++
	}
}

// -----------------------------------------------------------------------------
// Slots.

// isFree reports whether this instance may use one more slot of d.
func (s *Scheduler) isFree(d *database) bool { return d.rankUsage.slotsInUse() < s.perInstance(d) }

// slotsOf returns the number of slots that this instance can expect for its
// writes or its reads, as a selects: its equal share, or the mean number that it
// used recently if that is more. Writes run on one database only, the primary.
func (s *Scheduler) slotsOf(g *group, a model.Access) float64 {
	databases := len(g.databases)
	if a == model.AccessWrite {
		databases = 1
	}
	equalSlots := float64(s.limits.MaxConcurrentStatements*databases) / float64(max(1, len(s.peers.known)))
	usedSlots := 0.0
	for _, q := range g.queues {
		usedSlots += q.recentSlots(a)
	}
	return max(equalSlots, usedSlots)
}

// -----------------------------------------------------------------------------
// Peers.

// SetPeers sets the live instances. This instance is one of them.
func (s *Scheduler) SetPeers(now time.Time, live []model.InstanceID) {
	s.now = now
	for _, id := range s.peers.set(now, live) {
		s.logEvent(now, shareReserved(id, s.peers.reservedUntil[id]))
	}
	s.updateArbiter(now)
}

// RemovePeer frees the share of an instance that has announced its termination
// and is no longer live. The next SetPeers does not reserve it.
func (s *Scheduler) RemovePeer(now time.Time, id model.InstanceID) {
	s.peers.remove(now, id)
}

// updateArbiter sets the arbiter of each group to the one that peers.arbiter
// chooses among the live instances.
func (s *Scheduler) updateArbiter(now time.Time) {
	for _, g := range s.orderedGroups {
		g.leasing.updateArbiter(s, now, g)
	}
}

// HandlePeerMessage handles a LeaseRequest or LeaseGrant from a peer. It
// ignores other messages and unknown groups.
func (s *Scheduler) HandlePeerMessage(now time.Time, from model.InstanceID, body message.PeerMessage) {
	var id model.GroupID
	switch body := body.(type) {
	case message.LeaseRequest:
		id = body.Group
	case message.LeaseGrant:
		id = body.Group
	}
	if g := s.groups[id]; g != nil {
		g.leasing.receive(s, now, g, from, body)
	}
}

// TakeMessages returns the messages that AssignSlots has produced since the
// last call. It does not use the time.
func (s *Scheduler) TakeMessages(time.Time) []message.SendPeer {
	messages := s.outbox
	s.outbox = nil
	return messages
}
