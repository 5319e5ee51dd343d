package engine

import (
	"encoding/json"
	"slices"
	"sort"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

// instanceKept is the time after which a silent instance that the platform does
// not list is forgotten.
const instanceKept = 5 * time.Minute

// -----------------------------------------------------------------------------
// Words of peers.

// takePeer learns from a link or from what a peer says on it.
func (e *Engine) takePeer(incoming message.Event) {
	switch incoming := incoming.(type) {
	case message.PeerConnected:
		e.greet(incoming.Peer)
	case message.PeerMessageReceived:
		if incoming.From != e.options.Instance {
			e.takeMessage(incoming)
		}
	case message.PeerDisconnected:
	}
}

// greet introduces this instance to a peer as soon as there is a link.
func (e *Engine) greet(peer model.InstanceID) {
	if peer == e.options.Instance {
		return
	}
	e.instances.get(peer).told = e.now
	e.instances.sequence++
	e.do(message.SendPeer{To: peer, Body: e.heartbeat()})
}

// takeMessage hands a peer's word to the system that it concerns.
func (e *Engine) takeMessage(heard message.PeerMessageReceived) {
	switch body := heard.Body.(type) {
	case message.Heartbeat:
		e.takeHeartbeat(heard.From, body)
	case message.ManifestOffer:
		e.takeOffer(heard.From, body)
	case message.ManifestRequest:
		e.offerManifest(heard.From, body.NewerThan)
	case message.GroupUpdate:
		e.takeNews(body)
	case message.DatabaseLeaving:
		e.takeLeaving(body)
	case message.LeaseRequest, message.LeaseGrant:
		e.scheduler.HandlePeerMessage(e.now, heard.From, body)
	}
}

// takeHeartbeat notes that an instance is alive.
func (e *Engine) takeHeartbeat(from model.InstanceID, beat message.Heartbeat) {
	entry := e.instances.get(from)
	if !entry.alive {
		e.note(event.InstanceAlive, event.F("instance", from), event.F("zone", beat.Zone))
		e.instances.changed = true
	}
	if beat.Leaving && !entry.leaving {
		e.note(event.InstanceLeaving, event.F("instance", from))
		e.instances.changed = true
	}
	if entry.peer != beat.PeerAddress {
		e.instances.changed = true
	}
	entry.zone, entry.peer, entry.leaving = beat.Zone, beat.PeerAddress, beat.Leaving
	entry.alive, entry.heard, entry.manifest = true, e.now, beat.Manifest
	for _, known := range beat.Known {
		e.hear(known)
	}
	if beat.Manifest > e.declared.number {
		e.do(message.SendPeer{To: from, Body: message.ManifestRequest{NewerThan: e.declared.number}})
	}
}

// hear notes an instance that a peer knows.
func (e *Engine) hear(known message.KnownPeer) {
	if known.Instance == e.options.Instance {
		return
	}
	entry := e.instances.get(known.Instance)
	if !entry.peer.IsValid() {
		entry.peer = known.PeerAddress
		e.instances.changed = true
	}
}

// takeNews takes in a change of primary that another instance has made. It is a
// hint: the databases are asked at once.
func (e *Engine) takeNews(news message.GroupUpdate) {
	g, found := e.byGroup[news.Group]
	if !found {
		return
	}
	var record PromotionRecord
	if err := json.Unmarshal(news.Record, &record); err == nil && record.Group == g.name {
		e.keepRecord(g, record)
	}
	e.probeGroup(g)
}

// takeLeaving takes in that a database is leaving. Only the database itself can
// take that back.
func (e *Engine) takeLeaving(leaving message.DatabaseLeaving) {
	d, found := e.databases[leaving.Database]
	if !found || d.isLeaving() || !leaving.Leaving {
		return
	}
	d.hinted = true
	d.hintedAt = e.now
	e.noteLeaving(d, "peer")
}

// tellPeers sends a message to all live instances that links are kept to.
func (e *Engine) tellPeers(body message.PeerMessage) {
	for _, entry := range e.instances.sorted() {
		if entry.alive {
			e.do(message.SendPeer{To: entry.id, Body: body})
		}
	}
}

// -----------------------------------------------------------------------------
// The system.

// runMember sends heartbeats, notices silence, reads the platform's list and
// keeps the set of links.
func (e *Engine) runMember() {
	e.noticeSilence()
	e.readList()
	if e.instances.changed {
		e.instances.changed = false
		e.publishPeers()
	}
	e.sendHeartbeats()
}

// beatInterval is the time between heartbeats to one peer. It grows with the
// number of links, so that the traffic of one instance stays bounded.
func (e *Engine) beatInterval() time.Duration {
	links := len(e.instances.byID)
	return heartbeatInterval * time.Duration(max(1, min(links, maxLinks)/heartbeatLinks))
}

// noticeSilence takes instances that have sent no heartbeat for a while as
// gone.
func (e *Engine) noticeSilence() {
	limit := aliveFor * e.beatInterval()
	for _, entry := range e.instances.sorted() {
		silent := e.now.Sub(entry.heard)
		if entry.alive && silent > limit {
			entry.alive = false
			e.instances.changed = true
			e.note(event.InstanceGone, event.F("instance", entry.id), event.F("silent", silent.String()))
			if entry.leaving {
				e.scheduler.RemovePeer(e.now, entry.id)
			}
		}
		if !entry.alive && !entry.listed && !entry.heard.IsZero() && silent > instanceKept {
			e.instances.remove(entry.id)
		}
	}
}

// readList asks the platform for its lagging list now and then.
func (e *Engine) readList() {
	t := &e.instances
	if t.listAsk != 0 || e.now.Before(t.listAt) {
		return
	}
	t.listAsk = e.ask()
	t.listAt = e.now.Add(e.jitter(listInterval))
	e.do(message.ListInstances{CorrelationID: t.listAsk, Timeout: platformTimeout})
}

// takeList takes in the platform's list as a hint of whom to speak to.
func (e *Engine) takeList(listed message.InstancesListed) {
	e.instances.listAsk = 0
	if listed.Err != message.PlatformOK {
		return
	}
	for _, entry := range e.instances.byID {
		entry.listed = false
	}
	for _, l := range listed.Instances {
		if l.Instance == e.options.Instance {
			continue
		}
		entry := e.instances.get(l.Instance)
		entry.listed = true
		if !entry.peer.IsValid() {
			entry.peer = l.PeerAddress
			entry.zone = l.Zone
			e.instances.changed = true
		}
	}
}

// publishPeers tells the peer edge which links to keep and the scheduler who is
// alive.
func (e *Engine) publishPeers() {
	targets := e.linkTargets()
	e.do(message.SetPeers{Peers: targets})
	live := append(e.instances.alive(), e.options.Instance)
	sort.Slice(live, func(i, j int) bool { return live[i] < live[j] })
	e.scheduler.SetPeers(e.now, live)
	if e.declared.current != nil {
		e.publishDatabases()
	}
}

// linkTargets returns the links to keep: the seeds while nobody else is known,
// and a bounded number of instances, chosen by rendezvous hashing so that the
// choice is stable.
func (e *Engine) linkTargets() []message.PeerTarget {
	known := slices.Clone(e.instances.sorted())
	sort.SliceStable(known, func(i, j int) bool {
		return model.RendezvousWeight(known[i].id, e.options.Instance) > model.RendezvousWeight(known[j].id, e.options.Instance)
	})
	var targets []message.PeerTarget
	addresses := map[string]bool{e.options.PeerAddress.String(): true}
	for _, entry := range known {
		if !entry.peer.IsValid() || len(targets) >= maxLinks {
			continue
		}
		targets = append(targets, message.PeerTarget{Instance: entry.id, Address: entry.peer})
		addresses[entry.peer.String()] = true
	}
	for _, seed := range e.options.SeedAddresses {
		if !addresses[seed.String()] {
			targets = append(targets, message.PeerTarget{Address: seed})
		}
	}
	return targets
}

// sendHeartbeats tells each peer that this instance is alive.
func (e *Engine) sendHeartbeats() {
	interval := e.beatInterval()
	for _, entry := range e.instances.sorted() {
		if !entry.told.IsZero() && e.now.Sub(entry.told) < interval || !entry.peer.IsValid() {
			continue
		}
		entry.told = e.now
		e.instances.sequence++
		e.do(message.SendPeer{To: entry.id, Body: e.heartbeat()})
	}
}

// heartbeat returns this instance's introduction.
func (e *Engine) heartbeat() message.Heartbeat {
	return message.Heartbeat{
		Instance:    e.options.Instance,
		Zone:        e.options.Zone,
		PeerAddress: e.options.PeerAddress,
		Sequence:    e.instances.sequence,
		Manifest:    e.declared.number,
		Leaving:     e.drain.started,
		Known:       e.knownPeers(),
	}
}

// knownPeers lists a few live instances, other ones with each heartbeat.
func (e *Engine) knownPeers() []message.KnownPeer {
	alive := e.instances.alive()
	var known []message.KnownPeer
	for i := range min(len(alive), maxKnown) {
		id := alive[(int(e.instances.sequence)+i)%len(alive)]
		known = append(known, message.KnownPeer{Instance: id, PeerAddress: e.instances.byID[id].peer})
	}
	return known
}
