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
	groupPrefix  = "group/"
	memberPrefix = "member/"
	dutyKey      = "duty/promotion"
	// renewAge is the age of the view at which the first instance reads the table
	// again: a third of a lease. The others ask for its view, so that one call
	// serves all: the first of each availability zone at headAskAge, the rest ask
	// that one at askAge, each askPause. They read the table themselves at
	// renewSpare, which leaves time for one more try.
	renewAge   = 300 * time.Millisecond
	headAskAge = 350 * time.Millisecond
	askAge     = 500 * time.Millisecond
	askPause   = 100 * time.Millisecond
	renewSpare = 680 * time.Millisecond
	// renewTimeout bounds a read of the table.
	renewTimeout = 600 * time.Millisecond
	// renewPause is the least time between two reads.
	renewPause = 50 * time.Millisecond
)

// renewal is the reading of the table of groups.
type renewal struct {
	// wanted gets a value when the table shall be read at once.
	wanted chan struct{}
}

// wantRenewal asks for a read of the table of groups at once.
func (f *Fleet) wantRenewal() {
	select {
	case f.renewal.wanted <- struct{}{}:
	default:
	}
}

// renew reads the table of groups often enough for the leases to go on.
func (f *Fleet) renew(ctx context.Context) {
	pause := newPause()
	var lost time.Time
	for ctx.Err() == nil {
		err := f.readGroups(ctx)
		switch {
		case err == nil:
			if !lost.IsZero() {
				f.note(event.DependencyBack, event.F("dependency", "store/"+groupTable), event.F("away", clock.Since(lost).String()))
				lost = time.Time{}
			}
			pause.Reset()
			f.awaitRenewal(ctx)
		case ctx.Err() != nil:
			return
		default:
			if lost.IsZero() {
				lost = clock.Now()
				f.note(event.DependencyLost, event.F("dependency", "store/"+groupTable), event.F("error", err.Error()))
			}
			sleep(ctx, f.pauseOf(pause))
		}
	}
}

