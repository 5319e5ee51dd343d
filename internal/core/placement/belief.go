package placement

import (
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

const (
	// latencyWeight is the weight of the newest time in the mean.
	latencyWeight = 0.2
	// latencyFade is the time in which what was learnt of a database's speed
	// loses half of its weight, so that one that was slow is tried again.
	latencyFade = time.Second
	// unreachablePause is the time for which a database that could not be
	// reached gets no work; it doubles with each failure up to
	// unreachableMost.
	unreachablePause = 150 * time.Millisecond
	unreachableMost  = time.Second
	// fullPause is the time for which no connection is opened to a database
	// that takes no further one: about what a statement holds one for.
	fullPause = 100 * time.Millisecond
	// silentAfter is the time without any answer after which a database that
	// owes one gets no new work. Statements of the slowest kind take less.
	silentAfter = 500 * time.Millisecond
	// doubtAfter is the time without an owed answer after which a primary is
	// asked on a new connection: half of silentAfter, so that its answer is there
	// before it counts as silent.
	doubtAfter = 250 * time.Millisecond
	// heardFor is how long an answer tells that a primary is well, where it is
	// asked nothing: more than the pause between two questions of a witness.
	heardFor = 2500 * time.Millisecond
	// lagShare is the part by which the estimate of a replica's lag falls with
	// each answer that was fresh enough, and lagFade the time in which it halves
	// without any, so that a replica that has caught up is tried again.
	lagShare = 0.02
	lagFade  = 500 * time.Millisecond
)

// Result is how a statement ended at a database.
type Result struct {
	// Elapsed is the time from sending to the answer.
	Elapsed time.Duration
	// Position is how far the database's log reached, where it answered.
	Position model.Position
	Outcome  Outcome
	// Lag is, with OutcomeBehind, how long ago the position was written that
	// the database's log lacked.
	Lag time.Duration
}

// Outcome tells what a statement's end says of its database.
type Outcome int

// The values of Ending.
const (
	// OutcomeAnswered: it answered.
	OutcomeAnswered Outcome = iota
	// OutcomeWritten: it carried out a write or a commit.
	OutcomeWritten
	// OutcomeNotPrimary: it refused as a replica what only a primary does.
	OutcomeNotPrimary
	// OutcomeBehind: its log lacked a position.
	OutcomeBehind
	// OutcomeBusy: it had no room for the statement.
	OutcomeBusy
	// OutcomeConnectionLimit: it takes no further connection.
	OutcomeConnectionLimit
	// OutcomeUnreachable: no connection could be opened.
	OutcomeUnreachable
	// OutcomeConnectionLost: a connection broke before the answer. Whether the database
	// is there, the next connection tells.
	OutcomeConnectionLost
	// OutcomeNotSent: nothing was sent.
	OutcomeNotSent
)

// belief is a database with what answers have told of it.
type belief struct {
	Database
	// running counts the statements on their way, leased the connections in
	// use.
	running, leased int
	// latency is the mean time of an answer, learnt when it was last updated.
	latency time.Duration
	learnt  time.Time
	// applied is the furthest that the log was seen to reach; lag estimates
	// how long it takes a commit to get there.
	applied model.Position
	lag     time.Duration
	// lagged is when the log was last found too short.
	lagged time.Time
	// owed is since when an answer has been outstanding without any other
	// having come.
	owed time.Time
	// blocked and full are the times before which it gets no work, or no
	// further connection.
	blocked, full time.Time
	// fullAt is the number of connections that there were when the database
	// took no further one.
	fullAt   int
	failures int
	// heard is when it last answered, unreached when the first failure to reach it
	// since then was, and denied since when it has refused what a primary does.
	heard, unreached, denied time.Time
}

// sent notes that a statement goes to the database.
func (b *belief) sent(now time.Time) {
	if b.owed.IsZero() {
		b.owed = now
	}
}

// learn takes in how a statement ended.
func (b *belief) learn(now time.Time, result Result) {
	switch result.Outcome {
	case OutcomeAnswered:
		b.answered(now)
		b.measure(now, result.Elapsed)
		b.lag -= time.Duration(float64(b.lag) * lagShare)
	case OutcomeBehind:
		b.answered(now)
		b.lag = max(b.lagAt(now), result.Lag) + time.Millisecond
		b.lagged = now
	case OutcomeBusy:
		b.answered(now)
		b.measure(now, max(result.Elapsed, 2*b.latency))
	case OutcomeConnectionLimit:
		b.full = now.Add(fullPause)
		b.fullAt = b.leased - 1
	case OutcomeUnreachable:
		b.owed = time.Time{}
		b.unreachable(now)
	case OutcomeConnectionLost:
		b.owed = time.Time{}
	case OutcomeNotPrimary:
		b.answered(now)
		if b.denied.IsZero() {
			b.denied = now
		}
	case OutcomeWritten:
		b.answered(now)
		b.measure(now, result.Elapsed)
		b.denied = time.Time{}
	case OutcomeNotSent:
	}
	if b.running == 0 {
		b.owed = time.Time{}
	}
	b.applied = b.applied.Max(result.Position)
}

// unreachable notes that a connection could not be opened or broke.
func (b *belief) unreachable(now time.Time) {
	b.failures++
	if b.unreached.IsZero() {
		b.unreached = now
	}
	b.blocked = now.Add(b.pause())
}

// failing returns for how long the database has not done what a primary does,
// although it was asked to.
func (b *belief) failing(now time.Time) time.Duration {
	var longest time.Duration
	for _, since := range []time.Time{b.unreached, b.denied} {
		if !since.IsZero() {
			longest = max(longest, now.Sub(since))
		}
	}
	if b.isSilent(now) {
		longest = max(longest, now.Sub(b.owed))
	}
	return longest
}

// answered notes that the database has answered something.
func (b *belief) answered(now time.Time) {
	b.heard = now
	b.failures = 0
	b.unreached = time.Time{}
	b.blocked = time.Time{}
	b.owed = time.Time{}
	if b.running > 0 {
		b.owed = now
	}
}

// pauseOf returns the time after which what waits shall be looked at again.
func (b *belief) pauseOf(result Result) time.Duration {
	switch result.Outcome {
	case OutcomeUnreachable:
		return b.pause()
	case OutcomeConnectionLimit:
		return fullPause
	case OutcomeAnswered, OutcomeWritten, OutcomeNotPrimary, OutcomeBehind, OutcomeBusy, OutcomeConnectionLost, OutcomeNotSent:
	}
	return 0
}

// pause returns the time for which the database gets no work after as many
// failures as it has had.
func (b *belief) pause() time.Duration {
	const doublings = 4
	return min(unreachablePause<<min(max(b.failures-1, 0), doublings), unreachableMost)
}

// measure takes in the time of an answer.
func (b *belief) measure(now time.Time, elapsed time.Duration) {
	if b.latency == 0 {
		b.latency = elapsed
	} else {
		b.latency += time.Duration(latencyWeight * float64(elapsed-b.latency))
	}
	b.learnt = now
}

// expected returns the time that an answer should take, by what was learnt and
// how long ago.
func (b *belief) expected(now time.Time) time.Duration {
	age := now.Sub(b.learnt)
	return time.Duration(float64(b.latency) / (1 + float64(age)/float64(latencyFade)))
}

// isDoubted reports whether the database owes an answer for so long that it shall
// be asked on a new connection.
func (b *belief) isDoubted(now time.Time) bool {
	return !b.owed.IsZero() && now.Sub(b.owed) > doubtAfter
}

// isSilent reports whether the database owes an answer for so long that it gets
// no new work.
func (b *belief) isSilent(now time.Time) bool {
	return !b.owed.IsZero() && now.Sub(b.owed) > silentAfter
}

// hasLikely reports whether the log should have reached a position that was
// written before since.
func (b *belief) hasLikely(now time.Time, position model.Position, since time.Time) bool {
	return !b.applied.Less(position) || now.Sub(since) >= b.lagAt(now)
}

// lagAt returns the estimate of the lag, by how long ago it was made.
func (b *belief) lagAt(now time.Time) time.Duration {
	return time.Duration(float64(b.lag) / (1 + float64(now.Sub(b.lagged))/float64(lagFade)))
}
