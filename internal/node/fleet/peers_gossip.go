package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/clock"
	"github.com/eelgrassfold/eelgrassfold/internal/core/fresh"
	"github.com/eelgrassfold/eelgrassfold/internal/core/gossip"
	"github.com/eelgrassfold/eelgrassfold/internal/core/lease"
	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/core/succession"
)

// maxGroupGossipAge is the maximum age of the cached group gossip in an answer
// to a peer: a tenth of the time between two gossip messages.
const maxGroupGossipAge = gossipInterval / 10

// groupGossip caches the gossip about all groups for answers in quick
// succession.
type groupGossip struct {
	mu        sync.Mutex
	published gossip.Published
	// view is the version of the view whose groups are cached.
	view    uint64
	builtAt time.Time
	// isStale is set if the present state may differ from the cached one.
	isStale bool
}

// invalidate makes the next gossip message contain the present state.
func (c *groupGossip) invalidate() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isStale = true
}

// gossipPeriodically sends gossip to the linked peers until ctx ends.
func (f *Fleet) gossipPeriodically(ctx context.Context) {
	ticker := time.NewTicker(gossipInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f.broadcast()
		}
	}
}

// answerGossipRequest sends a peer the gossip that it has requested.
func (f *Fleet) answerGossipRequest(to model.InstanceID, request message.GossipStateRequest) {
	f.peers.mu.Lock()
	p := f.peers.getOrAdd(to)
	p.lastMessageAt = clock.Now()
	p.gossip.SenderClock = request.SenderClock
	f.peers.mu.Unlock()
	f.answerGossip(to)
}

// answerGossip sends a peer gossip that echoes its last message.
func (f *Fleet) answerGossip(to model.InstanceID) {
	f.peers.mu.Lock()
	p := f.peers.getOrAdd(to)
	lastReceived := receivedGossip{p.gossip, p.groups.Version()}
	list := f.peers.recentMembers()
	f.peers.mu.Unlock()
	state, groups := f.gossipWithoutGroups()
	f.sendGossip(to, state, groups, lastReceived, list)
}

// receivedGossip is the last gossip of a peer, and the version of its groups that is known.
type receivedGossip struct {
	message.GossipState
	groupsVersion uint64
}

// sendGossip completes the gossip for one peer, which has sent lastReceived,
// and sends it.
func (f *Fleet) sendGossip(
	to model.InstanceID, state message.GossipState, groups gossip.Published, lastReceived receivedGossip, list memberList,
) {
	state.Groups, state.GroupsSince = groups.Since(
		lastReceived.GroupsReceived, lastReceived.Zone == f.options.Zone, time.Unix(0, 0).Add(state.SenderClock))
	state.GroupsReceived = lastReceived.groupsVersion
	receiver, isListed := list.members[lastReceived.Instance]
	state.EchoedClock, state.MembersVersion = lastReceived.SenderClock, list.version
	state.ReceiverIsMember = isListed && !receiver.isRejected
	f.peers.links.HandleAction(message.SendPeer{To: to, Body: state})
}

// broadcast sends gossip to every linked peer. The last message of each peer is
// read before the gossip is built. The peer counts the ages in the gossip back
// from the time of the message that is echoed, so the ages must have been
// computed after that message arrived.
func (f *Fleet) broadcast() {
	f.groupGossip.invalidate()
	f.peers.mu.Lock()
	lastReceived := map[model.InstanceID]receivedGossip{}
	for id, p := range f.peers.known {
		if p.isLinked {
			lastReceived[id] = receivedGossip{p.gossip, p.groups.Version()}
		}
	}
	list := f.peers.recentMembers()
	f.peers.mu.Unlock()
	state, groups := f.gossipWithoutGroups()
	for id, received := range lastReceived {
		f.sendGossip(id, state, groups, received, list)
	}
}

// gossip returns the present state of this instance with all groups, without the other
// fields that depend on the receiver.
func (f *Fleet) gossip() message.GossipState {
	state, groups := f.gossipWithoutGroups()
	state.Groups, state.GroupsSince = groups.Since(0, false, time.Unix(0, 0).Add(state.SenderClock))
	return state
}

