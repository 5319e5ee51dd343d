package fleet

import (
	"sync"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/core/placement"
	"github.com/eelgrassfold/eelgrassfold/internal/core/route"
)

const (
	// missingEntryGrace is how long a database is still used after its entry
	// has gone missing: entries that expire while the store is unavailable are
	// written again within two seconds of its return.
	missingEntryGrace = 2500 * time.Millisecond
	// directorySkew bounds by how much instances differ in when they drop or retire a
	// database.
	directorySkew = 2 * missingEntryGrace
	// droppedMemory is how long a dropped database may count in a survey.
	droppedMemory = maxSurveyViewAge + directorySkew
	// maxRejected is the number of invalid entries that are remembered, so that each
	// is logged once; maxRejectedLines is how many invalid parts of a configuration
	// are logged.
	maxRejected      = 1000
	maxRejectedLines = 20
	// admissionConfirmTimeout bounds the read of the store for a caller that is
	// about to be refused; a caller waits two seconds for an answer.
	admissionConfirmTimeout = 1200 * time.Millisecond
	// minLookUpInterval is the minimum time between two such reads.
	minLookUpInterval = 500 * time.Millisecond
	// peerRetryInterval is the time without an answer after which a newer
	// configuration or list of databases is requested from another peer. It is
	// longer than a large answer takes on a slow link.
	peerRetryInterval = 400 * time.Millisecond
	// unconfirmedReadyLimit is the time without a confirmed primary after which
	// the instance reports that it is not ready for further callers. After
	// unconfirmedCloseLimit it closes idle sessions: by then the platform has
	// taken it out of its rotation.
	unconfirmedReadyLimit = 400 * time.Millisecond
	unconfirmedCloseLimit = unconfirmedReadyLimit + 2300*time.Millisecond
)

// directory holds the configuration in force and the known databases.
type directory struct {
	mu               sync.Mutex
	hasConfiguration bool
	configuration    route.Configuration
	// confirmedAt is the latest time at which the configuration was known to be
	// the newest, listConfirmedAt the same for the list of databases.
	confirmedAt, listConfirmedAt time.Time
	// isLookingUp is set while the store is read for a caller that is about to be
	// refused; lookedUpAt is when the last such read ended.
	isLookingUp bool
	lookedUpAt  time.Time
	// changed is closed, and replaced, when a configuration is adopted or
	// confirmed.
	changed chan struct{}
	entries map[model.DatabaseID]*entry
	// dropped are the databases that were removed from entries less than droppedMemory
	// ago.
	dropped map[model.DatabaseID]droppedDatabase
	// rejected holds the entries that could not be decoded.
	rejected rejections
	// configurationBody is the configuration in force, encoded and without
	// secrets.
	configurationBody []byte
	// publishedInstances is the number of instances that was last passed to the
	// scheduler, publishedMembers the version of the members at that time.
	publishedInstances int
	publishedMembers   uint64
	// listed is the store's version of the list of databases.
	listed uint64
	// configurationRequest and databasesRequest are the last requests to peers.
	configurationRequest, databasesRequest versionRequest
	// unconfirmedSince is the time since which no primary can be confirmed, or
	// zero.
	unconfirmedSince time.Time
}

// versionRequest is the last request to a peer for the configuration or the
// list of databases, with the version that was announced.
type versionRequest struct {
	version uint64
	sentAt  time.Time
}

// recordIfDue reports whether a version is to be requested now, and records the
// request if so. While a request is recent, neither the same version nor an
// older one is requested from another peer, since all peers that have a version
// announce it at once.
func (r *versionRequest) recordIfDue(version uint64, now time.Time) bool {
	if version <= r.version && now.Sub(r.sentAt) < peerRetryInterval {
		return false
	}
	*r = versionRequest{version: version, sentAt: now}
	return true
}

// entry is a database's entry in the store.
type entry struct {
	placement.Database
	version uint64
	// raw is the entry, encoded as the database wrote it.
	raw []byte
	// missingSince is when the entry was found missing, leavingSince when it
	// first marked the database as leaving; both are zero otherwise.
	missingSince, leavingSince time.Time
	// knownSince is when the entry was first seen; zero if it was in the first list that
	// this instance has received.
	knownSince time.Time
	// retired is set when the database has been leaving for so long that it may
	// get no more work.
	retired bool
}

// droppedDatabase is a database whose entry is missing, and when it was dropped.
type droppedDatabase struct {
	placement.Database
	at time.Time
}

func newDirectory() directory {
	return directory{
		changed: make(chan struct{}), entries: map[model.DatabaseID]*entry{}, dropped: map[model.DatabaseID]droppedDatabase{},
	}
}
