package engine

import (
	"time"
)

// rowCheckInterval is the time between two reads of a group's row by its first
// coordinator while there is no failover.
const rowCheckInterval = 30 * time.Second

// -----------------------------------------------------------------------------
// The failover system.

// runFailover detects a failure of each group's primary and coordinates its
// replacement.
func (e *Engine) runFailover() {
	for _, g := range e.groups {
		e.updateSuspicion(g)
		if e.drain.started && g.failover.step == failoverIdle {
			continue
		}
		e.runFailoverStep(g)
		e.repairReplicas(g)
	}
}

// runFailoverStep runs the current step of the failover, unless a response is
// pending.
func (e *Engine) runFailoverStep(g *group) {
	st := &g.failover
	if st.correlationID != 0 || e.now.Before(st.notBefore) {
		return
	}
	switch st.step {
	case failoverIdle:
		e.startFailoverIfDue(g)
	case failoverReadRow:
		e.requestGroupRow(g)
	case failoverClaim:
		e.writeClaim(g)
	case failoverFence:
		e.fenceGroup(g)
	case failoverPromote:
		e.promoteChosen(g)
	case failoverRecord:
		e.writeRecord(g)
	}
}
