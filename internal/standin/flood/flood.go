// Package flood measures how schedulers of many instances act together when one
// rank of work floods in, on virtual time.
//
// # What flows in and out
//
// A Scenario flows in: a deployment's size, a rank that floods, how far the
// offered work is above what the databases serve, and what is wrong with a
// database. One group is simulated, since groups share nothing. Requests arrive
// by a Poisson process of a fixed seed at the instances, each of which runs the
// scheduler of core/rank (or the baseline, a first-come-first-served pool with
// fixed equal shares). Messages between instances and to databases take the
// one-way delay between availability zones. A Result flows out: what each rank
// got. The same scenario gives the same result on every run.
//
// The package is no cluster simulator: there are no sessions, positions,
// failovers or connections, only slots, delays and service times.
//
// # Usage
//
//	result := flood.Run(flood.Scenario{Place: flood.Consortium, Way: flood.Leases, Rank: 2, Load: 10, Seed: 1})
//	fmt.Println(result.Ranks[0].Inside())
package flood

import (
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/config/manifest"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// -----------------------------------------------------------------------------
// Sizes.

// Topology is the size of a deployment.
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

// nearDelay is the one-way delay inside an availability zone.
const nearDelay = 200 * time.Microsecond

// The deployments of today.
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

// rankLoad is how one rank behaves: its share of the offered slot-time when
// nothing floods, and the slot-time of one request.
type rankLoad struct {
	share float64
	mean  time.Duration
}

// loads has one entry for each rank of Manifest. A third of each rank's
// slot-time is writes, so that the primary is no narrower than the replicas.
var loads = []rankLoad{
	{share: 0.2, mean: 8 * time.Millisecond},
	{share: 0.5, mean: 5 * time.Millisecond},
	{share: 0.3, mean: 20 * time.Millisecond},
}

// writeShare is the part of the requests that go to the primary.
const writeShare = 1.0 / 3

// baseLoad is the offered work, as a part of capacity, of all ranks together
// when nothing floods.
const baseLoad = 0.5

// Manifest returns the manifest of a deployment.
func Manifest(place Topology) *manifest.Manifest {
	m := &manifest.Manifest{
		Service: place.Name,
		Ranks: []manifest.Rank{
			{Name: "urgent", LatencyTarget: 150 * time.Millisecond, Value: 10, MinSlotShare: 0.3},
			{Name: "ordinary", LatencyTarget: 300 * time.Millisecond, Value: 3, MinSlotShare: 0.2},
			{Name: "background", LatencyTarget: 2 * time.Second, Value: 1, MinSlotShare: 0.1},
		},
		Limits: manifest.DatabaseLimits{
			MaxConcurrentStatements: place.Slots, MaxConnections: place.Connections, ReservedConnections: 2, ConnectTime: 12 * time.Millisecond,
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
	for i := range place.Databases {
		group.Databases = append(group.Databases, manifest.Database{Name: databaseName(i)})
	}
	m.Groups = []manifest.Group{group}
	return m
}

func databaseName(i int) model.DatabaseID { return model.DatabaseID(rune('a' + i)) }

// -----------------------------------------------------------------------------
// Scenarios.

// The ways to divide slots.
const (
	// Baseline is a first-come-first-served pool with fixed equal shares.
	Baseline = "baseline"
	// Leases is the scheduler of core/rank.
	Leases = "leases"
)

// Schedulers lists the ways to divide slots.
var Schedulers = []string{Baseline, Leases}

// Scenario is one run.
type Scenario struct {
	Topology Topology
	// Scheduler is one of Ways.
	Scheduler string
	// Rank is the rank that floods.
	Rank model.Rank
	// Load is the offered work of all ranks as a part of capacity during the
	// flood.
	Load float64
	Seed uint64
	// SlowFactor is how many times slower the last database is during the flood;
	// below 1 it is as ever.
	SlowFactor float64
	// SlowPrimary lets the primary be the slow or failing one.
	SlowPrimary bool
	// ErrorShare is the part of the requests that the same database answers with
	// an error at once during the flood.
	ErrorShare float64
	// FixedLimits turns adaptive limits off.
	FixedLimits bool
	// ZonePartitioned lets no message pass between the instances of the first availability
	// zone and the others during the flood. The databases are in reach of all.
	ZonePartitioned bool
	// ArbiterCrashes lets the instance that leases the slots crash when the flood begins.
	ArbiterCrashes bool
	// SingleIngress lets all of the flood arrive at one instance.
	SingleIngress bool
}

// Times of a run.
const (
	floodStart = 3 * time.Second
	floodEnd   = 11 * time.Second
	runEnd     = 17 * time.Second
	// settleTime is left out of the figures at the beginning of the flood.
	settleTime = 1 * time.Second
	// tickTime is the longest time between two ticks of an instance.
	tickTime = 5 * time.Millisecond
)

// countedFrom returns when arrivals begin to count: after the beginning of the
// flood, or with it where peers are lost at that moment.
func (s *Scenario) countedFrom() time.Duration {
	if s.ZonePartitioned || s.ArbiterCrashes {
		return floodStart
	}
	return floodStart + settleTime
}

// capacity returns the slot-time that the databases give in a second.
func (s *Scenario) capacity() float64 { return float64(s.Topology.Databases * s.Topology.Slots) }

// arrivals returns the requests of a rank in a second.
func (s *Scenario) arrivals(r model.Rank, flooding bool) float64 {
	part := loads[r].share * baseLoad
	if flooding && r == s.Rank {
		part += max(0, s.Load-baseLoad)
	}
	return part * s.capacity() / loads[r].mean.Seconds()
}

// -----------------------------------------------------------------------------
// Results.

// RankResult is what one rank got during the flood.
type RankResult struct {
	// Offered, InTarget, Late, Refused and Failed count requests that arrived
	// during the flood: all of them, those answered inside the target, those
	// answered after it, those refused or expired, those answered with an
	// error.
	Offered, InTarget, Late, Refused, Failed int
	// P99 is the latency that 99% of the answers stayed under.
	P99 time.Duration
}

// InTargetShare returns the part of the offered requests that were answered inside the
// target.
func (r *RankResult) InTargetShare() float64 {
	if r.Offered == 0 {
		return 1
	}
	return float64(r.InTarget) / float64(r.Offered)
}

// Result is what a run gave.
type Result struct {
	Scenario Scenario
	Ranks    []RankResult
	// Goodput is the slot-time of the answers inside their target, as a part
	// of capacity.
	Goodput float64
	// GoodputByRank has the same by rank.
	GoodputByRank []float64
	// SlotShareByRank is the part of the used slot-time that each rank had, with the way
	// there and back. It is what floors are about.
	SlotShareByRank []float64
	// OfferedByRank is the offered slot-time by rank, as a part of capacity.
	OfferedByRank []float64
	// Worth is the worth of the answers inside their target, as a part of the
	// best possible for the capacity.
	Worth float64
	// Recovery is the time from the end of the flood until at least 99% of
	// what arrives in any rank is answered inside its target again.
	Recovery time.Duration
	// MaxExcessRequests is the greatest number of requests that were at one database or
	// on the way to it, beyond its slots.
	MaxExcessRequests int
	// MessagesPerSecond and BytesPerSecond are what one instance sent to its peers in a second,
	// without the frames around it.
	MessagesPerSecond, BytesPerSecond float64
}
