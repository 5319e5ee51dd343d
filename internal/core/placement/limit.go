package placement

import (
	"math"
	"time"
)

const (
	// congestionFactor is the ratio of a database's average latency to its lowest
	// average at which statements are taken to queue there. queueFactor is added to it
	// in proportion to the statements that wait at this instance, up to maxWeight of
	// them: an instance with a longer queue obtains more of the slots.
	congestionFactor = 2.0
	queueFactor      = 0.8
	maxWeight        = 10
	// limitDecrease multiplies the limit when statements queue at the database, and
	// shedDecrease when it has answered that it has no room.
	limitDecrease = 0.85
	shedDecrease  = 0.5
	// limitIncrease is added to the limit while answers are fast, and once more for
	// each statement that waits here, up to maxWeight of them.
	limitIncrease = 0.03
	// minPerSlot is the number of statements for each slot that all instances together
	// have in flight at their lowest limits: one that runs, and others so that no slot
	// idles while the instances do not know of each other's queues.
	minPerSlot = 3
	// averageWeight and lowestWeight are the weights of the newest sample in the two
	// moving averages of a database's latency: the present one, and the one whose
	// lowest value is kept.
	averageWeight, lowestWeight = 0.1, 0.05
	// minLatencySamples is the number of answers before which there is no lowest
	// average.
	minLatencySamples = 20
	// lowestDriftTime is the time in which the lowest average doubles if no lower one
	// is observed. lowestDriftAtMin is the factor by which it grows with each
	// adjustment at the lowest limit: statements do not queue there because of the
	// instances then, so the database has become slower.
	lowestDriftTime  = 5 * time.Minute
	lowestDriftAtMin = 1.005
	// maxPause bounds the pause between two statements to a database.
	maxPause = 400 * time.Millisecond
	// recoveryPerSecond is how much the limit rises in a second without an adjustment,
	// from recoveryDelay after the last one. An instance that seldom sends a statement to a
	// database gets too few answers for the limit to rise by them after an overload.
	recoveryPerSecond = 0.3
	recoveryDelay     = 500 * time.Millisecond
	// slowdownDecayTime is the time without an answer after which a slowdown counts
	// half.
	slowdownDecayTime = 200 * time.Millisecond
)

// inFlightLimit limits the statements of this instance that are in flight to one
// database. All instances together should use the database's slots and no more, but
// none knows the demand of the others. The limit therefore follows the latency, as TCP
// congestion control does: it rises slowly while answers are fast and falls by a factor
// when statements queue at the database or are shed. A limit below one is a pause
// between two statements.
//
// The zero value has to be resized before its first use.
type inFlightLimit struct {
	value, min, max float64
	// rounded is value as a whole number: up or down, so often that the mean is value.
	// answers counts the answers, by which it is chosen.
	rounded, answers int
	// average is the present average latency, slowAverage a slower one, and lowest the
	// lowest slowAverage observed, as of lowestAt; zero at first.
	average, slowAverage, lowest time.Duration
	lowestAt                     time.Time
	// adjustedAt is when value was last adjusted by an answer, recoversFrom the time
	// from which on it rises by itself.
	adjustedAt, recoversFrom time.Time
	// pausedUntil is the time before which no statement is sent if value is below
	// one.
	pausedUntil time.Time
}

// resize sets the bounds of the limit for a number of slots that a number of instances
// share.
func (l *inFlightLimit) resize(slots, instances int) {
	l.min = min(1, minPerSlot*float64(slots)/float64(instances))
	l.max = float64(slots + extraStatements)
	if l.value == 0 {
		l.value = max(1, float64(slots)/float64(instances))
	}
	l.value = min(max(l.value, l.min), l.max)
	l.rounded = int(l.value)
}

// allows reports whether another statement may be sent.
func (l *inFlightLimit) allows(now time.Time, inFlight int) bool {
	l.recover(now)
	if l.value < 1 {
		return inFlight == 0 && !now.Before(l.pausedUntil)
	}
	return inFlight < l.rounded
}

