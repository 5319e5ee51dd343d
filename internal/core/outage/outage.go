// Package outage estimates when a group that has no primary within reach will have one
// again, and decides which requests can wait for that.
//
// # What flows in and out
//
// Observations of a group's primary flow in: it serves, it does not answer, it is being
// replaced, or it has just been promoted and has not answered yet. The time at which the
// group is expected to be served again flows out, and for each request a Verdict: wait,
// or reject now and return at a given time.
//
// An outage consists of steps. What each took before, for any group, is kept in
// Durations; the defaults are what the steps take if all instances are in contact. A step
// that takes longer than usual is expected to go on in proportion to its delay.
//
// # Usage
//
//	durations := outage.NewDurations()
//	tracker.Observe(now, outage.StageChanging, since, durations)
//	verdict := tracker.Judge(now, durations, request)
package outage

import (
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// Stage is how far a group's primary is from being served.
type Stage int

// The values of Stage.
const (
	// StageServing: the primary answers, or nothing else is known.
	StageServing Stage = iota
	// StageUnanswered: the primary does not answer, and its replacement has not begun.
	StageUnanswered
	// StageChanging: the primary is being replaced.
	StageChanging
	// StagePromoted: another database has become the primary, but has not answered yet.
	StagePromoted
)

// String returns the name of s for log lines and metrics.
func (s Stage) String() string {
	return [...]string{"serving", "unanswered", "changing", "promoted"}[s]
}

const (
	// defaultUnanswered is the time from the first missing answer until the views show
	// that the primary is being replaced, defaultChanging the time until they show the
	// new one, of which the platform states one second, and defaultPromoted the time
	// until that answers.
	defaultUnanswered = 600 * time.Millisecond
	defaultChanging   = 1300 * time.Millisecond
	defaultPromoted   = 100 * time.Millisecond
	// newestWeight is the weight of the newest duration of a step in its average.
	newestWeight = 0.5
	// maxDuration bounds what counts as the duration of a step: a longer one says how
	// long a failure outside the system lasted.
	maxDuration = 4 * time.Second
	// tolerance is the part of its usual duration by which a step may be late without
	// being delayed.
	tolerance = 0.25
	// delayFactor is how much longer a delayed step is expected to take, in proportion
	// to its delay.
	delayFactor = 0.5
	// maxSpread bounds the time over which those that were rejected return.
	maxSpread = 2 * time.Second
)

// Durations holds what each step of an outage usually takes. Use NewDurations to create
// it.
type Durations struct{ average map[Stage]time.Duration }

// NewDurations returns the durations that apply before any outage has been observed.
func NewDurations() *Durations {
	return &Durations{average: map[Stage]time.Duration{
		StageUnanswered: defaultUnanswered, StageChanging: defaultChanging, StagePromoted: defaultPromoted,
	}}
}

// record adds the duration of a step that has led to the next one.
func (d *Durations) record(stage Stage, elapsed time.Duration) {
	elapsed = min(max(elapsed, 0), maxDuration)
	d.average[stage] += time.Duration(newestWeight * float64(elapsed-d.average[stage]))
}

// remaining returns how much longer a step is expected to take.
func (d *Durations) remaining(stage Stage, elapsed time.Duration) time.Duration {
	usual := d.average[stage]
	if elapsed <= usual+time.Duration(tolerance*float64(usual)) {
		return max(0, usual-elapsed)
	}
	return time.Duration(delayFactor * float64(elapsed-usual))
}

// Tracker follows the primary of one group. The zero value is ready to use.
type Tracker struct {
	stage Stage
	since time.Time
	// returning counts those that were rejected in this outage, by rank.
	returning map[model.Rank]int
}

// Stage returns the present stage.
func (t *Tracker) Stage() Stage { return t.stage }

// Observe records the stage of the primary at time now, which it has been in since the
// given time.
func (t *Tracker) Observe(now time.Time, stage Stage, since time.Time, durations *Durations) {
	if stage == t.stage {
		return
	}
	// A step that ends otherwise than by the next one says nothing about what it takes.
	switch {
	case t.stage == StageUnanswered && stage == StageChanging,
		t.stage == StageChanging,
		t.stage == StagePromoted && stage == StageServing:
		durations.record(t.stage, now.Sub(t.since))
	}
	t.stage, t.since = stage, since
	if stage == StageServing {
		t.returning = nil
	}
}

// End returns the time at which the primary is expected to answer; now if it does.
func (t *Tracker) End(now time.Time, durations *Durations) time.Time {
	if t.stage == StageServing {
		return now
	}
	wait := durations.remaining(t.stage, now.Sub(t.since))
	for stage := t.stage + 1; stage <= StagePromoted; stage++ {
		wait += durations.average[stage]
	}
	return now.Add(wait)
}

// Request is a request that waits for the primary.
type Request struct {
	Rank model.Rank
	// Deadline is the time after which the request must not be sent; zero means none.
	Deadline time.Time
	// Ahead is the number of requests that will be served first, and Interval the time
	// that the primary takes for each.
	Ahead    int
	Interval time.Duration
	// Alternative is the time at which the request can be served without the primary;
	// zero if it can't.
	Alternative time.Time
}

// Verdict is the decision about a request.
type Verdict struct {
	// Rejected is true if the request can't be served in time.
	Rejected bool
	// ServedAt is the time at which the request is expected to be served or, if it is
	// rejected, at which its caller should return.
	ServedAt time.Time
}

// Judge decides whether a request can wait for the end of the outage. Those that are
// rejected are told to return after it one after the other, the urgent ranks first, as
// fast as the primary serves them.
func (t *Tracker) Judge(now time.Time, durations *Durations, request Request) Verdict {
	end := t.End(now, durations)
	servedAt := end.Add(time.Duration(request.Ahead) * request.Interval)
	if alternative := request.Alternative; !alternative.IsZero() && alternative.Before(servedAt) {
		servedAt = alternative
	}
	if request.Deadline.IsZero() || !servedAt.After(request.Deadline) {
		return Verdict{ServedAt: servedAt}
	}
	before := request.Ahead
	for rank, count := range t.returning {
		if rank <= request.Rank {
			before += count
		}
	}
	if t.returning == nil {
		t.returning = map[model.Rank]int{}
	}
	t.returning[request.Rank]++
	return Verdict{Rejected: true, ServedAt: end.Add(min(maxSpread, time.Duration(before)*request.Interval))}
}
