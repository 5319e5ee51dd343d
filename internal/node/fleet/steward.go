package fleet

import (
	"context"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/eelgrassfold/eelgrassfold/internal/core/clock"
	"github.com/eelgrassfold/eelgrassfold/internal/core/lease"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/core/placement"
	"github.com/eelgrassfold/eelgrassfold/internal/core/statement"
	"github.com/eelgrassfold/eelgrassfold/internal/core/succession"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/store"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

const (
	// logbookTable keeps a record of each change of primary.
	logbookTable = "eelgrassfold-logbook"
	// inquireTimeout bounds the question for a database's standing.
	inquireTimeout = 400 * time.Millisecond
	// stepDownWait is how long a change waits for the old primary's standing once
	// nobody uses it any more. One that answers at all answers within it.
	stepDownWait = 60 * time.Millisecond
	// catchUpLimit is how long a planned change waits for a replica to receive
	// all that the old primary has: several times the delay of a slow link.
	catchUpLimit = 600 * time.Millisecond
	// promoteTimeout bounds one call to the platform.
	promoteTimeout = 900 * time.Millisecond
	// leadTimeout is how long a promoted database may take to lead: three times
	// what the platform states.
	leadTimeout = 3 * time.Second
	// stewardPause is the pause between two looks during a change.
	stewardPause = 50 * time.Millisecond
	// challengeWait is how long a challenge of the duty's holder stands before
	// the challenger takes the duty: the holder sees it within a renewal.
	challengeWait = 1600 * time.Millisecond
	// resumeAfter is how long a change that nobody works on rests before this
	// instance begins it anew.
	resumeAfter = 500 * time.Millisecond
)

// stewardship is the state of the changes that this instance makes.
type stewardship struct {
	// busy holds the groups that a goroutine changes; it belongs to the tick.
	busy map[model.GroupID]chan struct{}
	// challenge is the version of the duty's row that holds this instance's
	// challenge, since when.
	challenge  uint64
	challenged time.Time
}

// steward begins changes of primary where they are needed and this instance's
// to make.
func (f *Fleet) steward(ctx context.Context) {
	view := f.Leases.View()
	if f.leaving.Load() || !f.Leases.IsProven(clock.Now()) {
		return
	}
	f.answerChallenge(ctx, view.Duty)
	for name, row := range view.Rows {
		if ended, found := f.stewardship.busy[name]; found {
			select {
			case <-ended:
				delete(f.stewardship.busy, name)
			default:
				continue
			}
		}
		reason, needed := "the change was left unfinished", row.Phase == lease.PhaseChanging
		if !needed {
			reason, needed = succession.Judge(f.evidence(name, row))
		}
		if !needed || !f.isSteward(ctx, view.Duty) {
			continue
		}
		ended := make(chan struct{})
		f.stewardship.busy[name] = ended
		f.running.Add(1)
		go func() {
			defer f.running.Done()
			defer close(ended)
			f.change(ctx, name, row, view.Duty, reason)
		}()
	}
}

// isSteward reports whether changes of primary are this instance's to make: it
// holds the duty, or the holder is not there and it is the first of those that
// are. Without a majority that does not hear the holder, it is challenged first.
func (f *Fleet) isSteward(ctx context.Context, duty lease.Duty) bool {
	switch {
	case duty.Holder == f.options.Instance:
		return true
	case !f.isFirst():
		return false
	case duty.Holder == "":
		return true
	case f.hears(duty.Holder) || f.peersHear(duty.Holder):
		return false
	case len(f.alive())+1 >= f.majority():
		return true
	default:
		return f.hasChallenged(ctx, duty)
	}
}

// hasChallenged reports whether this instance's challenge of the holder has stood
// for long; it makes one where there is none.
func (f *Fleet) hasChallenged(ctx context.Context, duty lease.Duty) bool {
	s := &f.stewardship
	if s.challenge == duty.Version {
		return clock.Since(s.challenged) > challengeWait
	}
	duty.Challenger = f.options.Instance
	if version, err := f.writeDuty(ctx, duty); err == nil {
		s.challenge, s.challenged = version, clock.Now()
	}
	return false
}

// answerChallenge takes a challenge of this instance as the duty's holder away.
func (f *Fleet) answerChallenge(ctx context.Context, duty lease.Duty) {
	if duty.Holder != f.options.Instance || duty.Challenger == "" {
		return
	}
	duty.Challenger = ""
	// Where the write fails, the next view shows the challenge again.
	_, _ = f.writeDuty(ctx, duty)
}

// writeDuty replaces the duty's row as it was seen.
func (f *Fleet) writeDuty(ctx context.Context, duty lease.Duty) (uint64, error) {
	version, err := f.write(ctx, store.Change{
		Expected: []store.Row{{Table: groupTable, Key: dutyKey, Version: duty.Version}},
		Set:      []store.Row{{Table: groupTable, Key: dutyKey, Value: f.encode(&duty)}},
	})
	f.note(event.DutyWritten, event.F("holder", duty.Holder), event.F("token", duty.Token),
		event.F("challenger", duty.Challenger), event.F("outcome", outcome(err)))
	f.wantRenewal()
	return version, err
}

// peersHear reports whether a live peer has heard the holder of the duty.
func (f *Fleet) peersHear(holder model.InstanceID) bool {
	f.peers.mu.Lock()
	defer f.peers.mu.Unlock()
	now := clock.Now()
	for _, p := range f.peers.known {
		if p.isAlive(now) && p.bulletin.Duty.Holder == holder && p.bulletin.Holder {
			return true
		}
	}
	return false
}

// evidence gathers what is known of a group's primary.
func (f *Fleet) evidence(name model.GroupID, row lease.Row) succession.Evidence {
	e := succession.Evidence{}
	if failing := f.Scheduler.Failing(name); failing >= 0 {
		e.Failing = append(e.Failing, failing)
	}
	f.peers.mu.Lock()
	now := clock.Now()
	for _, p := range f.peers.known {
		if !p.isAlive(now) || !p.bulletin.Stored {
			continue
		}
		for _, note := range p.bulletin.Groups {
			if note.Group == name && note.Row.Epoch == row.Epoch && note.Failing >= 0 {
				e.Failing = append(e.Failing, note.Failing)
			}
		}
	}
	f.peers.mu.Unlock()
	for _, d := range f.databasesOf(name) {
		switch {
		case d.ID == row.Primary:
			e.Known = true
			e.Leaving = d.Leaving
		case !d.Leaving:
			e.Others++
		}
	}
	return e
}

// change replaces the primary of a group.
func (f *Fleet) change(ctx context.Context, name model.GroupID, row lease.Row, duty lease.Duty, reason string) {
	began := clock.Now()
	f.note(event.ChangeBegun, event.F("group", name), event.F("epoch", row.Epoch), event.F("primary", row.Primary),
		event.F("reason", reason), event.F("failing", f.evidence(name, row).Failing))
	claimed, ok := f.claim(ctx, name, row, duty, reason)
	if !ok {
		return
	}
	answers := f.inquirePrimary(ctx, name, row.Primary)
	f.awaitRevoked(ctx, name, claimed.Version, duty.Holder == f.options.Instance)
	old := f.stepDown(ctx, name, answers)
	chosen, standing, ok := f.choose(ctx, name, claimed, old)
	if !ok {
		f.note(event.ChangeFailed, event.F("group", name), event.F("why", "no database can take over"))
		sleep(ctx, resumeAfter)
		return
	}
	term, ok := f.promote(ctx, name, chosen, standing)
	if !ok {
		sleep(ctx, resumeAfter)
		return
	}
	next := lease.Row{
		Epoch: claimed.Epoch + 1, Phase: lease.PhaseStable, Primary: chosen.ID, Term: term,
		Steward: f.options.Instance, Reason: reason,
	}
	for ctx.Err() == nil && !f.finish(ctx, name, claimed, next) {
		sleep(ctx, stewardPause)
	}
	f.note(event.ChangeEnded, event.F("group", name), event.F("epoch", next.Epoch), event.F("primary", chosen.ID),
		event.F("before", row.Primary), event.F("term", term), event.F("received", standing.Received.String()),
		event.F("took", clock.Since(began).String()))
}

// awaitRevoked waits until no instance uses the old primary and no earlier holder
// of the duty acts: all views from before the claim have run out, or, where this
// instance held the duty already, all members say that they have seen the claim.
func (f *Fleet) awaitRevoked(ctx context.Context, name model.GroupID, version uint64, held bool) {
	began := clock.Now()
	for clock.Since(began) < lease.Length && ctx.Err() == nil {
		changed := f.peers.awaitNews()
		if held && f.areRevoked(version) {
			break
		}
		left := time.NewTimer(lease.Length - clock.Since(began))
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
	seen := map[model.InstanceID]bool{}
	for _, p := range f.peers.known {
		if p.bulletin.View >= version {
			seen[p.bulletin.Name] = true
		}
	}
	for name := range f.peers.members {
		if !seen[name] {
			return false
		}
	}
	return true
}

// claim marks the group's row as changing and makes this instance the holder of
// the duty, in one transaction. It returns the row as written.
func (f *Fleet) claim(ctx context.Context, name model.GroupID, row lease.Row, duty lease.Duty, reason string) (lease.Row, bool) {
	claimed := lease.Row{
		Epoch: row.Epoch + 1, Phase: lease.PhaseChanging, Primary: row.Primary, Term: row.Term,
		Steward: f.options.Instance, Reason: reason,
	}
	change := store.Change{
		Expected: []store.Row{
			{Table: groupTable, Key: groupKey(name), Version: row.Version},
			{Table: groupTable, Key: dutyKey, Version: duty.Version},
		},
		Set: []store.Row{{Table: groupTable, Key: groupKey(name), Value: f.encode(&claimed)}},
	}
	if duty.Holder != f.options.Instance {
		mine := lease.Duty{Holder: f.options.Instance, Name: f.options.Name, Token: duty.Token + 1}
		change.Set = append(change.Set, store.Row{Table: groupTable, Key: dutyKey, Value: f.encode(&mine)})
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
func (f *Fleet) finish(ctx context.Context, name model.GroupID, claimed, next lease.Row) bool {
	_, err := f.write(ctx, store.Change{
		Expected: []store.Row{{Table: groupTable, Key: groupKey(name), Version: claimed.Version}},
		Set: []store.Row{
			{Table: groupTable, Key: groupKey(name), Value: f.encode(&next)},
			{Table: logbookTable, Key: logbookKey(name, next.Epoch), Value: f.encode(&next)},
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
			if standing, err := f.ask(ctx, d, statement.Inquire{}); err == nil {
				answers <- standingOf{database: d, standing: standing}
			}
		}()
	}
	return answers
}

// stepDown tells the old primary to lead no more where it has answered, and
// returns how far its log reaches.
func (f *Fleet) stepDown(ctx context.Context, name model.GroupID, answers <-chan standingOf) model.Position {
	wait := time.NewTimer(stepDownWait)
	defer wait.Stop()
	select {
	case old := <-answers:
		standing, err := f.ask(ctx, old.database, statement.StepDown{Term: old.standing.Term + 1})
		f.note(event.PrimarySteppedDown, event.F("group", name), event.F("database", old.database.ID),
			event.F("received", standing.Received.String()), event.F("outcome", outcome(err)))
		return standing.Received
	case <-wait.C:
		return model.Position{}
	}
}

// choose asks the other databases how far their logs reach and returns the one
// to promote. It waits a little for one that has all that the old primary has.
func (f *Fleet) choose(
	ctx context.Context, name model.GroupID, row lease.Row, old model.Position,
) (placement.Database, statement.Standing, bool) {
	deadline := clock.Now().Add(catchUpLimit)
	for {
		standings := f.inquireAll(ctx, name, row.Primary)
		var candidates []succession.Candidate
		for _, s := range standings {
			candidates = append(candidates, succession.Candidate{
				ID: s.database.ID, Received: s.standing.Received, Leaving: s.database.Leaving,
			})
		}
		id, found := succession.Choose(candidates, f.acknowledged(name))
		i := slices.IndexFunc(standings, func(s standingOf) bool { return s.database.ID == id })
		late := clock.Now().After(deadline) || ctx.Err() != nil
		if found && (late || !standings[i].standing.Received.Less(old)) {
			return standings[i].database, standings[i].standing, true
		}
		if late {
			return placement.Database{}, statement.Standing{}, false
		}
		sleep(ctx, stewardPause)
	}
}

// acknowledged returns the position that the log of a new primary must hold,
// where the databases promise that a replica has every acknowledged commit.
func (f *Fleet) acknowledged(name model.GroupID) model.Position {
	f.directory.mu.Lock()
	synchronous := f.directory.configuration.Groups[name].Synchronous
	f.directory.mu.Unlock()
	if !synchronous {
		return model.Position{}
	}
	newest, _ := f.Of(name).Newest()
	return newest.Position
}

// promote has the platform promote a database and waits until it leads. It
// returns the term.
func (f *Fleet) promote(ctx context.Context, name model.GroupID, chosen placement.Database, before statement.Standing) (model.Term, bool) {
	deadline := clock.Now().Add(leadTimeout)
	accepted := false
	for clock.Now().Before(deadline) && ctx.Err() == nil {
		if !accepted {
			err := f.callPromote(ctx, name, chosen.ID)
			f.note(event.PromotionCalled, event.F("group", name), event.F("database", chosen.ID), event.F("outcome", outcome(err)))
			if err != nil && store.OutcomeOf(err) == store.OutcomeRefused {
				return 0, false
			}
			accepted = err == nil
		}
		standing, err := f.ask(ctx, chosen, statement.Inquire{})
		if err == nil && standing.Role == model.RolePrimary && standing.Term > before.Term {
			return standing.Term, true
		}
		sleep(ctx, stewardPause)
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
	if view.Duty.Holder != f.options.Instance {
		return &store.Error{Outcome: store.OutcomeRefused, Cause: &DutyError{Holder: view.Duty.Holder}}
	}
	left := view.Began.Add(lease.Length).Sub(clock.Now())
	ctx, cancel := context.WithTimeout(ctx, min(left, promoteTimeout))
	defer cancel()
	return f.options.Promoter.Promote(ctx, store.Promotion{
		Group: name, Database: id, Holder: view.Duty.Name, Token: view.Duty.Token,
	})
}

// DutyError reports that another instance has taken the duty over.
type DutyError struct{ Holder model.InstanceID }

// Error implements error.
func (e *DutyError) Error() string { return "the duty is held by " + string(e.Holder) }

// -----------------------------------------------------------------------------
// Questions to databases.

// standingOf is what a database has said of itself.
type standingOf struct {
	database placement.Database
	standing statement.Standing
}

// inquireAll asks all databases of a group but one for their standing, and
// returns those that answered.
func (f *Fleet) inquireAll(ctx context.Context, name model.GroupID, but model.DatabaseID) []standingOf {
	databases := f.databasesOf(name)
	answers := make(chan standingOf, len(databases))
	asked := 0
	for _, d := range databases {
		if d.ID == but {
			continue
		}
		asked++
		go func() {
			standing, err := f.ask(ctx, d, statement.Inquire{})
			if err != nil {
				answers <- standingOf{}
				return
			}
			answers <- standingOf{database: d, standing: standing}
		}()
	}
	var heard []standingOf
	for range asked {
		if answer := <-answers; answer.database.ID != "" {
			heard = append(heard, answer)
		}
	}
	return heard
}

// ask sends a control statement to a database.
func (f *Fleet) ask(ctx context.Context, d placement.Database, s statement.Statement) (statement.Standing, error) {
	ctx, cancel := context.WithTimeout(ctx, inquireTimeout)
	defer cancel()
	conn, err := f.Pool.Get(ctx, d, nil)
	if err != nil {
		f.noteAsked(d, s, statement.Standing{}, err)
		return statement.Standing{}, err
	}
	replies, err := conn.Exchange(inquireTimeout, []statement.Call{{Statement: s}})
	if err != nil {
		conn.Close()
		f.noteAsked(d, s, statement.Standing{}, err)
		return statement.Standing{}, err
	}
	f.Pool.Put(conn)
	if failure := replies[0].Failure; failure != nil {
		f.noteAsked(d, s, statement.Standing{}, failure)
		return statement.Standing{}, failure
	}
	f.noteAsked(d, s, replies[0].Standing, nil)
	return replies[0].Standing, nil
}

func (f *Fleet) noteAsked(d placement.Database, s statement.Statement, standing statement.Standing, err error) {
	f.note(event.DatabaseAsked, event.F("group", d.Group), event.F("database", d.ID),
		event.F("statement", controlName(s)), event.F("role", standing.Role.String()), event.F("term", standing.Term),
		event.F("received", standing.Received.String()), event.F("outcome", outcome(err)))
}

func controlName(s statement.Statement) string {
	if _, is := s.(statement.StepDown); is {
		return "step-down"
	}
	return "inquire"
}

// databasesOf returns a group's databases, as far as they may be used.
func (f *Fleet) databasesOf(name model.GroupID) []placement.Database {
	f.directory.mu.Lock()
	defer f.directory.mu.Unlock()
	var databases []placement.Database
	for _, known := range f.directory.entries {
		if known.Group == name && !known.retired {
			databases = append(databases, known.Database)
		}
	}
	return databases
}

// -----------------------------------------------------------------------------
// Rows.

// encode writes a value for a row.
func (f *Fleet) encode(value any) []byte {
	body, err := msgpack.Marshal(value)
	if err != nil {
		// The values are of this package's own plain types.
		panic(err)
	}
	return body
}

// write carries out a change of the store.
func (f *Fleet) write(ctx context.Context, change store.Change) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return f.options.Store.Write(ctx, change)
}

func (f *Fleet) noteRow(name model.GroupID, row lease.Row, err error) {
	f.note(event.RowWritten,
		event.F("group", name), event.F("epoch", row.Epoch), event.F("phase", row.Phase.String()),
		event.F("primary", row.Primary), event.F("term", row.Term), event.F("reason", row.Reason),
		event.F("outcome", outcome(err)))
}

// outcome words an error for log lines.
func outcome(err error) string {
	if err == nil {
		return "ok"
	}
	return err.Error()
}
