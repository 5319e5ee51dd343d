// Package status defines the reports that an instance gives to operators.
//
// # What flows in and out
//
// The core fills the types; the operators' edge sends them as JSON, and the
// command line reads and prints them. Keys are short names of one word, times
// are read from the reporting instance's clock, durations are in nanoseconds.
//
// # Usage
//
//	var report status.Status
//	err := json.Unmarshal(body, &report)
package status

import (
	"net/netip"
	"time"
)

// Status is the state of one instance, as that instance last observed it.
type Status struct {
	Instance string `json:"instance"`
	Zone     string `json:"zone"`
	// ManifestNumber is the number of the manifest in force, or 0 if there is none.
	ManifestNumber uint64 `json:"manifest"`
	ManifestDigest string `json:"digest"`
	Draining       bool   `json:"draining"`
	// OpenSessions and OpenRequests are the current numbers of sessions and requests.
	OpenSessions int     `json:"sessions"`
	OpenRequests int     `json:"requests"`
	Groups       []Group `json:"groups"`
	Peers        []Peer  `json:"peers"`
	Ranks        any     `json:"ranks,omitempty"`
}

// Group is one group of databases.
type Group struct {
	Name    string `json:"name"`
	Term    uint64 `json:"term"`
	Primary string `json:"primary"`
	// DurablePosition is the newest position that is replicated to a majority, so
	// that it survives any promotion.
	DurablePosition string `json:"proven"`
	// TermConfirmationAge is the time since a majority last confirmed the term.
	TermConfirmationAge time.Duration `json:"proof"`
	// CommitsAwaitingQuorum is the number of commits that are not yet durable, and
	// InDoubtCommits that of commits whose outcome is being queried.
	CommitsAwaitingQuorum int `json:"proving"`
	InDoubtCommits        int `json:"settling"`
	// FailoverStep names the current step of a failover that this instance runs.
	FailoverStep string     `json:"change"`
	Evidence     []string   `json:"evidence,omitempty"`
	Databases    []Database `json:"databases"`
}

// Database is the last observed state of one database.
type Database struct {
	Name             string         `json:"name"`
	Zone             string         `json:"zone"`
	Address          netip.AddrPort `json:"address"`
	Role             string         `json:"role"`
	Term             uint64         `json:"term"`
	ReceivedPosition string         `json:"received"`
	AppliedPosition  string         `json:"applied"`
	Streaming        bool           `json:"streaming"`
	Leaving          bool           `json:"leaving"`
	Reachable        bool           `json:"reachable"`
	// TimeSinceAnswer is the time since the database last answered.
	TimeSinceAnswer time.Duration `json:"silent"`
	ReplicationLag  time.Duration `json:"lag"`
	Latency         time.Duration `json:"latency"`
	// RunningRequests is the number of this instance's requests at the database.
	RunningRequests int `json:"running"`
}

// Peer is another instance.
type Peer struct {
	Instance           string         `json:"instance"`
	Zone               string         `json:"zone"`
	Address            netip.AddrPort `json:"address"`
	Alive              bool           `json:"alive"`
	Leaving            bool           `json:"leaving"`
	ManifestNumber     uint64         `json:"manifest"`
	TimeSinceHeartbeat time.Duration  `json:"silent"`
}

// Logbook is a list of promotion records.
type Logbook struct {
	Records []any `json:"records"`
	// QueriedAt is the time of the last successful query of the platform. If it is
	// not recent, the records are those that this instance and its peers know.
	QueriedAt time.Time `json:"asked"`
}

// Manifest is the manifest in force.
type Manifest struct {
	Number uint64 `json:"number"`
	Digest string `json:"digest"`
	Body   string `json:"body"`
}
