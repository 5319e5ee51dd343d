package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/clock"
	"github.com/eelgrassfold/eelgrassfold/internal/core/lease"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/core/placement"
	"github.com/eelgrassfold/eelgrassfold/internal/core/promotion"
	core "github.com/eelgrassfold/eelgrassfold/internal/core/replica"
	"github.com/eelgrassfold/eelgrassfold/internal/core/statement"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/store"
	promoter "github.com/eelgrassfold/eelgrassfold/internal/node/promotion"
	"github.com/eelgrassfold/eelgrassfold/internal/node/replica"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

// change is a failover that this instance has claimed.
type change struct {
	name model.GroupID
	// row is the group's row before the claim, claimed the row that was written.
	row, claimed lease.GroupRow
	// promotions are those of the group so far, attempt calls the next one.
	promotions replica.Promotions
	attempt    *promoter.Attempt
}

// newChange returns a failover that this instance has claimed.
func (f *Fleet) newChange(name model.GroupID, row, claimed lease.GroupRow, known replica.Promotions) change {
	attempt := f.promotions.Begin(promoter.Change{
		Group: name, Claim: store.Row{Table: groupTable, Key: groupKey(name), Version: claimed.Version},
		IsCurrent: func() bool { return f.isCarriedOutHere(name, claimed) },
	}, known.Calls)
	return change{name: name, row: row, claimed: claimed, promotions: known, attempt: attempt}
}

// settle waits until no promotion that was called earlier is awaited. It returns nil if this
// instance is not to carry out the failover any more.
func (f *Fleet) settle(ctx context.Context, c change) promotion.Settlement {
	settlement, err := c.attempt.Settle(ctx)
	if err != nil {
		f.logEvent(event.ChangeFailed, event.F("group", c.name), event.F("why", err.Error()))
	}
	return settlement
}

// successor returns the database to promote in a change.
func (c *change) successor(chosen databaseStatus) successor {
	return successor{databaseStatus: chosen, attempt: c.attempt, calls: c.promotions.Calls, history: c.promotions.History}
}

// newPromotions returns the caller of promotions.
func (f *Fleet) newPromotions() *promoter.Caller {
	return promoter.NewCaller(promoter.Options{
		Source: promotionSource{f}, Patience: missingEntryGrace, Log: f.logEvent,
	})
}

// readPromotions reads the promotions of a group in the background, while this instance is
// to carry out the failover. The channel is closed without a value if it is not any more.
func (f *Fleet) readPromotions(ctx context.Context, name model.GroupID, claimed lease.GroupRow) <-chan replica.Promotions {
	read := make(chan replica.Promotions, 1)
	f.running.Add(1)
	go func() {
		defer f.running.Done()
		defer close(read)
		for ctx.Err() == nil && f.isCarriedOutHere(name, claimed) {
			if promotions, err := f.replicas.Promotions(ctx, name); err == nil {
				read <- promotions
				return
			}
			sleep(ctx, failoverPollInterval)
		}
	}()
	return read
}

// promotedEarlier returns the database that an earlier attempt has promoted, and false if
// that can't be recorded now.
func (f *Fleet) promotedEarlier(ctx context.Context, c change, led promotion.Led) (successor, bool) {
	chosen := c.successor(f.ledBy(c.name, c.attempt, led))
	chosen.isPrimary, chosen.calls = true, led.Calls
	f.logEvent(event.SuccessorChosen, event.F("group", c.name), event.F("database", chosen.database.ID),
		event.F("proof", core.ProofPromoted.String()), event.F("received", chosen.status.ReceivedPosition.String()),
		event.F("missing", nil))
	if !f.isSynchronous(c.name) {
		return chosen, true
	}
	for ctx.Err() == nil && f.isCarriedOutHere(c.name, c.claimed) {
		if row, err := f.replicas.RecordAfterPromotion(ctx, c.name); err == nil {
			chosen.copies = []store.Row{row}
			return chosen, true
		}
		sleep(ctx, failoverPollInterval)
	}
	return successor{}, false
}

// promote has the platform promote a database and waits until that has taken effect. It
// returns the database that leads then, and false if none does.
func (f *Fleet) promote(ctx context.Context, name model.GroupID, chosen successor) (successor, bool) {
	settlement, err := chosen.attempt.Promote(ctx, promotion.Call{
		Database: chosen.database.ID, Incarnation: chosen.database.Incarnation, Address: chosen.database.Address,
		Term: chosen.status.Term,
	})
	led, hasLed := settlement.(promotion.Led)
	if err != nil || !hasLed {
		f.logEvent(event.ChangeFailed, event.F("group", name),
			event.F("why", "the promoted database has not become primary"))
		return successor{}, false
	}
	chosen.databaseStatus, chosen.calls = f.ledBy(name, chosen.attempt, led), led.Calls
	return chosen, true
}

