package fleet

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/clock"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/store"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

// register makes this instance a member, and again whenever the store has
// forgotten it.
func (f *Fleet) register(ctx context.Context) {
	pause := newPause()
	for ctx.Err() == nil {
		if f.leaving.Load() || f.isMember() {
			sleep(ctx, tickInterval)
			continue
		}
		_, err := f.write(ctx, store.Transaction{Upserts: []store.Row{{
			Table: groupTable, Key: memberPrefix + string(f.options.InstanceName), Value: f.encode(&member{Address: f.options.PeerAddress, Zone: f.options.Zone}),
		}}})
		if err == nil {
			pause.Reset()
			f.wantRenewal()
			sleep(ctx, writeTimeout)
			continue
		}
		f.note(event.DependencyLost, event.F("dependency", "store/member"), event.F("error", err.Error()))
		sleep(ctx, pause.NextBackOff())
	}
}

// forgetMembers deletes the rows of members of the own availability zone that were
// not heard for long. Members that were never heard count from this instance's
// start.
func (f *Fleet) forgetMembers(ctx context.Context) {
	f.peers.mu.Lock()
	now := clock.Now()
	heard := map[model.InstanceID]time.Time{}
	for _, p := range f.peers.known {
		if p.heard.After(heard[p.bulletin.Instance]) {
			heard[p.bulletin.Instance] = p.heard
		}
	}
	var gone []store.Row
	for name, m := range f.peers.members {
		if m.Zone == f.options.Zone && now.Sub(f.started) > forgottenAfter && now.Sub(heard[name]) > forgottenAfter {
			gone = append(gone, store.Row{Table: groupTable, Key: memberPrefix + string(name)})
		}
	}
	f.peers.mu.Unlock()
	_, isFirst := f.firstOf(func(p *peer) bool { return p.bulletin.Zone == f.options.Zone })
	if len(gone) == 0 || !isFirst {
		return
	}
	if _, err := f.write(ctx, store.Transaction{Deletes: gone}); err != nil {
		f.note(event.DependencyLost, event.F("dependency", "store/member"), event.F("error", err.Error()))
	}
	f.wantRenewal()
}

// memberNames returns the names of the other members.
func (f *Fleet) memberNames() []model.InstanceID {
	f.peers.mu.Lock()
	defer f.peers.mu.Unlock()
	return slices.Collect(maps.Keys(f.peers.members))
}

// isMember reports whether the newest view lists this instance.
func (f *Fleet) isMember() bool { return f.Leases.View().IsMember }

// isListedLately reports whether the members were read lately and this instance
// was among them. A peer whose list is older than that may not know it yet.
func (f *Fleet) isListedLately() bool {
	f.peers.mu.Lock()
	defer f.peers.mu.Unlock()
	return f.peers.isListed && clock.Since(f.peers.membersRead) < listedFor
}

// takeMembers takes in the members as of a version of the table of groups.
func (f *Fleet) takeMembers(members map[model.InstanceID]member, version uint64) {
	_, isListed := members[f.options.InstanceName]
	delete(members, f.options.InstanceName)
	f.peers.mu.Lock()
	defer f.peers.mu.Unlock()
	if version > f.peers.membersVersion {
		f.peers.members, f.peers.membersVersion = members, version
	}
	if version >= f.peers.membersVersion {
		f.peers.membersRead, f.peers.isListed = clock.Now(), isListed
	}
}
