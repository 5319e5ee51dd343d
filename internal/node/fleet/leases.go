package fleet

import (
	"context"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/eelgrassfold/eelgrassfold/internal/core/clock"
	"github.com/eelgrassfold/eelgrassfold/internal/core/lease"
	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/store"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

const (
	// groupTable is the table of groups, with the duty and the members: all that
	// has to be seen as of one moment.
	groupTable = "eelgrassfold-groups"
	// The beginnings of its keys, and the key of the duty.
	groupPrefix         = "group/"
	memberPrefix        = "member/"
	coordinatorLeaseKey = "duty/promotion"
	// renewAge is the age of the view at which the first instance reads the table
	// again: a third of a lease. The others ask for its view, so that one call
	// serves all: the first of each availability zone at headAskAge, the rest ask
	// that one at askAge, each askPause. They read the table themselves at
	// renewSpare, which leaves time for one more try.
	renewAge            = 300 * time.Millisecond
	zoneFirstRequestAge = 350 * time.Millisecond
	requestAge          = 500 * time.Millisecond
	requestInterval     = 100 * time.Millisecond
	fallbackRenewAge    = 680 * time.Millisecond
	// renewTimeout bounds a read of the table.
	renewTimeout = 600 * time.Millisecond
	// minRenewInterval is the least time between two reads.
	minRenewInterval = 50 * time.Millisecond
)

// renewal is the reading of the table of groups.
type renewal struct {
	// requested gets a value when the table shall be read at once.
	requested chan struct{}
}

// requestRenewal asks for a read of the table of groups at once.
func (f *Fleet) requestRenewal() {
	select {
	case f.renewal.requested <- struct{}{}:
	default:
	}
}

// renewViews reads the table of groups often enough for the leases to go on.
func (f *Fleet) renewViews(ctx context.Context) {
	pause := newBackoff()
	var lostAt time.Time
	for ctx.Err() == nil {
		err := f.readGroups(ctx)
		switch {
		case err == nil:
			if !lostAt.IsZero() {
				f.logEvent(event.DependencyBack, event.F("dependency", "store/"+groupTable), event.F("away", clock.Since(lostAt).String()))
				lostAt = time.Time{}
			}
			pause.Reset()
			f.awaitRenewal(ctx)
		case ctx.Err() != nil:
			return
		default:
			if lostAt.IsZero() {
				lostAt = clock.Now()
				f.logEvent(event.DependencyLost, event.F("dependency", "store/"+groupTable), event.F("error", err.Error()))
			}
			sleep(ctx, f.retryPause(pause))
		}
	}
}

// awaitRenewal waits until the table shall be read again.
func (f *Fleet) awaitRenewal(ctx context.Context) {
	sleep(ctx, minRenewInterval)
	for ctx.Err() == nil {
		remaining := min(membersAge-f.membersAge(), f.untilRenewal())
		if remaining <= 0 {
			return
		}
		timer := time.NewTimer(remaining)
		select {
		case <-ctx.Done():
		case <-f.renewal.requested:
			timer.Stop()
			return
		case <-timer.C:
		}
		timer.Stop()
	}
}

// untilRenewal returns the time until the table has to be read, or looked at
// again. It asks the upstream for its view where that is due.
func (f *Fleet) untilRenewal() time.Duration {
	age := clock.Since(f.Leases.View().ReadStartedAt)
	if f.isFirst() {
		return renewAge - age
	}
	upstream := f.upstream()
	dueAge := requestAge
	if first, _ := f.first(); upstream == first {
		dueAge = zoneFirstRequestAge
	}
	if age < dueAge {
		return dueAge - age
	}
	f.requestView(upstream)
	return min(requestInterval, fallbackRenewAge-age)
}

// requestView asks a peer for its view, unless one was asked a moment ago.
func (f *Fleet) requestView(peer model.InstanceID) {
	now := clock.Now()
	f.peers.mu.Lock()
	isDue := now.Sub(f.peers.viewRequestedAt) >= requestInterval
	if isDue {
		f.peers.viewRequestedAt = now
	}
	f.peers.mu.Unlock()
	if isDue {
		f.peers.links.HandleAction(message.SendPeer{To: peer, Body: message.GossipStateRequest{SenderClock: sinceBoot(now)}})
	}
}

// refreshView asks for a newer view at once: the store, where this instance asks it
// for all, or the upstream.
func (f *Fleet) refreshView() {
	if f.isFirst() {
		f.requestRenewal()
		return
	}
	f.requestView(f.upstream())
}

// membersAge returns the age of what is known of the members.
func (f *Fleet) membersAge() time.Duration {
	f.peers.mu.Lock()
	defer f.peers.mu.Unlock()
	return clock.Since(f.peers.membersReadAt)
}

// readGroups reads the table of groups once.
func (f *Fleet) readGroups(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	startedAt := clock.Now()
	rows, err := f.options.Store.Read(ctx, groupTable)
	f.recordStoreOutcome(err)
	if err != nil {
		return err
	}
	view := lease.View{Version: rows.Version, ReadStartedAt: startedAt, Rows: map[model.GroupID]lease.GroupRow{}}
	members := map[model.InstanceID]member{}
	for _, row := range rows.Rows {
		f.decodeRow(row, &view, members)
	}
	_, view.IsMember = members[f.options.InstanceName]
	f.updateMembers(members, view.Version)
	f.updateView(view, "store")
	return nil
}

// decodeRow takes one row of the table of groups into a view or among the members.
func (f *Fleet) decodeRow(row store.Row, view *lease.View, members map[model.InstanceID]member) {
	if name, ok := strings.CutPrefix(row.Key, memberPrefix); ok {
		var decoded member
		if f.decodeValue(row, &decoded) {
			members[model.InstanceID(name)] = decoded
		}
		return
	}
	if name, ok := strings.CutPrefix(row.Key, groupPrefix); ok {
		var decoded lease.GroupRow
		if f.decodeValue(row, &decoded) {
			decoded.Version = row.Version
			view.Rows[model.GroupID(name)] = decoded
		}
		return
	}
	if row.Key == coordinatorLeaseKey && f.decodeValue(row, &view.CoordinatorLease) {
		view.CoordinatorLease.Version = row.Version
	}
}

// groupKey returns the key of a group's row.
func groupKey(name model.GroupID) string { return groupPrefix + string(name) }

// decodeValue reads a row's value and reports whether it could.
func (f *Fleet) decodeValue(row store.Row, target any) bool {
	err := msgpack.Unmarshal(row.Value, target)
	if err != nil {
		f.logEvent(event.ContentRejected, event.F("table", row.Table), event.F("key", row.Key), event.F("error", err.Error()))
	}
	return err == nil
}

// recordStoreOutcome notes whether the store has answered a call.
func (f *Fleet) recordStoreOutcome(err error) {
	outcome := store.OutcomeOf(err)
	f.storeReachable.Store(err == nil || outcome == store.OutcomeConflict || outcome == store.OutcomeCompacted)
}

// updateView takes in a view of the table of groups.
func (f *Fleet) updateView(view lease.View, source string) {
	previous := f.Leases.View()
	if !f.Leases.Update(view) {
		return
	}
	changed := false
	for name, row := range view.Rows {
		if previous.Rows[name].Epoch == row.Epoch {
			continue
		}
		changed = true
		f.logEvent(event.GroupRowSeen,
			event.F("group", name), event.F("epoch", row.Epoch), event.F("phase", row.Phase.String()),
			event.F("primary", row.Primary), event.F("term", row.Term), event.F("steward", row.Coordinator),
			event.F("reason", row.Reason), event.F("source", source))
	}
	if changed {
		f.Scheduler.Reschedule()
		f.broadcast()
	}
}

// createMissingRows writes the first row of each group that has none: the database that
// says so itself is the primary, since nobody has ever promoted another.
func (f *Fleet) createMissingRows(ctx context.Context) {
	view := f.Leases.View()
	if view.Rows == nil || !f.isFirst() {
		return
	}
	for _, group := range f.uninitializedGroups(view) {
		row := lease.GroupRow{
			Epoch: 1, Phase: lease.PhaseStable, Primary: group.primary, Coordinator: f.options.StartID, Reason: "first row",
		}
		tx := store.Transaction{
			Preconditions: []store.Row{{Table: groupTable, Key: groupKey(group.name)}},
			Upserts: []store.Row{
				{Table: groupTable, Key: groupKey(group.name), Value: f.encode(&row)},
				f.recordRow(f.firstRecord(group.name, row), row.Epoch),
			},
		}
		if coordinatorLease := view.CoordinatorLease; coordinatorLease.Holder == "" {
			ownLease := lease.CoordinatorLease{Holder: f.options.StartID, HolderName: f.options.InstanceName, FencingToken: 1}
			tx.Preconditions = append(tx.Preconditions, store.Row{Table: groupTable, Key: coordinatorLeaseKey})
			tx.Upserts = append(tx.Upserts, store.Row{Table: groupTable, Key: coordinatorLeaseKey, Value: f.encode(&ownLease)})
			view.CoordinatorLease = ownLease
		}
		_, err := f.write(ctx, tx)
		f.logRowWrite(group.name, row, err)
		f.requestRenewal()
	}
}

// uninitializedGroup is a group without a row, with the database that says it is primary.
type uninitializedGroup struct {
	name    model.GroupID
	primary model.DatabaseID
}

// uninitializedGroups returns the groups without a row that have just one primary.
func (f *Fleet) uninitializedGroups(view lease.View) []uninitializedGroup {
	d := &f.directory
	d.mu.Lock()
	defer d.mu.Unlock()
	var groups []uninitializedGroup
	for name := range d.configuration.Groups {
		if _, found := view.Rows[name]; found {
			continue
		}
		var claimants []model.DatabaseID
		for id, e := range d.entries {
			if e.Group == name && e.ClaimsPrimary && e.missingSince.IsZero() {
				claimants = append(claimants, id)
			}
		}
		if len(claimants) == 1 {
			groups = append(groups, uninitializedGroup{name: name, primary: claimants[0]})
		}
	}
	return groups
}
