package rank

import (
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

// Bounds on log events.
const (
	// maxEventsPerSecond is the maximum number of log lines of one event in a
	// second, so that a flood of one event does not hide the others.
	maxEventsPerSecond = 5
	// maxPendingEvents bounds the log events that TakeLogEvents has not taken
	// yet.
	maxPendingEvents = 256
)

// logLimit counts the log lines of one event in the current second.
type logLimit struct {
	windowStart time.Time
	written     int
	// suppressed counts the events left out since the last one that was logged.
	suppressed uint64
}

// logEvent keeps an event for TakeLogEvents, or counts it as left out.
func (s *Scheduler) logEvent(now time.Time, entry message.LogEvent) {
	limit := s.logLimits[entry.Event.Number]
	if limit == nil {
		limit = &logLimit{windowStart: now}
		s.logLimits[entry.Event.Number] = limit
	}
	if now.Sub(limit.windowStart) >= time.Second {
		limit.windowStart, limit.written = now, 0
	}
	if limit.written >= maxEventsPerSecond || len(s.logEvents) >= maxPendingEvents {
		limit.suppressed++
		return
	}
	limit.written++
	entry.Fields = append(entry.Fields, event.F("left", limit.suppressed))
	limit.suppressed = 0
	s.logEvents = append(s.logEvents, entry)
}

// isLogged reports whether logEvent would keep this event now, and counts the
// event as left out if not. It saves the cost of building events that are
// dropped in a flood.
func (s *Scheduler) isLogged(now time.Time, e *event.Event) bool {
	limit := s.logLimits[e.Number]
	if limit == nil || now.Sub(limit.windowStart) >= time.Second || limit.written < maxEventsPerSecond {
		return true
	}
	limit.suppressed++
	return false
}

// TakeLogEvents returns the log events since the last call, at most five a
// second of each event. The field "left" is the number of events of the same
// kind that were left out before it.
func (s *Scheduler) TakeLogEvents() []message.LogEvent {
	events := s.logEvents
	s.logEvents = nil
	return events
}

// -----------------------------------------------------------------------------
// Log events.

func (s *Scheduler) logRejected(now time.Time, work *Work, refusal *Refusal) {
	if !s.isLogged(now, &event.WorkRefused) {
		return
	}
	s.logEvent(now, message.LogEvent{Event: event.WorkRefused, Fields: []event.Field{
		event.F("group", work.Group), event.F("rank", s.rankName(work.Rank)), event.F("caller", work.Caller),
		event.F("why", refusal.Reason), event.F("detail", refusal.Detail), event.F("again", refusal.RetryAfter),
	}})
}

func (s *Scheduler) logExpired(now time.Time, work *Work) {
	if !s.isLogged(now, &event.WorkExpired) {
		return
	}
	s.logEvent(now, message.LogEvent{Event: event.WorkExpired, Fields: []event.Field{
		event.F("group", work.Group), event.F("rank", s.rankName(work.Rank)), event.F("caller", work.Caller),
		event.F("waited", now.Sub(work.Arrived)),
	}})
}

func limitLowered(d *database) message.LogEvent {
	return message.LogEvent{Event: event.LimitLowered, Fields: []event.Field{
		event.F("group", d.group.id), event.F("database", d.id), event.F("slots", int(d.limiter.limit)),
		event.F("slowdown", d.limiter.slowdown), event.F("failing", d.limiter.failureRate),
	}}
}

func limitRestored(d *database) message.LogEvent {
	return message.LogEvent{Event: event.LimitRestored, Fields: []event.Field{
		event.F("group", d.group.id), event.F("database", d.id), event.F("slots", int(d.limiter.limit)),
	}}
}

func circuitOpened(d *database) message.LogEvent {
	return message.LogEvent{Event: event.CircuitOpened, Fields: []event.Field{
		event.F("group", d.group.id), event.F("database", d.id), event.F("state", d.limiter.state),
		event.F("slowdown", d.limiter.slowdown), event.F("failing", d.limiter.failureRate),
	}}
}

func circuitClosedAgain(d *database) message.LogEvent {
	return message.LogEvent{Event: event.CircuitClosed, Fields: []event.Field{
		event.F("group", d.group.id), event.F("database", d.id),
	}}
}

func arbiterChanged(g *group, previous, current model.InstanceID) message.LogEvent {
	return message.LogEvent{Event: event.ArbiterChanged, Fields: []event.Field{
		event.F("group", g.id), event.F("before", previous), event.F("after", current),
	}}
}

func arbiterUnresponsive(g *group, arbiter model.InstanceID) message.LogEvent {
	return message.LogEvent{Event: event.ArbiterSilent, Fields: []event.Field{
		event.F("group", g.id), event.F("arbiter", arbiter),
	}}
}

func shareReserved(id model.InstanceID, until time.Time) message.LogEvent {
	return message.LogEvent{Event: event.ShareReserved, Fields: []event.Field{
		event.F("instance", id), event.F("until", until),
	}}
}

func (s *Scheduler) logLeaseGranted(now time.Time, l *lease) {
	if !s.isLogged(now, &event.LeaseGranted) {
		return
	}
	s.logEvent(now, message.LogEvent{Event: event.LeaseGranted, Fields: []event.Field{
		event.F("group", l.database.group.id), event.F("database", l.database.id),
		event.F("rank", s.rankName(l.rank)), event.F("instance", l.holder.id),
	}})
}

func (s *Scheduler) logLeaseRecalled(now time.Time, l *lease, c claim) {
	if !s.isLogged(now, &event.LeaseRecalled) {
		return
	}
	s.logEvent(now, message.LogEvent{Event: event.LeaseRecalled, Fields: []event.Field{
		event.F("group", l.database.group.id), event.F("database", l.database.id),
		event.F("rank", s.rankName(l.rank)), event.F("instance", l.holder.id), event.F("for", s.rankName(c.slotDemand.rank)),
	}})
}

func retryRejected(g *group) message.LogEvent {
	return message.LogEvent{Event: event.RetryRefused, Fields: []event.Field{event.F("group", g.id)}}
}
