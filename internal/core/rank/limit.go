package rank

import (
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// inTransitRequests is the number of requests that all instances together may
// have on their way to a database in addition to its slots, so that no slot
// idles during the round trip.
const inTransitRequests = 2

// Constants of adaptive limits.
const (
	// decreaseSlowdown is the slowdown, relative to the fastest database of the
	// group, above which a limit is lowered; increaseSlowdown is the one below
	// which it is raised.
	decreaseSlowdown = 3.0
	increaseSlowdown = 1.5
	// minBaseTime is the minimum time relative to which a slowdown is measured.
	// Differences between answers that take less come from queueing and from
	// the machine at any load, and such answers are far from any latency
	// target.
	minBaseTime = time.Millisecond
	// maxFailureRate is the failure rate above which a limit is lowered, and
	// failuresToOpen the number of consecutive failures at which a circuit
	// opens.
	maxFailureRate = 0.7
	failuresToOpen = 8
	// limitDecrease is the factor of the multiplicative decrease, limitIncrease
	// the additive increase with each good answer, in slots.
	limitDecrease = 0.5
	limitIncrease = 0.1
	// samplesPerDecrease is the minimum number of answers between two
	// decreases.
	samplesPerDecrease = 10
	// sampleWeight is the weight of the newest answer in the slowdown and in
	// the failure rate, timeSampleWeight its weight in the mean time of its
	// kind.
	sampleWeight     = 0.1
	timeSampleWeight = 0.05
	// bestTimeRise is the fraction of its distance to the mean by which the
	// best time of a kind rises with each answer.
	bestTimeRise = 0.001
	// minProbeInterval and maxProbeInterval bound the time between single
	// probes of an open circuit, which doubles with each unsuccessful probe.
	minProbeInterval = 200 * time.Millisecond
	maxProbeInterval = 2 * time.Second
)

// circuit is the state of a limiter's circuit breaker.
type circuit int

// Values of circuit. Slow and failing circuits are open.
const (
	// circuitClosed admits requests up to the limit.
	circuitClosed circuit = iota
	// circuitSlow admits single probes, and requests that no database with a
	// closed circuit can serve.
	circuitSlow
	// circuitFailing admits single probes only.
	circuitFailing
)

// String returns the name of c in log events and reports.
func (c circuit) String() string { return [...]string{"closed", "slow", "failing"}[c] }

// limiter adapts the number of slots in use at a database to the speed and
// failures of its answers.
type limiter struct {
	limit         float64
	slowdown      float64
	failureRate   float64
	failureStreak int
	samples       int
	state         circuit
	// nextProbeAt is when the next probe may start, probeInterval the current
	// time between two probes.
	nextProbeAt   time.Time
	probeInterval time.Duration
	// probeRequest is the running probe, or 0.
	probeRequest model.RequestID
	// timesByKind holds the service times of each request kind on this
	// database.
	timesByKind map[string]*kindTime
}

// kindTime holds the mean time of a kind on one database and the best time
// remembered, in nanoseconds.
type kindTime struct{ mean, best float64 }

func newLimiter(limit int) limiter {
	return limiter{limit: float64(limit), slowdown: 1, timesByKind: map[string]*kindTime{}}
}

// recordTime adds the service time of a request to the times of its kind and
// returns them.
func (l *limiter) recordTime(kind string, elapsed time.Duration) *kindTime {
	times := l.timesByKind[kind]
	sample := float64(elapsed)
	if times == nil {
		times = &kindTime{mean: sample, best: sample}
		l.timesByKind[kind] = times
	}
	times.mean += timeSampleWeight * (sample - times.mean)
	times.best = min(times.mean, times.best+bestTimeRise*(times.mean-times.best))
	return times
}

// -----------------------------------------------------------------------------
// Limits on the use of a database.

// isUsable reports whether requests may go to the database now. hasOther says
// that another database with a closed circuit can serve them.
func (l *limiter) isUsable(now time.Time, hasOther bool) bool {
	switch {
	case l.state == circuitClosed:
		return true
	case l.state == circuitSlow && !hasOther:
		return true
	}
	return l.probeRequest == 0 && !now.Before(l.nextProbeAt)
}

// usableMask returns those databases of mask that their limiters admit now.
func (g *group) usableMask(now time.Time, mask uint64) uint64 {
	usable := mask
	for _, d := range g.databases {
		if mask&d.bit != 0 && !d.limiter.isUsable(now, g.hasOtherClosed(mask, d)) {
			usable &^= d.bit
		}
	}
	return usable
}

// hasOtherClosed reports whether mask contains a database other than d whose
// circuit is closed.
func (g *group) hasOtherClosed(mask uint64, d *database) bool {
	for _, other := range g.databases {
		if other != d && mask&other.bit != 0 && other.limiter.state == circuitClosed {
			return true
		}
	}
	return false
}

// limitOf returns the number of slots of d that all instances together should
// use according to this instance.
func (s *Scheduler) limitOf(d *database) int {
	return min(max(1, int(d.limiter.limit)), s.limits.MaxConcurrentStatements)
}

// loweredLimits returns the limits of the databases for which this instance has
// lowered them.
func (s *Scheduler) loweredLimits(g *group) []message.SlotLimit {
	var limits []message.SlotLimit
	for _, d := range g.databases {
		if limit := s.limitOf(d); limit < s.limits.MaxConcurrentStatements {
			limits = append(limits, message.SlotLimit{Database: d.id, Slots: limit})
		}
	}
	return limits
}

// -----------------------------------------------------------------------------
// Adaptation of limits to answers.

// recordCompletion adapts the limiter of the database on which an item ran.
func (s *Scheduler) recordCompletion(now time.Time, it *item, completion SlotCompletion) {
	if s.hasFixedLimits {
		return
	}
	d := it.database
	l := &d.limiter
	slowdown := l.slowdown
	if !completion.Failed && completion.Elapsed > 0 {
		slowdown = s.slowdownOf(d, it.work.Kind, completion.Elapsed)
	}
	failure := 0.0
	l.failureStreak++
	if completion.Failed {
		failure = 1
	} else {
		l.failureStreak = 0
	}
	l.samples++
	l.slowdown += sampleWeight * (slowdown - l.slowdown)
	l.failureRate += sampleWeight * (failure - l.failureRate)
	if l.probeRequest == it.work.Request {
		s.finishProbe(now, d, completion.Failed || slowdown > decreaseSlowdown, completion.Failed)
		return
	}
	s.adaptLimit(now, d, completion.Failed)
}

// slowdownOf records the service time of a request and returns its ratio to the
// best time that a database of the group has for the kind.
func (s *Scheduler) slowdownOf(d *database, kind string, elapsed time.Duration) float64 {
	best := d.limiter.recordTime(kind, elapsed).best
	for _, other := range d.group.databases {
		if times := other.limiter.timesByKind[kind]; times != nil {
			best = min(best, times.mean)
		}
	}
	return float64(elapsed) / max(best, float64(minBaseTime))
}

// adaptLimit raises the limit by an additive step or lowers it by a factor. At
// the minimum of one slot it opens the circuit instead of lowering the limit.
func (s *Scheduler) adaptLimit(now time.Time, d *database, failed bool) {
	l := &d.limiter
	isBad := l.slowdown > decreaseSlowdown || l.failureRate > maxFailureRate
	switch {
	case l.state != circuitClosed:
	case l.failureStreak >= failuresToOpen:
		s.openCircuit(now, d)
	case isBad && l.samples >= samplesPerDecrease:
		l.samples = 0
		if l.limit > 1 {
			l.limit = max(1, l.limit*limitDecrease)
			s.logEvent(now, limitLowered(d))
			return
		}
		s.openCircuit(now, d)
	case !isBad && !failed && l.slowdown < increaseSlowdown && l.limit < float64(s.limits.MaxConcurrentStatements):
		l.limit = min(l.limit+limitIncrease, float64(s.limits.MaxConcurrentStatements))
		if l.limit == float64(s.limits.MaxConcurrentStatements) {
			s.logEvent(now, limitRestored(d))
		}
	}
}

// openCircuit opens the circuit of d and schedules the first probe.
func (s *Scheduler) openCircuit(now time.Time, d *database) {
	l := &d.limiter
	l.state = circuitSlow
	if l.failureStreak >= failuresToOpen || l.failureRate > maxFailureRate {
		l.state = circuitFailing
	}
	l.probeInterval = minProbeInterval
	l.nextProbeAt = now.Add(l.probeInterval)
	s.logEvent(now, circuitOpened(d))
}

// finishProbe handles the end of a probe: it schedules the next probe if the
// answer was bad, and otherwise closes the circuit with a limit of one slot.
func (s *Scheduler) finishProbe(now time.Time, d *database, isBad, failed bool) {
	l := &d.limiter
	l.probeRequest = 0
	if isBad {
		l.probeInterval = min(2*l.probeInterval, maxProbeInterval)
		l.nextProbeAt = now.Add(l.probeInterval)
		l.state = circuitSlow
		if failed {
			l.state = circuitFailing
		}
		return
	}
	l.state = circuitClosed
	l.slowdown, l.failureRate, l.samples, l.failureStreak = 1, 0, 0, 0
	l.limit = 1
	s.logEvent(now, circuitClosedAgain(d))
}

// -----------------------------------------------------------------------------
// Connections.

// joinPeriod is the time after the first Configure during which an instance
// without any known peer assumes that there are others, whose messages have not
// arrived yet.
const joinPeriod = 3 * time.Second

// isJoining reports whether there may be other instances although none is known
// yet.
func (s *Scheduler) isJoining() bool {
	return len(s.peers.known) <= 1 && s.now.Sub(s.configuredAt) < joinPeriod
}

// controlConnections is the number of control connections that an instance
// holds to each database: one for control requests, one that waits for
// positions.
const controlConnections = 2

// Connections returns the maximum number of connections to a database that this
// instance may have open for requests, at least one. The budget is divided by
// one more than the number of known instances, and a joining instance has one
// connection only, so that an instance that joins does not take the total above
// the limit. Each share includes the instance's control connections, without
// which it could not serve at all.
func (s *Scheduler) Connections(model.DatabaseID) int {
	if s.isJoining() {
		return 1
	}
	budget := max(0, s.limits.MaxConnections-s.limits.ReservedConnections)
	return max(1, budget/(len(s.peers.known)+1)-controlConnections)
}

// perInstance returns the number of slots of d that one instance may use at
// once.
func (s *Scheduler) perInstance(d *database) int {
	return min(s.limits.MaxConcurrentStatements, s.Connections(d.id))
}
