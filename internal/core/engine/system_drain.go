package engine

import (
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

// drainState is how far an instance has come in leaving.
type drainState struct {
	started bool
	at      time.Time
	ended   bool
	// published is the readiness that was last told.
	published message.Readiness
}

// takeDrain begins to leave: no further callers, the others are told at once,
// and every request in flight ends in its own time.
func (e *Engine) takeDrain() {
	if e.drain.started {
		return
	}
	e.drain.started = true
	e.drain.at = e.now
	e.note(event.DrainStarted, event.F("sessions", len(e.sessions)), event.F("requests", len(e.requests.byID)))
	e.do(message.Drain{})
	for _, entry := range e.instances.sorted() {
		entry.told = time.Time{}
	}
}

// publishReadiness tells when the instance becomes able, or unable, to take
// callers.
func (e *Engine) publishReadiness() {
	now := message.Readiness{Ready: true}
	switch {
	case e.drain.started:
		now = message.Readiness{Reason: "draining"}
	case e.declared.current == nil:
		now = message.Readiness{Reason: "no manifest is in force"}
	}
	if now == e.drain.published {
		return
	}
	e.drain.published = now
	e.do(now)
}

// runDrain ends the process once nothing is left to do.
func (e *Engine) runDrain() {
	e.publishReadiness()
	if !e.drain.started || e.drain.ended {
		return
	}
	took := e.now.Sub(e.drain.at)
	idle := len(e.sessions) == 0 && len(e.requests.byID) == 0 && !e.isConducting()
	quiet := idle && took >= drainQuiet
	if !quiet && took < drainLimit {
		return
	}
	e.drain.ended = true
	e.note(event.DrainEnded,
		event.F("sessions", len(e.sessions)), event.F("requests", len(e.requests.byID)), event.F("took", took.String()))
	e.do(message.Terminate{})
}

// isConducting reports whether a change of primary is under way here.
func (e *Engine) isConducting() bool {
	for _, g := range e.groups {
		if g.steward.step != conductNone && g.steward.step != conductRead {
			return true
		}
	}
	return false
}
