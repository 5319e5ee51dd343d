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

// notesAge is how old the notes of groups in an answer to a peer may be: a tenth of
// the time between two bulletins.
const notesAge = bulletinInterval / 10

// notes keeps the notes of all groups for answers that follow each other closely.
type notes struct {
	mu    sync.Mutex
	notes []message.GroupGossip
	view  uint64
	at    time.Time
}

// forget lets the next bulletin tell what is known then.
func (n *notes) forget() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.notes = nil
}

// announce sends bulletins until ctx ends.
func (f *Fleet) announce(ctx context.Context) {
	ticker := time.NewTicker(bulletinInterval)
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

// answer sends the bulletin that a peer has asked for.
func (f *Fleet) answer(to model.InstanceID, wanted message.GossipStateRequest) {
	f.peers.mu.Lock()
	p := f.peers.get(to)
	p.heard = clock.Now()
	p.bulletin.SenderClock = wanted.SenderClock
	last := p.bulletin
	members, isRecent := f.peers.members, clock.Since(f.peers.membersRead) < listedFor
	f.peers.mu.Unlock()
	f.send(to, f.bulletin(), last, members, isRecent)
}

// send addresses a bulletin to one peer.
func (f *Fleet) send(
	to model.InstanceID, b, last message.GossipState, members map[model.InstanceID]member, isRecent bool,
) {
	_, listed := members[last.Instance]
	b.EchoedClock, b.ReceiverIsMember = last.SenderClock, listed && isRecent
	f.peers.links.HandleAction(message.SendPeer{To: to, Body: b})
}

// broadcast sends a bulletin to every linked peer. What was heard of each is
// read first: the bulletin's ages must not be older than that.
func (f *Fleet) broadcast() {
	f.notes.forget()
	f.peers.mu.Lock()
	heard := map[model.InstanceID]message.GossipState{}
	for id, p := range f.peers.known {
		if p.linked {
			heard[id] = p.bulletin
		}
	}
	members, isRecent := f.peers.members, clock.Since(f.peers.membersRead) < listedFor
	f.peers.mu.Unlock()
	bulletin := f.bulletin()
	for id, last := range heard {
		f.send(id, bulletin, last, members, isRecent)
	}
}

// bulletin tells what this instance knows now.
func (f *Fleet) bulletin() message.GossipState {
	now := clock.Now()
	view := f.Leases.View()
	b := message.GossipState{
		Instance: f.options.InstanceName, Zone: f.options.Zone, PeerAddress: f.options.PeerAddress,
		SenderClock: sinceBoot(now), Leaving: f.leaving.Load(), StoreReachable: f.stored.Load(),
		ConfigurationVersion: f.ConfigurationVersion(), DatabasesVersion: f.databasesVersion(),
		ConfigurationAge: now.Sub(f.configurationConfirmed()), DatabasesAge: now.Sub(f.databasesConfirmed()),
		ViewVersion: view.Version, ViewAge: now.Sub(view.ReadStartedAt), CoordinatorLease: view.CoordinatorLease, HolderAlive: f.hears(view.CoordinatorLease.Holder),
	}
	b.MinViewVersion, b.MinViewMembersHash = f.floor(view.Version)
	f.peers.mu.Lock()
	b.ZoneSize, b.FleetSize = f.peers.sizes(f.options, func(p *peer, now time.Time) bool { return now.Sub(p.heard) < rememberedFor })
	f.peers.mu.Unlock()
	b.Groups = f.groupNotes(view, now)
	return b
}

// groupNotes tells what this instance knows of the groups of a view. Peers that ask
// one after the other get the same notes for notesAge; broadcast makes them anew.
func (f *Fleet) groupNotes(view lease.View, now time.Time) []message.GroupGossip {
	f.notes.mu.Lock()
	defer f.notes.mu.Unlock()
	n := &f.notes
	if age := now.Sub(n.at); n.view != view.Version || age >= notesAge || n.notes == nil {
		n.notes, n.view, n.at = f.newNotes(view, now), view.Version, now
		return n.notes
	}
	older := slices.Clone(n.notes)
	for i := range older {
		older[i].SampleAge += now.Sub(n.at)
	}
	return older
}

// newNotes makes the notes of all groups of a view.
func (f *Fleet) newNotes(view lease.View, now time.Time) []message.GroupGossip {
	notes := make([]message.GroupGossip, 0, len(view.Rows))
	for name, row := range view.Rows {
		// Who wrote the row and why is for the logs of those that read it.
		row.Coordinator, row.Reason = "", ""
		note := message.GroupGossip{Group: name, Row: row, UnansweredFor: f.Scheduler.FailureDuration(name)}
		note.Observers, note.UnansweredObservers = f.witnessed(name, row.Epoch, note.UnansweredFor)
		if sample, found := f.SamplesOf(name).Newest(); found {
			note.SampledPosition, note.SampleAge = sample.Position, now.Sub(sample.At)
		}
		notes = append(notes, note)
	}
	return notes
}

// witnessed counts, in this instance's availability zone, the instances that know
// whether a group's primary of an epoch answers, and those which it does not.
// What is known from a view that proves nothing does not count.
func (f *Fleet) witnessed(name model.GroupID, epoch uint64, own time.Duration) (witnesses, silent int) {
	count := func(failing time.Duration) {
		if failing >= 0 {
			witnesses++
		}
		if failing >= succession.SilenceThreshold {
			silent++
		}
	}
	count(own)
	f.peers.mu.Lock()
	defer f.peers.mu.Unlock()
	now := clock.Now()
	for _, p := range f.peers.known {
		if p.bulletin.Zone != f.options.Zone || !p.isAlive(now) || p.bulletin.ViewAge >= lease.Duration {
			continue
		}
		if note, found := p.note(name, epoch); found {
			count(note.UnansweredFor)
		}
	}
	return witnesses, silent
}

// floor returns the oldest view among the members of the own availability zone,
// where this instance has view, and which members these are; zero where one of
// them was not heard.
func (f *Fleet) floor(view uint64) (oldest, of uint64) {
	f.peers.mu.Lock()
	defer f.peers.mu.Unlock()
	seen := f.peers.seen()
	oldest = view
	for name, m := range f.peers.members {
		if m.Zone == f.options.Zone {
			oldest = min(oldest, seen[name])
		}
	}
	return oldest, f.peers.membersOf(f.options, f.options.Zone)
}

// membersOf sums up which members there are in an availability zone: a peer's
// floor says something of those only that the peer knows of. The peers are locked.
func (p *peers) membersOf(self Options, zone model.ZoneID) uint64 {
	sum := uint64(0)
	if self.Zone == zone {
		sum = model.RendezvousWeight(self.InstanceName, zone)
	}
	for name, m := range p.members {
		if m.Zone == zone {
			sum += model.RendezvousWeight(name, zone)
		}
	}
	return sum
}

// seen returns the view that each instance, by name, has said last that it has. What
// a former start has seen the present one may not know. The peers are locked.
func (p *peers) seen() map[model.InstanceID]uint64 {
	seen, heard := map[model.InstanceID]uint64{}, map[model.InstanceID]time.Time{}
	for _, known := range p.known {
		if name := known.bulletin.Instance; known.told.After(heard[name]) {
			seen[name], heard[name] = known.bulletin.ViewVersion, known.told
		}
	}
	return seen
}

// sinceBoot gives a time of package clock a form that can be sent.
func sinceBoot(t time.Time) time.Duration { return t.Sub(time.Unix(0, 0)) }

// awaitNews returns a channel that is closed when the next bulletin is heard.
func (p *peers) awaitNews() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.news
}

