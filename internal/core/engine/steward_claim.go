package engine

import (
	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

// -----------------------------------------------------------------------------
// The row: read and claim.

// readRow asks for the group's row.
func (e *Engine) readRow(g *group) {
	g.steward.ask = e.ask()
	e.do(message.ReadRow{CorrelationID: g.steward.ask, Table: groupTable, Key: string(g.name), Timeout: rowTimeout})
}

// takeGroupRow decides after the row was read.
func (e *Engine) takeGroupRow(g *group, read message.RowsRead) {
	st := &g.steward
	st.ask = 0
	if read.Err != message.PlatformOK && read.Err != message.PlatformNotFound {
		e.waitFor(g, "the platform does not answer: "+read.Err.String())
		e.giveUpUnneeded(g)
		return
	}
	e.keepRow(g, read)
	if st.unsure {
		e.resolveUnsure(g)
		return
	}
	switch st.resume {
	case conductClaim:
		e.claimOrYield(g)
	case conductNone:
		e.recordQuiet(g)
	case conductRead, conductFence, conductPromote, conductRecord:
		st.step = st.resume
	}
}

// keepRow remembers the row and since when it stands as it is.
func (e *Engine) keepRow(g *group, read message.RowsRead) {
	st := &g.steward
	st.checked = e.now
	version, found := "", len(read.Rows) > 0
	var row groupRow
	if found {
		version = read.Rows[0].Version
		row = decodeGroupRow(read.Rows[0].Body)
	}
	if version != st.version || st.seen.IsZero() {
		st.seen = e.now
	}
	st.version, st.found, st.row = version, found, row
}

// resolveUnsure tells, after a lost answer, whether the write took effect: the
// row holds this instance's nonce or it does not.
func (e *Engine) resolveUnsure(g *group) {
	st := &g.steward
	st.unsure = false
	mine := st.found && st.row.Nonce == st.claim.Nonce
	switch {
	case st.resume == conductClaim && mine:
		e.claimHolds(g)
	case st.resume == conductClaim:
		e.claimOrYield(g)
	case mine && st.row.Phase == rowPromoted:
		e.recordHolds(g)
	case mine:
		st.step = conductRecord
	default:
		e.yield(g, "the row has moved on")
	}
}

// claimOrYield claims the next term, unless another instance's claim is young
// or the change has been made meanwhile.
func (e *Engine) claimOrYield(g *group) {
	st := &g.steward
	if st.suspected.IsZero() {
		e.yield(g, "the primary is well again")
		return
	}
	foreign := st.row.Nonce != st.claim.Nonce
	if st.found && st.row.Phase == rowClaimed && foreign && e.now.Sub(st.seen) < claimLease {
		st.step = conductRead
		st.notBefore = e.now.Add(retryPause)
		return
	}
	if st.found && st.row.Phase == rowPromoted && st.row.Term > g.term && e.now.Sub(st.seen) < claimLease {
		e.probeGroup(g)
		st.step = conductRead
		st.notBefore = e.now.Add(retryPause)
		return
	}
	e.writeClaim(g)
}

// writeClaim writes a claim of a term above all that the row and the databases
// have seen.
func (e *Engine) writeClaim(g *group) {
	st := &g.steward
	term := max(st.row.Term, g.term)
	for _, d := range g.databases {
		if d.known {
			term = max(term, d.status.Term)
		}
	}
	st.claim = groupRow{
		Term: term + 1, Phase: rowClaimed, Primary: g.primaryName(),
		Steward: e.options.Instance, Nonce: e.nonce(), Reason: st.reason,
	}
	st.before = g.primaryName()
	st.step = conductClaim
	st.ask = e.ask()
	e.do(message.WriteRows{
		CorrelationID: st.ask,
		Rows:          []message.Row{{Table: groupTable, Key: string(g.name), Version: st.version, Body: encode(st.claim)}},
		Timeout:       rowTimeout,
	})
}

// takeGroupWrite decides after the row was written.
func (e *Engine) takeGroupWrite(g *group, written message.RowsWritten) {
	st := &g.steward
	st.ask = 0
	switch written.Err {
	case message.PlatformOK:
		st.version = written.Rows[0].Version
		st.row = st.claim
		st.found = true
		st.seen = e.now
		if st.step == conductRecord {
			e.recordHolds(g)
			return
		}
		e.claimHolds(g)
	case message.PlatformUnknown:
		st.unsure = true
		st.resume = st.step
		st.step = conductRead
	case message.PlatformConflict:
		st.resume = st.step
		st.unsure = st.step == conductRecord
		st.step = conductRead
	case message.PlatformUnreachable, message.PlatformRefused, message.PlatformNotFound:
		e.waitFor(g, "the platform does not take the row: "+written.Err.String())
		e.giveUpUnneeded(g)
	}
}

// waitFor delays the next try of a step and says so once.
func (e *Engine) waitFor(g *group, why string) {
	st := &g.steward
	st.notBefore = e.now.Add(e.jitter(retryPause))
	if st.noted == why || st.resume == conductNone && st.step == conductRead {
		return
	}
	st.noted = why
	e.note(event.PromotionWaits, event.F("group", g.name), event.F("step", st.step.String()), event.F("why", why))
}

// giveUpUnneeded ends an attempt that has claimed nothing and that nothing
// speaks for any more.
func (e *Engine) giveUpUnneeded(g *group) {
	st := &g.steward
	if st.suspected.IsZero() && !st.unsure && (st.step == conductRead || st.step == conductClaim) {
		st.step = conductNone
	}
}

// yield ends this instance's part in a change.
func (e *Engine) yield(g *group, why string) {
	e.note(event.PromotionYielded, event.F("group", g.name), event.F("term", g.steward.claim.Term), event.F("why", why))
	g.steward.step = conductNone
	g.steward.notBefore = e.now.Add(retryPause)
	e.probeGroup(g)
}
