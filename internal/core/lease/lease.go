// Package lease determines which database may be used as the primary of a group, and
// until when.
//
// # What flows in and out
//
// Inputs are views of the table of groups: rows of the platform's store, with the
// time at which the read of them started. Outputs are a Grant for a group whose row
// is stable, and the Validity of an answer that was obtained under the grant.
//
// # Why it is safe
//
// A primary is replaced in three steps: the group's row is marked as changing,
// Duration passes after the store's answer, and only then another database is
// promoted. If a view whose read started at time b shows the row as stable, the row
// was marked after b, if at all, so that no promotion took effect before
// b + Duration. Everything that the primary did before b + Duration, it therefore
// did as the primary. A view of the same epoch whose read started after an answer
// confirms that answer in the same way, however old the answer is.
//
// In PhaseGuarded a promotion may take effect that no row announces. The Validity then
// says only that no claim has replaced the primary; the caller checks the rest.
//
// # Usage
//
//	table := lease.NewTable()
//	table.Update(view)
//	grant, ok := table.Grant(group)
//	...
//	validity := table.Validate(grant, answeredAt)
package lease

import (
	"strconv"
	"sync"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/clock"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// Duration is how long a view confirms the primaries that it shows, from the start of
// its read. Every failover includes a pause of this length. The store may be slow for
// this long without an interruption of service.
const Duration = 900 * time.Millisecond

// Phase is the state of a group's primary.
type Phase int

// The values of Phase.
const (
	// PhaseStable: GroupRow.Primary is the primary.
	PhaseStable Phase = iota
	// PhaseChanging: the primary is being replaced; the group has no usable primary.
	PhaseChanging
	// PhaseGuarded: GroupRow.Primary is the primary, but a promotion that was abandoned may
	// still replace it without a claim. A view alone does not confirm its answers.
	PhaseGuarded
)

// HasPrimary reports whether a row in this phase names a primary that may be used.
func (p Phase) HasPrimary() bool { return p == PhaseStable || p == PhaseGuarded }

// String returns the name of p for log lines.
func (p Phase) String() string {
	switch p {
	case PhaseStable:
		return "stable"
	case PhaseChanging:
		return "changing"
	case PhaseGuarded:
		return "guarded"
	default:
		return "phase " + strconv.Itoa(int(p))
	}
}

// GroupRow is a group's entry in the table of groups.
type GroupRow struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // The codec reads the tag.
	// Epoch counts the changes of the row.
	Epoch uint64
	Phase Phase
	// Primary is the current primary, or the one that is being replaced.
	Primary model.DatabaseID
	// Term is the lowest term in which Primary is the primary.
	Term model.Term
	// Coordinator is the start ID of the instance that wrote the row. Reason is the
	// reason for the change.
	Coordinator model.InstanceID
	Reason      string
	// Version is the version that the store assigned to the last change of the row.
	Version uint64
}

// CoordinatorLease names the instance that may change primaries. As with a primary, a
// holder acts only while a view confirms it, and a new holder waits for Duration
// before it acts.
type CoordinatorLease struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // The codec reads the tag.
	// Holder identifies one start of an instance, HolderName the instance itself.
	Holder, HolderName model.InstanceID
	// FencingToken increases with each change of the holder.
	FencingToken uint64
	// Challenger is an instance that receives no messages from the holder. A live
	// holder removes the challenge; a challenge that remains shows that there is no
	// live holder.
	Challenger model.InstanceID
	// Version is the version that the store assigned to the last change.
	Version uint64
}

// View is the table of groups as of one version.
type View struct {
	// Version orders views. It is the value of the store's counter when the table was
	// read.
	Version uint64
	// ReadStartedAt is a lower bound, on this instance's clock, of the time at which
	// the read of the table started.
	ReadStartedAt time.Time
	Rows          map[model.GroupID]GroupRow
	// Rejected holds the versions of the rows that could not be decoded and of which no
	// earlier value is known.
	Rejected         map[model.GroupID]uint64
	CoordinatorLease CoordinatorLease
	// IsMember is true if this instance is listed among those that use leases. A view
	// without this instance confirms nothing, since the coordinator that replaces a
	// primary asks only the members whether they have seen the change.
	IsMember bool
}

// Grant names a primary for one use.
type Grant struct {
	Group   model.GroupID
	Primary model.DatabaseID
	Epoch   uint64
}

