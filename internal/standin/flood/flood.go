// Package flood simulates, on virtual time, how the schedulers of several instances
// behave together while one rank sends far more work than the databases can serve.
//
// # What flows in and out
//
// A Scenario flows in: the topology of a deployment, the rank that floods, the
// offered work as a fraction of what the databases can serve, and the faults of a
// database or of peers. One group is simulated, since groups share nothing. Requests
// arrive at the instances by a Poisson process with a fixed seed. Each instance runs
// the scheduler of core/rank, or the baseline: a first-come-first-served pool with
// fixed equal shares. Messages between instances and to databases take the one-way
// delay between availability zones. A Result flows out: what each rank got. The same
// scenario gives the same result on every run.
//
// The simulation has slots, delays and service times only. It has no sessions,
// positions, failovers or connections.
//
// # Usage
//
//	result := flood.Run(flood.Scenario{Topology: flood.Consortium, Scheduler: flood.Leases, Rank: 2, Load: 10, Seed: 1})
//	fmt.Println(result.Ranks[0].InTargetShare())
package flood

import (
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/config/manifest"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// -----------------------------------------------------------------------------
// Sizes.

// Topology is the size of a deployment: the numbers of availability zones, instances
// and databases, and the slots and connections of each database.
type Topology struct {
	Name        string
	Zones       int
	Instances   int
	Databases   int
	Slots       int
	Connections int
	// Delay is the one-way delay between availability zones.
	Delay time.Duration
}

// intraZoneDelay is the one-way delay within an availability zone.
const intraZoneDelay = 200 * time.Microsecond

// The topologies of the deployments that are in use.
var (
	Consortium = Topology{
		Name: "handicap-db", Zones: 3, Instances: 6, Databases: 3, Slots: 3, Connections: 20,
		Delay: time.Millisecond,
	}
	Reparto = Topology{
		Name: "libro-reparto", Zones: 4, Instances: 7, Databases: 3, Slots: 2, Connections: 30,
		Delay: 1500 * time.Microsecond,
	}
)

// rankLoad describes the load of one rank: its share of the offered slot-time outside
// the flood, and the mean service time of one request.
type rankLoad struct {
	slotTimeShare   float64
	meanServiceTime time.Duration
}

// rankLoads has one entry for each rank of Manifest. A third of each rank's slot-time
// is writes, so that the primary is loaded no more than each replica.
var rankLoads = []rankLoad{
	{slotTimeShare: 0.2, meanServiceTime: 8 * time.Millisecond},
	{slotTimeShare: 0.5, meanServiceTime: 5 * time.Millisecond},
	{slotTimeShare: 0.3, meanServiceTime: 20 * time.Millisecond},
}

// writeShare is the fraction of requests that are writes and go to the primary.
const writeShare = 1.0 / 3

// baseLoad is the work that all ranks together offer outside the flood, as a fraction
// of capacity.
const baseLoad = 0.5

// Manifest returns the manifest of a deployment: three ranks, a read kind and a write
// kind for each, and one group.
func Manifest(topology Topology) *manifest.Manifest {
	m := &manifest.Manifest{
		Service: topology.Name,
		Ranks: []manifest.Rank{
			{Name: "urgent", LatencyTarget: 150 * time.Millisecond, Value: 10, MinSlotShare: 0.3},
			{Name: "ordinary", LatencyTarget: 300 * time.Millisecond, Value: 3, MinSlotShare: 0.2},
			{Name: "background", LatencyTarget: 2 * time.Second, Value: 1, MinSlotShare: 0.1},
		},
		Limits: manifest.DatabaseLimits{
			MaxConcurrentStatements: topology.Slots, MaxConnections: topology.Connections, ReservedConnections: 2, ConnectTime: 12 * time.Millisecond,
		},
	}
	deadlines := []time.Duration{time.Second, 2 * time.Second, 10 * time.Second}
	for r, declared := range m.Ranks {
		for _, access := range []model.Access{model.AccessWrite, model.AccessRead} {
			m.Kinds = append(m.Kinds, manifest.RequestKind{
				Name: declared.Name + "-" + access.String(), Rank: model.Rank(r), Access: access, Deadline: deadlines[r],
			})
		}
	}
	group := manifest.Group{Name: "group"}
	for i := range topology.Databases {
		group.Databases = append(group.Databases, manifest.Database{Name: databaseName(i)})
	}
	m.Groups = []manifest.Group{group}
	return m
}

func databaseName(i int) model.DatabaseID { return model.DatabaseID(rune('a' + i)) }

// -----------------------------------------------------------------------------
// Scenarios.

// The schedulers that divide the slots of the databases among the instances.
const (
	// Baseline is a first-come-first-served pool with fixed equal shares.
	Baseline = "baseline"
	// Leases is the scheduler of core/rank.
	Leases = "leases"
)

// Schedulers lists the names of all schedulers.
var Schedulers = []string{Baseline, Leases}

// Scenario describes one run.
type Scenario struct {
	Topology Topology
	// Scheduler is one of Schedulers.
	Scheduler string
	// Rank is the rank that floods.
	Rank model.Rank
	// Load is the work that all ranks together offer during the flood, as a
	// fraction of capacity.
	Load float64
	// Seed is the seed of the arrivals.
	Seed uint64
	// SlowFactor multiplies the service times of the last database during the
	// flood. Values below 1 count as 1.
	SlowFactor float64
	// SlowPrimary applies SlowFactor and ErrorShare to the primary instead of the
	// last database.
	SlowPrimary bool
	// ErrorShare is the fraction of requests that the same database answers with an
	// immediate error during the flood.
	ErrorShare float64
	// FixedLimits disables adaptive limits.
	FixedLimits bool
	// ZonePartitioned drops all messages between the instances of the first
	// availability zone and the others during the flood. All instances still reach
	// all databases.
	ZonePartitioned bool
	// ArbiterCrashes makes the arbiter, the instance that leases the slots, crash
	// when the flood begins.
	ArbiterCrashes bool
	// SingleIngress sends all requests of the rank that floods to one instance.
	SingleIngress bool
}

// Times of a run, from its start.
const (
	floodStart = 3 * time.Second
	floodEnd   = 11 * time.Second
	runEnd     = 17 * time.Second
	// transientTime is the time at the beginning of the flood that the figures
	// leave out.
	transientTime = 1 * time.Second
	// tickInterval is the time between two ticks of an instance.
	tickInterval = 5 * time.Millisecond
)

// measurementStart returns the time from which arrivals count: transientTime after the
// flood begins, or when it begins where peers are lost at that moment.
func (s *Scenario) measurementStart() time.Duration {
	if s.ZonePartitioned || s.ArbiterCrashes {
		return floodStart
	}
	return floodStart + transientTime
}

// capacity returns the slot-time that all databases together provide in a second, in
// seconds.
func (s *Scenario) capacity() float64 { return float64(s.Topology.Databases * s.Topology.Slots) }

// arrivalRate returns the number of requests of a rank that arrive in a second.
func (s *Scenario) arrivalRate(r model.Rank, flooding bool) float64 {
	offeredShare := rankLoads[r].slotTimeShare * baseLoad
	if flooding && r == s.Rank {
		offeredShare += max(0, s.Load-baseLoad)
	}
	return offeredShare * s.capacity() / rankLoads[r].meanServiceTime.Seconds()
}

// -----------------------------------------------------------------------------
// Results.

// RankResult counts the requests of one rank during the flood.
type RankResult struct {
	// Offered, InTarget, Late, Refused and Failed count requests that arrived
	// during the measured time: all of them, those answered within the target,
	// those answered after it, those refused or expired, and those that failed.
	Offered, InTarget, Late, Refused, Failed int
	// P99 is the 99th percentile of the latencies of the requests answered without
	// an error.
	P99 time.Duration
}

// InTargetShare returns the fraction of offered requests that were answered within the
// target, or 1 where none was offered.
func (r *RankResult) InTargetShare() float64 {
	if r.Offered == 0 {
		return 1
	}
	return float64(r.InTarget) / float64(r.Offered)
}

// Result holds the figures of a run.
type Result struct {
	Scenario Scenario
	Ranks    []RankResult
	// Goodput is the slot-time of the requests answered within their target, as a
	// fraction of capacity.
	Goodput float64
	// GoodputByRank is the goodput of each rank.
	GoodputByRank []float64
	// SlotShareByRank is the fraction of the used slot-time that each rank had,
	// including the delays to the database and back. The minimum slot shares of
	// the manifest apply to it.
	SlotShareByRank []float64
	// OfferedByRank is the offered slot-time of each rank, as a fraction of
	// capacity.
	OfferedByRank []float64
	// Worth is the worth of the requests answered within their target, as a
	// fraction of the maximum that the capacity allows.
	Worth float64
	// Recovery is the time from the end of the flood until at least 99% of the
	// arriving requests of every rank are answered within their target again;
	// negative where that is never reached.
	Recovery time.Duration
	// MaxExcessRequests is the maximum number of requests beyond its slots that were
	// at one database or on their way to or from it at once.
	MaxExcessRequests int
	// MessagesPerSecond and BytesPerSecond are the messages and their bytes that one
	// instance sent to its peers in a second on average, without framing.
	MessagesPerSecond, BytesPerSecond float64
}
