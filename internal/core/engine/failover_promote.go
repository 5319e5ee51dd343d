package engine

import (
	"fmt"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

// -----------------------------------------------------------------------------
// Fence and promote.

// startFencing continues with fencing once the claim is written.
func (e *Engine) startFencing(g *group) {
	st := &g.failover
	st.claimedAt = e.now
	st.pendingFences = map[uint64]*database{}
	st.fenced = map[model.DatabaseID]message.DatabaseStatus{}
	st.chosen = nil
	st.step = failoverFence
	e.logEvent(event.TermClaimed,
		event.F("group", g.name), event.F("term", st.claim.Term), event.F("reason", st.reason))
	e.fenceGroup(g)
}

// fenceGroup sends a Fence, by which a database rejects older terms, to every
// database that is not fenced yet and has no pending Fence.
func (e *Engine) fenceGroup(g *group) {
	st := &g.failover
	e.choosePrimaryWhenFenced(g)
	if st.step != failoverFence {
		return
	}
	if e.now.Sub(st.claimedAt) >= controlTimeout {
		e.delayStep(g, "too few databases can be fenced")
	}
	pending := map[model.DatabaseID]bool{}
	for _, d := range st.pendingFences {
		pending[d.name] = true
	}
	for _, d := range g.databases {
		if _, answered := st.fenced[d.name]; answered || pending[d.name] {
			continue
		}
		correlationID := e.correlationID()
		st.pendingFences[correlationID] = d
		e.emit(message.Fence{
			Database: d.name, CorrelationID: correlationID, Term: st.claim.Term, Nonce: st.claim.Nonce, Timeout: controlTimeout,
		})
	}
	st.notBefore = e.now.Add(retryPause)
}

// handleFailoverAnswer handles the response to a Fence, a Promote or a Follow. It
// reports whether the response belongs to one of these.
func (e *Engine) handleFailoverAnswer(d *database, answered message.ControlAnswered) bool {
	g := d.group
	st := &g.failover
	if _, found := st.pendingFences[answered.CorrelationID]; found {
		delete(st.pendingFences, answered.CorrelationID)
		e.handleFenced(g, d, answered)
		return true
	}
	if answered.CorrelationID == st.correlationID && st.step == failoverPromote {
		st.correlationID = 0
		e.handlePromoted(g, d, answered)
		return true
	}
	return e.handleFollowAnswer(d, answered)
}

// handleFenced records a fenced database and chooses the new primary once enough
// databases are fenced.
func (e *Engine) handleFenced(g *group, d *database, answered message.ControlAnswered) {
	st := &g.failover
	if st.step != failoverFence {
		return
	}
	if answered.Result == message.ControlConflict {
		e.yieldFailover(g, fmt.Sprintf("%s is in a later term", d.name))
		return
	}
	if answered.Result != message.ControlOK || answered.Status.Term != st.claim.Term {
		return
	}
	st.fenced[d.name] = answered.Status
	e.choosePrimaryWhenFenced(g)
}

// choosePrimaryWhenFenced continues with the promotion once enough databases are
// fenced.
func (e *Engine) choosePrimaryWhenFenced(g *group) {
	st := &g.failover
	chosen, found := e.newPrimary(g)
	if !found {
		return
	}
	st.chosen = chosen
	e.logEvent(event.MajorityFenced,
		event.F("group", g.name), event.F("term", st.claim.Term), event.F("fenced", len(st.fenced)),
		event.F("chosen", chosen.name), event.F("position", st.fenced[chosen.name].Received.String()))
	st.step = failoverPromote
	st.notBefore = time.Time{}
	e.promoteChosen(g)
}

// newPrimary returns the fenced database with the longest log, once a majority is
// fenced. Databases that are neither leaving nor the replaced primary are
// preferred: if they are a majority by themselves, they hold everything that is
// durable. Without this preference, a longer log would make an isolated primary the
// primary again.
func (e *Engine) newPrimary(g *group) (*database, bool) {
	st := &g.failover
	var preferred, fencedDatabases []*database
	for _, d := range g.databases {
		if _, fenced := st.fenced[d.name]; !fenced {
			continue
		}
		fencedDatabases = append(fencedDatabases, d)
		if !d.isLeaving() && d.name != st.previousPrimary {
			preferred = append(preferred, d)
		}
	}
	if len(preferred) >= g.majority() {
		return g.longestLog(preferred), true
	}
	if len(fencedDatabases) < g.majority() || len(preferred) < len(fencedDatabases) && e.now.Sub(st.claimedAt) < leavingGracePeriod {
		return nil, false
	}
	return g.longestLog(fencedDatabases), true
}

// longestLog returns the database with the newest received position at its fencing.
func (g *group) longestLog(list []*database) *database {
	longest := list[0]
	for _, d := range list[1:] {
		if g.failover.fenced[longest.name].Received.Less(g.failover.fenced[d.name].Received) {
			longest = d
		}
	}
	return longest
}

// promoteChosen sends a Promote to the chosen database.
func (e *Engine) promoteChosen(g *group) {
	st := &g.failover
	st.correlationID = e.correlationID()
	e.emit(message.Promote{
		Database: st.chosen.name, CorrelationID: st.correlationID, Term: st.claim.Term, Nonce: st.claim.Nonce, Timeout: controlTimeout,
	})
}

// handlePromoted continues with the record once the database is promoted. A
// database that does not respond receives another Promote; the other databases stay
// fenced meanwhile. If it still does not respond after claimExpiry, another term is
// claimed.
func (e *Engine) handlePromoted(g *group, d *database, answered message.ControlAnswered) {
	st := &g.failover
	switch {
	case answered.Result == message.ControlOK && answered.Status.Role == model.RolePrimary:
		e.recordPromotion(g, d, answered.Status)
	case answered.Result == message.ControlConflict || answered.Result == message.ControlRefused:
		e.yieldFailover(g, fmt.Sprintf("%s is in a later term", d.name))
	case e.now.Sub(st.claimedAt) > claimExpiry:
		st.step = failoverReadRow
		st.resumeStep = failoverClaim
		st.rowUnchangedSince = time.Time{}
		e.delayStep(g, "the chosen database does not answer")
	default:
		e.delayStep(g, "the chosen database does not answer")
	}
}

// recordPromotion builds the promotion record and sends it to the peers.
func (e *Engine) recordPromotion(g *group, d *database, promotedStatus message.DatabaseStatus) {
	st := &g.failover
	e.logEvent(event.DatabasePromoted,
		event.F("group", g.name), event.F("term", st.claim.Term), event.F("primary", d.name),
		event.F("position", promotedStatus.Received.String()), event.F("took", e.now.Sub(st.suspectedAt).String()))
	st.record = PromotionRecord{
		Group: g.name, Term: st.claim.Term, PreviousPrimary: st.previousPrimary, Primary: d.name,
		Coordinator: e.options.Instance, Reason: st.reason, Evidence: st.evidence,
		FencedDatabases: e.fencedDatabases(g), Position: promotedStatus.Received.String(),
		SuspectedAt: st.suspectedAt, ClaimedAt: st.claimedAt, PromotedAt: e.now,
	}
	st.claim.Phase = rowPromoted
	st.claim.Primary = d.name
	st.step = failoverRecord
	e.addRecord(g, st.record)
	e.broadcast(message.GroupUpdate{Group: g.name, Row: encode(st.claim), Record: encode(st.record)})
}

// fencedDatabases returns the fenced databases in the order of the manifest.
func (e *Engine) fencedDatabases(g *group) []FencedDatabase {
	var list []FencedDatabase
	for _, d := range g.databases {
		if status, found := g.failover.fenced[d.name]; found {
			list = append(list, FencedDatabase{Database: d.name, Position: status.Received.String()})
		}
	}
	return list
}
