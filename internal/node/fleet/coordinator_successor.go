package fleet

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/clock"
	"github.com/eelgrassfold/eelgrassfold/internal/core/engine"
	"github.com/eelgrassfold/eelgrassfold/internal/core/lease"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/core/placement"
	"github.com/eelgrassfold/eelgrassfold/internal/core/promotion"
	"github.com/eelgrassfold/eelgrassfold/internal/core/statement"
	"github.com/eelgrassfold/eelgrassfold/internal/core/succession"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

// search is the search for the successor of a primary, without synchronous replication.
type search struct {
	change
	fleet *Fleet
	// oldPosition is how far the log of the old primary reaches; zero if it has not
	// stepped down.
	oldPosition model.Position
	startedAt   time.Time
	// presentAt is when a database that has not answered was last known to exist.
	presentAt time.Time
	// isWaiting is set once it was logged that the search waits.
	isWaiting bool
}

// chooseSuccessor queries how far the logs of the other databases reach and returns the
// database to promote. It waits up to catchUpTimeout for one that has all that the old
// primary has. It returns false if there is no candidate.
//
// It takes no database that isUnknownToSome, unless the old primary has stepped down, and
// none whose log is not part of the group's history: such a log has commits that were
// rolled back, and lacks those that took their place. If only these answer, it waits for
// others, or for the old primary, which then stays. Once all others have been gone for as
// long as a failover has patience, such a log is better than none.
func (f *Fleet) chooseSuccessor(
	ctx context.Context, s *search, record *engine.PromotionRecord,
) (successor, bool) {
	s.fleet, s.startedAt, s.presentAt = f, clock.Now(), clock.Now()
	name := s.name
	for {
		chosen, state := s.poll(ctx, record)
		switch {
		case state == searchFound:
			return chosen, true
		case state == searchResumed:
			f.resume(ctx, s.change, s.startedAt)
			return successor{}, false
		case ctx.Err() != nil, state == searchFailed, !f.isCarriedOutHere(name, s.claimed):
			f.logEvent(event.ChangeFailed, event.F("group", name), event.F("why", "no database can take over"))
			sleep(ctx, failoverRetryDelay)
			return successor{}, false
		}
		sleep(ctx, failoverPollInterval)
	}
}

// searchState is how far a search is.
type searchState int

const (
	searchGoesOn searchState = iota
	searchFound
	// searchResumed: the old primary stays.
	searchResumed
	searchFailed
)

// poll queries the databases once.
func (s *search) poll(ctx context.Context, record *engine.PromotionRecord) (successor, searchState) {
	f := s.fleet
	isOverdue := clock.Since(s.startedAt) > catchUpTimeout
	statuses := f.queryAllStatus(ctx, without(f.databasesOf(s.name), s.row.Primary))
	others := without(f.promotableSince(s.name, s.startedAt), s.row.Primary)
	if primary, found := s.newestPrimary(statuses); found {
		chosen := s.successor(primary)
		chosen.isPrimary = true
		return chosen, searchFound
	}
	candidates, isLost := s.candidates(statuses), false
	id, found := succession.ChooseCandidate(candidates, model.Position{})
	if isBarred := func(c succession.Candidate) bool { return c.IsBarred }; !found && slices.ContainsFunc(candidates, isBarred) {
		s.logWait()
		if primary, state := s.askPrimary(ctx); state != searchGoesOn {
			return primary, state
		}
		if isLost = s.isLost(others, statuses); !isLost {
			return successor{}, searchGoesOn
		}
		id, found = succession.ChooseCandidate(s.withOtherHistories(candidates), model.Position{})
		isOverdue = true
	}
	i := slices.IndexFunc(statuses, func(d databaseStatus) bool { return d.database.ID == id })
	switch {
	case found && (isOverdue || !statuses[i].status.ReceivedPosition.Less(s.oldPosition)):
		if isLost {
			record.Evidence = append(record.Evidence, fmt.Sprintf(
				"the log of %s up to %s is not part of the history that began with term %d; no other database has had an entry for %v",
				id, statuses[i].status.ReceivedPosition, s.row.Term, f.replicas.Patience()))
		}
		chosen := s.successor(statuses[i])
		chosen.isPrimary, chosen.isReturned = s.isPresentPrimary(chosen.status)
		return chosen, searchFound
	case isOverdue:
		return successor{}, searchFailed
	default:
		return successor{}, searchGoesOn
	}
}

// isPresentPrimary reports whether a database that is chosen need not be promoted, as it is
// the primary already, and whether it is the old one under another ID. That takes that no
// promotion may take effect that is not known.
func (c *change) isPresentPrimary(status statement.ServerStatus) (isPrimary, isReturned bool) {
	if c.isTakenOver(status) {
		return true, false
	}
	isReturned = status.Role == model.RolePrimary && status.Term >= c.row.Term && !c.promotions.Calls.IsIncomplete
	return isReturned, isReturned
}

