package replica

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/clock"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/core/replica"
	"github.com/eelgrassfold/eelgrassfold/internal/core/succession"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

const (
	// pollInterval is the time between two queries of the databases while a replica may
	// still catch up; after that it is slowPollInterval.
	pollInterval     = 50 * time.Millisecond
	slowPollInterval = 250 * time.Millisecond
)

// Replacement is a failover that waits for a decision.
type Replacement struct {
	Group model.GroupID
	// Primary is the database to replace, Term the lowest term in which it is primary.
	Primary model.DatabaseID
	Term    model.Term
	// CanResume is true if no promotion may still take effect.
	CanResume bool
	// IsBarred reports whether a database must not be promoted while the old primary may
	// still be used.
	IsBarred func(model.DatabaseID) bool
	// IsCurrent reports whether this instance is still to carry out the failover.
	IsCurrent func() bool
}

// Outcome is the decision about a Replacement and what it is based on.
type Outcome struct {
	Decision replica.Decision
	Answers  []replica.Answer
	History  succession.History
	// Missing are the databases that may have held more, if nothing proves that the log
	// holds all acknowledged commits.
	Missing []model.DatabaseID
	// Record is the record for the time after a promotion. It lists the databases that
	// were queried.
	Record replica.Record
}

// EndedError reports that a wait ended without a decision.
type EndedError struct{ Group model.GroupID }

// Error implements error.
func (e *EndedError) Error() string {
	return fmt.Sprintf("the wait for a successor in %s ended", e.Group)
}

// Await queries the databases of a group until one of them may be promoted or the primary
// may stay. No instance may use the primary any more. Its error is an *EndedError.
func (k *Keeper) Await(ctx context.Context, r Replacement) (Outcome, error) {
	w := wait{keeper: k, replacement: r, startedAt: clock.Now(), presentAt: clock.Now()}
	for ctx.Err() == nil && r.IsCurrent() {
		if outcome, found := w.poll(ctx); found {
			return outcome, nil
		}
		pause := slowPollInterval
		if !w.isOverdue() {
			pause = pollInterval
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
	return Outcome{}, &EndedError{Group: r.Group}
}

// wait is the state of an Await.
type wait struct {
	keeper      *Keeper
	replacement Replacement
	startedAt   time.Time
	// presentAt is when a database that has not answered was last known to exist.
	presentAt time.Time
	// logged is the reason for waiting that was logged last.
	logged string
}

func (w *wait) isOverdue() bool { return clock.Since(w.startedAt) >= w.keeper.options.CatchUp }

// poll queries the databases once. It returns false if the wait goes on.
func (w *wait) poll(ctx context.Context) (Outcome, bool) {
	k, r := w.keeper, w.replacement
	known, err := k.read(ctx, r.Group)
	if err != nil {
		return Outcome{}, false
	}
	queried := k.copiesOf(r.Group, known.record)
	answers := k.options.Source.Query(ctx, r.Group, queried)
	// The entries are read after the answers, so that a database that has lost its log in a
	// restart since is not taken for the one that answered.
	listed, err := k.options.Source.ReadCopies(ctx, r.Group)
	if err != nil {
		return Outcome{}, false
	}
	copies := k.copiesOf(r.Group, known.record)
	change := replica.Change{
		Primary: r.Primary, Term: r.Term, Base: known.promotions.History.Base(), Copies: copies,
		Answers: w.identify(answers, listed), CanResume: r.CanResume, IsOverdue: w.isOverdue(),
	}
	decision := replica.Decide(change)
	outcome := Outcome{
		Decision: decision, Answers: change.Answers, History: known.promotions.History,
		Record: replica.Record{Copies: copies}.AfterPromotion(listed),
	}
	waiting, isWaiting := decision.(replica.Wait)
	if !isWaiting {
		return outcome, true
	}
	w.log(waiting.Missing)
	if !w.isLost(append(waiting.Missing, r.Primary), listed, answers) {
		return Outcome{}, false
	}
	change.IsLost = true
	outcome.Decision, outcome.Missing = replica.Decide(change), waiting.Missing
	_, isWaiting = outcome.Decision.(replica.Wait)
	return outcome, !isWaiting
}

// identify sets the entries of the databases that answered.
func (w *wait) identify(answers []replica.Answer, listed []replica.Copy) []replica.Answer {
	identified := slices.Clone(answers)
	for i := range identified {
		a := &identified[i]
		if at := slices.IndexFunc(listed, func(c replica.Copy) bool { return c.ID == a.ID }); at >= 0 {
			a.Copy = listed[at]
		}
		a.Retired, a.IsBarred = w.keeper.options.Source.IsRetired(a.ID), w.replacement.IsBarred(a.ID)
	}
	return identified
}

// isLost reports whether none of these databases has had an entry without answering for
// as long as the options allow for.
func (w *wait) isLost(missing []model.DatabaseID, listed []replica.Copy, answers []replica.Answer) bool {
	for _, c := range listed {
		isSilent := !slices.ContainsFunc(answers, func(a replica.Answer) bool { return a.ID == c.ID })
		if isSilent && slices.Contains(missing, c.ID) {
			w.presentAt = clock.Now()
		}
	}
	return clock.Since(w.presentAt) >= w.keeper.options.Patience
}

// log logs for which databases the failover waits, unless it was logged last.
func (w *wait) log(missing []model.DatabaseID) {
	if text := fmt.Sprint(missing); text != w.logged {
		w.logged = text
		w.keeper.options.Log(event.SuccessorAwaited, event.F("group", w.replacement.Group),
			event.F("primary", w.replacement.Primary), event.F("missing", missing),
			event.F("waited", clock.Since(w.startedAt).String()))
	}
}
