package engine

import (
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

// drainState is the state of the shutdown of this instance.
type drainState struct {
	started   bool
	startedAt time.Time
	ended     bool
	// lastReadiness is the readiness that was last published.
	lastReadiness message.Readiness
}

// startDrain starts the shutdown: no further callers are accepted, the other
// instances are notified at once, and open requests run to their end.
func (e *Engine) startDrain() {
	if e.drain.started {
		return
	}
	e.drain.started = true
	e.drain.startedAt = e.now
	e.logEvent(event.DrainStarted, event.F("sessions", len(e.sessions)), event.F("requests", len(e.requests.byID)))
	e.emit(message.Drain{})
	for _, entry := range e.instances.sorted() {
		entry.heartbeatSentAt = time.Time{}
	}
}

// publishReadiness publishes when the instance becomes able or unable to accept
// callers.
func (e *Engine) publishReadiness() {
	readiness := message.Readiness{Ready: true}
	switch {
	case e.drain.started:
		readiness = message.Readiness{Reason: "draining"}
	case e.manifests.current == nil:
		readiness = message.Readiness{Reason: "no manifest is in force"}
	}
	if readiness == e.drain.lastReadiness {
		return
	}
	e.drain.lastReadiness = readiness
	e.emit(readiness)
}

// runDrain terminates the process once no session, request or failover is left, or
// after drainTimeout.
func (e *Engine) runDrain() {
	e.publishReadiness()
	if !e.drain.started || e.drain.ended {
		return
	}
	elapsed := e.now.Sub(e.drain.startedAt)
	idle := len(e.sessions) == 0 && len(e.requests.byID) == 0 && !e.isFailoverRunning()
	quiet := idle && elapsed >= minDrainTime
	if !quiet && elapsed < drainTimeout {
		return
	}
	e.drain.ended = true
	e.logEvent(event.DrainEnded,
		event.F("sessions", len(e.sessions)), event.F("requests", len(e.requests.byID)), event.F("took", elapsed.String()))
	e.emit(message.Terminate{})
}

// isFailoverRunning reports whether this instance is coordinating a failover.
func (e *Engine) isFailoverRunning() bool {
	for _, g := range e.groups {
		if g.failover.step != failoverIdle && g.failover.step != failoverReadRow {
			return true
		}
	}
	return false
}
