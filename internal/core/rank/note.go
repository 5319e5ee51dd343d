package rank

import (
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

// Bounds of log lines.
const (
	// notesPerSecond is the number of lines of one event in a second; a flood
	// would drown all others.
	notesPerSecond = 5
	// noteBacklog bounds the lines that nobody has fetched.
	noteBacklog = 256
)

// noteGate counts the lines of one event.
type noteGate struct {
	since  time.Time
	passed int
	// left counts the lines left out since the last one that was written.
	left uint64
}

// note keeps a line for Notes, or counts it as left out.
func (s *Scheduler) note(now time.Time, line message.LogEvent) {
	gate := s.gates[line.Event.Number]
	if gate == nil {
		gate = &noteGate{since: now}
		s.gates[line.Event.Number] = gate
	}
	if now.Sub(gate.since) >= time.Second {
		gate.since, gate.passed = now, 0
	}
	if gate.passed >= notesPerSecond || len(s.notes) >= noteBacklog {
		gate.left++
		return
	}
	gate.passed++
	line.Fields = append(line.Fields, event.F("left", gate.left))
	gate.left = 0
	s.notes = append(s.notes, line)
}

// isNoted reports whether a line of the event would be kept now, and counts it
// as left out where not. It spares the cost of lines that a flood drops.
func (s *Scheduler) isNoted(now time.Time, e *event.Event) bool {
	gate := s.gates[e.Number]
	if gate == nil || now.Sub(gate.since) >= time.Second || gate.passed < notesPerSecond {
		return true
	}
	gate.left++
	return false
}

// TakeLogEvents returns the log lines since the last call, at most five a second of each
// event; the field "left" counts those left out before a line.
func (s *Scheduler) TakeLogEvents() []message.LogEvent {
	out := s.notes
	s.notes = nil
	return out
}

// -----------------------------------------------------------------------------
// The lines.

func (s *Scheduler) noteRefused(now time.Time, work *Work, refusal *Refusal) {
	if !s.isNoted(now, &event.WorkRefused) {
		return
	}
	s.note(now, message.LogEvent{Event: event.WorkRefused, Fields: []event.Field{
		event.F("group", work.Group), event.F("rank", s.rankName(work.Rank)), event.F("caller", work.Caller),
		event.F("why", refusal.Reason), event.F("detail", refusal.Detail), event.F("again", refusal.RetryAfter),
	}})
}

func (s *Scheduler) noteExpired(now time.Time, work *Work) {
	if !s.isNoted(now, &event.WorkExpired) {
		return
	}
	s.note(now, message.LogEvent{Event: event.WorkExpired, Fields: []event.Field{
		event.F("group", work.Group), event.F("rank", s.rankName(work.Rank)), event.F("caller", work.Caller),
		event.F("waited", now.Sub(work.Arrived)),
	}})
}

func limitLowered(d *database) message.LogEvent {
	return message.LogEvent{Event: event.LimitLowered, Fields: []event.Field{
		event.F("group", d.group.id), event.F("database", d.id), event.F("slots", int(d.limiter.slots)),
		event.F("slowdown", d.limiter.ratio), event.F("failing", d.limiter.fails),
	}}
}

func limitRestored(d *database) message.LogEvent {
	return message.LogEvent{Event: event.LimitRestored, Fields: []event.Field{
		event.F("group", d.group.id), event.F("database", d.id), event.F("slots", int(d.limiter.slots)),
	}}
}

func circuitOpened(d *database) message.LogEvent {
	return message.LogEvent{Event: event.CircuitOpened, Fields: []event.Field{
		event.F("group", d.group.id), event.F("database", d.id), event.F("state", d.limiter.state),
		event.F("slowdown", d.limiter.ratio), event.F("failing", d.limiter.fails),
	}}
}

func circuitClosedAgain(d *database) message.LogEvent {
	return message.LogEvent{Event: event.CircuitClosed, Fields: []event.Field{
		event.F("group", d.group.id), event.F("database", d.id),
	}}
}

func arbiterChanged(g *group, before, after model.InstanceID) message.LogEvent {
	return message.LogEvent{Event: event.ArbiterChanged, Fields: []event.Field{
		event.F("group", g.id), event.F("before", before), event.F("after", after),
	}}
}

func arbiterSilent(g *group, arbiter model.InstanceID) message.LogEvent {
	return message.LogEvent{Event: event.ArbiterSilent, Fields: []event.Field{
		event.F("group", g.id), event.F("arbiter", arbiter),
	}}
}

func shareReserved(id model.InstanceID, until time.Time) message.LogEvent {
	return message.LogEvent{Event: event.ShareReserved, Fields: []event.Field{
		event.F("instance", id), event.F("until", until),
	}}
}

func (s *Scheduler) noteGranted(now time.Time, l *lease) {
	if !s.isNoted(now, &event.LeaseGranted) {
		return
	}
	s.note(now, message.LogEvent{Event: event.LeaseGranted, Fields: []event.Field{
		event.F("group", l.database.group.id), event.F("database", l.database.id),
		event.F("rank", s.rankName(l.rank)), event.F("instance", l.to.id),
	}})
}

func (s *Scheduler) noteRecalled(now time.Time, l *lease, c claim) {
	if !s.isNoted(now, &event.LeaseRecalled) {
		return
	}
	s.note(now, message.LogEvent{Event: event.LeaseRecalled, Fields: []event.Field{
		event.F("group", l.database.group.id), event.F("database", l.database.id),
		event.F("rank", s.rankName(l.rank)), event.F("instance", l.to.id), event.F("for", s.rankName(c.want.rank)),
	}})
}

func retryRefused(g *group) message.LogEvent {
	return message.LogEvent{Event: event.RetryRefused, Fields: []event.Field{event.F("group", g.id)}}
}
