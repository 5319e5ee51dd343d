package flood

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/config/manifest"
	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/core/rank"
)

// -----------------------------------------------------------------------------
// The simulation.

// scheduler is the scheduler of one instance. *rank.Scheduler and *baseline implement
// it.
type scheduler interface {
	Enqueue(now time.Time, work rank.Work) (rank.Refusal, bool)
	Requeue(now time.Time, request model.RequestID, completion rank.SlotCompletion)
	TakeExpired(now time.Time) []model.RequestID
	AssignSlots(now time.Time, candidates rank.Candidates) []rank.SlotAssignment
	Finish(now time.Time, request model.RequestID, completion rank.SlotCompletion)
	HandlePeerMessage(now time.Time, from model.InstanceID, body message.PeerMessage)
	TakeMessages(now time.Time) []message.SendPeer
}

// origin is the wall-clock time at which virtual time starts.
var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// request is one request of a caller.
type request struct {
	id          model.RequestID
	rank        model.Rank
	access      model.Access
	arrivedAt   time.Duration
	serviceTime time.Duration
	attempts    int
	// sentAt is the time at which the last attempt was sent.
	sentAt time.Duration
}

// instance is one simulated instance of the proxy.
type instance struct {
	id        model.InstanceID
	zone      int
	scheduler scheduler
	requests  map[model.RequestID]*request
	// replicaOffset rotates the order of the replicas between reads.
	replicaOffset int
	crashed       bool
}

// database is a simulated database with slots and a first-come-first-served queue for
// requests that exceed them.
type database struct {
	id          model.DatabaseID
	zone        int
	busySlots   int
	queue       []job
	outstanding int
	errorShare  float64
	slowFactor  float64
}

// job is a request on its way to a database, with the instance that sent it.
type job struct {
	instance *instance
	request  *request
}

// simulation is the state of a run.
type simulation struct {
	scenario      Scenario
	manifest      *manifest.Manifest
	random        *rand.Rand
	now           time.Duration
	events        eventQueue
	sequence      uint64
	instances     []*instance
	databases     []*database
	lastRequestID model.RequestID
	result        Result
	latencies     [][]time.Duration
	messageCount  int
	byteCount     int
	// slotTime is the slot-time that each rank used, including the delays to the
	// database and back.
	slotTime []time.Duration
	// bins counts by rank, for each binWidth of arrival times, the offered requests
	// and those answered within the target.
	bins [][]bin
}

type bin struct{ offered, inTarget int }

// binWidth is the width of the bins from which the recovery time is computed.
const binWidth = 100 * time.Millisecond

// Run simulates a scenario and returns its figures.
func Run(scenario Scenario) Result {
	sim := newSimulation(scenario)
	for _, i := range sim.instances {
		sim.tick(i)
	}
	for r := range rankLoads {
		sim.scheduleArrival(model.Rank(r))
	}
	sim.scheduleAfter(floodStart, func() { sim.injectFault() })
	sim.scheduleAfter(floodEnd, func() { sim.clearFault() })
	if scenario.ArbiterCrashes {
		sim.scheduleAfter(floodStart, func() { sim.crashArbiter() })
	}
	if scenario.ZonePartitioned || scenario.ArbiterCrashes {
		sim.scheduleAfter(floodStart+peerDetectionTime, func() { sim.updatePeers() })
		sim.scheduleAfter(floodEnd+peerDetectionTime, func() { sim.updatePeers() })
	}
	for len(sim.events) > 0 && sim.events[0].dueAt < runEnd {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.dueAt
		e.run()
	}
	return sim.computeResult()
}

