package engine

import (
	"fmt"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

// -----------------------------------------------------------------------------
// Failure detection.

// updateSuspicion updates the evidence against the primary. A primary is suspected
// on two kinds of evidence together: the replicas that respond report that their
// stream from it is lost, and either this instance's own probes of it fail or,
// because a majority of the group is partitioned from it, none of its commits can
// become durable.
func (e *Engine) updateSuspicion(g *group) {
	st := &g.failover
	evidence, reason := e.evidenceAgainstPrimary(g)
	if evidence == nil && e.keepsSuspicion(g) {
		return
	}
	if evidence == nil {
		st.suspectedAt = time.Time{}
		st.evidenceSince = time.Time{}
		st.loggedReason = ""
		return
	}
	st.evidenceAt = e.now
	if st.evidenceSince.IsZero() {
		st.evidenceSince = e.now
	}
	if e.now.Sub(st.evidenceSince) < streamLostAfter {
		return
	}
	if !st.suspectedAt.IsZero() {
		return
	}
	st.suspectedAt = e.now
	st.evidence = evidence
	st.reason = reason
	e.logEvent(event.PrimarySuspected,
		event.F("group", g.name), event.F("primary", g.primaryName()), event.F("term", g.term),
		event.F("evidence", fmt.Sprint(evidence)))
}

// keepsSuspicion reports whether the primary stays suspected although the evidence against
// it is not complete at present: too few databases have responded recently, but none has
// shown that there is a primary. Where databases respond slowly, the wait in the
// coordinator order would otherwise begin again with each late response.
func (e *Engine) keepsSuspicion(g *group) bool {
	st := &g.failover
	if st.suspectedAt.IsZero() || e.now.Sub(st.evidenceAt) >= suspicionRetention {
		return false
	}
	return e.replicaCounts(g).streaming == 0 && (g.primary == nil || !g.isReachablePrimary(e.now))
}

// primaryName returns the name of the known primary, or an empty name.
func (g *group) primaryName() model.DatabaseID {
	if g.primary == nil {
		return ""
	}
	return g.primary.name
}

// evidenceAgainstPrimary returns the evidence against the primary and the reason
// for a failover. It returns nil if no failover is needed, or if it could not be
// carried out because no majority can be fenced.
func (e *Engine) evidenceAgainstPrimary(g *group) ([]string, string) {
	counts := e.replicaCounts(g)
	if g.primary != nil && g.primary.isLeaving() && counts.streaming >= g.majority() {
		return []string{"the primary is leaving"}, reasonLeaving
	}
	if counts.streaming > 0 || counts.disconnected == 0 {
		return nil, ""
	}
	fenceable := counts.disconnected
	if g.primary != nil && g.primary.isReachable(e.now) {
		fenceable++
	}
	if fenceable < g.majority() {
		return nil, ""
	}
	switch {
	case g.primary == nil:
		return append(counts.evidence, "no database is primary"), "no primary"
	case !g.primary.isReachable(e.now):
		return append(counts.evidence, fmt.Sprintf("%s does not answer this instance", g.primary.name)), "primary unreachable"
	case !g.isReachablePrimary(e.now):
		return append(counts.evidence, fmt.Sprintf("%s is no longer primary", g.primary.name)), "primary fenced"
	case counts.disconnected >= g.majority():
		return append(counts.evidence, "a majority is partitioned from the primary"), "primary isolated"
	}
	return nil, ""
}

// reasonLeaving is the reason of a planned failover.
const reasonLeaving = "primary leaving"

// replicaCounts counts the reachable databases other than the primary by the state
// of their streams.
type replicaCounts struct {
	// streaming is the number of databases that follow the primary; disconnected is
	// the number of those that do not, or are fenced.
	streaming, disconnected int
	evidence                []string
}

// replicaCounts counts the reachable databases other than the primary.
func (e *Engine) replicaCounts(g *group) replicaCounts {
	var counts replicaCounts
	for _, d := range g.databases {
		if d == g.primary || !d.isReachable(e.now) {
			continue
		}
		switch {
		case d.status.Term > g.term:
			counts.disconnected++
			counts.evidence = append(counts.evidence, fmt.Sprintf("%s is fenced at term %d", d.name, d.status.Term))
		case d.status.Streaming:
			counts.streaming++
		default:
			counts.disconnected++
			counts.evidence = append(counts.evidence, fmt.Sprintf("%s has lost its stream", d.name))
		}
	}
	return counts
}

// startFailoverIfDue starts a failover if there is evidence against the primary at present
// and this instance's delay in the coordinator order has passed since it was suspected.
func (e *Engine) startFailoverIfDue(g *group) {
	st := &g.failover
	if st.suspectedAt.IsZero() {
		e.checkGroupRow(g)
		return
	}
	claimDelay := time.Duration(e.coordinatorRank(g)) * coordinatorStagger
	if e.now.Sub(st.suspectedAt) < claimDelay || st.evidenceAt.Before(e.now) {
		return
	}
	st.step = failoverReadRow
	st.resumeStep = failoverClaim
	e.requestGroupRow(g)
}

// checkGroupRow reads the row of a group without a failover once per
// rowCheckInterval, if this instance is its first coordinator. The row is then
// written if there is none or it is older than the state of the databases.
func (e *Engine) checkGroupRow(g *group) {
	st := &g.failover
	// coordinatorRank is expensive, so it is called only once the minimum jittered
	// interval has passed.
	if !st.rowCheckedAt.IsZero() && e.now.Sub(st.rowCheckedAt) < rowCheckInterval/2 {
		return
	}
	if e.coordinatorRank(g) != 0 || !g.isTermConfirmed(e.now) {
		return
	}
	if !st.rowCheckedAt.IsZero() && e.now.Sub(st.rowCheckedAt) < e.jitter(rowCheckInterval) {
		return
	}
	st.rowCheckedAt = e.now
	st.step = failoverReadRow
	st.resumeStep = failoverIdle
	e.requestGroupRow(g)
}

// coordinatorRank returns this instance's rank among the live instances by
// rendezvous hashing for the group. The ranks differ, so that instances do not
// claim at the same time; safety does not depend on this.
func (e *Engine) coordinatorRank(g *group) int {
	var liveInstances []model.InstanceID
	for _, peer := range e.instances.sorted() {
		if peer.alive && !peer.leaving {
			liveInstances = append(liveInstances, peer.id)
		}
	}
	return model.RendezvousRank(e.options.Instance, liveInstances, g.name)
}