// Validity is the result of checking whether the database of a Grant was the primary.
type Validity int

// The values of Validity.
const (
	// ValidityPending: a newer view is needed to decide.
	ValidityPending Validity = iota
	// ValidityConfirmed: the database was the primary when it answered.
	ValidityConfirmed
	// ValidityReplaced: the group's row has changed since the grant; it is unknown
	// whether the database was the primary when it answered.
	ValidityReplaced
)

// String returns the name of v for log lines.
func (v Validity) String() string { return [...]string{"pending", "primary", "replaced"}[v] }

// Table holds the newest view. Use NewTable to create one. It is safe for concurrent
// use.
type Table struct {
	mu   sync.Mutex
	view View
	// epochSeenSince is the time since which views without a gap between them have
	// shown the current epoch of each group.
	epochSeenSince map[model.GroupID]time.Time
	// changed is closed and replaced whenever the view changes.
	changed chan struct{}
}

// NewTable returns a table without a view.
func NewTable() *Table {
	return &Table{epochSeenSince: map[model.GroupID]time.Time{}, changed: make(chan struct{})}
}

// Update replaces the view if the given one is newer, and reports whether it is.
func (t *Table) Update(view View) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if view.Version < t.view.Version || view.Version == t.view.Version && !view.ReadStartedAt.After(t.view.ReadStartedAt) {
		return false
	}
	if view.ReadStartedAt.Before(t.view.ReadStartedAt) {
		// A newer version was not read earlier than an older one, so that the lower
		// bound of the previous view holds for it as well.
		view.ReadStartedAt = t.view.ReadStartedAt
	}
	now := clock.Now()
	wasPartitioned := !now.Before(t.view.ReadStartedAt.Add(Duration))
	for group, row := range view.Rows {
		if known, found := t.view.Rows[group]; !found || known.Epoch != row.Epoch || wasPartitioned {
			t.epochSeenSince[group] = now
		}
	}
	t.view = view
	close(t.changed)
	t.changed = make(chan struct{})
	return true
}

// View returns the newest view. Its rows must not be modified.
func (t *Table) View() View {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.view
}

// Row returns a group's row in the newest view, and whether there is one.
func (t *Table) Row(group model.GroupID) (GroupRow, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row, found := t.view.Rows[group]
	return row, found
}

// EpochSeenSince returns the time since which views without a gap between them have
// shown the current epoch of a group. An instance without current views was
// partitioned itself, so that missing answers from that time say nothing about the
// primary.
func (t *Table) EpochSeenSince(group model.GroupID) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.epochSeenSince[group]
}

// Grant returns the primary that the newest view names, and whether there is one. The
// view may have expired: Validate checks the grant once the answer has arrived.
func (t *Table) Grant(group model.GroupID) (Grant, bool) {
	row, found := t.Row(group)
	if !found || !row.Phase.HasPrimary() {
		return Grant{}, false
	}
	return Grant{Group: group, Primary: row.Primary, Epoch: row.Epoch}, true
}

// IsConfirmed reports whether the newest view confirms its primaries at time now.
func (t *Table) IsConfirmed(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.view.IsMember && now.Before(t.view.ReadStartedAt.Add(Duration))
}

// Validate returns whether the database of grant was the primary until answeredAt.
func (t *Table) Validate(grant Grant, answeredAt time.Time) Validity {
	validity, _ := t.validate(grant, answeredAt)
	return validity
}

// validate does the work of Validate. The channel is closed when the result may have
// changed.
func (t *Table) validate(grant Grant, answeredAt time.Time) (Validity, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row, found := t.view.Rows[grant.Group]
	switch {
	case !found || row.Epoch != grant.Epoch || !row.Phase.HasPrimary():
		return ValidityReplaced, t.changed
	case t.view.IsMember && answeredAt.Before(t.view.ReadStartedAt.Add(Duration)):
		return ValidityConfirmed, t.changed
	default:
		return ValidityPending, t.changed
	}
}

// AwaitValidity is like Validate, but waits for newer views while the result is
// ValidityPending, until done is closed.
func (t *Table) AwaitValidity(grant Grant, answeredAt time.Time, done <-chan struct{}) Validity {
	for {
		validity, changed := t.validate(grant, answeredAt)
		if validity != ValidityPending {
			return validity
		}
		select {
		case <-changed:
		case <-done:
			return ValidityPending
		}
	}
}
