package engine

import (
	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// -----------------------------------------------------------------------------
// Proof of positions.

// runProve releases what a newly proven position allows, and asks replicas for
// the oldest position that something still waits for.
func (e *Engine) runProve() {
	for _, g := range e.groups {
		e.raiseProven(g)
		if len(g.held) == 0 && len(g.proving) == 0 {
			continue
		}
		e.releaseHeld(g)
		e.releaseProving(g)
		e.awaitOldest(g)
	}
}

// raiseProven recomputes the proven position and publishes it.
func (e *Engine) raiseProven(g *group) {
	position := g.provenPosition()
	if !g.proven.Less(position) {
		return
	}
	g.proven = position
	e.do(message.SetDurablePosition{Group: g.name, Position: position})
}

// releaseHeld lets held answers go whose position is proven.
func (e *Engine) releaseHeld(g *group) {
	for _, r := range sortedRequests(g.held) {
		if r.position.Term != g.term && !r.position.IsZero() {
			e.drop(r)
			continue
		}
		if !g.isPositionProven(r.position) {
			continue
		}
		delete(g.held, r.id)
		e.do(message.ReleaseResult{Request: r.id, Attempt: r.attempt})
	}
}

// releaseProving ends requests whose commit, or settling answer, is proven.
func (e *Engine) releaseProving(g *group) {
	for _, r := range sortedRequests(g.proving) {
		if !g.isPositionProven(r.position) {
			e.expireProving(r)
			continue
		}
		delete(g.proving, r.id)
		if r.phase == phaseSettled {
			e.endSettled(r)
			continue
		}
		e.acknowledge(r)
	}
}

// expireProving ends the wait for a proof at the deadline: the commit may
// survive or not.
func (e *Engine) expireProving(r *request) {
	if e.now.Before(r.deadline) {
		return
	}
	e.abandon(r, true, "the commit was not proven to be held by a majority inside the deadline")
}

// awaitOldest asks each replica of the term to answer as soon as it has
// received the oldest position that something waits for.
func (e *Engine) awaitOldest(g *group) {
	position, found := e.oldestUnproven(g)
	if !found {
		return
	}
	for _, d := range g.databases {
		if d == g.primary || d.awaiting != 0 || !d.inTerm(g.term) || !d.isReachable(e.now) {
			continue
		}
		if !d.status.Received.Less(position) {
			continue
		}
		d.awaiting = e.ask()
		e.do(message.AwaitPosition{Database: d.name, CorrelationID: d.awaiting, Position: position, Timeout: awaitTimeout})
	}
}

// oldestUnproven returns the lowest position of the current term that a held
// answer or a commit waits for.
func (e *Engine) oldestUnproven(g *group) (model.Position, bool) {
	var oldest model.Position
	consider := func(position model.Position) {
		if position.Term != g.term || g.isPositionProven(position) {
			return
		}
		if oldest.IsZero() || position.Less(oldest) {
			oldest = position
		}
	}
	for _, r := range g.held {
		consider(r.position)
	}
	for _, r := range g.proving {
		consider(r.position)
	}
	return oldest, !oldest.IsZero()
}

// takeHeld notes an answer that waits at the edge for its proof.
func (e *Engine) takeHeld(held message.ResultHeld) {
	r, found := e.requests.byID[held.Request]
	if !found || r.attempt != held.Attempt || r.phase != phaseRunning {
		return
	}
	if r.dropped {
		return
	}
	r.position = held.Position
	r.group.held[r.id] = r
	e.learnPrimary(r, held.Position)
}

// learnPrimary takes in that the primary of the request's term holds position.
func (e *Engine) learnPrimary(r *request, position model.Position) {
	g := r.group
	if r.term != g.term || r.database != g.primary || position.Term != g.term {
		return
	}
	if g.primary.status.Received.Less(position) {
		g.primary.status.Received = position
	}
	g.primary.applied = g.primary.applied.Max(position)
}
