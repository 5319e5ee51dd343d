package fleet

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/clock"
	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
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
		_, err := f.write(ctx, store.Change{Set: []store.Row{{
			Table: groupTable, Key: memberPrefix + string(f.options.Name), Value: f.encode(f.options.Peer),
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

// forgetMembers deletes the rows of members that nobody can have heard for long.
// Members that were never heard count from this instance's start.
func (f *Fleet) forgetMembers(ctx context.Context) {
	f.peers.mu.Lock()
	now := clock.Now()
	heard := map[model.InstanceID]time.Time{}
	for _, p := range f.peers.known {
		if p.heard.After(heard[p.bulletin.Name]) {
			heard[p.bulletin.Name] = p.heard
		}
	}
	var gone []store.Row
	for name := range f.peers.members {
		if now.Sub(f.started) > forgottenAfter && now.Sub(heard[name]) > forgottenAfter {
			gone = append(gone, store.Row{Table: groupTable, Key: memberPrefix + string(name)})
		}
	}
	f.peers.mu.Unlock()
	if len(gone) == 0 || !f.isFirst() {
		return
	}
	if _, err := f.write(ctx, store.Change{Delete: gone}); err != nil {
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
func (f *Fleet) isMember() bool { return f.Leases.View().Member }

// takeMembers takes in the members as of a version of the table of groups.
func (f *Fleet) takeMembers(members map[model.InstanceID]netip.AddrPort, version uint64) {
	delete(members, f.options.Name)
	f.peers.mu.Lock()
	changed := version > f.peers.membersVersion && !maps.Equal(members, f.peers.members)
	if version > f.peers.membersVersion {
		f.peers.members, f.peers.membersVersion = members, version
	}
	if version >= f.peers.membersVersion {
		f.peers.membersRead = clock.Now()
	}
	f.peers.mu.Unlock()
	if changed {
		f.setLinks()
	}
}

// setLinks tells the peer edge whom to keep a link to: all members, and the
// seeds.
func (f *Fleet) setLinks() {
	f.peers.mu.Lock()
	defer f.peers.mu.Unlock()
	var targets []message.PeerTarget
	add := func(address netip.AddrPort) {
		target := message.PeerTarget{Address: address}
		if address != f.options.Peer && !slices.Contains(targets, target) {
			targets = append(targets, target)
		}
	}
	for _, address := range f.peers.members {
		add(address)
	}
	for _, seed := range f.options.Seeds {
		add(seed)
	}
	f.peers.links.Act(message.SetPeers{Peers: targets})
}
