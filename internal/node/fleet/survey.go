package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/clock"
	"github.com/eelgrassfold/eelgrassfold/internal/core/lease"
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
	// surveyRecent is how long after a survey that proved a primary the
	// instance counts as able to prove them.
	surveyRecent = 600 * time.Millisecond
)

// surveys proves primaries while neither the store nor a peer can: where all
// databases of a group, asked after a moment, are in one term and only the
// primary leads, no other had been promoted at that moment. It needs every
// database of the group, and their slots, so it comes second.
type surveys struct {
	mu     sync.Mutex
	rounds map[model.GroupID]*round
	// proved is when a round last proved each group's primary.
	proved map[model.GroupID]time.Time
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
	for ctx.Err() == nil {
		r, mine := s.join(grant.Group)
		if mine {
			f.survey(ctx, grant.Group, r)
			s.end(grant.Group, r)
		}
		select {
		case <-r.done:
		case <-ctx.Done():
			return false
		}
		if r.began.After(answered) {
			return r.proved && r.primary == grant.Primary
		}
	}
	return false
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
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), inquireTimeout)
	defer cancel()
	view := f.Leases.View()
	if !view.Member || clock.Since(view.Began) > surveyFor {
		return
	}
	databases := f.databasesOf(name)
	standings := f.inquireAll(ctx, name, "")
	r.primary, r.proved = soleLeader(standings, len(databases))
	f.note(event.GroupSurveyed, event.F("group", name), event.F("databases", len(databases)),
		event.F("answered", len(standings)), event.F("primary", r.primary), event.F("proved", r.proved),
		event.F("age", clock.Since(view.Began).String()))
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
