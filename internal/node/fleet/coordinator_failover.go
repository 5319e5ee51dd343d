package fleet

import (
	"context"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/clock"
	"github.com/eelgrassfold/eelgrassfold/internal/core/engine"
	"github.com/eelgrassfold/eelgrassfold/internal/core/lease"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/core/promotion"
	"github.com/eelgrassfold/eelgrassfold/internal/core/statement"
	"github.com/eelgrassfold/eelgrassfold/internal/core/succession"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/store"
	promoter "github.com/eelgrassfold/eelgrassfold/internal/node/promotion"
	"github.com/eelgrassfold/eelgrassfold/internal/node/replica"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

// failover replaces the primary of a group.
func (f *Fleet) failover(
	ctx context.Context, name model.GroupID, row lease.GroupRow,
	coordinatorLease lease.CoordinatorLease, reason string,
) {
	startedAt, evidence := clock.Now(), f.evidence(name, row)
	if f.isSynchronous(name) && row.Phase.HasPrimary() && evidence.PrimaryLeaving && !f.awaitCaughtUp(ctx, name, row.Primary) {
		sleep(ctx, failoverRetryDelay)
		return
	}
	f.logEvent(event.ChangeBegun, event.F("group", name), event.F("epoch", row.Epoch),
		event.F("primary", row.Primary), event.F("reason", reason),
		event.F("witnesses", evidence.Observers), event.F("silent", evidence.UnansweredObservers))
	record := f.newRecord(name, row, reason, evidence)
	wasHolder := f.isSettledHolder(coordinatorLease)
	claimed, ok := f.claim(ctx, name, row, coordinatorLease, reason)
	if !ok {
		return
	}
	chosen, ok := f.succeed(ctx, name, row, claimed, wasHolder, &record)
	if !ok {
		return
	}
	if !chosen.isPrimary {
		chosen, ok = f.promote(ctx, name, chosen)
	}
	if !ok {
		sleep(ctx, failoverRetryDelay)
		return
	}
	newRow := lease.GroupRow{
		Epoch: claimed.Epoch + 1, Phase: phaseWith(chosen.calls), Primary: chosen.database.ID, Term: chosen.status.Term,
		Coordinator: f.options.StartID, Reason: reason,
	}
	record.Primary, record.Term, record.Position = chosen.database.ID, chosen.status.Term,
		chosen.status.ReceivedPosition.String()
	record.PromotedAt = time.Now()
	rows := append(chosen.copies, replica.CallsRow(name, chosen.calls))
	if !chosen.isReturned {
		rows = append(rows, replica.HistoryRow(name, chosen.history.Add(succession.Promotion{
			Term: chosen.status.Term, Base: chosen.status.ReceivedPosition,
		})))
	}
	for ctx.Err() == nil && !f.recordNewPrimary(ctx, name, claimed, newRow, record, rows) {
		sleep(ctx, failoverPollInterval)
	}
	f.logEvent(event.ChangeEnded, event.F("group", name), event.F("epoch", newRow.Epoch),
		event.F("primary", chosen.database.ID), event.F("before", row.Primary), event.F("term", chosen.status.Term),
		event.F("received", chosen.status.ReceivedPosition.String()),
		event.F("took", clock.Since(startedAt).String()))
	f.awaitEpoch(ctx, name, newRow.Epoch)
}

// awaitEpoch waits until the view shows an epoch of a group's row, for
// rowVisibleTimeout at most: with an older view this instance would start the
// failover once more.
func (f *Fleet) awaitEpoch(ctx context.Context, name model.GroupID, epoch uint64) {
	deadline := clock.Now().Add(rowVisibleTimeout)
	for ctx.Err() == nil && clock.Now().Before(deadline) {
		if row, found := f.Leases.Row(name); found && row.Epoch >= epoch {
			return
		}
		sleep(ctx, failoverPollInterval/2)
	}
}

// awaitRevoked waits until no instance uses the old primary and no earlier
// coordinator acts any more. That is so once all views from before the claim
// have expired or, if this instance was the settled holder of the coordinator lease
// already, all members report that they have seen the claim.
func (f *Fleet) awaitRevoked(ctx context.Context, name model.GroupID, version uint64, wasHolder bool) {
	startedAt := clock.Now()
	for clock.Since(startedAt) < lease.Duration && ctx.Err() == nil {
		gossipReceived := f.peers.nextGossip()
		if wasHolder && f.isSeenByAll(version) {
			break
		}
		expiry := time.NewTimer(lease.Duration - clock.Since(startedAt))
		select {
		case <-gossipReceived:
		case <-expiry.C:
		case <-ctx.Done():
		}
		expiry.Stop()
	}
	f.logEvent(event.LeasesRevoked, event.F("group", name),
		event.F("waited", clock.Since(startedAt).String()))
}

// isSeenByAll reports whether all members have seen a version of the table of
// groups. The members must have been read at that version or later.
func (f *Fleet) isSeenByAll(version uint64) bool {
	if f.Leases.View().Version < version {
		return false
	}
	f.peers.mu.Lock()
	defer f.peers.mu.Unlock()
	if f.peers.membersVersion < version {
		return false
	}
	viewVersions, zoneMinVersions := f.peers.viewVersions(), map[model.ZoneID]uint64{}
	for _, p := range f.peers.known {
		zone := p.gossip.Zone
		if p.gossip.MinViewMembersHash == f.peers.membersHash(f.options, zone) {
			zoneMinVersions[zone] = max(zoneMinVersions[zone], p.gossip.MinViewVersion)
		}
	}
	for name, m := range f.peers.members {
		if viewVersions[name] < version && zoneMinVersions[m.Zone] < version {
			return false
		}
	}
	return true
}

// claim marks the group's row as changing and makes this instance the holder of
// the coordinator lease, in one transaction. It returns the row as written, and
// whether the write succeeded.
func (f *Fleet) claim(
	ctx context.Context, name model.GroupID, row lease.GroupRow,
	coordinatorLease lease.CoordinatorLease, reason string,
) (lease.GroupRow, bool) {
	claimed := lease.GroupRow{
		Epoch: row.Epoch + 1, Phase: lease.PhaseChanging, Primary: row.Primary, Term: row.Term,
		Coordinator: f.options.StartID, Reason: reason,
	}
	tx := store.Transaction{
		Preconditions: []store.Row{
			{Table: groupTable, Key: groupKey(name), Version: row.Version},
			{Table: groupTable, Key: coordinatorLeaseKey, Version: coordinatorLease.Version},
		},
		Upserts: []store.Row{{Table: groupTable, Key: groupKey(name), Value: f.encode(&claimed)}},
	}
	if row.Phase == lease.PhaseStable {
		// No promotion may take effect. While there is no record, that is not known.
		tx.Upserts = append(tx.Upserts, replica.CallsRow(name, promotion.Calls{}))
	}
	if coordinatorLease.Holder != f.options.StartID {
		ownLease := f.ownLease(coordinatorLease)
		tx.Upserts = append(tx.Upserts,
			store.Row{Table: groupTable, Key: coordinatorLeaseKey, Value: f.encode(&ownLease)})
	}
	version, err := f.write(ctx, tx)
	f.logRowWrite(name, claimed, err)
	f.requestRenewal()
	if err == nil {
		claimed.Version = version
		return claimed, true
	}
	// If the outcome of the claim is unknown and it was written, the next view
	// shows it as an unfinished failover.
	sleep(ctx, failoverRetryDelay)
	return claimed, false
}

// recordNewPrimary writes the row of the new primary and the record of the
// failover, in one transaction. It also reports true if another instance has
// continued the failover.
func (f *Fleet) recordNewPrimary(
	ctx context.Context, name model.GroupID, claimed, newRow lease.GroupRow,
	record engine.PromotionRecord, replicaRows []store.Row,
) bool {
	_, err := f.write(ctx, store.Transaction{
		Preconditions: []store.Row{{Table: groupTable, Key: groupKey(name), Version: claimed.Version}},
		Upserts: append([]store.Row{
			{Table: groupTable, Key: groupKey(name), Value: f.encode(&newRow)},
			f.recordRow(record, newRow.Epoch),
		}, replicaRows...),
	})
	f.logRowWrite(name, newRow, err)
	f.requestRenewal()
	return err == nil || store.OutcomeOf(err) == store.OutcomeConflict
}

// queryPrimary queries the status of the old primary while the leases expire.
// The channel receives the response, if there is one.
func (f *Fleet) queryPrimary(
	ctx context.Context, name model.GroupID, id model.DatabaseID,
) <-chan databaseStatus {
	statuses := make(chan databaseStatus, 1)
	for _, d := range f.databasesOf(name) {
		if d.ID != id {
			continue
		}
		go func() {
			if status, err := f.sendControl(ctx, d, statement.QueryStatus{}); err == nil {
				statuses <- databaseStatus{database: d, status: status}
			}
		}()
	}
	return statuses
}

// stepDown makes the old primary step down if it answers and is still primary.
// It returns how far the log of the old primary reaches, or zero if there is no
// answer within stepDownWait.
func (f *Fleet) stepDown(
	ctx context.Context, name model.GroupID, primaryStatus <-chan databaseStatus,
) model.Position {
	wait := time.NewTimer(stepDownWait)
	defer wait.Stop()
	select {
	case old := <-primaryStatus:
		if old.status.Role != model.RolePrimary {
			return old.status.ReceivedPosition
		}
		status, err := f.sendControl(ctx, old.database, statement.StepDown{Term: old.status.Term + 1})
		f.logEvent(event.PrimarySteppedDown, event.F("group", name),
			event.F("database", old.database.ID),
			event.F("received", status.ReceivedPosition.String()), event.F("outcome", outcome(err)))
		return status.ReceivedPosition
	case <-wait.C:
		return model.Position{}
	}
}

// successor is the database that becomes the new primary.
type successor struct {
	databaseStatus
	// isPrimary is set if the database need not be promoted: an unfinished failover has
	// done that already, or it is the old primary under another ID (isReturned).
	isPrimary, isReturned bool
	// attempt calls the promotion. calls are the promotions that may still take effect once
	// the database leads.
	attempt *promoter.Attempt
	calls   promotion.Calls
	// history holds the promotions of the group so far, copies the row with the record of
	// its databases if replication is synchronous.
	history succession.History
	copies  []store.Row
}

// succeed waits until no instance uses the old primary, and until no promotion that was
// called earlier is awaited. It returns the database to promote, or the one that such a
// promotion has made the primary, or false if there is none now. It adds to the record what
// the choice is based on.
func (f *Fleet) succeed(
	ctx context.Context, name model.GroupID, row, claimed lease.GroupRow, wasHolder bool, record *engine.PromotionRecord,
) (successor, bool) {
	reading, isSynchronous := f.readPromotions(ctx, name, claimed), f.isSynchronous(name)
	var primaryStatus <-chan databaseStatus
	if !isSynchronous {
		primaryStatus = f.queryPrimary(ctx, name, row.Primary)
	}
	f.awaitRevoked(ctx, name, claimed.Version, wasHolder)
	var oldPosition model.Position
	if !isSynchronous {
		oldPosition = f.stepDown(ctx, name, primaryStatus)
	}
	if !oldPosition.IsZero() {
		record.FencedDatabases = []engine.FencedDatabase{{Database: row.Primary, Position: oldPosition.String()}}
	}
	known, isRead := <-reading
	if !isRead {
		return successor{}, false
	}
	c := f.newChange(name, row, claimed, known)
	switch settled := f.settle(ctx, c).(type) {
	case promotion.Led:
		return f.promotedEarlier(ctx, c, settled)
	case promotion.Free:
		c.promotions.Calls = settled.Calls
	default:
		return successor{}, false
	}
	if isSynchronous {
		return f.chooseSynchronous(ctx, c, record)
	}
	return f.chooseSuccessor(ctx, &search{change: c, oldPosition: oldPosition}, record)
}

func (f *Fleet) logRowWrite(name model.GroupID, row lease.GroupRow, err error) {
	f.logEvent(event.GroupRowWritten,
		event.F("group", name), event.F("epoch", row.Epoch), event.F("phase", row.Phase.String()),
		event.F("primary", row.Primary), event.F("term", row.Term), event.F("reason", row.Reason),
		event.F("outcome", outcome(err)))
}