// slowdown returns the ratio of the average latency to the lowest; 1 if it is unknown.
// Without answers it approaches 1: those who do not send learn nothing.
func (l *inFlightLimit) slowdown(now time.Time) float64 {
	if l.lowest == 0 {
		return 1
	}
	age := now.Sub(l.lowestAt)
	return 1 + (float64(l.average)/float64(l.lowest)-1)/(1+float64(age)/float64(slowdownDecayTime))
}

// whole returns the limit as a number of statements, at least one.
func (l *inFlightLimit) whole() int { return max(1, l.rounded) }

// answered records that the database answered a statement after the given time.
// waiting is the number of statements that wait at this instance for the same group.
func (l *inFlightLimit) answered(now time.Time, elapsed time.Duration, waiting int) {
	l.recover(now)
	l.answers++
	l.average = moveAverage(l.average, elapsed, averageWeight, l.answers)
	l.slowAverage = moveAverage(l.slowAverage, elapsed, lowestWeight, l.answers)
	if l.answers < minLatencySamples {
		return
	}
	if l.lowest == 0 {
		l.lowest, l.lowestAt = l.slowAverage, now
	}
	drift := float64(l.lowest) * float64(now.Sub(l.lowestAt)) / float64(lowestDriftTime)
	l.lowest, l.lowestAt = min(l.lowest+time.Duration(drift), l.slowAverage), now
	weight := float64(min(waiting, maxWeight)) / maxWeight
	isCongested := l.slowdown(now) > congestionFactor+queueFactor*weight
	switch {
	case now.Sub(l.adjustedAt) < l.average:
		// The answers that were under way at the last adjustment do not show its effect.
	case isCongested:
		if l.value == l.min {
			l.lowest = time.Duration(lowestDriftAtMin * float64(l.lowest))
		}
		l.set(now, l.value*limitDecrease)
	default:
		l.set(now, l.value+limitIncrease*(1+maxWeight*weight))
	}
	l.round()
	l.pause(now, elapsed)
}

// moveAverage returns an average with a further sample. The first samples all have the
// same weight.
func moveAverage(average, sample time.Duration, weight float64, samples int) time.Duration {
	return average + time.Duration(max(weight, 1/float64(samples))*float64(sample-average))
}

// round chooses rounded for the time until the next answer. Multiples of the golden
// ratio are spread evenly between whole numbers.
func (l *inFlightLimit) round() {
	whole, part := math.Modf(l.value)
	_, position := math.Modf(float64(l.answers) * (math.Phi - 1))
	l.rounded = int(whole)
	if position < part {
		l.rounded++
	}
}

// shed records that the database had no room for a statement or a connection.
func (l *inFlightLimit) shed(now time.Time) {
	if now.Sub(l.adjustedAt) >= l.average {
		l.set(now, l.value*shedDecrease)
		l.round()
	}
	l.pause(now, l.average)
}

// set adjusts the limit within its bounds.
func (l *inFlightLimit) set(now time.Time, value float64) {
	l.value, l.adjustedAt, l.recoversFrom = min(max(value, l.min), l.max), now, now.Add(recoveryDelay)
}

// recover raises a limit below one by the time since recoversFrom. A limit that reaches
// one ends the pause.
func (l *inFlightLimit) recover(now time.Time) {
	elapsed := now.Sub(l.recoversFrom)
	if l.value >= 1 || elapsed <= 0 {
		return
	}
	l.value, l.recoversFrom = min(1, l.value+recoveryPerSecond*elapsed.Seconds()), now
	if l.value >= 1 {
		l.rounded = max(1, l.rounded)
		l.pausedUntil = time.Time{}
	}
}

// pause delays the next statement so that, with a limit below one, this instance uses
// that part of a slot.
func (l *inFlightLimit) pause(now time.Time, elapsed time.Duration) {
	if l.value >= 1 {
		return
	}
	l.pausedUntil = now.Add(min(maxPause, time.Duration(float64(elapsed)*(1/l.value-1))))
}
