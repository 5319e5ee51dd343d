package engine

import (
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

// -----------------------------------------------------------------------------
// Promotion record.

// writeRecord writes the row and the promotion record in one transaction.
func (e *Engine) writeRecord(g *group) {
	st := &g.failover
	st.correlationID = e.correlationID()
	key := logbookKey(g.name, st.record.Term)
	e.emit(message.WriteRows{
		CorrelationID: st.correlationID,
		Rows: []message.Row{
			{Table: groupTable, Key: string(g.name), Version: st.rowVersion, Body: encode(st.claim)},
			{Table: logbookTable, Key: key, Body: encode(st.record)},
		},
		Timeout: rowTimeout,
	})
}

// finishFailover ends the failover once the record is written.
func (e *Engine) finishFailover(g *group) {
	st := &g.failover
	e.logEvent(event.PromotionRecorded,
		event.F("group", g.name), event.F("term", st.record.Term), event.F("primary", st.record.Primary))
	st.step = failoverIdle
	st.suspectedAt = time.Time{}
	st.evidenceSince = time.Time{}
	st.rowCheckedAt = e.now
	e.probeGroup(g)
}

// backfillRecord writes the row and a record for a group that has no row, or whose
// row is older than the state of the databases because its coordinator stopped
// between promotion and record. It writes nothing if the group has no known primary,
// if the row is in a later term than the group, or if the row already shows the
// promotion of the group's term; the failover is idle then.
func (e *Engine) backfillRecord(g *group) {
	st := &g.failover
	st.step = failoverIdle
	if g.primary == nil || st.rowExists && st.row.Term >= g.term && st.row.Phase == rowPromoted {
		return
	}
	if st.rowExists && st.row.Term > g.term {
		return
	}
	reason := "first seen"
	if st.rowExists {
		reason = "found promoted"
	}
	st.claim = groupRow{
		Term: g.term, Phase: rowPromoted, Primary: g.primary.name,
		Coordinator: e.options.Instance, Nonce: e.newNonce(), Reason: reason,
	}
	st.record = PromotionRecord{
		Group: g.name, Term: g.term, PreviousPrimary: st.row.Primary, Primary: g.primary.name, Coordinator: e.options.Instance,
		Reason: reason, Position: g.primary.status.Received.String(),
		SuspectedAt: e.now, ClaimedAt: e.now, PromotedAt: e.now,
	}
	e.addRecord(g, st.record)
	st.step = failoverRecord
	e.writeRecord(g)
}

// -----------------------------------------------------------------------------
// Replica repair.

// repairReplicas sends a Follow for the group's primary to each database that needs
// repair. Only the instance with coordinator rank 0 for the group does so, and an
// instance that is recording its promotion of the primary.
func (e *Engine) repairReplicas(g *group) {
	if g.primary == nil || !g.isReachablePrimary(e.now) || g.failover.step == failoverFence || g.failover.step == failoverPromote {
		return
	}
	if e.coordinatorRank(g) != 0 && g.failover.step != failoverRecord {
		return
	}
	for _, d := range g.databases {
		if !e.needsRepair(g, d) {
			continue
		}
		d.repairedAt = e.now
		d.followID = e.correlationID()
		e.logEvent(event.ReplicaRepaired,
			event.F("group", g.name), event.F("database", d.name), event.F("term", g.term),
			event.F("primary", g.primary.name))
		e.emit(message.Follow{
			Database: d.name, CorrelationID: d.followID, Term: g.term,
			Source: g.primary.name, Address: g.primary.declared.Address, Timeout: controlTimeout,
		})
	}
}

// isReachablePrimary reports whether the primary is reachable and still primary in
// the group's term.
func (g *group) isReachablePrimary(now time.Time) bool {
	return g.primary.isReachable(now) && g.primary.inTerm(g.term) && g.primary.status.Role == model.RolePrimary
}

// needsRepair reports whether a database has to follow the group's primary but does
// not: it is in an older term, is not a replica, or replicates from another source.
// It is false for a database that is unreachable or in a later term than the group,
// and within repairInterval of the last Follow.
func (e *Engine) needsRepair(g *group, d *database) bool {
	if d == g.primary || !d.isReachable(e.now) || d.status.Term > g.term {
		return false
	}
	if e.now.Sub(d.repairedAt) < repairInterval {
		return false
	}
	return d.status.Term < g.term || d.status.Role != model.RoleReplica || d.status.Source != g.primary.name
}

// handleFollowAnswer reports whether a response belongs to the pending Follow, which
// is no longer pending then. handleControlAnswer records the status in the response.
func (e *Engine) handleFollowAnswer(d *database, answered message.ControlAnswered) bool {
	if answered.CorrelationID != d.followID {
		return false
	}
	d.followID = 0
	return true
}
