package fleet

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/clock"
	"github.com/eelgrassfold/eelgrassfold/internal/core/fresh"
	"github.com/eelgrassfold/eelgrassfold/internal/core/lease"
	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/store"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

const (
	// instanceTable is the table of instances: the address of each for its
	// peers, by its name.
	instanceTable = "eelgrassfold-instances"
	// bulletinInterval is the time between two bulletins to each peer: a third
	// of a lease, so that a lost one ends none.
	bulletinInterval = 400 * time.Millisecond
	// aliveFor is how long an instance counts as alive after its last bulletin.
	aliveFor = 3 * bulletinInterval
	// rememberedFor is how long an instance that was heard once keeps its share
	// of the databases' connections: the databases keep those of a dead one
	// open for three seconds, and a restarted one comes back within it.
	rememberedFor = 15 * time.Second
	// membersInterval is the time between two reads of the table of instances.
	membersInterval = 20 * time.Second
	// membersFirst is the pause before the first read, in which the others that
	// start together register themselves.
	membersFirst = 300 * time.Millisecond
)

// Links carries messages to peers.
type Links interface {
	Act(action message.Action) bool
}

// peers holds the other instances.
type peers struct {
	mu    sync.Mutex
	links Links
	known map[model.InstanceID]*peer
	// listed holds the addresses of the table of instances, by name.
	listed map[model.InstanceID]netip.AddrPort
}

// peer is what is known of another instance.
type peer struct {
	linked   bool
	heard    time.Time
	bulletin message.Bulletin
}

func newPeers() peers {
	return peers{known: map[model.InstanceID]*peer{}, listed: map[model.InstanceID]netip.AddrPort{}}
}

// -----------------------------------------------------------------------------
// Membership.

// register writes this instance into the table of instances and learns the
// others from it.
func (f *Fleet) register(ctx context.Context) {
	pause := newPause()
	written := false
	for ctx.Err() == nil {
		if !written {
			written = f.writeMember(ctx)
			sleep(ctx, membersFirst)
		}
		if written && f.readMembers(ctx) {
			pause.Reset()
			sleep(ctx, membersInterval)
			continue
		}
		sleep(ctx, pause.NextBackOff())
	}
}

func (f *Fleet) writeMember(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	_, err := f.options.Store.Write(ctx, store.Change{Set: []store.Row{{
		Table: instanceTable, Key: string(f.options.Name), Value: []byte(f.options.Peer.String()),
	}}})
	if err != nil {
		f.note(event.DependencyLost, event.F("dependency", "store/"+instanceTable), event.F("error", err.Error()))
	}
	return err == nil
}

func (f *Fleet) readMembers(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	rows, err := f.options.Store.Read(ctx, instanceTable)
	if err != nil {
		f.note(event.DependencyLost, event.F("dependency", "store/"+instanceTable), event.F("error", err.Error()))
		return false
	}
	listed := map[model.InstanceID]netip.AddrPort{}
	for _, row := range rows.Rows {
		address, err := netip.ParseAddrPort(string(row.Value))
		if err != nil {
			f.note(event.ContentRejected, event.F("table", instanceTable), event.F("key", row.Key), event.F("error", err.Error()))
			continue
		}
		if name := model.InstanceID(row.Key); name != f.options.Name {
			listed[name] = address
		}
	}
	f.peers.mu.Lock()
	f.peers.listed = listed
	f.peers.mu.Unlock()
	f.setLinks()
	return true
}

// setLinks tells the peer edge whom to keep a link to: all that are listed, and
// the seeds.
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
	for _, address := range f.peers.listed {
		add(address)
	}
	for _, seed := range f.options.Seeds {
		add(seed)
	}
	f.peers.links.Act(message.SetPeers{Peers: targets})
}

