package placement

import (
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

const (
	// latencyWeight is the weight of the newest sample in the moving average.
	latencyWeight = 0.2
	// latencyDecayTime is the age at which an average latency counts half, so that a
	// database that was slow is tried again.
	latencyDecayTime = time.Second
	// initialUnreachableBackoff is the time for which an unreachable database gets no
	// statements after the first failure. It doubles with each further failure up to
	// maxUnreachableBackoff.
	initialUnreachableBackoff = 150 * time.Millisecond
	maxUnreachableBackoff     = time.Second
	// connectionLimitBackoff is the time for which no more than
	// observedConnectionLimit connections are used to a database that has rejected
	// one for its connection limit: about as long as a statement holds a connection.
	// It doubles with each further rejection before an answer, up to
	// maxConnectionLimitBackoff: where many instances want a connection, each must
	// ask less often.
	connectionLimitBackoff    = 100 * time.Millisecond
	maxConnectionLimitBackoff = 400 * time.Millisecond
	// unresponsiveAfter is the time after which a database with statements in flight
	// and no answer gets no new statements. Statements of the slowest kind take less.
	unresponsiveAfter = 500 * time.Millisecond
	// suspectAfter is the time without an answer after which a primary with
	// statements in flight is probed on a new connection: half of unresponsiveAfter,
	// so that the answer arrives before the primary counts as unresponsive.
	suspectAfter = 250 * time.Millisecond
	// maxAnswerAge is how long an answer shows that an idle primary is healthy: little
	// more than the interval between two probes by an observer, an instance that
	// probes idle primaries. The argument idleThreshold of PrimariesToProbe determines
	// that interval. Where an instance seldom sends a statement to a primary, an answer
	// from before a failure must not count against those who find it silent.
	maxAnswerAge = 1300 * time.Millisecond
	// lagReduction is the fraction by which the lag estimate of a replica falls with
	// each answer that was fresh enough. lagDecayTime is the age at which the
	// estimate is halved, so that a replica that has caught up is tried again even
	// if nothing was sent to it.
	lagReduction = 0.02
	lagDecayTime = 500 * time.Millisecond
)

// Result is the result of one statement at a database.
type Result struct {
	// Elapsed is the time from sending the statement to its answer.
	Elapsed time.Duration
	// Position is the end of the database's log, where it answered.
	Position model.Position
	Outcome  Outcome
	// Lag is the age of the position that the database's log lacked. It is set with
	// OutcomeBehind only.
	Lag time.Duration
}

// Outcome classifies a statement's result by what it shows about the database.
type Outcome int

// The values of Outcome.
const (
	// OutcomeAnswered: the database answered.
	OutcomeAnswered Outcome = iota
	// OutcomeWritten: the database executed a write or a commit.
	OutcomeWritten
	// OutcomeNotPrimary: the database is a replica and rejected a statement that only a
	// primary executes.
	OutcomeNotPrimary
	// OutcomeBehind: the database's log lacked the minimum position.
	OutcomeBehind
	// OutcomeBusy: the database had no free slot for the statement.
	OutcomeBusy
	// OutcomeConnectionLimit: the database rejected a new connection because of its
	// connection limit.
	OutcomeConnectionLimit
	// OutcomeUnreachable: no connection could be opened.
	OutcomeUnreachable
	// OutcomeConnectionLost: the connection broke before the answer. Only the next
	// connection shows whether the database is reachable.
	OutcomeConnectionLost
	// OutcomeNotSent: the statement was not sent.
	OutcomeNotSent
)

// databaseState is a database with its state as observed through its answers.
type databaseState struct {
	Database
	// inFlight counts the statements that await an answer, connectionsInUse the
	// connections that are reserved.
	inFlight, connectionsInUse int
	// limit limits inFlight. paces holds how fast each rank gets reservations, and
	// reservedAt is when the last statement was sent.
	limit inFlightLimit
	paces map[model.Rank]*pace
	// credits holds, for the ranks that give way, the part of the next statement that
	// they have saved up.
	credits map[model.Rank]float64
	// latency is the moving average of the time to an answer, updated last at
	// latencyUpdatedAt.
	latency          time.Duration
	latencyUpdatedAt time.Time
	// firstAnswerAt is the time of the first answer, until a statement that was sent
	// after it is answered: until then the average is not trusted (see isExplored).
	firstAnswerAt time.Time
	// applied is the highest log position that was observed. lag is the estimated
	// time until a commit reaches this database.
	applied model.Position
	lag     time.Duration
	// behindAt is when the log last lacked a minimum position.
	behindAt time.Time
	// unansweredSince is the time since which an answer has been awaited without any
	// other having arrived; zero if none is awaited.
	unansweredSince time.Time
	// blockedUntil is the time before which the database gets no statements.
	// connectionLimitUntil is the time before which the number of connections does
	// not rise above observedConnectionLimit.
	blockedUntil, connectionLimitUntil time.Time
	// observedConnectionLimit is the number of connections that were in use when the
	// database rejected another one.
	observedConnectionLimit int
	// connectionRejections counts the connections rejected since the last answer.
	connectionRejections int
	failures             int
	// lastAnswerAt is the time of the last answer, unreachableSince that of the first
	// failed attempt to connect after it. notPrimarySince is the time since which the
	// database has rejected statements that only a primary executes.
	lastAnswerAt, unreachableSince, notPrimarySince time.Time
}

// recordSent records that a statement is being sent to the database.
func (db *databaseState) recordSent(now time.Time) {
	if db.unansweredSince.IsZero() {
		db.unansweredSince = now
	}
}

// recordResult updates the state with the result of a statement.
func (db *databaseState) recordResult(now time.Time, result Result) {
	switch result.Outcome {
	case OutcomeAnswered:
		db.answered(now)
		db.recordLatency(now, result.Elapsed)
		db.lag -= time.Duration(float64(db.lag) * lagReduction)
	case OutcomeBehind:
		db.answered(now)
		db.lag = max(db.lagEstimate(now), result.Lag) + time.Millisecond
		db.behindAt = now
	case OutcomeBusy:
		db.answered(now)
		db.recordLatency(now, max(result.Elapsed, 2*db.latency))
		db.firstAnswerAt = time.Time{}
	case OutcomeConnectionLimit:
		db.connectionRejections++
		db.connectionLimitUntil = now.Add(db.connectionLimitDelay())
		db.observedConnectionLimit = db.connectionsInUse - 1
	case OutcomeUnreachable:
		db.unansweredSince = time.Time{}
		db.recordUnreachable(now)
	case OutcomeConnectionLost:
		db.unansweredSince = time.Time{}
	case OutcomeNotPrimary:
		db.answered(now)
		if db.notPrimarySince.IsZero() {
			db.notPrimarySince = now
		}
	case OutcomeWritten:
		db.answered(now)
		db.recordLatency(now, result.Elapsed)
		db.notPrimarySince = time.Time{}
	case OutcomeNotSent:
	}
	if db.inFlight == 0 {
		db.unansweredSince = time.Time{}
	}
	db.applied = db.applied.Max(result.Position)
}

// recordUnreachable records a failed attempt to connect or an unanswered probe.
func (db *databaseState) recordUnreachable(now time.Time) {
	db.failures++
	if db.unreachableSince.IsZero() {
		db.unreachableSince = now
	}
	db.blockedUntil = now.Add(db.backoff())
}

// failureDuration returns for how long the database has been unreachable,
// unresponsive or not a primary; zero if it is none of these.
func (db *databaseState) failureDuration(now time.Time) time.Duration {
	var longest time.Duration
	for _, since := range []time.Time{db.unreachableSince, db.notPrimarySince} {
		if !since.IsZero() {
			longest = max(longest, now.Sub(since))
		}
	}
	if db.isUnresponsive(now) {
		longest = max(longest, now.Sub(db.unansweredSince))
	}
	return longest
}

// answered records that the database has answered.
func (db *databaseState) answered(now time.Time) {
	db.lastAnswerAt = now
	db.failures = 0
	db.connectionRejections = 0
	db.unreachableSince = time.Time{}
	db.blockedUntil = time.Time{}
	db.unansweredSince = time.Time{}
	if db.inFlight > 0 {
		db.unansweredSince = now
	}
}

// retryDelay returns the time after which reservations are to be assigned again
// because of result; zero if no retry is needed.
func (db *databaseState) retryDelay(result Result) time.Duration {
	switch result.Outcome {
	case OutcomeUnreachable:
		return db.backoff()
	case OutcomeConnectionLimit:
		return db.connectionLimitDelay()
	case OutcomeAnswered, OutcomeWritten, OutcomeNotPrimary, OutcomeBehind, OutcomeBusy, OutcomeConnectionLost, OutcomeNotSent:
	}
	return 0
}

// backoff returns the time for which the database gets no statements, by its number
// of failures since the last answer.
func (db *databaseState) backoff() time.Duration {
	const doublings = 4
	return min(initialUnreachableBackoff<<min(max(db.failures-1, 0), doublings), maxUnreachableBackoff)
}

// connectionLimitDelay returns the time for which no further connection is opened, by
// the number of rejections since the last answer.
func (db *databaseState) connectionLimitDelay() time.Duration {
	const doublings = 2
	return min(connectionLimitBackoff<<min(max(db.connectionRejections-1, 0), doublings), maxConnectionLimitBackoff)
}

// recordLatency updates the average latency. The lowest latency of the first answers and
// of the next statement begins the average: the first statements on new connections also
// prepare them.
func (db *databaseState) recordLatency(now time.Time, elapsed time.Duration) {
	switch {
	case db.latency == 0:
		db.latency, db.firstAnswerAt = elapsed, now
	case !db.firstAnswerAt.IsZero():
		db.latency = min(db.latency, elapsed)
		if sentAt := now.Add(-elapsed); !sentAt.Before(db.firstAnswerAt) {
			db.firstAnswerAt = time.Time{}
		}
	default:
		db.latency += time.Duration(latencyWeight * float64(elapsed-db.latency))
	}
	db.latencyUpdatedAt = now
}

// isExplored reports whether a read is to be sent whatever the latency of the first
// answers. Only one is sent at a time, so that a slow database gets one read more.
func (db *databaseState) isExplored() bool {
	return !db.firstAnswerAt.IsZero() && db.inFlight == 0
}

// expectedLatency returns the average latency, lowered according to its age.
func (db *databaseState) expectedLatency(now time.Time) time.Duration {
	age := now.Sub(db.latencyUpdatedAt)
	return time.Duration(float64(db.latency) / (1 + float64(age)/float64(latencyDecayTime)))
}

// isSuspected reports whether an answer has been outstanding for so long that the
// database is to be probed on a new connection.
func (db *databaseState) isSuspected(now time.Time) bool {
	return !db.unansweredSince.IsZero() && now.Sub(db.unansweredSince) > suspectAfter
}

// isUnresponsive reports whether an answer has been outstanding for so long that the
// database gets no new statements.
func (db *databaseState) isUnresponsive(now time.Time) bool {
	return !db.unansweredSince.IsZero() && now.Sub(db.unansweredSince) > unresponsiveAfter
}

// hasProbablyReached reports whether the log has reached position, which was written
// before asOf, or should have by the lag estimate.
func (db *databaseState) hasProbablyReached(now time.Time, position model.Position, asOf time.Time) bool {
	return !db.applied.Less(position) || now.Sub(asOf) >= db.lagEstimate(now)
}

// lagEstimate returns the estimated lag, lowered according to the estimate's age.
func (db *databaseState) lagEstimate(now time.Time) time.Duration {
	return time.Duration(float64(db.lag) / (1 + float64(now.Sub(db.behindAt))/float64(lagDecayTime)))
}
