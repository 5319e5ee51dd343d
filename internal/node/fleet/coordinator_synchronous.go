package fleet

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/clock"
	"github.com/eelgrassfold/eelgrassfold/internal/core/engine"
	"github.com/eelgrassfold/eelgrassfold/internal/core/lease"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	core "github.com/eelgrassfold/eelgrassfold/internal/core/replica"
	"github.com/eelgrassfold/eelgrassfold/internal/core/statement"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/store"
	"github.com/eelgrassfold/eelgrassfold/internal/node/replica"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

const (
	// replicaRecordInterval is the time between two checks of the records of databases.
	replicaRecordInterval = 100 * time.Millisecond
	// DefaultPatience is how long a failover waits for databases that have no entry and
	// may hold acknowledged commits: several times what a database that has crashed takes
	// to come back.
	DefaultPatience = 30 * time.Second
)

// newKeeper returns the keeper of the records of groups with synchronous replication.
func (f *Fleet) newKeeper() *replica.Keeper {
	patience := f.options.Patience
	if patience == 0 {
		patience = DefaultPatience
	}
	return replica.NewKeeper(replica.Options{
		Source: replicaSource{f}, CatchUp: catchUpTimeout, Patience: patience, Log: f.logEvent,
	})
}

// isSynchronous reports whether the databases of a group acknowledge a commit only once a
// replica has received it.
func (f *Fleet) isSynchronous(name model.GroupID) bool {
	f.directory.mu.Lock()
	defer f.directory.mu.Unlock()
	return f.directory.configuration.Groups[name].SynchronousReplication
}

// synchronousGroups returns the groups with synchronous replication.
func (f *Fleet) synchronousGroups() []model.GroupID {
	f.directory.mu.Lock()
	defer f.directory.mu.Unlock()
	var names []model.GroupID
	for name, group := range f.directory.configuration.Groups {
		if group.SynchronousReplication {
			names = append(names, name)
		}
	}
	return names
}

// keepReplicaRecords keeps the records of groups with synchronous replication up to date
// until ctx ends, while this instance holds the coordinator lease.
func (f *Fleet) keepReplicaRecords(ctx context.Context) {
	for ctx.Err() == nil {
		view := f.Leases.View()
		if view.CoordinatorLease.Holder != f.options.StartID || !f.Leases.IsConfirmed(clock.Now()) {
			f.replicas.Forget()
		} else {
			for _, name := range f.synchronousGroups() {
				if row, found := view.Rows[name]; found && row.Phase.HasPrimary() {
					f.replicas.Observe(ctx, name, row.Primary)
				}
			}
		}
		sleep(ctx, replicaRecordInterval)
	}
}

// awaitCaughtUp reports whether a planned failover may begin: a database that stays has
// received all that the primary has, or the primary does not answer. It waits for that
// for catchUpTimeout.
func (f *Fleet) awaitCaughtUp(ctx context.Context, name model.GroupID, primary model.DatabaseID) bool {
	source := replicaSource{f}
	deadline := clock.Now().Add(catchUpTimeout)
	for {
		var others []core.Copy
		var answer core.Answer
		for _, c := range source.Copies(name) {
			if c.ID != primary {
				others = append(others, c)
				continue
			}
			d := f.databaseOf(name, c)
			status, err := f.sendControl(ctx, d, statement.QueryStatus{})
			if err != nil && !isAnswer(err) {
				return true
			}
			if err == nil {
				answer = answerOf(c, status)
			}
		}
		if answer.ID != "" && core.HasSuccessor(answer, source.Query(ctx, name, others)) {
			return true
		}
		if clock.Now().After(deadline) || ctx.Err() != nil {
			f.logEvent(event.ChangePostponed, event.F("group", name), event.F("primary", primary),
				event.F("received", answer.Position.String()))
			return false
		}
		sleep(ctx, failoverPollInterval)
	}
}

