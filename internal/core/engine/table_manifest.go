package engine

import (
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/config/manifest"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// manifestRow is the body of the manifest's row: which object is current.
type manifestRow struct {
	Number uint64           `json:"number"`
	Digest string           `json:"digest"`
	Nonce  model.Nonce      `json:"nonce"`
	Who    string           `json:"who"`
	At     time.Time        `json:"at"`
	By     model.InstanceID `json:"by"`
}

// manifestState is the manifest in force and what is under way to a newer one.
type manifestState struct {
	number  uint64
	digest  string
	body    []byte
	current *manifest.Manifest
	// rowAsk and objectAsk are the questions on their way; wanted is the row
	// whose object is being read.
	rowAsk    uint64
	objectAsk uint64
	wanted    manifestRow
	nextRead  time.Time
	submits   []*submission
}

// kind returns the kind of work of that name. No name means the default.
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

// target returns the time within which a rank's answers are worth their full
// value.
func (s *manifestState) target(rank model.Rank) time.Duration {
	if s.current == nil || int(rank) >= len(s.current.Ranks) {
		return defaultDeadline
	}
	return s.current.Ranks[rank].LatencyTarget
}

// defaultDeadline is the deadline of work that names no kind.
const defaultDeadline = 10 * time.Second
