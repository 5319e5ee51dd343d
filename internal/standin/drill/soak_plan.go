package drill

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// soakFault is a kind of fault that a soak injects.
type soakFault struct {
	name string
	// target is what the fault is injected into.
	target soakTarget
	// once limits the fault to one in a run.
	once bool
}

// soakTarget is a class of processes.
type soakTarget int

// The values of soakTarget.
const (
	soakInstance soakTarget = iota
	soakDatabase
	soakPlatform
)

// soakFaults lists the faults by their names on the command line.
var soakFaults = []soakFault{
	{name: "kill", target: soakInstance},
	{name: "term", target: soakInstance},
	{name: "pause", target: soakInstance},
	{name: "reset", target: soakInstance},
	{name: "silent", target: soakInstance},
	{name: "oneway", target: soakInstance},
	{name: "slow", target: soakInstance},
	// A database that was killed has lost its content and does not return.
	{name: "dbkill", target: soakDatabase, once: true},
	{name: "dbpause", target: soakDatabase},
	{name: "dbreset", target: soakDatabase},
	{name: "dbsilent", target: soakDatabase},
	{name: "dboneway", target: soakDatabase},
	{name: "dbslow", target: soakDatabase},
	{name: "dbisolate", target: soakDatabase},
	{name: "outage", target: soakPlatform},
	{name: "late", target: soakPlatform},
	{name: "lose", target: soakPlatform},
	{name: "submit", target: soakInstance},
}

// UnknownFaultError reports a name that is not in the list of faults.
type UnknownFaultError struct{ Name string }

// Error implements error.
func (e *UnknownFaultError) Error() string {
	return fmt.Sprintf("no fault %q; --help lists the faults", e.Name)
}

// plannedFault is one fault of a run.
type plannedFault struct {
	soakFault
	// index is the index of the target in its class.
	index int
	// from and to are the times since the start at which the fault begins and ends.
	from, to time.Duration
}

// String returns the line of the fault in the plan and in the timeline.
func (f plannedFault) String() string {
	class := [...]string{soakInstance: "instance", soakDatabase: "database", soakPlatform: "platform"}[f.target]
	return fmt.Sprintf("%s %s %d", f.name, class, f.index+1)
}

const (
	// soakWarmUp is the time before the first fault and soakCoolDown that after the
	// last one, in which load is offered without faults.
	soakWarmUp   = 2 * time.Second
	soakCoolDown = 5 * time.Second
	// Faults begin after gaps of up to maxFaultGap and last between minFaultDuration
	// and maxFaultDuration, so that several overlap. One in faultSeriesShare is followed
	// at once by the same fault of the next target.
	maxFaultGap      = 1200 * time.Millisecond
	minFaultDuration = 100 * time.Millisecond
	maxFaultDuration = 4 * time.Second
	faultSeriesShare = 4
	// faultSeriesGap is the time between the faults of such a series.
	faultSeriesGap = 50 * time.Millisecond
)

// planSoak draws the faults of a run. The same arguments give the same plan. A target
// has at most one fault of a kind at a time.
func planSoak(seed uint64, duration time.Duration, kinds []soakFault, counts map[soakTarget]int) []plannedFault {
	random := rand.New(rand.NewPCG(seed, uint64(len(kinds))))
	draw := func(least, most time.Duration) time.Duration {
		return (least + time.Duration(random.Int64N(int64(most-least)))).Round(time.Millisecond)
	}
	var plan []plannedFault
	add := func(f plannedFault) {
		if f.to > duration-soakCoolDown || slices.ContainsFunc(plan, func(other plannedFault) bool {
			return other.name == f.name && (f.once || other.index == f.index && other.to >= f.from)
		}) {
			return
		}
		plan = append(plan, f)
	}
	for at := soakWarmUp; at < duration-soakCoolDown; at += draw(0, maxFaultGap) {
		kind := kinds[random.IntN(len(kinds))]
		f := plannedFault{
			soakFault: kind, index: random.IntN(counts[kind.target]),
			from: at, to: at + draw(minFaultDuration, maxFaultDuration),
		}
		add(f)
		if random.IntN(faultSeriesShare) == 0 {
			f.index = (f.index + 1) % counts[kind.target]
			f.from, f.to = f.from+faultSeriesGap, f.to+faultSeriesGap
			add(f)
		}
	}
	slices.SortStableFunc(plan, func(a, b plannedFault) int { return int(a.from - b.from) })
	return plan
}
