// Package promotion calls promotions at the platform and waits until they have taken effect.
// It records each call in the platform's store before it makes it, so that the next attempt
// of a failover, and the next coordinator, know which promotions may still take effect.
//
// # What flows in and out
//
// Entries and answers of databases flow in, through Source. Calls flow out to the platform,
// and their record to the store. Which promotions may still take effect is decided by package
// core/promotion.
//
// # Usage
//
//	attempt := caller.Begin(change, calls)
//	settlement, err := attempt.Settle(ctx)
//	...
//	settlement, err = attempt.Promote(ctx, call)
package promotion

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"syscall"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/clock"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/core/placement"
	"github.com/eelgrassfold/eelgrassfold/internal/core/promotion"
	"github.com/eelgrassfold/eelgrassfold/internal/core/statement"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/store"
	"github.com/eelgrassfold/eelgrassfold/internal/node/replica"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

const (
	// pollInterval is the time between two looks at the called databases.
	pollInterval = 50 * time.Millisecond
	// effectTimeout is how long a promotion may take to take effect, after which an accepted
	// call is repeated: three times what the platform states.
	effectTimeout = 3 * time.Second
	// unansweredDelay is the time after a call without an answer until it is repeated.
	// Promotions that take longer may be called twice.
	unansweredDelay = effectTimeout / 2
	// refusedDelay is the time after an error response until the call is repeated.
	refusedDelay = 200 * time.Millisecond
)

// Source is what an instance knows about databases, and how it reaches the platform.
type Source interface {
	// Entries returns the databases of a group that have an entry. AreEntriesCurrent
	// reports whether the list was the newest a moment ago.
	Entries(group model.GroupID) []placement.Database
	AreEntriesCurrent() bool
	// Query returns the status of the database of a call.
	Query(ctx context.Context, group model.GroupID, call promotion.Call) (statement.ServerStatus, error)
	// Promote calls the promotion of a database. Its error has OutcomeRefused or
	// OutcomeNotRunning only if the call was not carried out.
	Promote(ctx context.Context, group model.GroupID, id model.DatabaseID) error
	// Write carries out a transaction of the store.
	Write(ctx context.Context, tx store.Transaction) (uint64, error)
}

// Options configures a Caller.
type Options struct {
	Source Source
	// Patience is how long a called database must have had no entry, and given no answer, to
	// count as lost.
	Patience time.Duration
	Log      func(event.Event, ...event.Field)
}

// Caller calls promotions. It is safe for concurrent use.
type Caller struct{ options Options }

// NewCaller returns a Caller.
func NewCaller(options Options) *Caller { return &Caller{options: options} }

// Change is a failover that this instance carries out.
type Change struct {
	Group model.GroupID
	// Claim is the row with which the failover was claimed. Calls are recorded only while
	// it is in place.
	Claim store.Row
	// IsCurrent reports whether this instance is still to carry out the failover.
	IsCurrent func() bool
}

// EndedError reports that an attempt ended before its promotions were settled.
type EndedError struct{ Group model.GroupID }

// Error implements error.
func (e *EndedError) Error() string {
	return fmt.Sprintf("the promotion in %s ended without an outcome", e.Group)
}

// Attempt is one attempt at a failover. It must be used by one goroutine only.
type Attempt struct {
	options Options
	change  Change
	// recorded are the calls that the store holds.
	recorded promotion.Calls
	progress map[model.DatabaseID]*progress
}

// progress is what an attempt knows about the call of one database.
type progress struct {
	// mayTakeEffect is true unless all calls of the promotion are known not to have been
	// carried out.
	mayTakeEffect bool
	// callAt is when the promotion is to be called, calledAt when it was called last,
	// acceptedAt when the platform has accepted a call; zero if it has not.
	callAt, calledAt, acceptedAt time.Time
	// isStopped is set if the platform has reported that the database is not running.
	isStopped bool
	// presentAt is when the database was last known to exist, status what it reported last.
	presentAt time.Time
	status    statement.ServerStatus
}

// Begin returns the attempt at a failover with the calls that the store holds.
func (c *Caller) Begin(change Change, recorded promotion.Calls) *Attempt {
	a := &Attempt{options: c.options, change: change, recorded: recorded, progress: map[model.DatabaseID]*progress{}}
	for _, call := range recorded.Calls {
		a.progress[call.Database] = &progress{mayTakeEffect: true, presentAt: clock.Now()}
	}
	return a
}

// Status returns what a called database has reported last.
func (a *Attempt) Status(id model.DatabaseID) statement.ServerStatus { return a.progress[id].status }

