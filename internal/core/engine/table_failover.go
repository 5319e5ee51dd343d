package engine

import (
	"encoding/json"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// These are tables and keys of the platform's table service.
const (
	groupTable    = "groups"
	logbookTable  = "logbook"
	manifestTable = "manifest"
	manifestKey   = "current"
)

// rowPhase is the state of a failover as stored in the group's row.
type rowPhase string

const (
	// rowClaimed means that the instance named in the row coordinates a failover
	// under the row's term.
	rowClaimed rowPhase = "claimed"
	// rowPromoted means that the row's database is primary in the row's term.
	rowPromoted rowPhase = "promoted"
)

// groupRow is the body of a group's row. It is changed by compare-and-set only.
type groupRow struct {
	Term        model.Term       `json:"term"`
	Phase       rowPhase         `json:"phase"`
	Primary     model.DatabaseID `json:"primary"`
	Coordinator model.InstanceID `json:"steward"`
	Nonce       model.Nonce      `json:"nonce"`
	Reason      string           `json:"reason"`
}

// PromotionRecord is one entry of a group's logbook: which database became primary,
// which instance coordinated it, when, and on what evidence.
type PromotionRecord struct {
	Group model.GroupID `json:"group"`
	Term  model.Term    `json:"term"`
	// PreviousPrimary is the primary that was replaced, or empty if none was known.
	PreviousPrimary model.DatabaseID `json:"before,omitempty"`
	Primary         model.DatabaseID `json:"primary"`
	Coordinator     model.InstanceID `json:"steward"`
	Reason          string           `json:"reason"`
	// Evidence lists the observations that led to the replacement of the primary.
	Evidence []string `json:"evidence,omitempty"`
	// FencedDatabases lists the databases that were fenced against older terms
	// before the promotion, with the positions that they held.
	FencedDatabases []FencedDatabase `json:"fenced,omitempty"`
	// Position is the newest position of the promoted database's log at its
	// promotion.
	Position string `json:"position"`
	// SuspectedAt, ClaimedAt and PromotedAt are times of the coordinator's clock.
	SuspectedAt time.Time `json:"suspected"`
	ClaimedAt   time.Time `json:"claimed"`
	PromotedAt  time.Time `json:"promoted"`
}

// FencedDatabase is one entry of PromotionRecord.FencedDatabases.
type FencedDatabase struct {
	Database model.DatabaseID `json:"database"`
	Position string           `json:"position"`
}

// failoverStep is the current step of a failover.
type failoverStep int

const (
	// failoverIdle means that no failover is running here.
	failoverIdle failoverStep = iota
	// failoverReadRow means that the group's row is being read.
	failoverReadRow
	// failoverClaim means that the claim is being written.
	failoverClaim
	// failoverFence means that databases are being fenced.
	failoverFence
	// failoverPromote means that the chosen database is being promoted.
	failoverPromote
	// failoverRecord means that the row and the logbook are being written.
	failoverRecord
)

// String returns the name of the step in log events and status reports.
func (s failoverStep) String() string {
	return [...]string{"none", "read", "claim", "fence", "promote", "record"}[s]
}

// failoverState is the state of failure detection and failover for one group.
type failoverState struct {
	step failoverStep
	// row and rowVersion are the group's row as last read; rowExists reports that
	// there is one.
	row        groupRow
	rowVersion string
	rowExists  bool
	// rowUnchangedSince is when the row was first read at rowVersion.
	rowUnchangedSince time.Time
	// correlationID is that of the pending request to the platform or to the chosen
	// database, or 0.
	correlationID uint64
	// writeUncertain reports that the response to a write was lost, so that the row
	// must be read to find out whether the write took effect.
	writeUncertain bool
	// resumeStep is the step at which the failover continues after the row was
	// read.
	resumeStep failoverStep
	// notBefore delays the next attempt of a step.
	notBefore time.Time
	// suspectedAt is when the primary became suspected, zero if it is not;
	// evidenceSince is since when there is evidence against it, evidenceAt when there
	// last was.
	suspectedAt   time.Time
	evidenceSince time.Time
	evidenceAt    time.Time
	evidence      []string
	reason        string
	// claimedAt is when the claim, whose row is claim, was known to be written.
	claimedAt       time.Time
	claim           groupRow
	previousPrimary model.DatabaseID
	// pendingFences are the databases with a pending Fence, by its correlation ID;
	// fenced are the fenced databases with their status.
	pendingFences map[uint64]*database
	fenced        map[model.DatabaseID]message.DatabaseStatus
	chosen        *database
	record        PromotionRecord
	// rowCheckedAt is when the row was last read; loggedReason is the last reason
	// that was logged for a delayed step.
	rowCheckedAt time.Time
	loggedReason string
}

// encode returns a value's JSON form. Encoding the types of this file can't fail.
func encode(value any) []byte {
	body, err := json.Marshal(value)
	if err != nil {
		return nil
	}
	return body
}
