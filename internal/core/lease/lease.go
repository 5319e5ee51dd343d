// Package lease tells who may be taken as the primary of a group, and until
// when.
//
// # What flows in and out
//
// Views of the table of groups flow in: rows of the platform's store, with the
// time before which the read of them began. A Grant flows out for a group whose
// row is stable, and a Verdict on what was done under it.
//
// # Why it is safe
//
// A primary is replaced in three steps: the group's row is marked as changing,
// Length passes after the store's answer, and only then another database is
// promoted. A view that began at time b and shows the row stable was read before
// the mark, or the mark was made after b; either way no promotion took effect
// before b + Length. So what the primary did before b + Length, it did as the
// primary. A view of the same epoch that began later than an answer proves the
// same of that answer, however old it is.
//
// # Usage
//
//	table := lease.NewTable()
//	table.Learn(view)
//	grant, ok := table.Grant(group)
//	...
//	verdict := table.Judge(grant, answered)
package lease

import (
	"sync"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/clock"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// Duration is how long after its beginning a view proves the primaries that it
// shows. It is a part of the gap of each failover, and the time for which the
// store may be slow without a pause in service.
const Duration = 900 * time.Millisecond

// Phase tells what happens to a group's primary.
type Phase int

// The values of Phase.
const (
	// PhaseStable: Row.Primary is the primary.
	PhaseStable Phase = iota
	// PhaseChanging: the primary is being replaced; there is none to use.
	PhaseChanging
)

// String names p for log lines.
func (p Phase) String() string { return [...]string{"stable", "changing"}[p] }

// GroupRow is a group's entry in the table of groups.
type GroupRow struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // The codec reads the tag.
	// Epoch counts the changes of the row.
	Epoch uint64
	Phase Phase
	// Primary is the present primary, or the one that is being replaced.
	Primary model.DatabaseID
	// Term is the least term in which Primary leads.
	Term model.Term
	// Coordinator is the instance that wrote the row, Reason why.
	Coordinator model.InstanceID
	Reason      string
	// Version is the store's for the row's last change, as the store tells it.
	Version uint64
}

// CoordinatorLease tells which instance may change primaries. Like a primary, a holder acts
// only under a view that proves it, and a new one waits Length before it acts.
type CoordinatorLease struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // The codec reads the tag.
	// Holder is one start of an instance, HolderName what the instance is called.
	Holder, HolderName model.InstanceID
	// FencingToken rises with each change of the holder.
	FencingToken uint64
	// Challenger is an instance that does not hear the holder. The holder takes
	// the challenge away; one that stands shows that there is no holder.
	Challenger model.InstanceID
	// Version is the store's for the last change.
	Version uint64
}

// View is the table of groups as of one moment.
type View struct {
	// Version orders views: the store's counter when the table was read.
	Version uint64
	// ReadStartedAt is a time, on this instance's clock, before which the read of the
	// table had not begun.
	ReadStartedAt    time.Time
	Rows             map[model.GroupID]GroupRow
	CoordinatorLease CoordinatorLease
	// IsMember says that this instance is listed among those that use leases. A
	// view without it proves nothing: whoever changes a primary asks the
	// members only whether they have seen the change.
	IsMember bool
}

// Grant names a primary for one use.
type Grant struct {
	Group   model.GroupID
	Primary model.DatabaseID
	Epoch   uint64
}

// Validity tells whether the database of a Grant was the primary.
type Validity int

// The values of Verdict.
const (
	// ValidityPending: a newer view has to tell.
	ValidityPending Validity = iota
	// ValidityConfirmed: it was the primary when it answered.
	ValidityConfirmed
	// ValidityReplaced: its row has changed since; nothing is known.
	ValidityReplaced
)

// String names v for log lines.
func (v Validity) String() string { return [...]string{"pending", "primary", "replaced"}[v] }

// Table holds the newest view. NewTable makes one; it may be used from many
// goroutines.
type Table struct {
	mu   sync.Mutex
	view View
	// learned is since when views have shown each group's present epoch without a
	// gap between them.
	learned map[model.GroupID]time.Time
	// changed is closed when the view changes, and replaced then.
	changed chan struct{}
}

// NewTable returns a table without a view.
func NewTable() *Table {
	return &Table{learned: map[model.GroupID]time.Time{}, changed: make(chan struct{})}
}

// Update takes in a view and reports whether it tells anything new.
func (t *Table) Update(view View) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if view.Version < t.view.Version || view.Version == t.view.Version && !view.ReadStartedAt.After(t.view.ReadStartedAt) {
		return false
	}
	if view.ReadStartedAt.Before(t.view.ReadStartedAt) {
		// A newer version can't be of an older moment; the bound known before
		// holds for it as well.
		view.ReadStartedAt = t.view.ReadStartedAt
	}
	now := clock.Now()
	wasCutOff := !now.Before(t.view.ReadStartedAt.Add(Duration))
	for group, row := range view.Rows {
		if known, found := t.view.Rows[group]; !found || known.Epoch != row.Epoch || wasCutOff {
			t.learned[group] = now
		}
	}
	t.view = view
	close(t.changed)
	t.changed = make(chan struct{})
	return true
}

// View returns the newest view; its rows must not be changed.
func (t *Table) View() View {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.view
}

// Row returns a group's row as last seen.
func (t *Table) Row(group model.GroupID) (GroupRow, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row, found := t.view.Rows[group]
	return row, found
}

// EpochSeenSince returns since when views have shown a group's present epoch without a
// gap between them: what an instance without views has not heard of a primary
// tells nothing, since it was cut off itself.
func (t *Table) EpochSeenSince(group model.GroupID) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.learned[group]
}

// Grant returns the primary that the newest view names, whether or not its
// proof has run out: Judge decides once the answer is there.
func (t *Table) Grant(group model.GroupID) (Grant, bool) {
	row, found := t.Row(group)
	if !found || row.Phase != PhaseStable {
		return Grant{}, false
	}
	return Grant{Group: group, Primary: row.Primary, Epoch: row.Epoch}, true
}

// IsConfirmed reports whether the newest view proves its primaries at now.
func (t *Table) IsConfirmed(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.view.IsMember && now.Before(t.view.ReadStartedAt.Add(Duration))
}

// Validate tells whether the primary of grant was the primary until answered.
func (t *Table) Validate(grant Grant, answered time.Time) Validity {
	verdict, _ := t.judge(grant, answered)
	return verdict
}

// judge is Judge; the channel is closed when the verdict may have changed.
func (t *Table) judge(grant Grant, answered time.Time) (Validity, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row, found := t.view.Rows[grant.Group]
	switch {
	case !found || row.Epoch != grant.Epoch || row.Phase != PhaseStable:
		return ValidityReplaced, t.changed
	case t.view.IsMember && answered.Before(t.view.ReadStartedAt.Add(Duration)):
		return ValidityConfirmed, t.changed
	default:
		return ValidityPending, t.changed
	}
}

// AwaitValidity judges like Judge and waits for views while the verdict is pending,
// until done is closed.
func (t *Table) AwaitValidity(grant Grant, answered time.Time, done <-chan struct{}) Validity {
	for {
		verdict, changed := t.judge(grant, answered)
		if verdict != ValidityPending {
			return verdict
		}
		select {
		case <-changed:
		case <-done:
			return ValidityPending
		}
	}
}