func newSimulation(scenario Scenario) *simulation {
	sim := &simulation{
		scenario: scenario,
		manifest: Manifest(scenario.Topology),
		random:   rand.New(rand.NewPCG(scenario.Seed, 1)),
	}
	sim.result = Result{Scenario: scenario, Ranks: make([]RankResult, len(rankLoads))}
	sim.slotTime = make([]time.Duration, len(rankLoads))
	sim.latencies = make([][]time.Duration, len(rankLoads))
	for range rankLoads {
		sim.bins = append(sim.bins, make([]bin, runEnd/binWidth+1))
	}
	for i := range scenario.Topology.Databases {
		sim.databases = append(sim.databases, &database{id: databaseName(i), zone: i % scenario.Topology.Zones, slowFactor: 1})
	}
	var ids []model.InstanceID
	for i := range scenario.Topology.Instances {
		ids = append(ids, model.InstanceID("instance-"+string(rune('1'+i))))
	}
	for i, id := range ids {
		sim.instances = append(sim.instances, &instance{
			id: id, zone: i % scenario.Topology.Zones, scheduler: newScheduler(scenario, id, sim.manifest, ids),
			requests: map[model.RequestID]*request{},
		})
	}
	return sim
}

func newScheduler(scenario Scenario, id model.InstanceID, m *manifest.Manifest, instances []model.InstanceID) scheduler {
	if scenario.Scheduler == Baseline {
		return newBaseline(m, len(instances))
	}
	var options []rank.Option
	if scenario.FixedLimits {
		options = append(options, rank.WithFixedLimits())
	}
	s := rank.NewScheduler(id, options...)
	s.Configure(origin, m)
	s.SetPeers(origin, instances)
	return s
}

// scheduleAfter runs a function after a delay of virtual time.
func (sim *simulation) scheduleAfter(delay time.Duration, run func()) {
	sim.sequence++
	heap.Push(&sim.events, event{dueAt: sim.now + delay, sequence: sim.sequence, run: run})
}

// clock returns the current virtual time.
func (sim *simulation) clock() time.Time { return origin.Add(sim.now) }

func (sim *simulation) isFlooding() bool { return sim.now >= floodStart && sim.now < floodEnd }

// faultyDatabase returns the database to which the scenario's fault applies.
func (sim *simulation) faultyDatabase() *database {
	if sim.scenario.SlowPrimary {
		return sim.databases[0]
	}
	return sim.databases[len(sim.databases)-1]
}

func (sim *simulation) injectFault() {
	sim.faultyDatabase().errorShare = sim.scenario.ErrorShare
	sim.faultyDatabase().slowFactor = max(1, sim.scenario.SlowFactor)
}

// isDisconnected reports whether messages between two instances are dropped.
func (sim *simulation) isDisconnected(a, b *instance) bool {
	if a.crashed || b.crashed {
		return true
	}
	return sim.scenario.ZonePartitioned && sim.isFlooding() && (a.zone == 0) != (b.zone == 0)
}

// peerDetectionTime is the time that instances take to detect that peers are lost or
// back.
const peerDetectionTime = time.Second

// updatePeers sets the reachable peers of each instance.
func (sim *simulation) updatePeers() {
	for _, i := range sim.instances {
		s, ok := i.scheduler.(*rank.Scheduler)
		if !ok {
			return
		}
		var live []model.InstanceID
		for _, other := range sim.instances {
			if other == i || !sim.isDisconnected(i, other) {
				live = append(live, other.id)
			}
		}
		s.SetPeers(sim.clock(), live)
	}
}

// crashArbiter crashes the instance that leases the slots.
func (sim *simulation) crashArbiter() {
	if s, ok := sim.instances[0].scheduler.(*rank.Scheduler); ok {
		arbiter := s.Report(sim.clock()).Groups[0].Arbiter
		for _, i := range sim.instances {
			i.crashed = i.id == arbiter
		}
	}
}

func (sim *simulation) clearFault() {
	sim.faultyDatabase().errorShare = 0
	sim.faultyDatabase().slowFactor = 1
}

// delay returns the one-way delay between two availability zones.
func (sim *simulation) delay(a, b int) time.Duration {
	if a == b {
		return intraZoneDelay
	}
	return sim.scenario.Topology.Delay
}
