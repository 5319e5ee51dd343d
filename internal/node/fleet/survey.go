package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/clock"
	"github.com/eelgrassfold/eelgrassfold/internal/core/lease"
	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

const (
	// surveyPause is the pause after a survey that proved nothing.
	surveyPause = 25 * time.Millisecond
	// surveyFor is how long after the last proven view the list of databases is
	// trusted to be whole: a database that registers itself later could be
	// promoted without being asked.
	surveyFor = 15 * time.Second
	// toldWait bounds the wait for the survey of a peer: a question to databases
	// and the way to the peer and back. After it the databases are asked here.
	toldWait = inquireTimeout + 100*time.Millisecond
	// surveyRecent is how long after a survey that proved a primary the
	// instance counts as able to prove them.
	surveyRecent = 600 * time.Millisecond
)

// surveys proves primaries while neither the store nor a peer can: where all
// databases of a group, asked after a moment, are in one term and only the
// primary leads, no other had been promoted at that moment. It needs every
// database of the group, and their slots, so it comes second, and one instance of
// each availability zone asks for all of them.
type surveys struct {
	mu     sync.Mutex
	rounds map[model.GroupID]*round
	// proved is when a round last proved each group's primary.
	proved map[model.GroupID]time.Time
	// asked holds the questions to peers that wait for their answers.
	asked map[time.Duration]chan message.PrimarySurveyResponse
}

// round is one question to all databases of a group, for all that wait.
type round struct {
	began time.Time
	done  chan struct{}
	// primary leads alone where proved is set.
	primary model.DatabaseID
	proved  bool
}

// confirm reports whether a round that began after answered has shown the
// primary of grant to lead alone.
func (s *surveys) confirm(ctx context.Context, f *Fleet, grant lease.Grant, answered time.Time) bool {
	r, found := s.after(ctx, f, grant.Group, answered)
	return found && r.proved && r.primary == grant.Primary
}

// after returns the first round that began after a moment, unless ctx ends before
// it does.
func (s *surveys) after(ctx context.Context, f *Fleet, name model.GroupID, moment time.Time) (*round, bool) {
	for ctx.Err() == nil {
		r, mine := s.join(name)
		if mine {
			f.survey(ctx, name, r)
			s.end(name, r)
		}
		select {
		case <-r.done:
		case <-ctx.Done():
			return nil, false
		}
		if r.began.After(moment) {
			return r, true
		}
	}
	return nil, false
}

// join returns the round that is running, or a new one that the caller has to
// run.
func (s *surveys) join(name model.GroupID) (*round, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, found := s.rounds[name]; found {
		return r, false
	}
	r := &round{began: clock.Now(), done: make(chan struct{})}
	s.rounds[name] = r
	return r, true
}

func (s *surveys) end(name model.GroupID, r *round) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.rounds, name)
	if r.proved {
		s.proved[name] = clock.Now()
	}
	close(r.done)
}

// isRecent reports whether a survey has proved a group's primary lately.
func (s *surveys) isRecent(now time.Time, name model.GroupID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.proved[name]) < surveyRecent
}

// run runs a round unless one is running.
func (s *surveys) run(ctx context.Context, f *Fleet, name model.GroupID) {
	if r, mine := s.join(name); mine {
		f.survey(ctx, name, r)
		s.end(name, r)
	}
}

// survey runs a round. It outlives the request that began it, since others wait
// for it as well.
func (f *Fleet) survey(ctx context.Context, name model.GroupID, r *round) {
	ctx = context.WithoutCancel(ctx)
	view := f.Leases.View()
	if !view.IsMember || clock.Since(view.ReadStartedAt) > surveyFor {
		return
	}
	if told, found := f.askSurvey(ctx, name); found {
		r.primary, r.proved = told.Primary, told.Confirmed
		return
	}
	ctx, cancel := context.WithTimeout(ctx, inquireTimeout)
	defer cancel()
	databases := f.databasesOf(name)
	standings := f.inquireAll(ctx, name, "")
	r.primary, r.proved = soleLeader(standings, len(databases))
	f.note(event.GroupSurveyed, event.F("group", name), event.F("databases", len(databases)),
		event.F("answered", len(standings)), event.F("primary", r.primary), event.F("proved", r.proved),
		event.F("age", clock.Since(view.ReadStartedAt).String()))
}

// askSurvey has the first instance of the own availability zone survey a group,
// where that is another one. What it then finds holds for all that was answered
// before it was asked.
func (f *Fleet) askSurvey(ctx context.Context, name model.GroupID) (message.PrimarySurveyResponse, bool) {
	near, isNear := f.firstOf(func(p *peer) bool { return p.bulletin.Zone == f.options.Zone })
	if isNear {
		return message.PrimarySurveyResponse{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, toldWait)
	defer cancel()
	sent, answer := sinceBoot(clock.Now()), make(chan message.PrimarySurveyResponse, 1)
	f.surveys.mu.Lock()
	f.surveys.asked[sent] = answer
	f.surveys.mu.Unlock()
	defer func() {
		f.surveys.mu.Lock()
		defer f.surveys.mu.Unlock()
		delete(f.surveys.asked, sent)
	}()
	f.peers.links.HandleAction(message.SendPeer{To: near, Body: message.PrimarySurveyRequest{Group: name, SenderClock: sent}})
	select {
	case told := <-answer:
		return told, told.Group == name
	case <-ctx.Done():
		return message.PrimarySurveyResponse{}, false
	}
}

// hearSurvey passes a peer's answer on to whoever waits for it.
func (f *Fleet) hearSurvey(told message.PrimarySurveyResponse) {
	f.surveys.mu.Lock()
	defer f.surveys.mu.Unlock()
	if answer, waits := f.surveys.asked[told.SenderClock]; waits {
		// It has room for one; a second answer to the same question is dropped.
		select {
		case answer <- told:
		default:
		}
	}
}

// answerSurvey surveys a group for a peer.
func (f *Fleet) answerSurvey(from model.InstanceID, wanted message.PrimarySurveyRequest) {
	heard := clock.Now()
	f.running.Add(1)
	go func() {
		defer f.running.Done()
		ctx, cancel := context.WithTimeout(f.life, toldWait)
		defer cancel()
		told := message.PrimarySurveyResponse{Group: wanted.Group, SenderClock: wanted.SenderClock}
		if r, found := f.surveys.after(ctx, f, wanted.Group, heard); found {
			told.Primary, told.Confirmed = r.primary, r.proved
		}
		f.peers.links.HandleAction(message.SendPeer{To: from, Body: told})
	}()
}

// soleLeader returns the database that leads alone, where all have answered and
// are in one term.
func soleLeader(standings []standingOf, all int) (model.DatabaseID, bool) {
	if len(standings) == 0 || len(standings) != all {
		return "", false
	}
	var leader model.DatabaseID
	leaders := 0
	for _, s := range standings {
		if s.standing.Term != standings[0].standing.Term {
			return "", false
		}
		if s.standing.Role == model.RolePrimary {
			leader = s.database.ID
			leaders++
		}
	}
	return leader, leaders == 1
}
