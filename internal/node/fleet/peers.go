package fleet

import (
	"context"
	"maps"
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
	// bulletinInterval is the time between two bulletins to each peer. What is
	// urgent is sent at once.
	bulletinInterval = 500 * time.Millisecond
	// aliveFor is how long an instance counts as alive after its last message,
	// and unlinkedFor where its link is broken besides.
	aliveFor    = 2*bulletinInterval + 200*time.Millisecond
	unlinkedFor = 400 * time.Millisecond
	// rememberedFor is how long an instance that was heard once keeps its share
	// of the databases' connections: the databases keep those of a dead one
	// open for three seconds, and a restarted one comes back within it.
	rememberedFor = 15 * time.Second
	// forgottenAfter is how long a member must not have been heard before its
	// row is deleted. listedFor is how old a read of the members may be for
	// peers to rely on it: a member that was deleted must not be told that it
	// is one.
	forgottenAfter = 10 * time.Minute
	listedFor      = 2 * time.Minute
	// membersAge is the age at which the members are read again, whatever the
	// peers tell.
	membersAge = time.Minute
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
	// members holds the addresses of the other members, by name, as of a version
	// of the table of groups.
	members        map[model.InstanceID]netip.AddrPort
	membersVersion uint64
	membersRead    time.Time
	// news is closed when a bulletin was heard, and replaced then.
	news chan struct{}
}

// peer is what is known of another instance.
type peer struct {
	linked   bool
	heard    time.Time
	bulletin message.Bulletin
	// told is when the bulletin came.
	told time.Time
}

// isAlive reports whether the instance was heard lately.
func (p *peer) isAlive(now time.Time) bool {
	silent := now.Sub(p.heard)
	return silent < unlinkedFor || p.linked && silent < aliveFor
}

func newPeers() peers {
	return peers{known: map[model.InstanceID]*peer{}, news: make(chan struct{})}
}

// -----------------------------------------------------------------------------
// Membership.

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

// alive returns the instances that were heard lately, without this one, in the
// order of their IDs.
func (f *Fleet) alive() []model.InstanceID {
	f.peers.mu.Lock()
	defer f.peers.mu.Unlock()
	now := clock.Now()
	var ids []model.InstanceID
	for id, p := range f.peers.known {
		if p.isAlive(now) && !p.bulletin.Leaving {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// first returns the live instance with contact to the store whose ID comes before
// all others, and whether that is this one: it asks the store for all.
func (f *Fleet) first() (model.InstanceID, bool) {
	f.peers.mu.Lock()
	defer f.peers.mu.Unlock()
	now := clock.Now()
	least := f.options.Instance
	for id, p := range f.peers.known {
		if id < least && p.isAlive(now) && p.bulletin.Stored && !p.bulletin.Leaving {
			least = id
		}
	}
	return least, least == f.options.Instance
}

// isFirst reports whether this instance is the first.
func (f *Fleet) isFirst() bool {
	_, is := f.first()
	return is
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
	return max(len(names), min(len(f.peers.members)+1, f.options.Expected))
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
		Sent: sinceBoot(now), Leaving: f.leaving.Load(), Stored: f.isStored(now),
		Configuration: f.Version(), Databases: f.databasesVersion(),
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

// hears reports whether an instance is this one or was heard lately.
func (f *Fleet) hears(id model.InstanceID) bool {
	if id == f.options.Instance {
		return !f.leaving.Load()
	}
	f.peers.mu.Lock()
	defer f.peers.mu.Unlock()
	p, found := f.peers.known[id]
	return found && p.isAlive(clock.Now()) && p.bulletin.Stored && !p.bulletin.Leaving
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
