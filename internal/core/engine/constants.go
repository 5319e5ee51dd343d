package engine

import "time"

// controlInterval is the minimum time between two runs of the control systems while
// only requests arrive.
const controlInterval = 5 * time.Millisecond

// -----------------------------------------------------------------------------
// Databases.

const (
	// probeInterval is the time between two status probes of a database while no
	// read waits for a sample.
	probeInterval = 250 * time.Millisecond
	// probeTimeout bounds the wait for the response to a probe.
	probeTimeout = 400 * time.Millisecond
	// awaitTimeout bounds the time that a replica waits to receive a position.
	awaitTimeout = 500 * time.Millisecond
	// controlTimeout bounds the wait for a fence, a promotion, a follow or the
	// resolution of an in-doubt commit.
	controlTimeout = time.Second
	// maxConfirmationAge is the maximum age of the confirmation of a term under
	// which writes are still sent.
	maxConfirmationAge = time.Second
	// unreachableAfter is the time without a response after which a database with
	// failed probes counts as unreachable.
	unreachableAfter = 600 * time.Millisecond
	// silenceTimeout is the time without a byte of a response after which the
	// connection is checked.
	silenceTimeout = time.Second
	// maxReplicaWait is the maximum time that a read waits for a replica to catch
	// up. The latency target of its rank may lower it.
	maxReplicaWait = 50 * time.Millisecond
	// barrierThreshold is the staleness bound below which a read waits for a
	// position barrier instead of using earlier samples.
	barrierThreshold = 20 * time.Millisecond
	// stalenessMargin is subtracted from a staleness bound to allow for the travel
	// time of the response.
	stalenessMargin = 5 * time.Millisecond
	// minSampleSpacing is the minimum time between two stored position samples.
	minSampleSpacing = 5 * time.Millisecond
	// maxSampleAge is the maximum age of a stored position sample.
	maxSampleAge = time.Minute
	// maxBehindAnswers is the number of responses from lagging replicas after which
	// a read goes to the primary.
	maxBehindAnswers = 2
	// maxAttempts bounds the attempts of one request.
	maxAttempts = 12
)

// -----------------------------------------------------------------------------
// Failover.

const (
	// streamLostAfter is the time for which all reachable replicas must report a
	// lost replication stream before the primary is suspected.
	streamLostAfter = 300 * time.Millisecond
	// suspicionRetention is how long the primary stays suspected while too few databases
	// respond to tell: a few times the timeout of a probe.
	suspicionRetention = 2 * time.Second
	// coordinatorStagger is the additional time that each further instance in the
	// coordinator order waits before it claims a failover.
	coordinatorStagger = 700 * time.Millisecond
	// claimExpiry is the time after which an unchanged claim of another instance
	// may be replaced.
	claimExpiry = 2 * time.Second
	// leavingGracePeriod is the time for which a failover waits for a majority of
	// fenced databases that are neither leaving nor the replaced primary.
	leavingGracePeriod = 500 * time.Millisecond
	// rowTimeout bounds a request to the platform during a failover.
	rowTimeout = time.Second
	// retryPause is the pause before a failed step of a failover, a submission or
	// the resolution of a commit is retried.
	retryPause = 200 * time.Millisecond
	// repairInterval is the minimum time between two repairs of one database.
	repairInterval = time.Second
	// maxLogbookRecords is the maximum number of promotion records that an instance
	// keeps for each group.
	maxLogbookRecords = 64
)

// -----------------------------------------------------------------------------
// Instances, platform, manifest, shutdown.

const (
	// heartbeatInterval is the time between heartbeats to one peer while there are
	// few links.
	heartbeatInterval = 500 * time.Millisecond
	// heartbeatLinkThreshold bounds the total rate of heartbeats: the time between
	// heartbeats to one peer is heartbeatInterval for each full
	// heartbeatLinkThreshold links, and at least one heartbeatInterval.
	heartbeatLinkThreshold = 8
	// maxMissedHeartbeats is the number of heartbeat intervals for which an
	// instance counts as alive after its last heartbeat.
	maxMissedHeartbeats = 4
	// maxLinks bounds the number of peer links of an instance.
	maxLinks = 24
	// maxKnownPeers bounds the list of known peers in a heartbeat.
	maxKnownPeers = 8
	// listInterval is the time between two reads of the platform's list of
	// instances.
	listInterval = 10 * time.Second
	// platformTimeout bounds a request to the platform outside a failover.
	platformTimeout = 3 * time.Second
	// manifestInterval is the time between two reads of the manifest's row.
	manifestInterval = 5 * time.Second
	// initialManifestInterval is the time between two reads of the manifest's row
	// while no manifest is in force.
	initialManifestInterval = 300 * time.Millisecond
	// submissionTimeout is the time after which a submission without a result is
	// reported as unavailable or of unknown outcome.
	submissionTimeout = 10 * time.Second
	// drainTimeout is the time after which a draining instance terminates although
	// requests remain.
	drainTimeout = 60 * time.Second
	// minDrainTime is the minimum time between the start of draining and
	// termination, so that the other instances receive a message about it.
	minDrainTime = 500 * time.Millisecond
)
