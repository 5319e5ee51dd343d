package engine

import (
	"encoding/json"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// Tables and keys of the platform's table service.
const (
	groupTable    = "groups"
	logbookTable  = "logbook"
	manifestTable = "manifest"
	manifestKey   = "current"
)

// rowPhase tells how far a change of primary has come.
type rowPhase string

const (
	// rowClaimed: an instance conducts a change under the row's term.
	rowClaimed rowPhase = "claimed"
	// rowPromoted: the row's primary reigns.
	rowPromoted rowPhase = "promoted"
)

// groupRow is the body of a group's row. It is changed by compare-and-set only.
type groupRow struct {
	Term    model.Term       `json:"term"`
	Phase   rowPhase         `json:"phase"`
	Primary model.DatabaseID `json:"primary"`
	Steward model.InstanceID `json:"steward"`
	Nonce   model.Nonce      `json:"nonce"`
	Reason  string           `json:"reason"`
}

// PromotionRecord is one entry of a group's logbook: who was made primary, by whom, when
// and on what evidence.
type PromotionRecord struct {
	Group model.GroupID `json:"group"`
	Term  model.Term    `json:"term"`
	// PreviousPrimary is the primary that was replaced, where one was known.
	PreviousPrimary model.DatabaseID `json:"before,omitempty"`
	Primary         model.DatabaseID `json:"primary"`
	Coordinator     model.InstanceID `json:"steward"`
	Reason          string           `json:"reason"`
	// Evidence lists what spoke against the primary that was replaced.
	Evidence []string `json:"evidence,omitempty"`
	// FencedDatabases lists the databases that refused the older term before the
	// promotion, with the positions that they held.
	FencedDatabases []FencedDatabase `json:"fenced,omitempty"`
	// Position is that of the promoted database's log at its promotion.
	Position string `json:"position"`
	// SuspectedAt, Claimed and Promoted are times of the conducting instance's
	// clock.
	SuspectedAt time.Time `json:"suspected"`
	ClaimedAt   time.Time `json:"claimed"`
	PromotedAt  time.Time `json:"promoted"`
}

// FencedDatabase is one database of Record.Fenced.
type FencedDatabase struct {
	Database model.DatabaseID `json:"database"`
	Position string           `json:"position"`
}

// conduct tells what the steward does next.
type conduct int

const (
	// conductNone: nothing is being changed.
	conductNone conduct = iota
	// conductRead: the row is being read.
	conductRead
	// conductClaim: the claim is being written.
	conductClaim
	// conductFence: databases are being fenced.
	conductFence
	// conductPromote: the chosen database is being promoted.
	conductPromote
	// conductRecord: the row and the logbook are being written.
	conductRecord
)

// String names c for log lines.
func (c conduct) String() string {
	return [...]string{"none", "read", "claim", "fence", "promote", "record"}[c]
}

// stewardState is what an instance knows and does about changes of primary in
// one group.
type stewardState struct {
	step conduct
	// row and version are the row as last read; found says that it exists.
	row     groupRow
	version string
	found   bool
	// seen is when the row was first read at version.
	seen time.Time
	// ask is the question on its way to the platform or the chosen database.
	ask uint64
	// unsure says that the answer to a write was lost; the row tells.
	unsure bool
	// resume is the step at which the change goes on after the row was read.
	resume conduct
	// notBefore delays the next try of a step.
	notBefore time.Time
	// suspected is since when the evidence stands; lost since when the
	// replicas report the loss of their streams.
	suspected time.Time
	lost      time.Time
	evidence  []string
	reason    string
	// claimed is when the claim was known to hold, under claim.
	claimed time.Time
	claim   groupRow
	before  model.DatabaseID
	// fences are the databases asked to fence, by question; fenced those that
	// have, with their status.
	fences map[uint64]*database
	fenced map[model.DatabaseID]message.DatabaseStatus
	chosen *database
	record PromotionRecord
	// checked is when the row was last read while nothing was to be done.
	checked time.Time
	noted   string
}

// encode returns a value's JSON form. The types of this file always have one.
func encode(value any) []byte {
	body, err := json.Marshal(value)
	if err != nil {
		return nil
	}
	return body
}
