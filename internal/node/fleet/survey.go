package fleet

import (
	"context"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/clock"
	"github.com/eelgrassfold/eelgrassfold/internal/core/lease"
	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

const (
	// surveyPause is the pause after a survey that has confirmed no primary.
	surveyPause = 25 * time.Millisecond
	// maxSurveyViewAge is how long after the read of the last view, and after the list of
	// databases was the newest, a survey of them is a proof. A database that registers
	// later is not surveyed; it is not promoted within this time unless no instance uses
	// the old primary (see isNewcomer).
	maxSurveyViewAge = 15 * time.Second
	// peerSurveyTimeout bounds the wait for a survey by a peer: the queries of
	// the databases and the messages to the peer and back. After it this
	// instance queries the databases itself.
	peerSurveyTimeout = controlTimeout + 100*time.Millisecond
	// recentSurveyAge is how long, after a survey that has confirmed a primary,
	// the instance counts as able to confirm primaries.
	recentSurveyAge = 600 * time.Millisecond
)

// surveys confirms primaries while neither the store nor a peer can. If all
// databases of a group, queried after a moment, are in one term and only one of
// them is primary, no other database had been promoted at that moment. A survey
// needs an answer of every database of the group, and uses their slots. It is
// therefore only the fallback, and one instance of each availability zone runs
// it for all.
type surveys struct {
	rounds[survey]
	// confirmed holds when a round last confirmed each group's primary.
	confirmed map[model.GroupID]time.Time
	// pending holds the requests to peers that wait for a response. The key is
	// the request's SenderClock, which the response repeats.
	pending map[time.Duration]chan message.PrimarySurveyResponse
}

// survey is the result of a round of surveys, by this instance or by a peer for it.
type survey struct {
	// primary is the only primary of the group if confirmed is set.
	primary   model.DatabaseID
	confirmed bool
}

// confirm reports whether a round that started after answeredAt has shown that
// the primary of grant is the only one.
func (s *surveys) confirm(ctx context.Context, f *Fleet, grant lease.Grant, answeredAt time.Time) bool {
	r, found := s.surveyAfter(ctx, f, grant.Group, answeredAt)
	return found && r.confirmed && r.primary == grant.Primary
}

// surveyAfter returns the result of the first round that started after a moment, and starts
// rounds itself if none is running. It returns false if ctx ends first.
func (s *surveys) surveyAfter(ctx context.Context, f *Fleet, name model.GroupID, moment time.Time) (survey, bool) {
	return s.after(ctx, name, moment, func(r *round[survey]) { s.start(f, name, r) })
}

// endRound ends a round and wakes the goroutines that wait for it.
func (s *surveys) endRound(name model.GroupID, r *round[survey]) {
	if r.result.confirmed {
		s.mu.Lock()
		s.confirmed[name] = clock.Now()
		s.mu.Unlock()
	}
	s.end(name, r)
}

// isRecent reports whether a survey has confirmed a group's primary less than
// recentSurveyAge ago.
func (s *surveys) isRecent(now time.Time, name model.GroupID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.confirmed[name]) < recentSurveyAge
}

// startIfIdle starts a round unless one is running.
func (s *surveys) startIfIdle(f *Fleet, name model.GroupID) {
	if r, isNew := s.join(name); isNew {
		s.start(f, name, r)
	}
}

// start runs a round in the background. The round does not end with the request that
// started it, since others wait for it as well, and does not hold it up either.
func (s *surveys) start(f *Fleet, name model.GroupID, r *round[survey]) {
	f.running.Add(1)
	go func() {
		defer f.running.Done()
		f.runRound(f.lifetime, name, &r.result)
		s.endRound(name, r)
	}()
}