// gossipWithoutGroups returns the present state of this instance, without the fields that
// depend on the receiver, and its groups.
func (f *Fleet) gossipWithoutGroups() (message.GossipState, gossip.Published) {
	now := clock.Now()
	view := f.Leases.View()
	state := message.GossipState{
		Instance: f.options.InstanceName, Zone: f.options.Zone, PeerAddress: f.options.PeerAddress,
		SenderClock: sinceBoot(now), Leaving: f.leaving.Load(), StoreReachable: f.storeReachable.Load(),
		ConfigurationVersion: f.ConfigurationVersion(), DatabasesVersion: f.databasesVersion(),
		ConfigurationAge: now.Sub(f.configurationConfirmedAt()),
		DatabasesAge:     now.Sub(f.databasesConfirmedAt()),
		ViewVersion:      view.Version,
		ViewAge:          now.Sub(view.ReadStartedAt),
		CoordinatorLease: view.CoordinatorLease,
		HolderAlive:      f.isAvailable(view.CoordinatorLease.Holder),
	}
	state.MinViewVersion, state.MinViewMembersHash = f.minViewVersion(view.Version)
	f.peers.mu.Lock()
	state.ZoneSize, state.FleetSize = f.peers.sizes(f.options, func(p *peer, now time.Time) bool {
		return now.Sub(p.lastMessageAt) < shareRetention
	})
	f.peers.mu.Unlock()
	groups := f.cachedGroupGossip(view, now)
	state.GroupsVersion = groups.Version()
	return state, groups
}

// cachedGroupGossip returns the gossip about the groups of a view. Requests within
// maxGroupGossipAge get the same content; broadcast has it built again.
func (f *Fleet) cachedGroupGossip(view lease.View, now time.Time) gossip.Published {
	f.groupGossip.mu.Lock()
	defer f.groupGossip.mu.Unlock()
	cache := &f.groupGossip
	if cache.view != view.Version || now.Sub(cache.builtAt) >= maxGroupGossipAge || cache.isStale {
		cache.published = cache.published.Next(f.buildGroupGossip(view, now), now)
		cache.view, cache.builtAt, cache.isStale = view.Version, now, false
	}
	return cache.published
}

// buildGroupGossip returns the present gossip about all groups of a view.
func (f *Fleet) buildGroupGossip(view lease.View, now time.Time) []message.GroupGossip {
	groups := make([]message.GroupGossip, 0, len(view.Rows))
	for name, row := range view.Rows {
		// The coordinator and the reason only serve the logs of the instances
		// that read the row from the store.
		row.Coordinator, row.Reason = "", ""
		group := message.GroupGossip{
			Group: name, Row: row, UnansweredFor: f.Scheduler.FailureDuration(name),
		}
		group.Observers, group.UnansweredObservers = f.countObservers(name, row.Epoch,
			group.UnansweredFor)
		if sample, found := f.SamplesOf(name).Newest(); found {
			group.SampledPosition, group.SampleAge = sample.Position, now.Sub(sample.At)
		}
		groups = append(groups, group)
	}
	return groups
}

// countObservers counts, in this instance's availability zone, the instances
// that have observed whether a group's primary of an epoch answers, and those of them
// that it has not answered for succession.SilenceThreshold. ownFailure is the
// failure duration at this instance, negative if it is unknown. Peers whose
// view is older than a lease do not count, since such a view confirms nothing.
func (f *Fleet) countObservers(
	name model.GroupID, epoch uint64, ownFailure time.Duration,
) (observers, unanswered int) {
	count := func(failureDuration time.Duration) {
		if failureDuration >= 0 {
			observers++
		}
		if failureDuration >= succession.SilenceThreshold {
			unanswered++
		}
	}
	count(ownFailure)
	f.peers.mu.Lock()
	defer f.peers.mu.Unlock()
	now := clock.Now()
	for _, p := range f.peers.known {
		if p.gossip.Zone != f.options.Zone || !p.isAlive(now) || p.gossip.ViewAge >= lease.Duration {
			continue
		}
		if groupGossip, found := p.groupGossip(name, epoch); found {
			count(groupGossip.UnansweredFor)
		}
	}
	return observers, unanswered
}

// minViewVersion returns the oldest view version among this instance, which has
// the given one, and the members of its availability zone, and a hash of these
// members. The version is zero if one of them has sent no gossip.
func (f *Fleet) minViewVersion(version uint64) (oldest, hash uint64) {
	f.peers.mu.Lock()
	defer f.peers.mu.Unlock()
	viewVersions := f.peers.viewVersions()
	oldest = version
	for name, m := range f.peers.members {
		if m.Zone == f.options.Zone {
			oldest = min(oldest, viewVersions[name])
		}
	}
	return oldest, f.peers.membersHash(f.options, f.options.Zone)
}

// membersHash returns a hash of the names of the members of an availability
// zone. A peer's minimum view version covers only the members in the peer's own
// list, so it is used only if both hashes are equal. The peers must be locked.
func (p *peers) membersHash(self Options, zone model.ZoneID) uint64 {
	hash := uint64(0)
	if self.Zone == zone {
		hash = model.RendezvousWeight(self.InstanceName, zone)
	}
	for name, m := range p.members {
		if m.Zone == zone {
			hash += model.RendezvousWeight(name, zone)
		}
	}
	return hash
}

