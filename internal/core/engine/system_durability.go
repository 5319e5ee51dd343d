package engine

import (
	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// -----------------------------------------------------------------------------
// Durability of positions.

// runDurability releases the results and commits that have become durable, and
// requests from replicas a report of the oldest position that a request still waits
// for.
func (e *Engine) runDurability() {
	for _, g := range e.groups {
		e.advanceDurable(g)
		if len(g.held) == 0 && len(g.awaitingQuorum) == 0 {
			continue
		}
		e.releaseHeldResults(g)
		e.finishDurableCommits(g)
		e.awaitOldestPosition(g)
	}
}

// advanceDurable recomputes the durable position and publishes it if it has
// advanced.
func (e *Engine) advanceDurable(g *group) {
	position := g.majorityPosition()
	if !g.durable.Less(position) {
		return
	}
	g.durable = position
	e.emit(message.SetDurablePosition{Group: g.name, Position: position})
}

// releaseHeldResults releases held results whose position is durable, and closes
// the attempts of those in an older term.
func (e *Engine) releaseHeldResults(g *group) {
	for _, r := range sortedRequests(g.held) {
		if r.position.Term != g.term && !r.position.IsZero() {
			e.closeAttempt(r)
			continue
		}
		if !g.isDurable(r.position) {
			continue
		}
		delete(g.held, r.id)
		e.emit(message.ReleaseResult{Request: r.id, Attempt: r.attempt})
	}
}

// finishDurableCommits ends requests whose commit, or resolved outcome, is durable.
func (e *Engine) finishDurableCommits(g *group) {
	for _, r := range sortedRequests(g.awaitingQuorum) {
		if !g.isDurable(r.position) {
			e.expireCommit(r)
			continue
		}
		delete(g.awaitingQuorum, r.id)
		if r.phase == phaseResolved {
			e.finishResolved(r)
			continue
		}
		e.acknowledge(r)
	}
}

// expireCommit ends a commit that is not durable at its deadline with an unknown
// outcome, since it may or may not survive.
func (e *Engine) expireCommit(r *request) {
	if e.now.Before(r.deadline) {
		return
	}
	e.abortRequest(r, true, "the commit was not confirmed by a majority within the deadline")
}

// awaitOldestPosition sends an AwaitPosition to each replica of the term that has not
// received the oldest position that a request waits for. The replica responds as soon
// as it has.
func (e *Engine) awaitOldestPosition(g *group) {
	position, found := e.oldestNonDurable(g)
	if !found {
		return
	}
	for _, d := range g.databases {
		if d == g.primary || d.awaitID != 0 || !d.inTerm(g.term) || !d.isReachable(e.now) {
			continue
		}
		if !d.status.Received.Less(position) {
			continue
		}
		d.awaitID = e.correlationID()
		e.emit(message.AwaitPosition{Database: d.name, CorrelationID: d.awaitID, Position: position, Timeout: awaitTimeout})
	}
}

// oldestNonDurable returns the lowest position of the current term that a held
// result or a commit waits for, and false if there is none.
func (e *Engine) oldestNonDurable(g *group) (model.Position, bool) {
	var oldest model.Position
	considerPosition := func(position model.Position) {
		if position.Term != g.term || g.isDurable(position) {
			return
		}
		if oldest.IsZero() || position.Less(oldest) {
			oldest = position
		}
	}
	for _, r := range g.held {
		considerPosition(r.position)
	}
	for _, r := range g.awaitingQuorum {
		considerPosition(r.position)
	}
	return oldest, !oldest.IsZero()
}

// handleResultHeld records a result that the edge holds until its position is
// durable.
func (e *Engine) handleResultHeld(held message.ResultHeld) {
	r, found := e.requests.byID[held.Request]
	if !found || r.attempt != held.Attempt || r.phase != phaseRunning {
		return
	}
	if r.closeRequested {
		return
	}
	r.position = held.Position
	r.group.held[r.id] = r
	e.updatePrimaryPosition(r, held.Position)
}

// updatePrimaryPosition records that the primary of the request's term holds
// position.
func (e *Engine) updatePrimaryPosition(r *request, position model.Position) {
	g := r.group
	if r.term != g.term || r.database != g.primary || position.Term != g.term {
		return
	}
	if g.primary.status.Received.Less(position) {
		g.primary.status.Received = position
	}
	g.primary.applied = g.primary.applied.Max(position)
}