// isTakenOver reports whether a database has become the primary after the one to replace.
func (c *change) isTakenOver(status statement.ServerStatus) bool {
	return status.Role == model.RolePrimary && promotion.IsTakenOver(status.Term, c.row.Term, status.ReceivedPosition)
}

// newestPrimary returns the database that has become the primary last, if one has.
func (c *change) newestPrimary(statuses []databaseStatus) (databaseStatus, bool) {
	var newest databaseStatus
	for _, d := range statuses {
		if c.isTakenOver(d.status) && (newest.database.ID == "" || d.status.Term > newest.status.Term) {
			newest = d
		}
	}
	return newest, newest.database.ID != ""
}

// candidates returns the databases that answered.
func (s *search) candidates(statuses []databaseStatus) []succession.Candidate {
	var candidates []succession.Candidate
	for _, d := range statuses {
		isUnknown := s.oldPosition.IsZero() && s.fleet.isUnknownToSome(d.database.ID, s.claimed.Version)
		candidates = append(candidates, succession.Candidate{
			ID: d.database.ID, ReceivedPosition: d.status.ReceivedPosition, Leaving: d.database.Leaving,
			IsPrimary: d.status.Role == model.RolePrimary, IsBarred: isUnknown || !s.isInHistory(d.status),
		})
	}
	return candidates
}

// isInHistory reports whether a database's log is part of the group's history. A database
// that has joined the term of the old primary has been rolled back to it.
func (s *search) isInHistory(status statement.ServerStatus) bool {
	return s.row.Term > 0 && status.Term >= s.row.Term || s.promotions.History.Contains(status.ReceivedPosition)
}

// withOtherHistories allows the candidates whose logs are not part of the history.
func (s *search) withOtherHistories(candidates []succession.Candidate) []succession.Candidate {
	allowed := slices.Clone(candidates)
	for i := range allowed {
		c := &allowed[i]
		c.IsBarred = s.oldPosition.IsZero() && s.fleet.isUnknownToSome(c.ID, s.claimed.Version)
	}
	return allowed
}

// askPrimary queries the old primary. If it answers as the primary, it stays, unless a
// promotion may have been called meanwhile: then it is promoted again.
func (s *search) askPrimary(ctx context.Context) (successor, searchState) {
	f := s.fleet
	for _, d := range f.promotableSince(s.name, s.startedAt) {
		if d.ID != s.row.Primary {
			continue
		}
		status, err := f.sendControl(ctx, d, statement.QueryStatus{})
		switch {
		case err != nil:
		case status.Role == model.RolePrimary && !s.promotions.Calls.IsIncomplete:
			return successor{}, searchResumed
		default:
			return s.successor(databaseStatus{database: d, status: status}), searchFound
		}
	}
	return successor{}, searchGoesOn
}

// isLost reports whether none of the other databases, nor the old primary, has had an
// entry without answering for as long as a failover has patience.
func (s *search) isLost(others []placement.Database, statuses []databaseStatus) bool {
	f := s.fleet
	for _, d := range append(others, placement.Database{ID: s.row.Primary}) {
		isSilent := !slices.ContainsFunc(statuses, func(answered databaseStatus) bool { return answered.database.ID == d.ID })
		if isSilent && f.isListed(d.ID) {
			s.presentAt = clock.Now()
		}
	}
	return clock.Since(s.presentAt) >= f.replicas.Patience()
}

// logWait logs once that the search waits for other databases than those that answer.
func (s *search) logWait() {
	if !s.isWaiting {
		s.isWaiting = true
		s.fleet.logEvent(event.SuccessorAwaited, event.F("group", s.name), event.F("primary", s.row.Primary),
			event.F("missing", nil), event.F("waited", clock.Since(s.startedAt).String()))
	}
}

// isListed reports whether a database has an entry.
func (f *Fleet) isListed(id model.DatabaseID) bool {
	f.directory.mu.Lock()
	defer f.directory.mu.Unlock()
	_, found := f.directory.entries[id]
	return found
}

// isCarriedOutHere reports whether this instance is still to carry out a failover that it
// has claimed.
func (f *Fleet) isCarriedOutHere(name model.GroupID, claimed lease.GroupRow) bool {
	view := f.Leases.View()
	return view.Rows[name].Epoch <= claimed.Epoch &&
		(view.Version < claimed.Version || view.CoordinatorLease.Holder == f.options.StartID)
}

// isUnknownToSome reports whether a member that has not seen the claim may survey a
// group without this database, and take the old primary for the present one.
func (f *Fleet) isUnknownToSome(id model.DatabaseID, claimVersion uint64) bool {
	return f.isNewcomer(id) && !f.isSeenByAll(claimVersion)
}
