package fleet

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/clock"
	"github.com/eelgrassfold/eelgrassfold/internal/core/fresh"
	"github.com/eelgrassfold/eelgrassfold/internal/core/lease"
	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/core/succession"
)

// maxGroupGossipAge is how old the notes of groups in an answer to a peer may be: a tenth of
// the time between two bulletins.
const maxGroupGossipAge = gossipInterval / 10

// groupGossip keeps the groupGossip of all groups for answers that follow each other closely.
type groupGossip struct {
	mu          sync.Mutex
	groupGossip []message.GroupGossip
	view        uint64
	builtAt     time.Time
}

// invalidate lets the next bulletin tell what is known then.
func (c *groupGossip) invalidate() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.groupGossip = nil
}

// gossipPeriodically sends bulletins until ctx ends.
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

// answerGossipRequest sends the bulletin that a peer has asked for.
func (f *Fleet) answerGossipRequest(to model.InstanceID, request message.GossipStateRequest) {
	f.peers.mu.Lock()
	p := f.peers.getOrAdd(to)
	p.lastMessageAt = clock.Now()
	p.gossip.SenderClock = request.SenderClock
	lastReceived := p.gossip
	members, areMembersRecent := f.peers.members, clock.Since(f.peers.membersReadAt) < maxMembersAge
	f.peers.mu.Unlock()
	f.sendGossip(to, f.gossip(), lastReceived, members, areMembersRecent)
}

// sendGossip addresses a bulletin to one peer.
func (f *Fleet) sendGossip(
	to model.InstanceID, state, lastReceived message.GossipState, members map[model.InstanceID]member, areMembersRecent bool,
) {
	_, isListed := members[lastReceived.Instance]
	state.EchoedClock, state.ReceiverIsMember = lastReceived.SenderClock, isListed && areMembersRecent
	f.peers.links.HandleAction(message.SendPeer{To: to, Body: state})
}

// broadcast sends a bulletin to every linked peer. What was heard of each is
// read first: the bulletin's ages must not be older than that.
func (f *Fleet) broadcast() {
	f.groupGossip.invalidate()
	f.peers.mu.Lock()
	lastReceived := map[model.InstanceID]message.GossipState{}
	for id, p := range f.peers.known {
		if p.isLinked {
			lastReceived[id] = p.gossip
		}
	}
	members, areMembersRecent := f.peers.members, clock.Since(f.peers.membersReadAt) < maxMembersAge
	f.peers.mu.Unlock()
	gossip := f.gossip()
	for id, received := range lastReceived {
		f.sendGossip(id, gossip, received, members, areMembersRecent)
	}
}

// gossip tells what this instance knows now.
func (f *Fleet) gossip() message.GossipState {
	now := clock.Now()
	view := f.Leases.View()
	state := message.GossipState{
		Instance: f.options.InstanceName, Zone: f.options.Zone, PeerAddress: f.options.PeerAddress,
		SenderClock: sinceBoot(now), Leaving: f.leaving.Load(), StoreReachable: f.storeReachable.Load(),
		ConfigurationVersion: f.ConfigurationVersion(), DatabasesVersion: f.databasesVersion(),
		ConfigurationAge: now.Sub(f.configurationConfirmedAt()), DatabasesAge: now.Sub(f.databasesConfirmedAt()),
		ViewVersion: view.Version, ViewAge: now.Sub(view.ReadStartedAt), CoordinatorLease: view.CoordinatorLease, HolderAlive: f.isAvailable(view.CoordinatorLease.Holder),
	}
	state.MinViewVersion, state.MinViewMembersHash = f.minViewVersion(view.Version)
	f.peers.mu.Lock()
	state.ZoneSize, state.FleetSize = f.peers.sizes(f.options, func(p *peer, now time.Time) bool { return now.Sub(p.lastMessageAt) < shareRetention })
	f.peers.mu.Unlock()
	state.Groups = f.cachedGroupGossip(view, now)
	return state
}

// cachedGroupGossip tells what this instance knows of the groups of a view. Peers that ask
// one after the other get the same notes for notesAge; broadcast makes them anew.
func (f *Fleet) cachedGroupGossip(view lease.View, now time.Time) []message.GroupGossip {
	f.groupGossip.mu.Lock()
	defer f.groupGossip.mu.Unlock()
	cache := &f.groupGossip
	if age := now.Sub(cache.builtAt); cache.view != view.Version || age >= maxGroupGossipAge || cache.groupGossip == nil {
		cache.groupGossip, cache.view, cache.builtAt = f.buildGroupGossip(view, now), view.Version, now
		return cache.groupGossip
	}
	aged := slices.Clone(cache.groupGossip)
	for i := range aged {
		aged[i].SampleAge += now.Sub(cache.builtAt)
	}
	return aged
}