// greet sends a peer the first bulletin.
func (f *Fleet) greet(id model.InstanceID) {
	f.peers.links.HandleAction(message.SendPeer{To: id, Body: f.bulletin()})
}

// hear takes in a message of a peer.
func (f *Fleet) hear(from model.InstanceID, body message.PeerMessage) {
	switch body := body.(type) {
	case message.GossipState:
		f.hearBulletin(from, body)
	case message.GossipStateRequest:
		f.answer(from, body)
	case message.PrimarySurveyRequest:
		f.answerSurvey(from, body)
	case message.PrimarySurveyResponse:
		f.hearSurvey(body)
	case message.ManifestRequest:
		if version, raw := f.rawConfiguration(); version > body.NewerThan {
			f.peers.links.HandleAction(message.SendPeer{To: from, Body: message.ManifestOffer{Number: version, Body: raw}})
		}
	case message.ManifestOffer:
		f.adopt(body.Body, string(from))
	case message.DatabasesRequest:
		if offer := f.offerDatabases(); offer.Version > body.NewerThan {
			f.peers.links.HandleAction(message.SendPeer{To: from, Body: offer})
		}
	case message.DatabasesOffer:
		f.takeOffer(body, string(from))
	}
}

// hearBulletin takes in what a peer knows.
func (f *Fleet) hearBulletin(from model.InstanceID, b message.GossipState) {
	f.peers.mu.Lock()
	p := f.peers.get(from)
	isNew := p.heard.IsZero()
	p.learn(b, clock.Now())
	close(f.peers.news)
	f.peers.news = make(chan struct{})
	f.peers.mu.Unlock()
	if b.EchoedClock > 0 {
		echoed := time.Unix(0, 0).Add(b.EchoedClock)
		f.hearView(from, echoed, b)
		f.hearConfirmation(echoed, b)
	}
	f.askFor(from, b)
	if isNew {
		f.greet(from)
		f.republish()
	}
}

// hearView takes in a peer's view of the table of groups. All that the peer knew
// when it sent the bulletin it knew after this instance had sent what Echo names.
func (f *Fleet) hearView(from model.InstanceID, echoed time.Time, b message.GossipState) {
	if b.ViewVersion > 0 {
		view := lease.View{
			Version: b.ViewVersion, ReadStartedAt: echoed.Add(-b.ViewAge), CoordinatorLease: b.CoordinatorLease, IsMember: b.ReceiverIsMember || f.isListedLately(),
			Rows: make(map[model.GroupID]lease.GroupRow, len(b.Groups)),
		}
		for _, note := range b.Groups {
			view.Rows[note.Group] = note.Row
		}
		f.learnView(view, string(from))
	}
	for _, note := range b.Groups {
		if !note.SampledPosition.IsZero() {
			f.SamplesOf(note.Group).AddSpaced(fresh.PositionSample{At: echoed.Add(-note.SampleAge), Position: note.SampledPosition})
		}
	}
}