// runRound runs a round. If this instance is not a member or what it knows is older than
// maxSurveyViewAge, the round confirms nothing and ends at once.
func (f *Fleet) runRound(ctx context.Context, name model.GroupID, r *survey) {
	view := f.Leases.View()
	if !view.IsMember || clock.Since(view.ReadStartedAt) > maxSurveyViewAge {
		return
	}
	if response, found := f.requestPeerSurvey(ctx, name); found {
		r.primary, r.confirmed = response.Primary, response.Confirmed
		return
	}
	knownAt := view.ReadStartedAt
	if listedAt := f.databasesConfirmedAt(); listedAt.Before(knownAt) {
		knownAt = listedAt
	}
	if clock.Since(knownAt) > maxSurveyViewAge {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	databases := f.promotableSince(name, knownAt)
	statuses := f.queryAllStatus(ctx, databases)
	r.primary, r.confirmed = solePrimary(statuses, len(databases))
	f.logEvent(event.GroupSurveyed, event.F("group", name), event.F("databases", len(databases)),
		event.F("answered", len(statuses)), event.F("primary", r.primary),
		event.F("proved", r.confirmed),
		event.F("age", clock.Since(knownAt).String()))
}

// requestPeerSurvey requests a survey of a group from the first instance of
// this availability zone, unless that is this instance. The peer starts the survey
// after it has received the request. The survey therefore confirms the primary for
// all of its answers that this instance had received before it sent the request.
func (f *Fleet) requestPeerSurvey(
	ctx context.Context, name model.GroupID,
) (message.PrimarySurveyResponse, bool) {
	zoneFirst, isZoneFirst := f.firstOf(func(p *peer) bool { return p.gossip.Zone == f.options.Zone })
	if isZoneFirst {
		return message.PrimarySurveyResponse{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, peerSurveyTimeout)
	defer cancel()
	sentAt, responses := sinceBoot(clock.Now()), make(chan message.PrimarySurveyResponse, 1)
	f.surveys.mu.Lock()
	f.surveys.pending[sentAt] = responses
	f.surveys.mu.Unlock()
	defer func() {
		f.surveys.mu.Lock()
		defer f.surveys.mu.Unlock()
		delete(f.surveys.pending, sentAt)
	}()
	f.peers.links.HandleAction(message.SendPeer{
		To:   zoneFirst,
		Body: message.PrimarySurveyRequest{Group: name, SenderClock: sentAt},
	})
	select {
	case response := <-responses:
		return response, response.Group == name
	case <-ctx.Done():
		return message.PrimarySurveyResponse{}, false
	}
}

// handleSurveyResponse passes a peer's response to the goroutine that waits for
// it.
func (f *Fleet) handleSurveyResponse(response message.PrimarySurveyResponse) {
	f.surveys.mu.Lock()
	defer f.surveys.mu.Unlock()
	if responses, found := f.surveys.pending[response.SenderClock]; found {
		// The channel holds one response; a second one to the request is dropped.
		select {
		case responses <- response:
		default:
		}
	}
}

// answerSurvey surveys a group for a peer.
func (f *Fleet) answerSurvey(from model.InstanceID, request message.PrimarySurveyRequest) {
	receivedAt := clock.Now()
	f.running.Add(1)
	go func() {
		defer f.running.Done()
		ctx, cancel := context.WithTimeout(f.lifetime, peerSurveyTimeout)
		defer cancel()
		response := message.PrimarySurveyResponse{Group: request.Group, SenderClock: request.SenderClock}
		if r, found := f.surveys.surveyAfter(ctx, f, request.Group, receivedAt); found {
			response.Primary, response.Confirmed = r.primary, r.confirmed
		}
		f.peers.links.HandleAction(message.SendPeer{To: from, Body: response})
	}()
}

// solePrimary returns the only primary among the responses, and whether there is
// one: all databases have responded, are in one term, and exactly one of them is
// primary. If not, the returned ID is empty or that of one of several primaries.
func solePrimary(statuses []databaseStatus, total int) (model.DatabaseID, bool) {
	if len(statuses) == 0 || len(statuses) != total {
		return "", false
	}
	var primary model.DatabaseID
	primaries := 0
	for _, s := range statuses {
		if s.status.Term != statuses[0].status.Term {
			return "", false
		}
		if s.status.Role == model.RolePrimary {
			primary = s.database.ID
			primaries++
		}
	}
	return primary, primaries == 1
}