// buildGroupGossip makes the notes of all groups of a view.
func (f *Fleet) buildGroupGossip(view lease.View, now time.Time) []message.GroupGossip {
	groups := make([]message.GroupGossip, 0, len(view.Rows))
	for name, row := range view.Rows {
		// Who wrote the row and why is for the logs of those that read it.
		row.Coordinator, row.Reason = "", ""
		gossip := message.GroupGossip{Group: name, Row: row, UnansweredFor: f.Scheduler.FailureDuration(name)}
		gossip.Observers, gossip.UnansweredObservers = f.countObservers(name, row.Epoch, gossip.UnansweredFor)
		if sample, found := f.SamplesOf(name).Newest(); found {
			gossip.SampledPosition, gossip.SampleAge = sample.Position, now.Sub(sample.At)
		}
		groups = append(groups, gossip)
	}
	return groups
}

// countObservers counts, in this instance's availability zone, the instances that know
// whether a group's primary of an epoch answers, and those which it does not.
// What is known from a view that proves nothing does not count.
func (f *Fleet) countObservers(name model.GroupID, epoch uint64, ownFailure time.Duration) (observers, unanswered int) {
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

// minViewVersion returns the oldest view among the members of the own availability zone,
// where this instance has view, and which members these are; zero where one of
// them was not heard.
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

// membersHash sums up which members there are in an availability zone: a peer's
// floor says something of those only that the peer knows of. The peers are locked.
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

// viewVersions returns the view that each instance, by name, has said last that it has. What
// a former start has viewVersions the present one may not know. The peers are locked.
func (p *peers) viewVersions() map[model.InstanceID]uint64 {
	viewVersions, receivedAt := map[model.InstanceID]uint64{}, map[model.InstanceID]time.Time{}
	for _, known := range p.known {
		if name := known.gossip.Instance; known.gossipReceivedAt.After(receivedAt[name]) {
			viewVersions[name], receivedAt[name] = known.gossip.ViewVersion, known.gossipReceivedAt
		}
	}
	return viewVersions
}

// sinceBoot gives a time of package clock a form that can be sent.
func sinceBoot(t time.Time) time.Duration { return t.Sub(time.Unix(0, 0)) }

// nextGossip returns a channel that is closed when the next bulletin is heard.
func (p *peers) nextGossip() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.gossipReceived
}

// sendInitialGossip sends a peer the first bulletin.
func (f *Fleet) sendInitialGossip(id model.InstanceID) {
	f.peers.links.HandleAction(message.SendPeer{To: id, Body: f.gossip()})
}

// handlePeerMessage takes in a message of a peer.
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
			f.peers.links.HandleAction(message.SendPeer{To: from, Body: message.ManifestOffer{Number: version, Body: raw}})
		}
	case message.ManifestOffer:
		f.adoptConfiguration(body.Body, string(from))
	case message.DatabasesRequest:
		if offer := f.databasesOffer(); offer.Version > body.NewerThan {
			f.peers.links.HandleAction(message.SendPeer{To: from, Body: offer})
		}
	case message.DatabasesOffer:
		f.applyDatabasesOffer(body, string(from))
	}
}

// handleGossip takes in what a peer knows.
func (f *Fleet) handleGossip(from model.InstanceID, state message.GossipState) {
	f.peers.mu.Lock()
	p := f.peers.getOrAdd(from)
	isNew := p.lastMessageAt.IsZero()
	p.recordGossip(state, clock.Now())
	close(f.peers.gossipReceived)
	f.peers.gossipReceived = make(chan struct{})
	f.peers.mu.Unlock()
	if state.EchoedClock > 0 {
		echoedAt := time.Unix(0, 0).Add(state.EchoedClock)
		f.applyPeerView(from, echoedAt, state)
		f.applyConfirmation(echoedAt, state)
	}
	f.requestNewer(from, state)
	if isNew {
		f.sendInitialGossip(from)
		f.publishIfResized()
	}
}

// applyPeerView takes in a peer's view of the table of groups. All that the peer knew
// when it sent the bulletin it knew after this instance had sent what Echo names.
func (f *Fleet) applyPeerView(from model.InstanceID, echoedAt time.Time, state message.GossipState) {
	if state.ViewVersion > 0 {
		view := lease.View{
			Version: state.ViewVersion, ReadStartedAt: echoedAt.Add(-state.ViewAge), CoordinatorLease: state.CoordinatorLease, IsMember: state.ReceiverIsMember || f.wasListedRecently(),
			Rows: make(map[model.GroupID]lease.GroupRow, len(state.Groups)),
		}
		for _, group := range state.Groups {
			view.Rows[group.Group] = group.Row
		}
		f.updateView(view, string(from))
	}
	for _, group := range state.Groups {
		if !group.SampledPosition.IsZero() {
			f.SamplesOf(group.Group).AddSpaced(fresh.PositionSample{At: echoedAt.Add(-group.SampleAge), Position: group.SampledPosition})
		}
	}
}
