package engine

import (
	"fmt"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

// -----------------------------------------------------------------------------
// Detection.

// watchPrimary keeps the evidence against the primary up to date. A primary is
// suspected on evidence of two kinds: the replicas that answer say that their
// stream from it is gone, and either this instance's own probes of it fail or,
// with a majority of the group cut off from it, no commit of it can be proven.
func (e *Engine) watchPrimary(g *group) {
	st := &g.steward
	evidence, reason := e.evidenceAgainst(g)
	if evidence == nil {
		st.suspected = time.Time{}
		st.lost = time.Time{}
		st.noted = ""
		return
	}
	if st.lost.IsZero() {
		st.lost = e.now
	}
	if e.now.Sub(st.lost) < streamLostAfter {
		return
	}
	if !st.suspected.IsZero() {
		return
	}
	st.suspected = e.now
	st.evidence = evidence
	st.reason = reason
	e.note(event.PrimarySuspected,
		event.F("group", g.name), event.F("primary", g.primaryName()), event.F("term", g.term),
		event.F("evidence", fmt.Sprint(evidence)))
}

// primaryName returns the name of the known primary, or an empty one.
func (g *group) primaryName() model.DatabaseID {
	if g.primary == nil {
		return ""
	}
	return g.primary.name
}

// evidenceAgainst returns what speaks against the primary and the reason for a
// change, or nothing where a change is not called for or could not be carried
// out: it takes a majority that can be fenced.
func (e *Engine) evidenceAgainst(g *group) ([]string, string) {
	others := e.otherDatabases(g)
	if g.primary != nil && g.primary.isLeaving() && others.streaming >= g.majority() {
		return []string{"the primary is leaving"}, reasonLeaving
	}
	if others.streaming > 0 || others.cut == 0 {
		return nil, ""
	}
	reachable := others.cut
	if g.primary != nil && g.primary.isReachable(e.now) {
		reachable++
	}
	if reachable < g.majority() {
		return nil, ""
	}
	switch {
	case g.primary == nil:
		return append(others.evidence, "no database is primary"), "no primary"
	case !g.primary.isReachable(e.now):
		return append(others.evidence, fmt.Sprintf("%s does not answer this instance", g.primary.name)), "primary unreachable"
	case !g.isReachablePrimary(e.now):
		return append(others.evidence, fmt.Sprintf("%s reigns no more", g.primary.name)), "primary fenced"
	case others.cut >= g.majority():
		return append(others.evidence, "a majority is cut off from the primary"), "primary isolated"
	}
	return nil, ""
}

// reasonLeaving is the reason of a planned change of primary.
const reasonLeaving = "primary leaving"

// otherDatabases tells how the databases that are not primary stand.
type otherDatabases struct {
	// streaming follow the primary; cut do not, or are fenced.
	streaming, cut int
	evidence       []string
}

// otherDatabases counts the reachable databases beside the primary.
func (e *Engine) otherDatabases(g *group) otherDatabases {
	var others otherDatabases
	for _, d := range g.databases {
		if d == g.primary || !d.isReachable(e.now) {
			continue
		}
		switch {
		case d.status.Term > g.term:
			others.cut++
			others.evidence = append(others.evidence, fmt.Sprintf("%s is fenced at term %d", d.name, d.status.Term))
		case d.status.Streaming:
			others.streaming++
		default:
			others.cut++
			others.evidence = append(others.evidence, fmt.Sprintf("%s has lost its stream", d.name))
		}
	}
	return others
}

// considerClaim begins a change of primary when it is this instance's turn.
func (e *Engine) considerClaim(g *group) {
	st := &g.steward
	if st.suspected.IsZero() {
		e.checkRow(g)
		return
	}
	turn := time.Duration(e.stewardOrder(g)) * stewardStep
	if e.now.Sub(st.suspected) < turn {
		return
	}
	st.step = conductRead
	st.resume = conductClaim
	e.readRow(g)
}

// checkRow lets the first steward of a quiet group read its row now and then,
// and write it where a group has none yet or it lags behind.
func (e *Engine) checkRow(g *group) {
	st := &g.steward
	// The order is worked out only where the least jittered interval is over.
	if !st.checked.IsZero() && e.now.Sub(st.checked) < rowCheckInterval/2 {
		return
	}
	if e.stewardOrder(g) != 0 || !g.isProven(e.now) {
		return
	}
	if !st.checked.IsZero() && e.now.Sub(st.checked) < e.jitter(rowCheckInterval) {
		return
	}
	st.checked = e.now
	st.step = conductRead
	st.resume = conductNone
	e.readRow(g)
}

// stewardOrder returns this instance's place among the live instances in the
// order of rendezvous hashing for the group. Places differ, so that instances
// do not claim at once; safety does not depend on it.
func (e *Engine) stewardOrder(g *group) int {
	var live []model.InstanceID
	for _, peer := range e.instances.sorted() {
		if peer.alive && !peer.leaving {
			live = append(live, peer.id)
		}
	}
	return model.RendezvousRank(e.options.Instance, live, g.name)
}