// ledBy returns the database that leads after a promotion.
func (f *Fleet) ledBy(name model.GroupID, attempt *promoter.Attempt, led promotion.Led) databaseStatus {
	return databaseStatus{database: f.databaseOf(name, copyOf(led.Call)), status: attempt.Status(led.Call.Database)}
}

// phaseWith returns the phase of a row that names a primary, with the promotions that may
// still take effect.
func phaseWith(calls promotion.Calls) lease.Phase {
	if len(calls.Calls) > 0 {
		return lease.PhaseGuarded
	}
	return lease.PhaseStable
}

func copyOf(call promotion.Call) core.Copy {
	return core.Copy{ID: call.Database, Incarnation: call.Incarnation, Address: call.Address}
}

// turnInterval is the time between the last promotion call of a holder of the coordinator lease
// and its first after another holder: two instances must not take turns while each of them loses
// the lease again and again.
const turnInterval = 3300 * time.Millisecond

// lastCall is the last promotion call of this instance. It is safe for concurrent use.
type lastCall struct {
	mu    sync.Mutex
	token uint64
	at    time.Time
}

// next records a call under a fencing token, and reports whether it may be made.
func (l *lastCall) next(token uint64, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if token != l.token && !l.at.IsZero() && now.Sub(l.at) < turnInterval {
		return false
	}
	l.token, l.at = token, now
	return true
}

// HolderChangedError reports that another instance has held the coordinator lease since this
// one called a promotion, a moment ago.
type HolderChangedError struct{}

// Error implements error.
func (*HolderChangedError) Error() string {
	return "another instance has held the coordinator lease since the last call"
}

// promotionSource implements promotion.Source.
type promotionSource struct{ fleet *Fleet }

// Entries implements promotion.Source.
func (s promotionSource) Entries(group model.GroupID) []placement.Database {
	d := &s.fleet.directory
	d.mu.Lock()
	defer d.mu.Unlock()
	var databases []placement.Database
	for _, e := range d.entries {
		if e.Group == group {
			databases = append(databases, e.Database)
		}
	}
	return databases
}

// AreEntriesCurrent implements promotion.Source.
func (s promotionSource) AreEntriesCurrent() bool {
	return clock.Since(s.fleet.databasesConfirmedAt()) < directorySkew
}

// Query implements promotion.Source.
func (s promotionSource) Query(
	ctx context.Context, group model.GroupID, call promotion.Call,
) (statement.ServerStatus, error) {
	return s.fleet.sendControl(ctx, s.fleet.databaseOf(group, copyOf(call)), statement.QueryStatus{})
}

// Promote implements promotion.Source. It calls the platform under a view that shows this
// instance as the holder of the coordinator lease, and cancels the call before that view
// expires.
func (s promotionSource) Promote(ctx context.Context, group model.GroupID, id model.DatabaseID) error {
	f := s.fleet
	if err := f.readGroups(ctx); err != nil {
		return &store.Error{Outcome: store.OutcomeRefused, Cause: err}
	}
	view := f.Leases.View()
	if view.CoordinatorLease.Holder != f.options.StartID {
		return &store.Error{Outcome: store.OutcomeRefused, Cause: &CoordinatorReplacedError{Holder: view.CoordinatorLease.Holder}}
	}
	if !f.lastCall.next(view.CoordinatorLease.FencingToken, clock.Now()) {
		return &store.Error{Outcome: store.OutcomeRefused, Cause: &HolderChangedError{}}
	}
	remaining := view.ReadStartedAt.Add(lease.Duration).Sub(clock.Now())
	ctx, cancel := context.WithTimeout(ctx, min(remaining, promoteTimeout))
	defer cancel()
	return f.options.Promoter.Promote(ctx, store.Promotion{
		Group: group, Database: id, Holder: view.CoordinatorLease.HolderName,
		FencingToken: view.CoordinatorLease.FencingToken,
	})
}

// Write implements promotion.Source.
func (s promotionSource) Write(ctx context.Context, tx store.Transaction) (uint64, error) {
	return s.fleet.write(ctx, tx)
}
