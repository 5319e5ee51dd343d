// Package status defines the reports that an instance gives to operators.
//
// # What flows in and out
//
// The core fills the types; the operators' edge sends them as JSON, and the
// command line reads and prints them. Keys are short names of one word, times
// are of the reporting instance's clock, durations are in nanoseconds.
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

// Status is the whole state of one instance, as it believes it.
type Status struct {
	Instance string `json:"instance"`
	Zone     string `json:"zone"`
	// ManifestNumber is the number of the manifest in force; 0 where there is none.
	ManifestNumber uint64 `json:"manifest"`
	ManifestDigest string `json:"digest"`
	Draining       bool   `json:"draining"`
	// OpenSessions and Requests count what is open now.
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
	// DurablePosition is the newest position that survives a promotion.
	DurablePosition string `json:"proven"`
	// TermConfirmationAge is the age of the proof of the term.
	TermConfirmationAge time.Duration `json:"proof"`
	// CommitsAwaitingQuorum and Settling count commits that wait for a proof, and those
	// whose outcome is being asked for.
	CommitsAwaitingQuorum int `json:"proving"`
	InDoubtCommits        int `json:"settling"`
	// FailoverStep names the step of a change of primary conducted here.
	FailoverStep string     `json:"change"`
	Evidence     []string   `json:"evidence,omitempty"`
	Databases    []Database `json:"databases"`
}

// Database is one database as the instance last heard of it.
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
	// TimeSinceAnswer is the time since the last answer.
	TimeSinceAnswer time.Duration `json:"silent"`
	ReplicationLag  time.Duration `json:"lag"`
	Latency         time.Duration `json:"latency"`
	// RunningRequests counts this instance's requests at the database.
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

// Logbook is a list of changes of primary.
type Logbook struct {
	Records []any `json:"records"`
	// Source tells whether the platform was asked lately; without it the
	// records are what this instance and its peers know.
	QueriedAt time.Time `json:"asked"`
}

// Manifest is the manifest in force.
type Manifest struct {
	Number uint64 `json:"number"`
	Digest string `json:"digest"`
	Body   string `json:"body"`
}
