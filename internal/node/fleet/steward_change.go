package fleet

import (
	"context"
	"slices"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/clock"
	"github.com/eelgrassfold/eelgrassfold/internal/core/engine"
	"github.com/eelgrassfold/eelgrassfold/internal/core/lease"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/core/statement"
	"github.com/eelgrassfold/eelgrassfold/internal/core/succession"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/store"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

// change replaces the primary of a group.
func (f *Fleet) change(ctx context.Context, name model.GroupID, row lease.GroupRow, duty lease.CoordinatorLease, reason string) {
	began, evidence := clock.Now(), f.evidence(name, row)
	f.note(event.ChangeBegun, event.F("group", name), event.F("epoch", row.Epoch), event.F("primary", row.Primary),
		event.F("reason", reason), event.F("witnesses", evidence.Observers), event.F("silent", evidence.UnansweredObservers))
	record := f.newRecord(name, row, reason, evidence)
	claimed, ok := f.claim(ctx, name, row, duty, reason)
	if !ok {
		return
	}
	answers := f.inquirePrimary(ctx, name, row.Primary)
	f.awaitRevoked(ctx, name, claimed.Version, duty.Holder == f.options.StartID)
	old := f.stepDown(ctx, name, answers)
	if !old.IsZero() {
		record.FencedDatabases = []engine.FencedDatabase{{Database: row.Primary, Position: old.String()}}
	}
	chosen, ok := f.choose(ctx, name, claimed, old)
	if !ok {
		f.note(event.ChangeFailed, event.F("group", name), event.F("why", "no database can take over"))
		sleep(ctx, resumeAfter)
		return
	}
	term := chosen.standing.Term
	if !chosen.leads {
		term, ok = f.promote(ctx, name, chosen.standingOf)
	}
	if !ok {
		sleep(ctx, resumeAfter)
		return
	}
	next := lease.GroupRow{
		Epoch: claimed.Epoch + 1, Phase: lease.PhaseStable, Primary: chosen.database.ID, Term: term,
		Coordinator: f.options.StartID, Reason: reason,
	}
	record.Primary, record.Term, record.Position = chosen.database.ID, term, chosen.standing.ReceivedPosition.String()
	record.PromotedAt = time.Now()
	for ctx.Err() == nil && !f.finish(ctx, name, claimed, next, record) {
		sleep(ctx, stewardPause)
	}
	f.note(event.ChangeEnded, event.F("group", name), event.F("epoch", next.Epoch), event.F("primary", chosen.database.ID),
		event.F("before", row.Primary), event.F("term", term), event.F("received", chosen.standing.ReceivedPosition.String()),
		event.F("took", clock.Since(began).String()))
	f.awaitEpoch(ctx, name, next.Epoch)
}

// awaitEpoch waits until the view shows an epoch of a group's row, for rowSeenWait
// at most: an older view would have this instance begin the change once more.
func (f *Fleet) awaitEpoch(ctx context.Context, name model.GroupID, epoch uint64) {
	deadline := clock.Now().Add(rowSeenWait)
	for ctx.Err() == nil && clock.Now().Before(deadline) {
		if row, found := f.Leases.Row(name); found && row.Epoch >= epoch {
			return
		}
		sleep(ctx, stewardPause/2)
	}
}

// awaitRevoked waits until no instance uses the old primary and no earlier holder
// of the duty acts: all views from before the claim have run out, or, where this
// instance held the duty already, all members say that they have seen the claim.
func (f *Fleet) awaitRevoked(ctx context.Context, name model.GroupID, version uint64, held bool) {
	began := clock.Now()
	for clock.Since(began) < lease.Duration && ctx.Err() == nil {
		changed := f.peers.awaitNews()
		if held && f.areRevoked(version) {
			break
		}
		left := time.NewTimer(lease.Duration - clock.Since(began))
		select {
		case <-changed:
		case <-left.C:
		case <-ctx.Done():
		}
		left.Stop()
	}
	f.note(event.LeasesRevoked, event.F("group", name), event.F("waited", clock.Since(began).String()))
}

// areRevoked reports whether all members have seen a version of the table of
// groups. The members are those of a read after it.
func (f *Fleet) areRevoked(version uint64) bool {
	if f.Leases.View().Version < version {
		return false
	}
	f.peers.mu.Lock()
	defer f.peers.mu.Unlock()
	if f.peers.membersVersion < version {
		return false
	}
	seen, floors := f.peers.seen(), map[model.ZoneID]uint64{}
	for _, p := range f.peers.known {
		zone := p.bulletin.Zone
		if p.bulletin.MinViewMembersHash == f.peers.membersOf(f.options, zone) {
			floors[zone] = max(floors[zone], p.bulletin.MinViewVersion)
		}
	}
	for name, m := range f.peers.members {
		if seen[name] < version && floors[m.Zone] < version {
			return false
		}
	}
	return true
}

// claim marks the group's row as changing and makes this instance the holder of
// the duty, in one transaction. It returns the row as written.
func (f *Fleet) claim(ctx context.Context, name model.GroupID, row lease.GroupRow, duty lease.CoordinatorLease, reason string) (lease.GroupRow, bool) {
	claimed := lease.GroupRow{
		Epoch: row.Epoch + 1, Phase: lease.PhaseChanging, Primary: row.Primary, Term: row.Term,
		Coordinator: f.options.StartID, Reason: reason,
	}
	change := store.Transaction{
		Preconditions: []store.Row{
			{Table: groupTable, Key: groupKey(name), Version: row.Version},
			{Table: groupTable, Key: dutyKey, Version: duty.Version},
		},
		Upserts: []store.Row{{Table: groupTable, Key: groupKey(name), Value: f.encode(&claimed)}},
	}
	if duty.Holder != f.options.StartID {
		mine := lease.CoordinatorLease{Holder: f.options.StartID, HolderName: f.options.InstanceName, FencingToken: duty.FencingToken + 1}
		change.Upserts = append(change.Upserts, store.Row{Table: groupTable, Key: dutyKey, Value: f.encode(&mine)})
	}
	version, err := f.write(ctx, change)
	f.noteRow(name, claimed, err)
	f.wantRenewal()
	if err == nil {
		claimed.Version = version
		return claimed, true
	}
	// A claim of unknown outcome is found by the next look at the rows, which
	// shows a change that is left unfinished.
	sleep(ctx, resumeAfter)
	return claimed, false
}

// finish writes the row of the new primary and the record of the change. It
// reports true also where another instance has gone on with the change.
func (f *Fleet) finish(ctx context.Context, name model.GroupID, claimed, next lease.GroupRow, record engine.PromotionRecord) bool {
	_, err := f.write(ctx, store.Transaction{
		Preconditions: []store.Row{{Table: groupTable, Key: groupKey(name), Version: claimed.Version}},
		Upserts: []store.Row{
			{Table: groupTable, Key: groupKey(name), Value: f.encode(&next)},
			f.recordRow(record, next.Epoch),
		},
	})
	f.noteRow(name, next, err)
	f.wantRenewal()
	return err == nil || store.OutcomeOf(err) == store.OutcomeConflict
}

// inquirePrimary asks the old primary for its standing while the leases run out;
// the channel gets its answer, if there is one.
func (f *Fleet) inquirePrimary(ctx context.Context, name model.GroupID, id model.DatabaseID) <-chan standingOf {
	answers := make(chan standingOf, 1)
	for _, d := range f.databasesOf(name) {
		if d.ID != id {
			continue
		}
		go func() {
			if standing, err := f.ask(ctx, d, statement.QueryStatus{}); err == nil {
				answers <- standingOf{database: d, standing: standing}
			}
		}()
	}
	return answers
}

// stepDown tells the old primary to lead no more where it answers and still
// leads, and returns how far its log reaches.
func (f *Fleet) stepDown(ctx context.Context, name model.GroupID, answers <-chan standingOf) model.Position {
	wait := time.NewTimer(stepDownWait)
	defer wait.Stop()
	select {
	case old := <-answers:
		if old.standing.Role != model.RolePrimary {
			return old.standing.ReceivedPosition
		}
		standing, err := f.ask(ctx, old.database, statement.StepDown{Term: old.standing.Term + 1})
		f.note(event.PrimarySteppedDown, event.F("group", name), event.F("database", old.database.ID),
			event.F("received", standing.ReceivedPosition.String()), event.F("outcome", outcome(err)))
		return standing.ReceivedPosition
	case <-wait.C:
		return model.Position{}
	}
}

// successor is the database that takes over.
type successor struct {
	standingOf
	// leads says that an unfinished change has promoted it already.
	leads bool
}

// choose asks the other databases how far their logs reach and returns the one
// to promote. It waits a little for one that has all that the old primary has.
func (f *Fleet) choose(ctx context.Context, name model.GroupID, row lease.GroupRow, old model.Position) (successor, bool) {
	deadline := clock.Now().Add(catchUpLimit)
	for {
		standings := f.inquireAll(ctx, name, row.Primary)
		leader, hasLeader := soleLeader(standings, f.countOthers(name, row.Primary))
		var candidates []succession.Candidate
		for _, s := range standings {
			candidates = append(candidates, succession.Candidate{
				ID: s.database.ID, ReceivedPosition: s.standing.ReceivedPosition, Leaving: s.database.Leaving,
				IsPrimary: s.standing.Role == model.RolePrimary,
			})
		}
		id, found := succession.ChooseCandidate(candidates, f.acknowledged(name))
		i := slices.IndexFunc(standings, func(s standingOf) bool { return s.database.ID == id })
		late := clock.Now().After(deadline) || ctx.Err() != nil
		if found && (late || !standings[i].standing.ReceivedPosition.Less(old)) {
			// A term above the old primary's comes from a promotion after it.
			leads := hasLeader && leader == id && standings[i].standing.Term > row.Term
			return successor{standingOf: standings[i], leads: leads}, true
		}
		if late {
			return successor{}, false
		}
		sleep(ctx, stewardPause)
	}
}

// countOthers returns the number of a group's databases but for one.
func (f *Fleet) countOthers(name model.GroupID, but model.DatabaseID) int {
	count := 0
	for _, d := range f.databasesOf(name) {
		if d.ID != but {
			count++
		}
	}
	return count
}

// acknowledged returns the position that the log of a new primary must hold,
// where the databases promise that a replica has every acknowledged commit.
func (f *Fleet) acknowledged(name model.GroupID) model.Position {
	f.directory.mu.Lock()
	synchronous := f.directory.configuration.Groups[name].SynchronousReplication
	f.directory.mu.Unlock()
	if !synchronous {
		return model.Position{}
	}
	newest, _ := f.SamplesOf(name).Newest()
	return newest.Position
}

// promote has the platform promote a database and waits until it leads. It
// returns the term. The platform changes nothing where the database is the
// primary already: then no newer term comes in the time that a promotion takes.
func (f *Fleet) promote(ctx context.Context, name model.GroupID, chosen standingOf) (model.Term, bool) {
	deadline := clock.Now().Add(leadTimeout)
	accepted := false
	var last statement.ServerStatus
	for clock.Now().Before(deadline) && ctx.Err() == nil {
		if !accepted {
			err := f.callPromote(ctx, name, chosen.database.ID)
			f.note(event.PromotionCalled, event.F("group", name), event.F("database", chosen.database.ID), event.F("outcome", outcome(err)))
			if err != nil && store.OutcomeOf(err) == store.OutcomeRefused {
				return 0, false
			}
			if accepted = err == nil; accepted {
				deadline = clock.Now().Add(leadTimeout)
			}
		}
		standing, err := f.ask(ctx, chosen.database, statement.QueryStatus{})
		if err == nil && standing.Role == model.RolePrimary && standing.Term > chosen.standing.Term {
			return standing.Term, true
		}
		last = standing
		sleep(ctx, stewardPause)
	}
	if accepted && ctx.Err() == nil && last.Role == model.RolePrimary {
		return last.Term, true
	}
	f.note(event.ChangeFailed, event.F("group", name), event.F("why", "the promoted database does not lead"))
	return 0, false
}

// callPromote makes the call under a view that proves the duty, and gives it up
// before that view runs out.
func (f *Fleet) callPromote(ctx context.Context, name model.GroupID, id model.DatabaseID) error {
	if err := f.readGroups(ctx); err != nil {
		return err
	}
	view := f.Leases.View()
	if view.CoordinatorLease.Holder != f.options.StartID {
		return &store.Error{Outcome: store.OutcomeRefused, Cause: &CoordinatorReplacedError{Holder: view.CoordinatorLease.Holder}}
	}
	left := view.ReadStartedAt.Add(lease.Duration).Sub(clock.Now())
	ctx, cancel := context.WithTimeout(ctx, min(left, promoteTimeout))
	defer cancel()
	return f.options.Promoter.Promote(ctx, store.Promotion{
		Group: name, Database: id, Holder: view.CoordinatorLease.HolderName, FencingToken: view.CoordinatorLease.FencingToken,
	})
}

func (f *Fleet) noteRow(name model.GroupID, row lease.GroupRow, err error) {
	f.note(event.GroupRowWritten,
		event.F("group", name), event.F("epoch", row.Epoch), event.F("phase", row.Phase.String()),
		event.F("primary", row.Primary), event.F("term", row.Term), event.F("reason", row.Reason),
		event.F("outcome", outcome(err)))
}
