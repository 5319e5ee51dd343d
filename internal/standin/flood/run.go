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
// The bench.

// scheduler is what the bench asks of an instance.
type scheduler interface {
	Enqueue(now time.Time, work rank.Work) (rank.Refusal, bool)
	Requeue(now time.Time, request model.RequestID, ending rank.SlotCompletion)
	TakeExpired(now time.Time) []model.RequestID
	AssignSlots(now time.Time, candidates rank.Candidates) []rank.SlotAssignment
	Finish(now time.Time, request model.RequestID, ending rank.SlotCompletion)
	HandlePeerMessage(now time.Time, from model.InstanceID, body message.PeerMessage)
	TakeMessages(now time.Time) []message.SendPeer
}

// origin is the beginning of virtual time.
var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// request is one request on its way.
type request struct {
	id      model.RequestID
	rank    model.Rank
	access  model.Access
	arrived time.Duration
	service time.Duration
	tries   int
	// sent is when the last try was sent.
	sent time.Duration
}

// instance is one instance of the product.
type instance struct {
	id       model.InstanceID
	zone     int
	schedule scheduler
	requests map[model.RequestID]*request
	turn     int
	// down says that the instance has crashed.
	down bool
}

// database has slots, and a first-come-first-served line for what is beyond.
type database struct {
	id      model.DatabaseID
	zone    int
	busy    int
	line    []job
	inUse   int
	failing float64
	slow    float64
}

type job struct {
	from *instance
	req  *request
}

// simulation is the state of a run.
type simulation struct {
	scenario  Scenario
	manifest  *manifest.Manifest
	random    *rand.Rand
	now       time.Duration
	events    eventQueue
	order     uint64
	instances []*instance
	databases []*database
	next      model.RequestID
	result    Result
	worst     [][]time.Duration
	messages  int
	bytes     int
	// held is the slot-time that each rank had, with the way there and back.
	held []time.Duration
	// bins count, for 100 ms of arrival each, what was offered and what was
	// inside the target, by rank.
	bins [][]bin
}

type bin struct{ offered, inside int }

// binTime is the width of the bins from which recovery is found.
const binTime = 100 * time.Millisecond

// Run runs a scenario.
func Run(scenario Scenario) Result {
	sim := newSimulation(scenario)
	for _, i := range sim.instances {
		sim.tick(i)
	}
	for r := range loads {
		sim.arrive(model.Rank(r))
	}
	sim.after(floodStart, func() { sim.breakDatabase() })
	sim.after(floodEnd, func() { sim.mendDatabase() })
	if scenario.ArbiterCrashes {
		sim.after(floodStart, func() { sim.crash() })
	}
	if scenario.ZonePartitioned || scenario.ArbiterCrashes {
		sim.after(floodStart+noticeTime, func() { sim.notice() })
		sim.after(floodEnd+noticeTime, func() { sim.notice() })
	}
	for len(sim.events) > 0 && sim.events[0].at < runEnd {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.run()
	}
	return sim.finish()
}

func newSimulation(scenario Scenario) *simulation {
	sim := &simulation{
		scenario: scenario,
		manifest: Manifest(scenario.Topology),
		random:   rand.New(rand.NewPCG(scenario.Seed, 1)),
	}
	sim.result = Result{Scenario: scenario, Ranks: make([]RankResult, len(loads))}
	sim.held = make([]time.Duration, len(loads))
	sim.worst = make([][]time.Duration, len(loads))
	for range loads {
		sim.bins = append(sim.bins, make([]bin, runEnd/binTime+1))
	}
	for i := range scenario.Topology.Databases {
		sim.databases = append(sim.databases, &database{id: databaseName(i), zone: i % scenario.Topology.Zones, slow: 1})
	}
	var ids []model.InstanceID
	for i := range scenario.Topology.Instances {
		ids = append(ids, model.InstanceID("instance-"+string(rune('1'+i))))
	}
	for i, id := range ids {
		sim.instances = append(sim.instances, &instance{
			id: id, zone: i % scenario.Topology.Zones, schedule: newScheduler(scenario, id, sim.manifest, ids),
			requests: map[model.RequestID]*request{},
		})
	}
	return sim
}

func newScheduler(scenario Scenario, id model.InstanceID, m *manifest.Manifest, all []model.InstanceID) scheduler {
	if scenario.Scheduler == Baseline {
		return newBaseline(m, len(all))
	}
	var options []rank.Option
	if scenario.FixedLimits {
		options = append(options, rank.WithFixedLimits())
	}
	s := rank.NewScheduler(id, options...)
	s.Configure(origin, m)
	s.SetPeers(origin, all)
	return s
}

// after lets something happen later.
func (sim *simulation) after(delay time.Duration, run func()) {
	sim.order++
	heap.Push(&sim.events, event{at: sim.now + delay, order: sim.order, run: run})
}

func (sim *simulation) clock() time.Time { return origin.Add(sim.now) }

func (sim *simulation) isFlooding() bool { return sim.now >= floodStart && sim.now < floodEnd }

func (sim *simulation) broken() *database {
	if sim.scenario.SlowPrimary {
		return sim.databases[0]
	}
	return sim.databases[len(sim.databases)-1]
}

func (sim *simulation) breakDatabase() {
	sim.broken().failing = sim.scenario.ErrorShare
	sim.broken().slow = max(1, sim.scenario.SlowFactor)
}

// isCut reports whether no message passes between two instances.
func (sim *simulation) isCut(a, b *instance) bool {
	if a.down || b.down {
		return true
	}
	return sim.scenario.ZonePartitioned && sim.isFlooding() && (a.zone == 0) != (b.zone == 0)
}

// noticeTime is how long instances take to notice that peers are gone or back.
const noticeTime = time.Second

// notice tells each instance which peers it can hear.
func (sim *simulation) notice() {
	for _, i := range sim.instances {
		s, ok := i.schedule.(*rank.Scheduler)
		if !ok {
			return
		}
		var live []model.InstanceID
		for _, other := range sim.instances {
			if other == i || !sim.isCut(i, other) {
				live = append(live, other.id)
			}
		}
		s.SetPeers(sim.clock(), live)
	}
}

// crash lets the instance crash that leases the slots.
func (sim *simulation) crash() {
	if s, ok := sim.instances[0].schedule.(*rank.Scheduler); ok {
		arbiter := s.Report(sim.clock()).Groups[0].Arbiter
		for _, i := range sim.instances {
			i.down = i.id == arbiter
		}
	}
}

func (sim *simulation) mendDatabase() {
	sim.broken().failing = 0
	sim.broken().slow = 1
}

// delay returns the one-way delay between two availability zones.
func (sim *simulation) delay(a, b int) time.Duration {
	if a == b {
		return nearDelay
	}
	return sim.scenario.Topology.Delay
}
