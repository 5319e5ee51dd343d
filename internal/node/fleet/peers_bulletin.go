package fleet

import (
	"context"
	"net/netip"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/clock"
	"github.com/eelgrassfold/eelgrassfold/internal/core/fresh"
	"github.com/eelgrassfold/eelgrassfold/internal/core/lease"
	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

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
func (f *Fleet) answer(to model.InstanceID, wanted message.BulletinWanted) {
	f.peers.mu.Lock()
	p := f.peers.get(to)
	p.heard = clock.Now()
	p.bulletin.Sent = wanted.Sent
	last := p.bulletin
	members, isRecent := f.peers.members, clock.Since(f.peers.membersRead) < listedFor
	f.peers.mu.Unlock()
	f.send(to, f.bulletin(), last, members, isRecent)
}

// send addresses a bulletin to one peer.
func (f *Fleet) send(
	to model.InstanceID, b, last message.Bulletin, members map[model.InstanceID]netip.AddrPort, isRecent bool,
) {
	_, listed := members[last.Name]
	b.Echo, b.Listed = last.Sent, listed && isRecent
	f.peers.links.Act(message.SendPeer{To: to, Body: b})
}

// broadcast sends a bulletin to every linked peer. What was heard of each is
// read first: the bulletin's ages must not be older than that.
func (f *Fleet) broadcast() {
	f.peers.mu.Lock()
	heard := map[model.InstanceID]message.Bulletin{}
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
func (f *Fleet) bulletin() message.Bulletin {
	now := clock.Now()
	view := f.Leases.View()
	b := message.Bulletin{
		Name: f.options.Name, Zone: f.options.Zone, Peer: f.options.Peer,
		Sent: sinceBoot(now), Leaving: f.leaving.Load(), Stored: f.stored.Load(),
		Configuration: f.Version(), Databases: f.databasesVersion(),
		ConfigurationAge: now.Sub(f.configurationConfirmed()), DatabasesAge: now.Sub(f.databasesConfirmed()),
		View: view.Version, ViewAge: now.Sub(view.Began), Duty: view.Duty, Holder: f.hears(view.Duty.Holder),
	}
	for name, row := range view.Rows {
		// Who wrote the row and why is for the logs of those that read it.
		row.Steward, row.Reason = "", ""
		note := message.GroupNote{Group: name, Row: row, Failing: f.Scheduler.Failing(name)}
		if sample, found := f.Of(name).Newest(); found {
			note.Sampled, note.SampleAge = sample.Position, now.Sub(sample.At)
		}
		b.Groups = append(b.Groups, note)
	}
	return b
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
	f.peers.links.Act(message.SendPeer{To: id, Body: f.bulletin()})
}

// hear takes in a message of a peer.
func (f *Fleet) hear(from model.InstanceID, body message.PeerMessage) {
	switch body := body.(type) {
	case message.Bulletin:
		f.hearBulletin(from, body)
	case message.BulletinWanted:
		f.answer(from, body)
	case message.ManifestWanted:
		if version, raw := f.rawConfiguration(); version > body.Above {
			f.peers.links.Act(message.SendPeer{To: from, Body: message.ManifestOffer{Number: version, Body: raw}})
		}
	case message.ManifestOffer:
		f.adopt(body.Body, string(from))
	case message.DatabasesWanted:
		if offer := f.offerDatabases(); offer.Version > body.Above {
			f.peers.links.Act(message.SendPeer{To: from, Body: offer})
		}
	case message.DatabasesOffer:
		f.takeOffer(body, string(from))
	}
}

// hearBulletin takes in what a peer knows.
func (f *Fleet) hearBulletin(from model.InstanceID, b message.Bulletin) {
	f.peers.mu.Lock()
	p := f.peers.get(from)
	isNew := p.heard.IsZero()
	p.heard = clock.Now()
	p.bulletin, p.told = b, p.heard
	close(f.peers.news)
	f.peers.news = make(chan struct{})
	f.peers.mu.Unlock()
	if b.Echo > 0 {
		echoed := time.Unix(0, 0).Add(b.Echo)
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
func (f *Fleet) hearView(from model.InstanceID, echoed time.Time, b message.Bulletin) {
	if b.View > 0 {
		view := lease.View{
			Version: b.View, Began: echoed.Add(-b.ViewAge), Duty: b.Duty, Member: b.Listed,
			Rows: make(map[model.GroupID]lease.Row, len(b.Groups)),
		}
		for _, note := range b.Groups {
			view.Rows[note.Group] = note.Row
		}
		f.learnView(view, string(from))
	}
	for _, note := range b.Groups {
		if !note.Sampled.IsZero() {
			f.Of(note.Group).Offer(fresh.Sample{At: echoed.Add(-note.SampleAge), Position: note.Sampled})
		}
	}
}
