// Package gossip decides what an instance tells each peer about the groups, so that a
// message grows with what has changed and not with the number of groups.
//
// # What flows in and out
//
// The sender keeps a Published: the present gossip about all groups, and the version in
// which each last changed. Since selects what a peer lacks that has acknowledged a version.
// The receiver keeps a Received for each peer, which Apply completes by the changes. It
// acknowledges the version of Received. Changes that it can't apply, since it lacks what
// they are based on, leave it empty, with version zero: the sender then sends all groups.
//
// # Load
//
// An instance sends gossip to each linked peer every half second, and answers about two
// requests a second of each. The head of an availability zone is linked to all of its
// members: with all groups in each message, its traffic grows with the product of
// members and groups.
//
// # Usage
//
//	published = published.Next(groups, now)
//	state.GroupsVersion = published.Version()
//	state.Groups, state.GroupsSince = published.Since(acknowledged, isSameZone, now)
//
//	if received.Apply(state) {
//		rows := received.Rows()
//	}
package gossip

import (
	"maps"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/lease"
	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// Published is the gossip about all groups. It does not change; Next returns the one that
// follows it. The zero value is empty and has version zero.
type Published struct {
	version uint64
	// removedIn is the last version in which a group was missing that the version
	// before had. Removals can't be expressed as changes.
	removedIn uint64
	groups    map[model.GroupID]publishedGroup
}

// publishedGroup is the gossip about one group. Its SampleAge counts to no certain time;
// sampledAt is used instead.
type publishedGroup struct {
	message.GroupGossip
	sampledAt time.Time
	// changedIn is the version in which anything but the counts of observers last
	// changed, countedIn the version in which these did.
	changedIn, countedIn uint64
}

// Version returns the version, which grows with each Next.
func (p Published) Version() uint64 { return p.version }

// Next returns the gossip of the next version. The ages in groups count to now.
func (p Published) Next(groups []message.GroupGossip, now time.Time) Published {
	next := Published{
		version: p.version + 1, removedIn: p.removedIn,
		groups: make(map[model.GroupID]publishedGroup, len(groups)),
	}
	kept := 0
	for _, group := range groups {
		entry := publishedGroup{
			GroupGossip: group, sampledAt: now.Add(-group.SampleAge),
			changedIn: next.version, countedIn: next.version,
		}
		if known, found := p.groups[group.Group]; found {
			kept++
			if !entry.isChanged(known) {
				entry.changedIn = known.changedIn
			}
			if entry.Observers == known.Observers && entry.UnansweredObservers == known.UnansweredObservers {
				entry.countedIn = known.countedIn
			}
		}
		next.groups[group.Group] = entry
	}
	if kept < len(p.groups) {
		next.removedIn = next.version
	}
	return next
}

// isChanged reports whether anything but the counts of observers differs from known.
func (g publishedGroup) isChanged(known publishedGroup) bool {
	return g.Row != known.Row || g.UnansweredFor != known.UnansweredFor ||
		g.SampledPosition != known.SampledPosition || !g.SampledPosition.IsZero() && !g.sampledAt.Equal(known.sampledAt)
}

// Since returns the groups that have changed after a version that a peer has
// acknowledged, and that version; or all groups and zero, if it has acknowledged none or
// groups were removed since. A peer of the same availability zone does not use the
// counts of observers, and is not told of changes to these alone. The ages count to now.
func (p Published) Since(acknowledged uint64, isSameZone bool, now time.Time) (groups []message.GroupGossip, since uint64) {
	if acknowledged < p.removedIn || acknowledged > p.version {
		acknowledged = 0
	}
	for _, entry := range p.groups {
		if entry.changedIn <= acknowledged && (isSameZone || entry.countedIn <= acknowledged) {
			continue
		}
		group := entry.GroupGossip
		if !group.SampledPosition.IsZero() {
			group.SampleAge = now.Sub(entry.sampledAt)
		}
		groups = append(groups, group)
	}
	return groups, acknowledged
}

// Received is what a peer has told about all groups. The zero value is empty.
type Received struct {
	version uint64
	groups  map[model.GroupID]message.GroupGossip
	// rows holds the rows of groups. It is replaced, never changed.
	rows map[model.GroupID]lease.GroupRow
}

// Version returns the version to acknowledge; zero if the groups are not known.
func (r *Received) Version() uint64 { return r.version }

// Group returns the gossip about a group.
func (r *Received) Group(name model.GroupID) (message.GroupGossip, bool) {
	group, found := r.groups[name]
	return group, found
}

// Rows returns the rows of all groups. They must not be modified.
func (r *Received) Rows() map[model.GroupID]lease.GroupRow { return r.rows }

// Apply adds the groups of a message of the peer, and reports whether all groups are known
// as they were when it was sent. They are not if the changes are based on a version that
// was not received, or are older than what was.
func (r *Received) Apply(state message.GossipState) bool {
	switch {
	case state.GroupsSince == 0:
		*r = Received{
			groups: make(map[model.GroupID]message.GroupGossip, len(state.Groups)),
			rows:   make(map[model.GroupID]lease.GroupRow, len(state.Groups)),
		}
	case state.GroupsSince > r.version || state.GroupsVersion < r.version:
		*r = Received{}
		return false
	}
	r.version = state.GroupsVersion
	isCopied := state.GroupsSince == 0
	for _, group := range state.Groups {
		r.groups[group.Group] = group
		if r.rows[group.Group] == group.Row && !isCopied {
			continue
		}
		if !isCopied {
			r.rows, isCopied = maps.Clone(r.rows), true
		}
		r.rows[group.Group] = group.Row
	}
	return true
}