// alive returns the instances that were heard lately, without this one, in the
// order of their IDs.
func (f *Fleet) alive() []model.InstanceID {
	f.peers.mu.Lock()
	defer f.peers.mu.Unlock()
	now := clock.Now()
	var ids []model.InstanceID
	for id, p := range f.peers.known {
		if now.Sub(p.heard) < aliveFor && !p.bulletin.Leaving {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// isFirst reports whether no live instance with contact to the store comes before
// this one: it is the one that asks the store for all.
func (f *Fleet) isFirst() bool {
	f.peers.mu.Lock()
	defer f.peers.mu.Unlock()
	now := clock.Now()
	for id, p := range f.peers.known {
		if id < f.options.Instance && now.Sub(p.heard) < aliveFor && p.bulletin.Stored && !p.bulletin.Leaving {
			return false
		}
	}
	return true
}

// instances returns the number of instances that share the databases.
func (f *Fleet) instances() int {
	f.peers.mu.Lock()
	defer f.peers.mu.Unlock()
	now := clock.Now()
	names := map[model.InstanceID]bool{f.options.Name: true}
	for _, p := range f.peers.known {
		if now.Sub(p.heard) < rememberedFor {
			names[p.bulletin.Name] = true
		}
	}
	return max(len(names), min(len(f.peers.listed)+1, f.options.Expected))
}

// majority returns how many instances, this one included, are more than half of
// those that are known.
func (f *Fleet) majority() int { return f.instances()/2 + 1 }

// -----------------------------------------------------------------------------
// Bulletins out.

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

// broadcast sends a bulletin to every linked peer. What was heard of each is
// read first: the bulletin's ages must not be older than that.
func (f *Fleet) broadcast() {
	f.peers.mu.Lock()
	echoes := map[model.InstanceID]time.Duration{}
	for id, p := range f.peers.known {
		if p.linked {
			echoes[id] = p.bulletin.Sent
		}
	}
	f.peers.mu.Unlock()
	bulletin := f.bulletin()
	for id, echo := range echoes {
		bulletin.Echo = echo
		f.peers.links.Act(message.SendPeer{To: id, Body: bulletin})
	}
}

// bulletin tells what this instance knows now.
func (f *Fleet) bulletin() message.Bulletin {
	now := clock.Now()
	view := f.Leases.View()
	b := message.Bulletin{
		Name: f.options.Name, Zone: f.options.Zone, Peer: f.options.Peer,
		Sent: sinceBoot(now), Leaving: f.leaving.Load(), Stored: f.isStored(now),
		Configuration: f.Version(), Databases: f.databasesVersion(),
		View: view.Version, ViewAge: now.Sub(view.Began), Duty: view.Duty, Holder: f.hears(view.Duty.Holder),
	}
	for name, row := range view.Rows {
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

// hears reports whether an instance is this one or was heard lately.
func (f *Fleet) hears(id model.InstanceID) bool {
	if id == f.options.Instance {
		return true
	}
	f.peers.mu.Lock()
	defer f.peers.mu.Unlock()
	p, found := f.peers.known[id]
	return found && clock.Since(p.heard) < aliveFor && p.bulletin.Stored && !p.bulletin.Leaving
}

// -----------------------------------------------------------------------------
// Messages in.

// Post implements message.Sink for the peer edge.
func (f *Fleet) Post(incoming message.Event) {
	switch incoming := incoming.(type) {
	case message.PeerLinked:
		f.peers.mu.Lock()
		f.peers.get(incoming.Peer).linked = true
		f.peers.mu.Unlock()
		f.greet(incoming.Peer)
	case message.PeerLost:
		f.peers.mu.Lock()
		if p, found := f.peers.known[incoming.Peer]; found {
			p.linked = false
		}
		f.peers.mu.Unlock()
	case message.PeerHeard:
		f.hear(incoming.From, incoming.Body)
	}
}

func (p *peers) get(id model.InstanceID) *peer {
	entry, found := p.known[id]
	if !found {
		entry = &peer{}
		p.known[id] = entry
	}
	return entry
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
	p.bulletin = b
	f.peers.mu.Unlock()
	if b.Echo > 0 {
		f.hearView(from, b)
	}
	if b.Configuration > f.Version() {
		f.peers.links.Act(message.SendPeer{To: from, Body: message.ManifestWanted{Above: f.Version()}})
	}
	if above := f.databasesVersion(); b.Databases > above {
		f.peers.links.Act(message.SendPeer{To: from, Body: message.DatabasesWanted{Above: above}})
	}
	if isNew {
		f.greet(from)
		f.republish()
	}
}

// hearView takes in a peer's view of the table of groups. All that the peer knew
// when it sent the bulletin it knew after this instance had sent what Echo names.
func (f *Fleet) hearView(from model.InstanceID, b message.Bulletin) {
	echoed := time.Unix(0, 0).Add(b.Echo)
	if b.View > 0 {
		view := lease.View{
			Version: b.View, Began: echoed.Add(-b.ViewAge), Duty: b.Duty,
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
