package engine

import (
	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

// -----------------------------------------------------------------------------
// The group's row in groupTable: read and claim.

// requestGroupRow requests the group's row.
func (e *Engine) requestGroupRow(g *group) {
	g.failover.correlationID = e.correlationID()
	e.emit(message.ReadRow{CorrelationID: g.failover.correlationID, Table: groupTable, Key: string(g.name), Timeout: rowTimeout})
}

// handleGroupRow continues after the row was read. With resumeStep failoverIdle no
// failover is running: checkGroupRow has read the row to backfill the record. With
// failoverClaim the row was read for a claim.
func (e *Engine) handleGroupRow(g *group, read message.RowsRead) {
	st := &g.failover
	st.correlationID = 0
	if read.Result != message.PlatformOK && read.Result != message.PlatformNotFound {
		e.delayStep(g, "the platform does not answer: "+read.Result.String())
		e.stopIfUnneeded(g)
		return
	}
	e.storeGroupRow(g, read)
	if st.writeUncertain {
		e.resolveUncertainWrite(g)
		return
	}
	switch st.resumeStep {
	case failoverClaim:
		e.claimOrYield(g)
	case failoverIdle:
		e.backfillRecord(g)
	case failoverReadRow, failoverFence, failoverPromote, failoverRecord:
		st.step = st.resumeStep
	}
}

// storeGroupRow stores the row and the time since which it has not changed.
func (e *Engine) storeGroupRow(g *group, read message.RowsRead) {
	st := &g.failover
	st.rowCheckedAt = e.now
	rowVersion, rowExists := "", len(read.Rows) > 0
	var row groupRow
	if rowExists {
		rowVersion = read.Rows[0].Version
		var err error
		if row, err = decodeGroupRow(read.Rows[0].Body); err != nil && rowVersion != st.rowVersion {
			e.logRejected(read.Rows[0], err)
		}
	}
	if rowVersion != st.rowVersion || st.rowUnchangedSince.IsZero() {
		st.rowUnchangedSince = e.now
	}
	st.rowVersion, st.rowExists, st.row = rowVersion, rowExists, row
}

// resolveUncertainWrite determines, after a lost response, whether the write took
// effect: it did if the row holds this instance's nonce.
func (e *Engine) resolveUncertainWrite(g *group) {
	st := &g.failover
	st.writeUncertain = false
	ownNonce := st.rowExists && st.row.Nonce == st.claim.Nonce
	switch {
	case st.resumeStep == failoverClaim && ownNonce:
		e.startFencing(g)
	case st.resumeStep == failoverClaim:
		e.claimOrYield(g)
	case ownNonce && st.row.Phase == rowPromoted:
		e.finishFailover(g)
	case ownNonce:
		st.step = failoverRecord
	default:
		e.yieldFailover(g, "another instance has changed the group's row")
	}
}

// claimOrYield claims the next term, or yields if the primary is no longer
// suspected. If another instance has claimed a term or completed the failover, it
// does neither until the row has been unchanged for claimExpiry: the row is read
// again after retryPause.
func (e *Engine) claimOrYield(g *group) {
	st := &g.failover
	if st.suspectedAt.IsZero() {
		e.yieldFailover(g, "the primary is no longer suspected")
		return
	}
	foreignNonce := st.row.Nonce != st.claim.Nonce
	if st.rowExists && st.row.Phase == rowClaimed && foreignNonce && e.now.Sub(st.rowUnchangedSince) < claimExpiry {
		st.step = failoverReadRow
		st.notBefore = e.now.Add(retryPause)
		return
	}
	if st.rowExists && st.row.Phase == rowPromoted && st.row.Term > g.term && e.now.Sub(st.rowUnchangedSince) < claimExpiry {
		e.probeGroup(g)
		st.step = failoverReadRow
		st.notBefore = e.now.Add(retryPause)
		return
	}
	e.writeClaim(g)
}

// writeClaim writes a claim of a term above that of the row and of all databases.
func (e *Engine) writeClaim(g *group) {
	st := &g.failover
	term := max(st.row.Term, g.term)
	for _, d := range g.databases {
		if d.statusKnown {
			term = max(term, d.status.Term)
		}
	}
	st.claim = groupRow{
		Term: term + 1, Phase: rowClaimed, Primary: g.primaryName(),
		Coordinator: e.options.Instance, Nonce: e.newNonce(), Reason: st.reason,
	}
	st.previousPrimary = g.primaryName()
	st.step = failoverClaim
	st.correlationID = e.correlationID()
	e.emit(message.WriteRows{
		CorrelationID: st.correlationID,
		Rows:          []message.Row{{Table: groupTable, Key: string(g.name), Version: st.rowVersion, Body: encode(st.claim)}},
		Timeout:       rowTimeout,
	})
}

// handleGroupWrite continues the failover after the row was written.
func (e *Engine) handleGroupWrite(g *group, written message.RowsWritten) {
	st := &g.failover
	st.correlationID = 0
	switch written.Result {
	case message.PlatformOK:
		st.rowVersion = written.Rows[0].Version
		st.row = st.claim
		st.rowExists = true
		st.rowUnchangedSince = e.now
		if st.step == failoverRecord {
			e.finishFailover(g)
			return
		}
		e.startFencing(g)
	case message.PlatformUnknown:
		st.writeUncertain = true
		st.resumeStep = st.step
		st.step = failoverReadRow
	case message.PlatformConflict:
		st.resumeStep = st.step
		// A claim is decided anew by the row. The row with the record is written
		// again only if resolveUncertainWrite finds this instance's nonce in it, so
		// that another instance's row is not overwritten.
		st.writeUncertain = st.step == failoverRecord
		st.step = failoverReadRow
	case message.PlatformUnreachable, message.PlatformRefused, message.PlatformNotFound:
		e.delayStep(g, "the platform does not accept the row: "+written.Result.String())
		e.stopIfUnneeded(g)
	}
}

// delayStep delays the next attempt of a step and logs the reason if it differs from
// the one last logged. Nothing is logged if the row was read for a backfill only,
// since no failover waits then.
func (e *Engine) delayStep(g *group, reason string) {
	st := &g.failover
	st.notBefore = e.now.Add(e.jitter(retryPause))
	if st.loggedReason == reason || st.resumeStep == failoverIdle && st.step == failoverReadRow {
		return
	}
	st.loggedReason = reason
	e.logEvent(event.PromotionWaits, event.F("group", g.name), event.F("step", st.step.String()), event.F("why", reason))
}

// stopIfUnneeded stops a failover that has not claimed a term, once the primary is
// no longer suspected.
func (e *Engine) stopIfUnneeded(g *group) {
	st := &g.failover
	if st.suspectedAt.IsZero() && !st.writeUncertain && (st.step == failoverReadRow || st.step == failoverClaim) {
		st.step = failoverIdle
	}
}

// yieldFailover ends this instance's part in a failover.
func (e *Engine) yieldFailover(g *group, reason string) {
	e.logEvent(event.PromotionYielded, event.F("group", g.name), event.F("term", g.failover.claim.Term), event.F("why", reason))
	g.failover.step = failoverIdle
	g.failover.notBefore = e.now.Add(retryPause)
	e.probeGroup(g)
}
