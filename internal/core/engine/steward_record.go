package engine

import (
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

// -----------------------------------------------------------------------------
// Record.

// writeRecord writes the row and the logbook's record in one transaction.
func (e *Engine) writeRecord(g *group) {
	st := &g.steward
	st.ask = e.ask()
	key := logbookKey(g.name, st.record.Term)
	e.do(message.WriteRows{
		CorrelationID: st.ask,
		Rows: []message.Row{
			{Table: groupTable, Key: string(g.name), Version: st.version, Body: encode(st.claim)},
			{Table: logbookTable, Key: key, Body: encode(st.record)},
		},
		Timeout: rowTimeout,
	})
}

// recordHolds ends the change.
func (e *Engine) recordHolds(g *group) {
	st := &g.steward
	e.note(event.PromotionRecorded,
		event.F("group", g.name), event.F("term", st.record.Term), event.F("primary", st.record.Primary))
	st.step = conductNone
	st.suspected = time.Time{}
	st.lost = time.Time{}
	st.checked = e.now
	e.probeGroup(g)
}

// recordQuiet writes the row of a group that has none, or whose row lags behind
// the databases: its steward ended between promotion and record.
func (e *Engine) recordQuiet(g *group) {
	st := &g.steward
	st.step = conductNone
	if g.primary == nil || st.found && st.row.Term >= g.term && st.row.Phase == rowPromoted {
		return
	}
	if st.found && st.row.Term > g.term {
		return
	}
	reason := "first seen"
	if st.found {
		reason = "found promoted"
	}
	st.claim = groupRow{
		Term: g.term, Phase: rowPromoted, Primary: g.primary.name,
		Steward: e.options.Instance, Nonce: e.nonce(), Reason: reason,
	}
	st.record = PromotionRecord{
		Group: g.name, Term: g.term, PreviousPrimary: st.row.Primary, Primary: g.primary.name, Coordinator: e.options.Instance,
		Reason: reason, Position: g.primary.status.Received.String(),
		SuspectedAt: e.now, ClaimedAt: e.now, PromotedAt: e.now,
	}
	e.keepRecord(g, st.record)
	st.step = conductRecord
	e.writeRecord(g)
}

// -----------------------------------------------------------------------------
// Repair.

// repairReplicas tells databases that follow no or another primary whom to
// follow. Only the group's first steward does so.
func (e *Engine) repairReplicas(g *group) {
	if g.primary == nil || !g.isReachablePrimary(e.now) || g.steward.step == conductFence || g.steward.step == conductPromote {
		return
	}
	if e.stewardOrder(g) != 0 && g.steward.step != conductRecord {
		return
	}
	for _, d := range g.databases {
		if !e.needsRepair(g, d) {
			continue
		}
		d.repaired = e.now
		d.following = e.ask()
		e.note(event.ReplicaRepaired,
			event.F("group", g.name), event.F("database", d.name), event.F("term", g.term),
			event.F("primary", g.primary.name))
		e.do(message.Follow{
			Database: d.name, CorrelationID: d.following, Term: g.term,
			Source: g.primary.name, Address: g.primary.declared.Address, Timeout: controlTimeout,
		})
	}
}

// isReachablePrimary reports whether the primary answers in the group's term.
func (g *group) isReachablePrimary(now time.Time) bool {
	return g.primary.isReachable(now) && g.primary.inTerm(g.term) && g.primary.status.Role == model.RolePrimary
}

// needsRepair reports whether a database follows no or another primary.
func (e *Engine) needsRepair(g *group, d *database) bool {
	if d == g.primary || !d.isReachable(e.now) || d.status.Term > g.term {
		return false
	}
	if e.now.Sub(d.repaired) < repairInterval {
		return false
	}
	return d.status.Term < g.term || d.status.Role != model.RoleReplica || d.status.Source != g.primary.name
}

// takeRepairAnswer takes the answer to a Follow, which carries the status that
// any other question would. It reports whether the answer belonged to one.
func (e *Engine) takeRepairAnswer(d *database, answered message.ControlAnswered) bool {
	if answered.CorrelationID != d.following {
		return false
	}
	d.following = 0
	return true
}
