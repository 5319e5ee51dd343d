package engine

import "time"

// controlInterval is the least time between two runs of the control systems
// while only requests arrive.
const controlInterval = 5 * time.Millisecond

// -----------------------------------------------------------------------------
// Databases.

const (
	// probeInterval is the time between two questions for a database's status
	// while nothing waits for an answer.
	probeInterval = 250 * time.Millisecond
	// probeTimeout bounds the wait for a status.
	probeTimeout = 400 * time.Millisecond
	// awaitTimeout bounds the wait for a replica to receive a position.
	awaitTimeout = 500 * time.Millisecond
	// controlTimeout bounds the wait for a fence, promotion, follow or settle.
	controlTimeout = time.Second
	// proofAge is the greatest age of the proof of a term under which new
	// writes are sent.
	proofAge = time.Second
	// suspectAfter is the time without an answer after which a database is
	// taken as unreachable.
	suspectAfter = 600 * time.Millisecond
	// silentAfter is the time without a byte of an answer after which the
	// connection is checked.
	silentAfter = time.Second
	// readPatience is the longest time that a read waits for a replica to
	// catch up, where its rank's target allows no less.
	readPatience = 50 * time.Millisecond
	// barrierBound is the staleness bound below which a read waits for a
	// position barrier instead of using earlier samples.
	barrierBound = 20 * time.Millisecond
	// staleMargin is taken off a staleness bound for the time that the answer
	// travels.
	staleMargin = 5 * time.Millisecond
	// sampleSpacing is the least time between two kept samples of positions.
	sampleSpacing = 5 * time.Millisecond
	// sampleAge is the greatest age of a kept sample.
	sampleAge = time.Minute
	// maxBehind is the number of answers from lagging replicas after which a
	// read goes to the primary.
	maxBehind = 2
	// maxAttempts bounds the tries of one request.
	maxAttempts = 12
)

// -----------------------------------------------------------------------------
// Failover.

const (
	// streamLostAfter is the time for which all reachable replicas must report
	// a lost stream before a promotion starts.
	streamLostAfter = 300 * time.Millisecond
	// stewardStep is the time by which each next instance in the order of
	// stewards waits longer before it claims.
	stewardStep = 700 * time.Millisecond
	// claimLease is the time after which an unchanged claim of another
	// instance may be replaced.
	claimLease = 2 * time.Second
	// leavingGrace is the time for which a change of primary waits for a
	// majority of databases that stay.
	leavingGrace = 500 * time.Millisecond
	// rowTimeout bounds a question to the platform during a failover.
	rowTimeout = time.Second
	// retryPause is the pause before a failed step of a failover is repeated.
	retryPause = 200 * time.Millisecond
	// repairInterval is the least time between two repairs of one database.
	repairInterval = time.Second
	// logbookKept is the number of records an instance keeps for each group.
	logbookKept = 64
)

// -----------------------------------------------------------------------------
// Instances, platform, manifest, shutdown.

const (
	// heartbeatInterval is the time between heartbeats to one peer while the
	// links are few.
	heartbeatInterval = 500 * time.Millisecond
	// heartbeatLinks is the number of links beyond which heartbeats become
	// rarer, so that their sum stays bounded.
	heartbeatLinks = 8
	// aliveFor is the number of heartbeat intervals for which an instance
	// counts as alive after its last heartbeat.
	aliveFor = 4
	// maxLinks bounds the links that an instance keeps.
	maxLinks = 24
	// maxKnown bounds the list of known peers in a heartbeat.
	maxKnown = 8
	// listInterval is the time between two reads of the platform's list.
	listInterval = 10 * time.Second
	// platformTimeout bounds a question to the platform outside a failover.
	platformTimeout = 3 * time.Second
	// manifestInterval is the time between two reads of the manifest's row.
	manifestInterval = 5 * time.Second
	// manifestFirst is that time while no manifest is in force.
	manifestFirst = 300 * time.Millisecond
	// submitLimit is the time after which a submission of unknown outcome is
	// reported as such.
	submitLimit = 10 * time.Second
	// drainLimit is the time after which a draining instance ends although
	// requests remain.
	drainLimit = 60 * time.Second
	// drainQuiet is the least time between the announcement of leaving and
	// the end.
	drainQuiet = 500 * time.Millisecond
)
