package engine

import (
	"sort"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

// maxProbes bounds the status questions on their way to one database: one that
// was sent before a read arrived, and one after it.
const maxProbes = 2

// -----------------------------------------------------------------------------
// Answers.

// takeStatus learns from the answer to a control question.
func (e *Engine) takeStatus(answered message.ControlAnswered) {
	d, found := e.databases[answered.Database]
	if !found {
		return
	}
	if answered.CorrelationID == d.awaiting {
		d.awaiting = 0
	} else if !e.takeStewardAnswer(d, answered) && d.probes > 0 {
		d.probes--
	}
	if answered.Err != message.ControlOK && answered.Err != message.ControlConflict {
		e.noteFailure(d, answered)
		return
	}
	e.noteStatus(d, answered)
}

// noteFailure remembers since when a database has not answered.
func (e *Engine) noteFailure(d *database, answered message.ControlAnswered) {
	if answered.SentAt.Before(d.heard) {
		return
	}
	if d.failing.IsZero() {
		d.failing = e.now
		e.note(event.DatabaseUnreachable,
			event.F("group", d.group.name), event.F("database", d.name),
			event.F("error", answered.Err.String()), event.F("silent", e.now.Sub(d.heard).String()))
	}
}

// noteStatus takes in what a database says of itself. Answers that were asked
// for earlier than the last one taken in are dropped, since they are older.
func (e *Engine) noteStatus(d *database, answered message.ControlAnswered) {
	if d.known && answered.SentAt.Before(d.asked) {
		return
	}
	status := answered.Status
	if !d.known || !d.failing.IsZero() {
		e.note(event.DatabaseReachable,
			event.F("group", d.group.name), event.F("database", d.name), event.F("role", status.Role.String()),
			event.F("term", status.Term), event.F("received", status.Received.String()))
	}
	if status.Leaving && !d.isLeaving() {
		e.noteLeaving(d, "database")
	}
	if answered.SentAt.After(d.hintedAt) {
		d.hinted = false
	}
	d.status = status
	d.applied = status.Applied
	d.known = true
	d.asked = answered.SentAt
	d.heard = e.now
	d.failing = time.Time{}
	e.adoptTerm(d)
	d.group.refreshProof()
	e.measureLag(d)
	e.sampleGroup(d.group)
}

// noteLeaving logs that a database leaves and passes the word on.
func (e *Engine) noteLeaving(d *database, source string) {
	e.note(event.DatabaseLeaving,
		event.F("group", d.group.name), event.F("database", d.name), event.F("source", source))
	if source == "database" {
		e.tellPeers(message.DatabaseLeaving{Database: d.name, Leaving: true})
	}
}

// adoptTerm follows a primary of a newer term.
func (e *Engine) adoptTerm(d *database) {
	g := d.group
	if d.status.Role != model.RolePrimary || d.status.Term <= g.term && g.primary != nil {
		return
	}
	before := g.term
	g.term = d.status.Term
	g.primary = d
	g.proven = model.Position{}
	e.note(event.TermAdopted,
		event.F("group", g.name), event.F("term", g.term), event.F("primary", d.name), event.F("before", before))
	e.leaveTerm(g)
}

// leaveTerm gives up the attempts that run under an older term: their answers
// can't be proven any more.
func (e *Engine) leaveTerm(g *group) {
	for _, r := range sortedRequests(e.requests.byID) {
		if r.group != g || r.term == 0 || r.term >= g.term {
			continue
		}
		switch r.phase {
		case phaseRunning:
			e.drop(r)
		case phaseProving, phaseSettled:
			e.settle(r)
		case phaseWaiting, phaseSettling:
		}
	}
}

// drop tells the edge to give a running attempt up.
func (e *Engine) drop(r *request) {
	if r.dropped {
		return
	}
	r.dropped = true
	e.note(event.AttemptDropped,
		event.F("request", r.id), event.F("attempt", r.attempt), event.F("group", r.group.name),
		event.F("database", r.database.name), event.F("term", r.term))
	e.do(message.CloseConnection{Request: r.id, Attempt: r.attempt})
}

// sampleGroup keeps the proof that the latest answers give together.
func (e *Engine) sampleGroup(g *group) {
	if g.proof.IsZero() {
		return
	}
	g.addSample(e.now, sample{at: g.proof, known: e.now, position: g.primary.status.Received})
}

// measureLag narrows the estimate of how long a replica takes to show a commit:
// what it lacks gives a lower bound, what it shows an upper one.
func (e *Engine) measureLag(d *database) {
	if d.status.Role == model.RolePrimary {
		d.lag = 0
		return
	}
	samples := d.group.samples
	lacking := len(samples)
	for lacking > 0 && d.applied.Less(samples[lacking-1].position) {
		lacking--
	}
	if lacking < len(samples) {
		d.lag = max(d.lag, d.asked.Sub(samples[lacking].known))
		return
	}
	first := sort.Search(lacking, func(i int) bool { return !samples[i].position.Less(d.applied) })
	if first < lacking && samples[first].position == d.applied {
		d.lag = min(d.lag, e.now.Sub(samples[first].at))
	}
}

// smooth is an exponentially weighted mean.
func smooth(mean, value time.Duration) time.Duration {
	const weight = 4
	return mean + (value-mean)/weight
}

// -----------------------------------------------------------------------------
// Questions.

// runWatch asks databases for their status: regularly, and at once where a read
// waits for a sample.
func (e *Engine) runWatch() {
	for _, g := range e.groups {
		for _, d := range g.databases {
			if e.isProbeDue(g, d) {
				e.probe(d)
			}
		}
	}
}

// isProbeDue reports whether a database shall be asked for its status now.
func (e *Engine) isProbeDue(g *group, d *database) bool {
	if d.probes >= maxProbes {
		return false
	}
	if e.now.Sub(d.lastProbe) >= probeInterval && d.probes == 0 {
		return true
	}
	// A question already sent after the read arrived serves it too.
	return d.lastProbe.Before(g.wanting)
}

// probe asks a database for its status.
func (e *Engine) probe(d *database) {
	d.probes++
	d.lastProbe = e.now
	e.do(message.Probe{Database: d.name, CorrelationID: e.ask(), Timeout: probeTimeout})
}

// probeGroup asks all databases of a group that no question is on its way to.
func (e *Engine) probeGroup(g *group) {
	for _, d := range g.databases {
		if d.probes == 0 {
			e.probe(d)
		}
	}
}