// Promote records and calls the promotion of a database, and waits until it is settled. A
// result of Free means that the promotion is not going to take effect, or not waited for. Its
// error is an *EndedError.
func (a *Attempt) Promote(ctx context.Context, call promotion.Call) (promotion.Settlement, error) {
	if err := a.record(ctx, a.recorded.With(call)); err != nil {
		return nil, err
	}
	// An earlier call of the database that was abandoned may still take effect.
	_, wasCalled := a.progress[call.Database]
	a.progress[call.Database] = &progress{mayTakeEffect: wasCalled, presentAt: clock.Now()}
	a.call(ctx, call)
	return a.Settle(ctx)
}

// Settle waits until the recorded calls are settled. It calls the promotion that is awaited
// again. Its error is an *EndedError.
func (a *Attempt) Settle(ctx context.Context) (promotion.Settlement, error) {
	isLogged := false
	for ctx.Err() == nil && a.change.IsCurrent() {
		settlement := promotion.Settle(a.look(ctx))
		switch s := settlement.(type) {
		case promotion.Pending:
			p := a.progress[s.Call.Database]
			if !isLogged {
				isLogged = true
				a.options.Log(event.PromotionAwaited, event.F("group", a.change.Group),
					event.F("database", s.Call.Database), event.F("term", s.Call.Term))
			}
			if !clock.Now().Before(p.callAt) {
				a.call(ctx, s.Call)
			}
		case promotion.Free:
			return a.free(ctx, s.Calls)
		default:
			return settlement, nil
		}
		select {
		case <-ctx.Done():
		case <-time.After(pollInterval):
		}
	}
	return nil, &EndedError{Group: a.change.Group}
}

// free records the calls that may still take effect, if they have changed, so that the next
// attempt does not wait for the others again.
func (a *Attempt) free(ctx context.Context, calls promotion.Calls) (promotion.Settlement, error) {
	calls.IsIncomplete = a.recorded.IsIncomplete
	if slices.Equal(calls.Calls, a.recorded.Calls) {
		return promotion.Free{Calls: calls}, nil
	}
	for _, call := range calls.Calls {
		if !slices.Contains(a.recorded.Calls, call) {
			p := a.progress[call.Database]
			a.options.Log(event.PromotionAbandoned, event.F("group", a.change.Group), event.F("database", call.Database),
				event.F("stopped", p.isStopped), event.F("silent", clock.Since(p.presentAt).String()))
		}
	}
	if err := a.record(ctx, calls); err != nil {
		return nil, err
	}
	return promotion.Free{Calls: calls}, nil
}

// record writes the calls to the store. Its error is an *EndedError.
func (a *Attempt) record(ctx context.Context, calls promotion.Calls) error {
	row := replica.CallsRow(a.change.Group, calls)
	for ctx.Err() == nil && a.change.IsCurrent() {
		_, err := a.options.Source.Write(ctx, store.Transaction{
			Preconditions: []store.Row{a.change.Claim}, Upserts: []store.Row{row},
		})
		a.options.Log(event.PromotionsRecorded, event.F("group", a.change.Group),
			event.F("databases", describe(calls)), event.F("outcome", outcomeText(err)))
		if err == nil {
			a.recorded = calls
			return nil
		}
		if store.OutcomeOf(err) == store.OutcomeConflict {
			break
		}
		select {
		case <-ctx.Done():
		case <-time.After(pollInterval):
		}
	}
	return &EndedError{Group: a.change.Group}
}

// call calls the promotion of a database.
func (a *Attempt) call(ctx context.Context, call promotion.Call) {
	err := a.options.Source.Promote(ctx, a.change.Group, call.Database)
	a.options.Log(event.PromotionCalled, event.F("group", a.change.Group),
		event.F("database", call.Database), event.F("outcome", outcomeText(err)))
	p, now, outcome := a.progress[call.Database], clock.Now(), store.OutcomeOf(err)
	p.isStopped, p.calledAt = false, now
	switch {
	case err == nil:
		p.mayTakeEffect, p.acceptedAt, p.callAt = true, now, now.Add(effectTimeout)
	case outcome == store.OutcomeNotRunning:
		p.isStopped, p.callAt = true, now.Add(refusedDelay)
	case outcome == store.OutcomeRefused:
		p.callAt = now.Add(refusedDelay)
	case outcome == store.OutcomeFailed:
		p.mayTakeEffect, p.callAt = true, now.Add(refusedDelay)
	default:
		p.mayTakeEffect, p.callAt = true, now.Add(unansweredDelay)
	}
}

