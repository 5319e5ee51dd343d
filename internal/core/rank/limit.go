package rank

import (
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// slotsAhead is the number of requests that all instances together may have on
// their way to a database beyond its slots, so that the slots do not idle during
// the way there and back.
const slotsAhead = 2

// Constants of adaptive limits.
const (
	// slowRatio is the slowdown, against the best of the group's databases,
	// at which a limit is lowered; wellRatio is the one below which it rises.
	slowRatio = 3.0
	wellRatio = 1.5
	// slowFloor is the least time that a slowdown is measured against. Among
	// answers that take less, the differences are those of queues and of the
	// machine, at any load, and no target is near.
	slowFloor = time.Millisecond
	// failShare is the share of failures at which a limit is lowered, and
	// failStreak the number of failures in a row at which a circuit opens.
	failShare  = 0.7
	failStreak = 8
	// limitFactor is the multiplicative decrease, limitStep the additive
	// increase with each good answer.
	limitFactor = 0.5
	limitStep   = 0.1
	// limitSamples is the number of answers between two decreases.
	limitSamples = 10
	// limitWeight is the weight of the newest answer in the slowdown and in the
	// share of failures, timeWeight its weight in the mean time of its kind.
	limitWeight = 0.1
	timeWeight  = 0.05
	// baseRises is the part by which the remembered best time of a kind rises
	// with each answer towards what is measured.
	baseRises = 0.001
	// probeFirst and probeLast bound the time between single probes of an
	// open circuit; it doubles with each that goes badly.
	probeFirst = 200 * time.Millisecond
	probeLast  = 2 * time.Second
)

// circuit is the state of a limiter.
type circuit int

// The values of circuit.
const (
	// circuitClosed lets work through, up to the limit.
	circuitClosed circuit = iota
	// circuitSlow lets work through that has no other database, and single
	// probes.
	circuitSlow
	// circuitFailing lets single probes through.
	circuitFailing
)

// String names c for log lines.
func (c circuit) String() string { return [...]string{"closed", "slow", "failing"}[c] }

// limiter adapts how much of a database is used to how it answers.
type limiter struct {
	slots   float64
	ratio   float64
	fails   float64
	streak  int
	samples int
	state   circuit
	// until is when the next probe may start, pause how long after the one
	// before.
	until time.Time
	pause time.Duration
	// probe is the request that probes, or 0.
	probe model.RequestID
	// times holds what each kind of work takes on this database.
	times map[string]*kindTime
}

// kindTime is the mean time of a kind on one database, and the best that is
// remembered.
type kindTime struct{ mean, best float64 }

func newLimiter(slots int) limiter {
	return limiter{slots: float64(slots), ratio: 1, times: map[string]*kindTime{}}
}

// measure takes in the time of a kind.
func (l *limiter) measure(kind string, took time.Duration) *kindTime {
	known := l.times[kind]
	sample := float64(took)
	if known == nil {
		known = &kindTime{mean: sample, best: sample}
		l.times[kind] = known
	}
	known.mean += timeWeight * (sample - known.mean)
	known.best = min(known.mean, known.best+baseRises*(known.mean-known.best))
	return known
}

// -----------------------------------------------------------------------------
// What a limiter allows.

// isUsable reports whether work may go to the database; hasOther tells whether
// it may go to another one.
func (l *limiter) isUsable(now time.Time, hasOther bool) bool {
	switch {
	case l.state == circuitClosed:
		return true
	case l.state == circuitSlow && !hasOther:
		return true
	}
	return l.probe == 0 && !now.Before(l.until)
}

// usable takes the databases out of mask that their limiters do not allow.
func (g *group) usable(now time.Time, mask uint64) uint64 {
	left := mask
	for _, d := range g.databases {
		if mask&d.bit != 0 && !d.limiter.isUsable(now, g.hasOther(mask, d)) {
			left &^= d.bit
		}
	}
	return left
}

// hasOther reports whether mask names another database than d whose circuit is
// closed.
func (g *group) hasOther(mask uint64, d *database) bool {
	for _, other := range g.databases {
		if other != d && mask&other.bit != 0 && other.limiter.state == circuitClosed {
			return true
		}
	}
	return false
}

// limitOf returns the slots of d that all instances together should use, as
// this instance sees it.
func (s *Scheduler) limitOf(d *database) int {
	return min(max(1, int(d.limiter.slots)), s.limits.MaxConcurrentStatements)
}

// lowered returns the limits that this instance has lowered.
func (s *Scheduler) lowered(g *group) []message.SlotLimit {
	var limits []message.SlotLimit
	for _, d := range g.databases {
		if limit := s.limitOf(d); limit < s.limits.MaxConcurrentStatements {
			limits = append(limits, message.SlotLimit{Database: d.id, Slots: limit})
		}
	}
	return limits
}

// -----------------------------------------------------------------------------
// What a limiter learns.

// learn takes in how the use of a slot ended.
func (s *Scheduler) learn(now time.Time, it *item, ending SlotCompletion) {
	if s.hasFixedLimits {
		return
	}
	d := it.database
	l := &d.limiter
	ratio := l.ratio
	if !ending.Failed && ending.Elapsed > 0 {
		ratio = s.slowdown(d, it.work.Kind, ending.Elapsed)
	}
	failed := 0.0
	l.streak++
	if ending.Failed {
		failed = 1
	} else {
		l.streak = 0
	}
	l.samples++
	l.ratio += limitWeight * (ratio - l.ratio)
	l.fails += limitWeight * (failed - l.fails)
	if l.probe == it.work.Request {
		s.probed(now, d, ending.Failed || ratio > slowRatio, ending.Failed)
		return
	}
	s.adapt(now, d, ending.Failed)
}

// slowdown compares the time of a kind with the best that a database of the
// group has for it.
func (s *Scheduler) slowdown(d *database, kind string, took time.Duration) float64 {
	best := d.limiter.measure(kind, took).best
	for _, other := range d.group.databases {
		if known := other.limiter.times[kind]; known != nil {
			best = min(best, known.mean)
		}
	}
	return float64(took) / max(best, float64(slowFloor))
}

// adapt moves the limit by additive increase and multiplicative decrease, and
// opens the circuit at the floor of one slot.
func (s *Scheduler) adapt(now time.Time, d *database, failed bool) {
	l := &d.limiter
	isBad := l.ratio > slowRatio || l.fails > failShare
	switch {
	case l.state != circuitClosed:
	case l.streak >= failStreak:
		s.open(now, d)
	case isBad && l.samples >= limitSamples:
		l.samples = 0
		if l.slots > 1 {
			l.slots = max(1, l.slots*limitFactor)
			s.note(now, limitLowered(d))
			return
		}
		s.open(now, d)
	case !isBad && !failed && l.ratio < wellRatio && l.slots < float64(s.limits.MaxConcurrentStatements):
		l.slots = min(l.slots+limitStep, float64(s.limits.MaxConcurrentStatements))
		if l.slots == float64(s.limits.MaxConcurrentStatements) {
			s.note(now, limitRestored(d))
		}
	}
}

// open opens the circuit of d.
func (s *Scheduler) open(now time.Time, d *database) {
	l := &d.limiter
	l.state = circuitSlow
	if l.streak >= failStreak || l.fails > failShare {
		l.state = circuitFailing
	}
	l.pause = probeFirst
	l.until = now.Add(l.pause)
	s.note(now, circuitOpened(d))
}

// probed takes in how a probe ended.
func (s *Scheduler) probed(now time.Time, d *database, isBad, failed bool) {
	l := &d.limiter
	l.probe = 0
	if isBad {
		l.pause = min(2*l.pause, probeLast)
		l.until = now.Add(l.pause)
		l.state = circuitSlow
		if failed {
			l.state = circuitFailing
		}
		return
	}
	l.state = circuitClosed
	l.ratio, l.fails, l.samples, l.streak = 1, 0, 0, 0
	l.slots = 1
	s.note(now, circuitClosedAgain(d))
}

// -----------------------------------------------------------------------------
// Connections.

// joinTime is how long an instance that has not met any other one takes itself
// for a newcomer whose peers have not been heard yet.
const joinTime = 3 * time.Second

// isNewcomer reports whether there may be others that were not heard yet.
func (s *Scheduler) isNewcomer() bool {
	return len(s.peers.known) <= 1 && s.now.Sub(s.born) < joinTime
}

// controlConnections is the number of connections that an instance holds to each
// database for control: one for questions, one that waits for positions.
const controlConnections = 2

// Connections returns the connections to a database that this instance may
// have open for work, at least one. One share more than there are known instances
// is counted, and a newcomer has one connection only, so that an instance that
// joins does not take the total above the limit; and each share has room for the
// instance's control connections, without which it could not serve at all.
func (s *Scheduler) Connections(model.DatabaseID) int {
	if s.isNewcomer() {
		return 1
	}
	budget := max(0, s.limits.MaxConnections-s.limits.ReservedConnections)
	return max(1, budget/(len(s.peers.known)+1)-controlConnections)
}

// perInstance returns the slots of d that one instance may use at once.
func (s *Scheduler) perInstance(d *database) int {
	return min(s.limits.MaxConcurrentStatements, s.Connections(d.id))
}