// viewVersions returns the view version that each instance, by name, has last
// reported. A version that an earlier start of an instance has reported does
// not count once the present start has sent gossip, since the present one may
// not have seen that view. The peers must be locked.
func (p *peers) viewVersions() map[model.InstanceID]uint64 {
	viewVersions, receivedAt := map[model.InstanceID]uint64{}, map[model.InstanceID]time.Time{}
	for _, known := range p.known {
		if name := known.gossip.Instance; known.gossipReceivedAt.After(receivedAt[name]) {
			viewVersions[name], receivedAt[name] = known.gossip.ViewVersion, known.gossipReceivedAt
		}
	}
	return viewVersions
}

// sinceBoot returns a time of package clock as the duration since the clock's
// zero, a form that can be sent.
func sinceBoot(t time.Time) time.Duration { return t.Sub(time.Unix(0, 0)) }

// nextGossip returns a channel that is closed when gossip is next received.
func (p *peers) nextGossip() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.gossipReceived
}

// sendInitialGossip sends a peer the first gossip on a link, which echoes no clock. A peer
// from which no message has arrived yet is sent no groups: it uses none without an echo, and
// gets all with the answer to its own first message.
func (f *Fleet) sendInitialGossip(id model.InstanceID, isNew bool) {
	state := f.gossip()
	if isNew {
		state.Groups, state.GroupsVersion = nil, 0
	}
	f.peers.links.HandleAction(message.SendPeer{To: id, Body: state})
}

// handlePeerMessage handles a message of a peer.
func (f *Fleet) handlePeerMessage(from model.InstanceID, body message.PeerMessage) {
	switch body := body.(type) {
	case message.GossipState:
		f.handleGossip(from, body)
	case message.GossipStateRequest:
		f.answerGossipRequest(from, body)
	case message.PrimarySurveyRequest:
		f.answerSurvey(from, body)
	case message.PrimarySurveyResponse:
		f.handleSurveyResponse(body)
	case message.ManifestRequest:
		if version, raw := f.rawConfiguration(); version > body.NewerThan {
			f.peers.links.HandleAction(message.SendPeer{
				To:   from,
				Body: message.ManifestOffer{Number: version, Body: raw},
			})
		}
	case message.ManifestOffer:
		f.adoptConfiguration(body.Body, string(from))
	case message.DatabasesRequest:
		if offer := f.databasesOffer(); offer.Version > body.NewerThan {
			f.peers.links.HandleAction(message.SendPeer{To: from, Body: offer})
		}
	case message.DatabasesOffer:
		f.applyDatabasesOffer(body, string(from))
	case message.TokenRequest:
		f.answerTokenRequest(from, body)
	case message.TokenGrant:
		f.limits.handleGrant(body)
	}
}

// handleGossip records the gossip of a peer, updates the view from it, and
// requests what the peer has in a newer version.
func (f *Fleet) handleGossip(from model.InstanceID, state message.GossipState) {
	f.peers.mu.Lock()
	p := f.peers.getOrAdd(from)
	isNew := p.lastMessageAt.IsZero()
	hasGroups := p.recordGossip(state, clock.Now())
	rows := p.groups.Rows()
	f.peers.recordRestoredLink(state.PeerAddress)
	close(f.peers.gossipReceived)
	f.peers.gossipReceived = make(chan struct{})
	f.peers.mu.Unlock()
	if state.EchoedClock > 0 {
		echoedAt := time.Unix(0, 0).Add(state.EchoedClock)
		if hasGroups {
			f.applyPeerView(from, echoedAt, state, rows)
		}
		f.applyConfirmation(echoedAt, state)
	}
	f.requestNewer(from, state)
	if f.hasOtherMembers(state) {
		f.requestRenewal()
	}
	if isNew {
		f.answerGossip(from)
		f.publishIfResized()
	}
}

// applyPeerView updates the view of the table of groups and the position
// samples from the gossip of a peer. The peer computed the ages in the gossip
// after this instance had sent the message whose clock is echoed; the ages
// therefore count back from echoedAt. rows are those of all groups of the peer.
func (f *Fleet) applyPeerView(
	from model.InstanceID, echoedAt time.Time, state message.GossipState, rows map[model.GroupID]lease.GroupRow,
) {
	if state.ViewVersion > 0 {
		view := lease.View{
			Version: state.ViewVersion, ReadStartedAt: echoedAt.Add(-state.ViewAge),
			CoordinatorLease: state.CoordinatorLease,
			IsMember:         f.isMemberBy(state),
			Rows:             rows,
		}
		f.updateView(view, string(from))
	}
	for _, group := range state.Groups {
		if !group.SampledPosition.IsZero() {
			f.SamplesOf(group.Group).AddSpaced(fresh.PositionSample{
				At: echoedAt.Add(-group.SampleAge), Position: group.SampledPosition,
			})
		}
	}
}
