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

// claimHolds goes on to fence the databases.
func (e *Engine) claimHolds(g *group) {
	st := &g.steward
	st.claimed = e.now
	st.fences = map[uint64]*database{}
	st.fenced = map[model.DatabaseID]message.DatabaseStatus{}
	st.chosen = nil
	st.step = conductFence
	e.note(event.TermClaimed,
		event.F("group", g.name), event.F("term", st.claim.Term), event.F("reason", st.reason))
	e.fenceGroup(g)
}

// fenceGroup asks every database that has not answered yet to refuse older
// terms.
func (e *Engine) fenceGroup(g *group) {
	st := &g.steward
	e.chooseWhenFenced(g)
	if st.step != conductFence {
		return
	}
	if e.now.Sub(st.claimed) >= controlTimeout {
		e.waitFor(g, "too few databases can be fenced")
	}
	asked := map[model.DatabaseID]bool{}
	for _, d := range st.fences {
		asked[d.name] = true
	}
	for _, d := range g.databases {
		if _, done := st.fenced[d.name]; done || asked[d.name] {
			continue
		}
		ask := e.ask()
		st.fences[ask] = d
		e.do(message.Fence{
			Database: d.name, CorrelationID: ask, Term: st.claim.Term, Nonce: st.claim.Nonce, Timeout: controlTimeout,
		})
	}
	st.notBefore = e.now.Add(retryPause)
}

// takeStewardAnswer takes the answer to a fence or a promotion. It reports
// whether the answer belonged to one.
func (e *Engine) takeStewardAnswer(d *database, answered message.ControlAnswered) bool {
	g := d.group
	st := &g.steward
	if _, found := st.fences[answered.CorrelationID]; found {
		delete(st.fences, answered.CorrelationID)
		e.takeFenced(g, d, answered)
		return true
	}
	if answered.CorrelationID == st.ask && st.step == conductPromote {
		st.ask = 0
		e.takePromoted(g, d, answered)
		return true
	}
	return e.takeRepairAnswer(d, answered)
}

// takeFenced counts a fenced database; with a majority the longest log among
// them is chosen.
func (e *Engine) takeFenced(g *group, d *database, answered message.ControlAnswered) {
	st := &g.steward
	if st.step != conductFence {
		return
	}
	if answered.Err == message.ControlConflict {
		e.yield(g, fmt.Sprintf("%s is in a later term", d.name))
		return
	}
	if answered.Err != message.ControlOK || answered.Status.Term != st.claim.Term {
		return
	}
	st.fenced[d.name] = answered.Status
	e.chooseWhenFenced(g)
}

// chooseWhenFenced goes on to the promotion once enough databases are fenced.
func (e *Engine) chooseWhenFenced(g *group) {
	st := &g.steward
	chosen, found := e.chooseFenced(g)
	if !found {
		return
	}
	st.chosen = chosen
	e.note(event.MajorityFenced,
		event.F("group", g.name), event.F("term", st.claim.Term), event.F("fenced", len(st.fenced)),
		event.F("chosen", chosen.name), event.F("position", st.fenced[chosen.name].Received.String()))
	st.step = conductPromote
	st.notBefore = time.Time{}
	e.promoteChosen(g)
}

// chooseFenced returns the fenced database with the longest log, once a
// majority is fenced. Databases that stay, the replaced primary not among them,
// are preferred: where they are a majority by themselves, they hold all that is
// proven. Its longer log must not bring an isolated primary back.
func (e *Engine) chooseFenced(g *group) (*database, bool) {
	st := &g.steward
	var staying, all []*database
	for _, d := range g.databases {
		if _, fenced := st.fenced[d.name]; !fenced {
			continue
		}
		all = append(all, d)
		if !d.isLeaving() && d.name != st.before {
			staying = append(staying, d)
		}
	}
	if len(staying) >= g.majority() {
		return g.longestLog(staying), true
	}
	if len(all) < g.majority() || len(staying) < len(all) && e.now.Sub(st.claimed) < leavingGrace {
		return nil, false
	}
	return g.longestLog(all), true
}

// longestLog returns the database with the newest received position.
func (g *group) longestLog(list []*database) *database {
	longest := list[0]
	for _, d := range list[1:] {
		if g.steward.fenced[longest.name].Received.Less(g.steward.fenced[d.name].Received) {
			longest = d
		}
	}
	return longest
}

// promoteChosen asks the chosen database to reign.
func (e *Engine) promoteChosen(g *group) {
	st := &g.steward
	st.ask = e.ask()
	e.do(message.Promote{
		Database: st.chosen.name, CorrelationID: st.ask, Term: st.claim.Term, Nonce: st.claim.Nonce, Timeout: controlTimeout,
	})
}

// takePromoted goes on to record the change. A database that does not answer
// any more is asked again; the fence of the others holds meanwhile, and another
// claim follows where it stays mute.
func (e *Engine) takePromoted(g *group, d *database, answered message.ControlAnswered) {
	st := &g.steward
	switch {
	case answered.Err == message.ControlOK && answered.Status.Role == model.RolePrimary:
		e.promoted(g, d, answered.Status)
	case answered.Err == message.ControlConflict || answered.Err == message.ControlRefused:
		e.yield(g, fmt.Sprintf("%s is in a later term", d.name))
	case e.now.Sub(st.claimed) > claimLease:
		st.step = conductRead
		st.resume = conductClaim
		st.seen = time.Time{}
		e.waitFor(g, "the chosen database does not answer")
	default:
		e.waitFor(g, "the chosen database does not answer")
	}
}

// promoted notes the change and tells replicas and peers.
func (e *Engine) promoted(g *group, d *database, status message.DatabaseStatus) {
	st := &g.steward
	e.note(event.DatabasePromoted,
		event.F("group", g.name), event.F("term", st.claim.Term), event.F("primary", d.name),
		event.F("position", status.Received.String()), event.F("took", e.now.Sub(st.suspected).String()))
	st.record = PromotionRecord{
		Group: g.name, Term: st.claim.Term, PreviousPrimary: st.before, Primary: d.name,
		Coordinator: e.options.Instance, Reason: st.reason, Evidence: st.evidence,
		FencedDatabases: e.fencedList(g), Position: status.Received.String(),
		SuspectedAt: st.suspected, ClaimedAt: st.claimed, PromotedAt: e.now,
	}
	st.claim.Phase = rowPromoted
	st.claim.Primary = d.name
	st.step = conductRecord
	e.keepRecord(g, st.record)
	e.tellPeers(message.GroupUpdate{Group: g.name, Row: encode(st.claim), Record: encode(st.record)})
}

// fencedList lists the fenced databases in the order of the manifest.
func (e *Engine) fencedList(g *group) []FencedDatabase {
	var list []FencedDatabase
	for _, d := range g.databases {
		if status, found := g.steward.fenced[d.name]; found {
			list = append(list, FencedDatabase{Database: d.name, Position: status.Received.String()})
		}
	}
	return list
}
