package fleet

import (
	"context"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/lease"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/core/promotion"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/store"
	"github.com/eelgrassfold/eelgrassfold/internal/node/replica"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

// guards check, for groups in lease.PhaseGuarded, that no abandoned promotion has taken
// effect. Such a promotion replaces the primary without a claim, so that a view of the table
// of groups alone is no proof.
type guards struct {
	rounds[guardResult]
	// calls holds the abandoned promotions of groups, last the last result.
	calls map[model.GroupID]guardedCalls
	last  map[model.GroupID]guardResult
}

// guardResult is the result of a round for an epoch of a group's row.
type guardResult struct {
	epoch uint64
	guard promotion.Guard
}

// guardedCalls are the abandoned promotions as of an epoch of a group's row.
type guardedCalls struct {
	epoch uint64
	calls promotion.Calls
}

// confirmGuard returns the validity of a grant in a guarded group for an answer that the view
// confirms: no database of an abandoned promotion may lead at a moment after the answer.
func (f *Fleet) confirmGuard(ctx context.Context, grant lease.Grant, answeredAt time.Time) lease.Validity {
	for {
		result, found := f.guards.after(ctx, grant.Group, answeredAt, func(r *round[guardResult]) {
			f.startGuardRound(grant.Group, grant.Epoch, r)
		})
		switch {
		case !found:
			return lease.ValidityPending
		case result.epoch > grant.Epoch, result.guard == promotion.GuardTakenOver:
			return lease.ValidityReplaced
		case result.epoch == grant.Epoch && result.guard != promotion.GuardUnknown:
			return lease.ValidityConfirmed
		}
		sleep(ctx, surveyPause)
	}
}

// startGuardRound runs a round in the background. It does not end with the request that
// started it, since others wait for it as well.
func (f *Fleet) startGuardRound(name model.GroupID, epoch uint64, r *round[guardResult]) {
	f.running.Add(1)
	go func() {
		defer f.running.Done()
		defer f.guards.end(name, r)
		r.result = guardResult{epoch: epoch, guard: promotion.GuardUnknown}
		if calls, found := f.guardedCalls(f.lifetime, name, epoch); found {
			r.result.guard = f.promotions.Check(f.lifetime, name, calls)
			f.recordGuard(name, calls, r.result)
		}
	}()
}

// guardedCalls returns the abandoned promotions of a group, and false if they can't be read.
// They do not change within an epoch.
func (f *Fleet) guardedCalls(ctx context.Context, name model.GroupID, epoch uint64) (promotion.Calls, bool) {
	g := &f.guards
	g.mu.Lock()
	known, found := g.calls[name]
	g.mu.Unlock()
	if found && known.epoch == epoch {
		return known.calls, true
	}
	promotions, err := f.replicas.Promotions(ctx, name)
	if err != nil || promotions.Calls.IsIncomplete {
		return promotion.Calls{}, false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.calls == nil {
		g.calls = map[model.GroupID]guardedCalls{}
	}
	g.calls[name] = guardedCalls{epoch: epoch, calls: promotions.Calls}
	return promotions.Calls, true
}

// recordGuard records the result of a round, and logs it if it has changed.
func (f *Fleet) recordGuard(name model.GroupID, calls promotion.Calls, result guardResult) {
	g := &f.guards
	g.mu.Lock()
	previous, found := g.last[name]
	if g.last == nil {
		g.last = map[model.GroupID]guardResult{}
	}
	g.last[name] = result
	g.mu.Unlock()
	if !found || previous != result {
		var ids []model.DatabaseID
		for _, call := range calls.Calls {
			ids = append(ids, call.Database)
		}
		f.logEvent(event.GuardChecked, event.F("group", name), event.F("databases", ids),
			event.F("result", result.guard.String()))
	}
}

// watchGuard starts a round for a guarded group unless one is running. It reports whether the
// last one has shown that another database leads. A guard that is settled is ended.
func (f *Fleet) watchGuard(ctx context.Context, name model.GroupID, row lease.GroupRow) bool {
	if r, isNew := f.guards.join(name); isNew {
		f.startGuardRound(name, row.Epoch, r)
	}
	g := &f.guards
	g.mu.Lock()
	last := g.last[name]
	g.mu.Unlock()
	if last.epoch != row.Epoch {
		return false
	}
	if last.guard == promotion.GuardSettled {
		f.endGuard(ctx, name, row)
	}
	return last.guard == promotion.GuardTakenOver
}

// endGuard records that no abandoned promotion may take effect any more. The epoch stays, so
// that answers under way are not affected.
func (f *Fleet) endGuard(ctx context.Context, name model.GroupID, row lease.GroupRow) {
	ended := row
	ended.Phase, ended.Version = lease.PhaseStable, 0
	_, err := f.write(ctx, store.Transaction{
		Preconditions: []store.Row{{Table: groupTable, Key: groupKey(name), Version: row.Version}},
		Upserts: []store.Row{
			{Table: groupTable, Key: groupKey(name), Value: f.encode(&ended)},
			replica.CallsRow(name, promotion.Calls{}),
		},
	})
	f.logRowWrite(name, ended, err)
	f.requestRenewal()
}