// awaitRenewal waits until the table shall be read again.
func (f *Fleet) awaitRenewal(ctx context.Context) {
	sleep(ctx, renewPause)
	for ctx.Err() == nil {
		left := min(membersAge-f.membersAge(), f.untilRenewal())
		if left <= 0 {
			return
		}
		timer := time.NewTimer(left)
		select {
		case <-ctx.Done():
		case <-f.renewal.wanted:
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
	due := askAge
	if first, _ := f.first(); upstream == first {
		due = headAskAge
	}
	if age < due {
		return due - age
	}
	f.askForView(upstream)
	return min(askPause, renewSpare-age)
}

// askForView asks a peer for its view, unless one was asked a moment ago.
func (f *Fleet) askForView(peer model.InstanceID) {
	now := clock.Now()
	f.peers.mu.Lock()
	isDue := now.Sub(f.peers.asked) >= askPause
	if isDue {
		f.peers.asked = now
	}
	f.peers.mu.Unlock()
	if isDue {
		f.peers.links.HandleAction(message.SendPeer{To: peer, Body: message.GossipStateRequest{SenderClock: sinceBoot(now)}})
	}
}

// wantView asks for a newer view at once: the store, where this instance asks it
// for all, or the upstream.
func (f *Fleet) wantView() {
	if f.isFirst() {
		f.wantRenewal()
		return
	}
	f.askForView(f.upstream())
}

// membersAge returns the age of what is known of the members.
func (f *Fleet) membersAge() time.Duration {
	f.peers.mu.Lock()
	defer f.peers.mu.Unlock()
	return clock.Since(f.peers.membersRead)
}

// readGroups reads the table of groups once.
func (f *Fleet) readGroups(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	began := clock.Now()
	rows, err := f.options.Store.Read(ctx, groupTable)
	f.noteStored(err)
	if err != nil {
		return err
	}
	view := lease.View{Version: rows.Version, ReadStartedAt: began, Rows: map[model.GroupID]lease.GroupRow{}}
	members := map[model.InstanceID]member{}
	for _, row := range rows.Rows {
		f.takeRow(row, &view, members)
	}
	_, view.IsMember = members[f.options.InstanceName]
	f.takeMembers(members, view.Version)
	f.learnView(view, "store")
	return nil
}

// takeRow takes one row of the table of groups into a view or among the members.
func (f *Fleet) takeRow(row store.Row, view *lease.View, members map[model.InstanceID]member) {
	if name, is := strings.CutPrefix(row.Key, memberPrefix); is {
		var decoded member
		if f.decode(row, &decoded) {
			members[model.InstanceID(name)] = decoded
		}
		return
	}
	if name, is := strings.CutPrefix(row.Key, groupPrefix); is {
		var decoded lease.GroupRow
		if f.decode(row, &decoded) {
			decoded.Version = row.Version
			view.Rows[model.GroupID(name)] = decoded
		}
		return
	}
	if row.Key == dutyKey && f.decode(row, &view.CoordinatorLease) {
		view.CoordinatorLease.Version = row.Version
	}
}

// groupKey returns the key of a group's row.
func groupKey(name model.GroupID) string { return groupPrefix + string(name) }

// decode reads a row's value and reports whether it could.
func (f *Fleet) decode(row store.Row, into any) bool {
	err := msgpack.Unmarshal(row.Value, into)
	if err != nil {
		f.note(event.ContentRejected, event.F("table", row.Table), event.F("key", row.Key), event.F("error", err.Error()))
	}
	return err == nil
}

// noteStored notes whether the store has answered a call.
func (f *Fleet) noteStored(err error) {
	outcome := store.OutcomeOf(err)
	f.stored.Store(err == nil || outcome == store.OutcomeConflict || outcome == store.OutcomeCompacted)
}

// learnView takes in a view of the table of groups.
func (f *Fleet) learnView(view lease.View, from string) {
	before := f.Leases.View()
	if !f.Leases.Update(view) {
		return
	}
	changed := false
	for name, row := range view.Rows {
		if before.Rows[name].Epoch == row.Epoch {
			continue
		}
		changed = true
		f.note(event.GroupRowSeen,
			event.F("group", name), event.F("epoch", row.Epoch), event.F("phase", row.Phase.String()),
			event.F("primary", row.Primary), event.F("term", row.Term), event.F("steward", row.Coordinator),
			event.F("reason", row.Reason), event.F("source", from))
	}
	if changed {
		f.Scheduler.Reschedule()
		f.broadcast()
	}
}

// createRows writes the first row of each group that has none: the database that
// says so itself is the primary, since nobody has ever promoted another.
func (f *Fleet) createRows(ctx context.Context) {
	view := f.Leases.View()
	if view.Rows == nil || !f.isFirst() {
		return
	}
	for _, group := range f.groupsWithout(view) {
		row := lease.GroupRow{
			Epoch: 1, Phase: lease.PhaseStable, Primary: group.primary, Coordinator: f.options.StartID, Reason: "first row",
		}
		change := store.Transaction{
			Preconditions: []store.Row{{Table: groupTable, Key: groupKey(group.name)}},
			Upserts: []store.Row{
				{Table: groupTable, Key: groupKey(group.name), Value: f.encode(&row)},
				f.recordRow(f.firstRecord(group.name, row), row.Epoch),
			},
		}
		if duty := view.CoordinatorLease; duty.Holder == "" {
			mine := lease.CoordinatorLease{Holder: f.options.StartID, HolderName: f.options.InstanceName, FencingToken: 1}
			change.Preconditions = append(change.Preconditions, store.Row{Table: groupTable, Key: dutyKey})
			change.Upserts = append(change.Upserts, store.Row{Table: groupTable, Key: dutyKey, Value: f.encode(&mine)})
			view.CoordinatorLease = mine
		}
		_, err := f.write(ctx, change)
		f.noteRow(group.name, row, err)
		f.wantRenewal()
	}
}

// rowless is a group without a row, with the database that says it is primary.
type rowless struct {
	name    model.GroupID
	primary model.DatabaseID
}

// groupsWithout returns the groups without a row that have just one primary.
func (f *Fleet) groupsWithout(view lease.View) []rowless {
	d := &f.directory
	d.mu.Lock()
	defer d.mu.Unlock()
	var missing []rowless
	for name := range d.configuration.Groups {
		if _, found := view.Rows[name]; found {
			continue
		}
		var claiming []model.DatabaseID
		for id, known := range d.entries {
			if known.Group == name && known.ClaimsPrimary && known.lapsed.IsZero() {
				claiming = append(claiming, id)
			}
		}
		if len(claiming) == 1 {
			missing = append(missing, rowless{name: name, primary: claiming[0]})
		}
	}
	return missing
}