// chooseSynchronous returns the database to promote in a group with synchronous
// replication: one that is proven to hold all acknowledged commits. It returns false if
// the failover ends without a promotion.
func (f *Fleet) chooseSynchronous(
	ctx context.Context, c change, record *engine.PromotionRecord,
) (successor, bool) {
	startedAt, name, row, claimed := clock.Now(), c.name, c.row, c.claimed
	awaited, err := f.replicas.Await(ctx, replica.Replacement{
		Group: name, Primary: row.Primary, Term: row.Term, CanResume: !c.promotions.Calls.IsIncomplete,
		IsBarred:  func(id model.DatabaseID) bool { return f.isUnknownToSome(id, claimed.Version) },
		IsCurrent: func() bool { return f.isCarriedOutHere(name, claimed) },
	})
	if err != nil {
		f.logEvent(event.ChangeFailed, event.F("group", name), event.F("why", err.Error()))
		return successor{}, false
	}
	switch decision := awaited.Decision.(type) {
	case core.Promote:
		chosen, ok := f.prepare(ctx, c, awaited, decision, record)
		if !ok && f.isUnknownToSome(decision.Database, claimed.Version) {
			f.logEvent(event.ChangeFailed, event.F("group", name), event.F("why", "the old primary has not stepped down"))
			sleep(ctx, failoverRetryDelay)
			return successor{}, false
		}
		return chosen, true
	case core.Resume:
		f.resume(ctx, c, startedAt)
	case core.Wait:
		// Await does not return it.
	}
	return successor{}, false
}

// prepare makes the old primary step down if it answers, and returns the database to
// promote, and false if the old primary has not stepped down. It adds to the record what
// the choice is based on.
func (f *Fleet) prepare(
	ctx context.Context, c change, awaited replica.Outcome, decision core.Promote, record *engine.PromotionRecord,
) (successor, bool) {
	name, row, chosen, hasSteppedDown := c.name, c.row, c.successor(databaseStatus{}), true
	for _, a := range awaited.Answers {
		status := databaseStatus{database: f.databaseOf(name, a.Copy), status: statement.ServerStatus{
			Role: model.RoleReplica, Term: a.Term, ReceivedPosition: a.Position,
		}}
		if a.IsPrimary {
			status.status.Role = model.RolePrimary
		}
		if a.ID == decision.Database {
			chosen.databaseStatus = status
		}
		if a.ID != row.Primary {
			continue
		}
		record.FencedDatabases = []engine.FencedDatabase{{Database: row.Primary, Position: a.Position.String()}}
		if a.IsPrimary && a.ID != decision.Database {
			_, err := f.sendControl(ctx, status.database, statement.StepDown{Term: a.Term + 1})
			hasSteppedDown = err == nil
			f.logEvent(event.PrimarySteppedDown, event.F("group", name), event.F("database", a.ID),
				event.F("received", a.Position.String()), event.F("outcome", outcome(err)))
		}
	}
	if decision.Database != row.Primary {
		chosen.isPrimary, chosen.isReturned = c.isPresentPrimary(chosen.status)
	}
	end := chosen.status.ReceivedPosition
	chosen.history, chosen.copies = awaited.History, []store.Row{replica.RecordRow(name, awaited.Record)}
	f.logEvent(event.SuccessorChosen, event.F("group", name), event.F("database", decision.Database),
		event.F("proof", decision.Proof.String()), event.F("received", end.String()), event.F("missing", awaited.Missing))
	if decision.Proof == core.ProofNone {
		record.Evidence = append(record.Evidence, fmt.Sprintf(
			"acknowledged commits after %s may be missing: no answer of %s, nor an entry for %v",
			end, joinIDs(append(awaited.Missing, row.Primary)), f.replicas.Patience()))
	}
	return chosen, hasSteppedDown
}

// resume ends a failover without a promotion: the old primary stays.
func (f *Fleet) resume(
	ctx context.Context, c change, startedAt time.Time,
) {
	name, row, claimed := c.name, c.row, c.claimed
	kept := lease.GroupRow{
		Epoch: claimed.Epoch + 1, Phase: phaseWith(c.promotions.Calls), Primary: row.Primary, Term: row.Term,
		Coordinator: f.options.StartID, Reason: "the primary answers again",
	}
	for ctx.Err() == nil {
		_, err := f.write(ctx, store.Transaction{
			Preconditions: []store.Row{{Table: groupTable, Key: groupKey(name), Version: claimed.Version}},
			Upserts:       []store.Row{{Table: groupTable, Key: groupKey(name), Value: f.encode(&kept)}},
		})
		f.logRowWrite(name, kept, err)
		f.requestRenewal()
		if err == nil || store.OutcomeOf(err) == store.OutcomeConflict {
			break
		}
		sleep(ctx, failoverPollInterval)
	}
	f.logEvent(event.ChangeAbandoned, event.F("group", name), event.F("epoch", kept.Epoch),
		event.F("primary", row.Primary), event.F("took", clock.Since(startedAt).String()))
	f.awaitEpoch(ctx, name, kept.Epoch)
}

func joinIDs(ids []model.DatabaseID) string {
	var texts []string
	for _, id := range ids {
		texts = append(texts, string(id))
	}
	return strings.Join(texts, ", ")
}
