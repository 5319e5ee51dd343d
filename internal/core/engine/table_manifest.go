package engine

import (
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/config/manifest"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// manifestRow is the body of the manifest's row at the platform. It names the
// current manifest object.
type manifestRow struct {
	Number      uint64           `json:"number"`
	Digest      string           `json:"digest"`
	Nonce       model.Nonce      `json:"nonce"`
	SubmittedBy string           `json:"who"`
	SubmittedAt time.Time        `json:"at"`
	WrittenBy   model.InstanceID `json:"by"`
}

// manifestState holds the manifest in force and the requests for a newer one.
type manifestState struct {
	number  uint64
	digest  string
	body    []byte
	current *manifest.Manifest
	// rowReadID and objectReadID are the correlation IDs of the pending reads, or
	// 0; pendingRow is the row whose object is being read.
	rowReadID    uint64
	objectReadID uint64
	pendingRow   manifestRow
	nextRead     time.Time
	// rejectedVersion is the version of the last row that could not be decoded.
	rejectedVersion string
	submissions     []*submission
}

// kind returns the request kind of that name, and false if there is none. An empty
// name means the default kind.
func (s *manifestState) kind(name string) (manifest.RequestKind, bool) {
	if name == "" {
		name = defaultKind
	}
	if s.current == nil {
		return manifest.RequestKind{}, false
	}
	for _, kind := range s.current.Kinds {
		if kind.Name == name {
			return kind, true
		}
	}
	if name == defaultKind {
		return manifest.RequestKind{Name: name, Rank: model.Rank(len(s.current.Ranks) / 2), Deadline: defaultDeadline}, true
	}
	return manifest.RequestKind{}, false
}

// latencyTarget returns the time within which a response of the rank has its full
// value.
func (s *manifestState) latencyTarget(rank model.Rank) time.Duration {
	if s.current == nil || int(rank) >= len(s.current.Ranks) {
		return defaultDeadline
	}
	return s.current.Ranks[rank].LatencyTarget
}

// defaultDeadline is the deadline of requests that name no kind.
const defaultDeadline = 10 * time.Second
