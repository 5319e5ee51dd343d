package fleet

import (
	"context"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/clock"
	"github.com/eelgrassfold/eelgrassfold/internal/core/lease"
	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	core "github.com/eelgrassfold/eelgrassfold/internal/core/replica"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/store"
	"github.com/eelgrassfold/eelgrassfold/internal/node/replica"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

const (
	// groupTable is the table of groups. It also holds the coordinator lease
	// and the members, since all of these have to be read as of the same
	// version: a view confirms primaries only if it lists this instance among
	// the members.
	groupTable = "eelgrassfold-groups"
	// Prefixes of the table's keys, and the key of the coordinator lease.
	groupPrefix         = "group/"
	memberPrefix        = "member/"
	coordinatorLeaseKey = "duty/promotion"
	// A view confirms primaries until it is lease.Duration old (900 ms); the
	// ages below count from the start of its read. The first instance (see
	// Fleet.first) reads the table and the others request its view, so that
	// one read serves all.
	//
	// renewAge is the age at which the first instance reads the table again: a
	// third of lease.Duration.
	renewAge = 300 * time.Millisecond
	// zoneFirstRequestAge is the age from which on the first instance of an
	// availability zone requests the view of the first instance.
	zoneFirstRequestAge = 350 * time.Millisecond
	// requestAge is the age from which on all other instances request the view
	// of the first instance of their zone.
	requestAge = 500 * time.Millisecond
	// requestInterval is the minimum time between two requests for a view.
	requestInterval = 100 * time.Millisecond
	// fallbackRenewAge is the age at which an instance that has received no
	// newer view reads the table itself. It leaves time for one more try.
	fallbackRenewAge = 680 * time.Millisecond
	// slowReadAge is the time without an answer to a read of the table after which this
	// instance no longer counts as one that reaches the store. Another becomes the
	// first and reads the table before the views of all instances grow so old that
	// each reads it itself.
	slowReadAge = 150 * time.Millisecond
	// renewTimeout bounds a read of the table.
	renewTimeout = 600 * time.Millisecond
	// minRenewInterval is the minimum time between two reads.
	minRenewInterval = 50 * time.Millisecond
)

// renewal holds the request for a renewal: a read of the table of groups, which
// replaces the view by a newer one.
type renewal struct {
	// requested receives a value when the table is to be read at once.
	requested chan struct{}
}

// requestRenewal requests a read of the table of groups at once.
func (f *Fleet) requestRenewal() {
	select {
	case f.renewal.requested <- struct{}{}:
	default:
	}
}

// renewViews reads the table of groups until ctx ends, often enough that the
// view does not become older than lease.Duration: an older view no longer
// confirms the primaries and the coordinator lease that it shows.
func (f *Fleet) renewViews(ctx context.Context) {
	pause := newBackoff()
	var lostAt time.Time
	for ctx.Err() == nil {
		err := f.readGroups(ctx)
		switch {
		case err == nil:
			if !lostAt.IsZero() {
				f.logEvent(event.DependencyBack, event.F("dependency", "store/"+groupTable),
					event.F("away", clock.Since(lostAt).String()))
				lostAt = time.Time{}
			}
			pause.Reset()
			f.awaitRenewal(ctx)
		case ctx.Err() != nil:
			return
		default:
			if lostAt.IsZero() {
				lostAt = clock.Now()
				f.logEvent(event.DependencyLost, event.F("dependency", "store/"+groupTable),
					event.F("error", err.Error()))
			}
			sleep(ctx, f.retryPause(pause))
		}
	}
}

// awaitRenewal waits until the table is due to be read again.
func (f *Fleet) awaitRenewal(ctx context.Context) {
	sleep(ctx, minRenewInterval)
	for ctx.Err() == nil {
		remaining := min(membersRefreshAge-f.membersAge(), f.advanceRenewal())
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

// advanceRenewal requests the view of the upstream if that is due. It returns
// how long to wait before it is called again; the table is due to be read if
// that is not positive.
func (f *Fleet) advanceRenewal() time.Duration {
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

// requestView requests the view of a peer, unless one was requested less than
// requestInterval ago.
func (f *Fleet) requestView(peer model.InstanceID) {
	now := clock.Now()
	f.peers.mu.Lock()
	isDue := now.Sub(f.peers.viewRequestedAt) >= requestInterval
	if isDue {
		f.peers.viewRequestedAt = now
	}
	f.peers.mu.Unlock()
	if isDue {
		f.peers.links.HandleAction(message.SendPeer{
			To:   peer,
			Body: message.GossipStateRequest{SenderClock: sinceBoot(now)},
		})
	}
}

// refreshView requests a newer view at once: from the store if this instance is
// the first, which reads it for all, otherwise from the upstream.
func (f *Fleet) refreshView() {
	if f.isFirst() {
		f.requestRenewal()
		return
	}
	f.requestView(f.upstream())
}

// membersAge returns the time since the members were last read.
func (f *Fleet) membersAge() time.Duration {
	f.peers.mu.Lock()
	defer f.peers.mu.Unlock()
	return clock.Since(f.peers.membersReadAt)
}

// readGroups reads the table of groups once and updates the members and the
// view. Its errors are those of the store.
func (f *Fleet) readGroups(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	startedAt := clock.Now()
	suspicion := time.AfterFunc(slowReadAge, f.suspectStore)
	rows, err := f.options.Store.Read(ctx, groupTable)
	suspicion.Stop()
	f.recordStoreOutcome(err)
	if err != nil {
		return err
	}
	known := groupRows{view: f.Leases.View(), members: f.knownMembers()}
	read := groupRows{
		view: lease.View{
			Version: rows.Version, ReadStartedAt: startedAt,
			Rows: map[model.GroupID]lease.GroupRow{}, Rejected: map[model.GroupID]uint64{},
		},
		members: map[model.InstanceID]member{},
	}
	for _, row := range rows.Rows {
		f.decodeRow(row, known, &read)
	}
	_, read.view.IsMember = read.members[f.options.InstanceName]
	f.updateMembers(read.members, read.view.Version)
	f.updateView(read.view, "store")
	return nil
}

// groupKey returns the key of a group's row.
func groupKey(name model.GroupID) string { return groupPrefix + string(name) }

// recordStoreOutcome records whether the store has answered a call about the table of
// groups. A conflict and a compacted history are answers as well. Calls about other
// tables do not count: a store that is partly unavailable may serve those only, and an
// instance that can't read the groups must not count as one that reaches the store.
func (f *Fleet) recordStoreOutcome(err error) {
	outcome := store.OutcomeOf(err)
	f.storeReachable.Store(err == nil || outcome == store.OutcomeConflict || outcome == store.OutcomeCompacted)
}

// suspectStore records that the store has not answered for slowReadAge, and tells the
// peers at once.
func (f *Fleet) suspectStore() {
	if f.storeReachable.CompareAndSwap(true, false) {
		f.broadcast()
	}
}

// updateView updates the view of the table of groups. If the row of a group has
// changed, it reschedules the waiting statements and sends gossip at once.
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
			event.F("primary", row.Primary), event.F("term", row.Term),
			event.F("steward", row.Coordinator),
			event.F("reason", row.Reason), event.F("source", source))
	}
	if changed {
		f.Scheduler.Reschedule()
		f.broadcast()
	}
}

// createMissingRows writes the first row and the first record of each group
// that has no row, if this instance is the first. The primary is the database
// that claims to be one, since no other database has ever been promoted. A
// group with no claimant or several claimants is skipped. If the coordinator
// lease has no holder, the same transaction makes this instance its holder.
func (f *Fleet) createMissingRows(ctx context.Context) {
	view := f.Leases.View()
	if view.Rows == nil || !f.isFirst() {
		return
	}
	for _, group := range f.uninitializedGroups(view) {
		row := lease.GroupRow{
			Epoch: 1, Phase: lease.PhaseStable, Primary: group.primary,
			Coordinator: f.options.StartID, Reason: "first row",
		}
		tx := store.Transaction{
			Preconditions: []store.Row{{
				Table: groupTable, Key: groupKey(group.name), Version: view.Rejected[group.name],
			}},
			Upserts: []store.Row{
				{Table: groupTable, Key: groupKey(group.name), Value: f.encode(&row)},
				f.recordRow(f.firstRecord(group.name, row), row.Epoch),
			},
		}
		if view.Rejected[group.name] == 0 && f.isSynchronous(group.name) {
			// Callers are served as soon as the row is there.
			tx.Upserts = append(tx.Upserts,
				replica.RecordRow(group.name, core.Record{Copies: replicaSource{f}.Copies(group.name)}))
		}
		if coordinatorLease := view.CoordinatorLease; coordinatorLease.Holder == "" {
			ownLease := f.ownLease(coordinatorLease)
			tx.Preconditions = append(tx.Preconditions,
				store.Row{Table: groupTable, Key: coordinatorLeaseKey, Version: coordinatorLease.Version})
			tx.Upserts = append(tx.Upserts,
				store.Row{Table: groupTable, Key: coordinatorLeaseKey, Value: f.encode(&ownLease)})
			view.CoordinatorLease = ownLease
		}
		_, err := f.write(ctx, tx)
		f.logRowWrite(group.name, row, err)
		f.requestRenewal()
	}
}

// uninitializedGroup is a group without a row, with the database that claims to
// be its primary.
type uninitializedGroup struct {
	name    model.GroupID
	primary model.DatabaseID
}

// uninitializedGroups returns the groups without a row in which exactly one
// database claims to be primary.
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
