package engine

import (
	"fmt"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
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
	st.evidence = evidence
	st.reason = reason
	if !st.suspected.IsZero() {
		return
	}
	st.suspected = e.now
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
	mine := weight(e.options.Instance, g.name)
	order := 0
	for _, peer := range e.instances.sorted() {
		if !peer.alive || peer.leaving {
			continue
		}
		if w := weight(peer.id, g.name); w > mine || w == mine && peer.id < e.options.Instance {
			order++
		}
	}
	return order
}

// -----------------------------------------------------------------------------
// The row: read and claim.

// readRow asks for the group's row.
func (e *Engine) readRow(g *group) {
	g.steward.ask = e.ask()
	e.do(message.ReadRow{Ask: g.steward.ask, Table: groupTable, Key: string(g.name), Timeout: rowTimeout})
}

// takeGroupRow decides after the row was read.
func (e *Engine) takeGroupRow(g *group, read message.RowsRead) {
	st := &g.steward
	st.ask = 0
	if read.Err != message.PlatformOK && read.Err != message.PlatformMissing {
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
		Ask:     st.ask,
		Rows:    []message.Row{{Table: groupTable, Key: string(g.name), Version: st.version, Body: encode(st.claim)}},
		Timeout: rowTimeout,
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
	case message.PlatformUnsent, message.PlatformRefused, message.PlatformMissing:
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

// -----------------------------------------------------------------------------
// Fence and promote.

// claimHolds goes on to fence the databases.
func (e *Engine) claimHolds(g *group) {
	st := &g.steward
	st.claimed = e.now
	st.fences = map[uint64]*database{}
	st.fenced = map[model.DatabaseID]message.Status{}
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
			Database: d.name, Ask: ask, Term: st.claim.Term, Nonce: st.claim.Nonce, Timeout: controlTimeout,
		})
	}
	st.notBefore = e.now.Add(retryPause)
}

// takeStewardAnswer takes the answer to a fence or a promotion. It reports
// whether the answer belonged to one.
func (e *Engine) takeStewardAnswer(d *database, answered message.DatabaseAnswered) bool {
	g := d.group
	st := &g.steward
	if _, found := st.fences[answered.Ask]; found {
		delete(st.fences, answered.Ask)
		e.takeFenced(g, d, answered)
		return true
	}
	if answered.Ask == st.ask && st.step == conductPromote {
		st.ask = 0
		e.takePromoted(g, d, answered)
		return true
	}
	return e.takeRepairAnswer(d, answered)
}

// takeFenced counts a fenced database; with a majority the longest log among
// them is chosen.
func (e *Engine) takeFenced(g *group, d *database, answered message.DatabaseAnswered) {
	st := &g.steward
	if st.step != conductFence {
		return
	}
	if answered.Err == message.AskConflict {
		e.yield(g, fmt.Sprintf("%s is in a later term", d.name))
		return
	}
	if answered.Err != message.AskOK || answered.Status.Term != st.claim.Term {
		e.waitFor(g, "too few databases can be fenced")
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
		Database: st.chosen.name, Ask: st.ask, Term: st.claim.Term, Nonce: st.claim.Nonce, Timeout: controlTimeout,
	})
}

// takePromoted goes on to record the change. A database that does not answer
// any more is asked again; the fence of the others holds meanwhile, and another
// claim follows where it stays mute.
func (e *Engine) takePromoted(g *group, d *database, answered message.DatabaseAnswered) {
	st := &g.steward
	switch {
	case answered.Err == message.AskOK && answered.Status.Role == model.RolePrimary:
		e.promoted(g, d, answered.Status)
	case answered.Err == message.AskConflict || answered.Err == message.AskRefused:
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
func (e *Engine) promoted(g *group, d *database, status message.Status) {
	st := &g.steward
	e.note(event.DatabasePromoted,
		event.F("group", g.name), event.F("term", st.claim.Term), event.F("primary", d.name),
		event.F("position", status.Received.String()), event.F("took", e.now.Sub(st.suspected).String()))
	st.record = Record{
		Group: g.name, Term: st.claim.Term, Before: st.before, Primary: d.name,
		Steward: e.options.Instance, Reason: st.reason, Evidence: st.evidence,
		Fenced: e.fencedList(g), Position: status.Received.String(),
		Suspected: st.suspected, Claimed: st.claimed, Promoted: e.now,
	}
	st.claim.Phase = rowPromoted
	st.claim.Primary = d.name
	st.step = conductRecord
	e.keepRecord(g, st.record)
	e.tellPeers(message.GroupNews{Group: g.name, Row: encode(st.claim), Record: encode(st.record)})
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

// -----------------------------------------------------------------------------
// Record.

// writeRecord writes the row and the logbook's record in one transaction.
func (e *Engine) writeRecord(g *group) {
	st := &g.steward
	st.ask = e.ask()
	key := logbookKey(g.name, st.record.Term)
	e.do(message.WriteRows{
		Ask: st.ask,
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
	st.record = Record{
		Group: g.name, Term: g.term, Before: st.row.Primary, Primary: g.primary.name, Steward: e.options.Instance,
		Reason: reason, Position: g.primary.status.Received.String(),
		Suspected: e.now, Claimed: e.now, Promoted: e.now,
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
			Database: d.name, Ask: d.following, Term: g.term,
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
func (e *Engine) takeRepairAnswer(d *database, answered message.DatabaseAnswered) bool {
	if answered.Ask != d.following {
		return false
	}
	d.following = 0
	return true
}
