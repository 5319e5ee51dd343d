package engine

import (
	"time"
)

// rowCheckInterval is the time between two reads of a group's row by its first
// steward while nothing is to be done.
const rowCheckInterval = 30 * time.Second

// -----------------------------------------------------------------------------
// The system.

// runSteward watches each group's primary and conducts its replacement.
func (e *Engine) runSteward() {
	for _, g := range e.groups {
		e.watchPrimary(g)
		if e.drain.started && g.steward.step == conductNone {
			continue
		}
		e.conductStep(g)
		e.repairReplicas(g)
	}
}

// conductStep goes on with what the steward is doing.
func (e *Engine) conductStep(g *group) {
	st := &g.steward
	if st.ask != 0 || e.now.Before(st.notBefore) {
		return
	}
	switch st.step {
	case conductNone:
		e.considerClaim(g)
	case conductRead:
		e.readRow(g)
	case conductClaim:
		e.writeClaim(g)
	case conductFence:
		e.fenceGroup(g)
	case conductPromote:
		e.promoteChosen(g)
	case conductRecord:
		e.writeRecord(g)
	}
}