// look queries the called databases at the same time.
func (a *Attempt) look(ctx context.Context) []promotion.Sighting {
	reports := queryAll(ctx, a.options.Source, a.change.Group, a.recorded)
	entries, now := a.options.Source.Entries(a.change.Group), clock.Now()
	sightings := make([]promotion.Sighting, 0, len(a.recorded.Calls))
	for _, call := range a.recorded.Calls {
		p, r := a.progress[call.Database], reports[call.Database]
		if r.err == nil {
			p.status = r.status
		}
		if isRefusal(r.err) && !p.isStopped {
			// The platform may know that it is not running.
			p.callAt = p.calledAt.Add(refusedDelay)
		}
		if r.err == nil || isAnswer(r.err) || hasEntry(entries, call) || !a.options.Source.AreEntriesCurrent() {
			p.presentAt = now
		}
		s := sight(call, r, entries)
		if s.IsPrimary && s.Newest == call.Term && !p.acceptedAt.IsZero() && now.Sub(p.acceptedAt) >= effectTimeout {
			s.IsUnchanged = a.isNewest(ctx, s.Newest, entries)
			s.IsReplaced = s.IsReplaced || !s.IsUnchanged
		}
		s.WasRefused, s.IsStopped, s.IsLost = !p.mayTakeEffect, p.isStopped, now.Sub(p.presentAt) >= a.options.Patience
		sightings = append(sightings, s)
	}
	return sightings
}

// isNewest reports whether no database of the group is in a newer term.
func (a *Attempt) isNewest(ctx context.Context, term model.Term, entries []placement.Database) bool {
	var all promotion.Calls
	for _, e := range entries {
		all = all.With(promotion.Call{Database: e.ID, Incarnation: e.Incarnation, Address: e.Address})
	}
	for _, r := range queryAll(ctx, a.options.Source, a.change.Group, all) {
		if r.err == nil && r.status.Term > term {
			return false
		}
	}
	return true
}

// report is the answer of a called database.
type report struct {
	id     model.DatabaseID
	status statement.ServerStatus
	err    error
}

// queryAll queries the databases of calls at the same time.
func queryAll(ctx context.Context, source Source, group model.GroupID, calls promotion.Calls) map[model.DatabaseID]report {
	received := make(chan report, len(calls.Calls))
	for _, call := range calls.Calls {
		go func() {
			status, err := source.Query(ctx, group, call)
			received <- report{id: call.Database, status: status, err: err}
		}()
	}
	reports := map[model.DatabaseID]report{}
	for range calls.Calls {
		r := <-received
		reports[r.id] = r
	}
	return reports
}

// sight returns what a report and the entries of a group say about a called database.
func sight(call promotion.Call, r report, entries []placement.Database) promotion.Sighting {
	s := promotion.Sighting{Call: call, HasAnswered: r.err == nil || isAnswer(r.err)}
	if r.err == nil {
		s.IsPrimary, s.Newest = r.status.Role == model.RolePrimary, r.status.Term
	}
	for _, e := range entries {
		hasRestarted := e.ID == call.Database && e.Incarnation != call.Incarnation
		hasSuccessor := e.ID != call.Database && e.Address == call.Address && e.Incarnation > call.Incarnation
		s.IsReplaced = s.IsReplaced || hasRestarted || hasSuccessor
	}
	return s
}

// isAnswer reports whether an error shows that the database itself has answered.
func isAnswer(err error) bool {
	var failure *statement.FailureError
	return errors.As(err, &failure) && failure.Code != statement.CodeWrongDatabase
}

// isRefusal reports whether an error shows that the database does not run at its address.
func isRefusal(err error) bool {
	var failure *statement.FailureError
	return errors.Is(err, syscall.ECONNREFUSED) || errors.As(err, &failure) && failure.Code == statement.CodeWrongDatabase
}

func hasEntry(entries []placement.Database, call promotion.Call) bool {
	for _, e := range entries {
		if e.ID == call.Database {
			return true
		}
	}
	return false
}

// describe returns the databases of calls for a log field.
func describe(calls promotion.Calls) []string {
	var texts []string
	for _, call := range calls.Calls {
		text := string(call.Database)
		if call.IsAbandoned {
			text += " (abandoned)"
		}
		texts = append(texts, text)
	}
	return texts
}

// outcomeText returns the text of an error for a log field, or "ok" for nil.
func outcomeText(err error) string {
	if err == nil {
		return "ok"
	}
	return err.Error()
}
