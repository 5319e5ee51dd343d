package fleet

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/clock"
	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/store"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

// keepRegistered adds this instance to the members, and again whenever the
// store no longer lists it, until ctx ends.
func (f *Fleet) keepRegistered(ctx context.Context) {
	pause := newBackoff()
	for ctx.Err() == nil {
		if f.leaving.Load() || f.isMember() {
			sleep(ctx, memberCheckInterval)
			continue
		}
		_, err := f.write(ctx, store.Transaction{Upserts: []store.Row{{
			Table: groupTable, Key: memberPrefix + string(f.options.InstanceName),
			Value: f.encode(&member{Address: f.options.PeerAddress, Zone: f.options.Zone}),
		}}})
		if err == nil {
			pause.Reset()
			f.requestRenewal()
			sleep(ctx, writeTimeout)
			continue
		}
		f.logEvent(event.DependencyLost, event.F("dependency", "store/member"),
			event.F("error", err.Error()))
		sleep(ctx, pause.NextBackOff())
	}
}

// deleteExpiredMembers deletes the rows of members of the own availability zone
// without a message for memberExpiry, if this instance is the first of its
// zone. For members that have never sent a message, the time counts from this
// instance's start.
func (f *Fleet) deleteExpiredMembers(ctx context.Context) {
	f.peers.mu.Lock()
	now := clock.Now()
	if now.Sub(f.startedAt) <= memberExpiry {
		f.peers.mu.Unlock()
		return
	}
	lastMessageAt := map[model.InstanceID]time.Time{}
	for _, p := range f.peers.known {
		if p.lastMessageAt.After(lastMessageAt[p.gossip.Instance]) {
			lastMessageAt[p.gossip.Instance] = p.lastMessageAt
		}
	}
	var expired []store.Row
	for name, m := range f.peers.members {
		if m.Zone == f.options.Zone && now.Sub(lastMessageAt[name]) > memberExpiry {
			expired = append(expired, store.Row{Table: groupTable, Key: memberPrefix + string(name)})
		}
	}
	f.peers.mu.Unlock()
	_, isFirst := f.firstOf(func(p *peer) bool { return p.gossip.Zone == f.options.Zone })
	if len(expired) == 0 || !isFirst {
		return
	}
	if _, err := f.write(ctx, store.Transaction{Deletes: expired}); err != nil {
		f.logEvent(event.DependencyLost, event.F("dependency", "store/member"),
			event.F("error", err.Error()))
	}
	f.requestRenewal()
}

// memberNames returns the names of the other members.
func (f *Fleet) memberNames() []model.InstanceID {
	f.peers.mu.Lock()
	defer f.peers.mu.Unlock()
	return slices.Collect(maps.Keys(f.peers.members))
}

// knownMembers returns the other members. The map is replaced, never changed.
func (f *Fleet) knownMembers() map[model.InstanceID]member {
	f.peers.mu.Lock()
	defer f.peers.mu.Unlock()
	return f.peers.members
}

// membersByZone returns the number of members in each availability zone, with this
// instance.
func (f *Fleet) membersByZone() map[model.ZoneID]int {
	f.peers.mu.Lock()
	defer f.peers.mu.Unlock()
	counts := map[model.ZoneID]int{f.options.Zone: 1}
	for _, m := range f.peers.members {
		counts[m.Zone]++
	}
	return counts
}

// membersVersion returns the version of the members (see peers.membersVersion).
func (f *Fleet) membersVersion() uint64 {
	f.peers.mu.Lock()
	defer f.peers.mu.Unlock()
	return f.peers.membersVersion
}

// isMember reports whether the newest view lists this instance.
func (f *Fleet) isMember() bool { return f.Leases.View().IsMember }

// memberList is the members that an instance has read, and the version of the table at
// which it did; both are zero if that was too long ago.
type memberList struct {
	members map[model.InstanceID]member
	version uint64
}

// recentMembers returns the other members if they were read less than maxMembersAge
// ago. The peers must be locked.
func (p *peers) recentMembers() memberList {
	if clock.Since(p.membersReadAt) >= maxMembersAge {
		return memberList{}
	}
	return memberList{members: p.members, version: p.membersVersion}
}

// hasOtherMembers reports whether a peer in the same availability zone has read a newer
// version of the members, which differ there from those that this instance has read
// changedMembersRefreshAge ago or longer.
func (f *Fleet) hasOtherMembers(state message.GossipState) bool {
	f.peers.mu.Lock()
	defer f.peers.mu.Unlock()
	return state.Zone == f.options.Zone && state.MembersVersion > f.peers.membersVersion &&
		clock.Since(f.peers.membersReadAt) >= changedMembersRefreshAge &&
		state.MinViewMembersHash != f.peers.membersHash(f.options, f.options.Zone)
}

// isMemberBy reports whether this instance is a member by the newer of two lists: the
// one that it has read itself, and the one of the peer that has sent state. The older
// one may not contain this instance yet, or show its row as it was before another
// writer replaced it.
func (f *Fleet) isMemberBy(state message.GossipState) bool {
	f.peers.mu.Lock()
	defer f.peers.mu.Unlock()
	if own := f.peers.recentMembers(); own.version > 0 && own.version >= state.MembersVersion {
		return f.peers.isListed
	}
	return state.ReceiverIsMember
}

// updateMembers replaces the members by those read at a version of the table of
// groups, unless members of a newer version have been read.
func (f *Fleet) updateMembers(members map[model.InstanceID]member, version uint64) {
	_, isListed := members[f.options.InstanceName]
	delete(members, f.options.InstanceName)
	f.peers.mu.Lock()
	defer f.peers.mu.Unlock()
	if f.peers.membersReadAt.IsZero() && !isListed {
		inZone := 0
		for _, m := range members {
			if m.Zone == f.options.Zone {
				inZone++
			}
		}
		f.peers.hasJoinedHeads = inZone >= headsPerZone
	}
	if version > f.peers.membersVersion {
		f.peers.members, f.peers.membersVersion = members, version
	}
	if version >= f.peers.membersVersion {
		f.peers.membersReadAt, f.peers.isListed = clock.Now(), isListed
	}
}
