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

// instanceRetention is the time without a heartbeat after which an instance that
// the platform does not list is deleted.
const instanceRetention = 5 * time.Minute

// -----------------------------------------------------------------------------
// Messages from peers.

// handlePeerEvent handles a connection to a peer or a message from one.
func (e *Engine) handlePeerEvent(incoming message.Event) {
	switch incoming := incoming.(type) {
	case message.PeerConnected:
		e.sendFirstHeartbeat(incoming.Peer)
	case message.PeerMessageReceived:
		if incoming.From != e.options.Instance {
			e.handlePeerMessage(incoming)
		}
	case message.PeerDisconnected:
	}
}

// sendFirstHeartbeat sends a heartbeat to a peer as soon as it is connected.
func (e *Engine) sendFirstHeartbeat(peer model.InstanceID) {
	if peer == e.options.Instance {
		return
	}
	e.instances.getOrAdd(peer).heartbeatSentAt = e.now
	e.instances.heartbeatSequence++
	e.emit(message.SendPeer{To: peer, Body: e.newHeartbeat()})
}

// handlePeerMessage passes a peer's message to the function that handles its type.
func (e *Engine) handlePeerMessage(received message.PeerMessageReceived) {
	switch body := received.Body.(type) {
	case message.Heartbeat:
		e.handleHeartbeat(received.From, body)
	case message.ManifestOffer:
		e.handleManifestOffer(received.From, body)
	case message.ManifestRequest:
		e.offerManifest(received.From, body.NewerThan)
	case message.GroupUpdate:
		e.handleGroupUpdate(body)
	case message.DatabaseLeaving:
		e.handleDatabaseLeaving(body)
	case message.LeaseRequest, message.LeaseGrant:
		e.scheduler.HandlePeerMessage(e.now, received.From, body)
	}
}

// handleHeartbeat records that an instance is alive and the state that its heartbeat
// reports. It adds the peers that the heartbeat lists, and requests the instance's
// manifest if that has a higher number than this instance's.
func (e *Engine) handleHeartbeat(from model.InstanceID, heartbeat message.Heartbeat) {
	entry := e.instances.getOrAdd(from)
	if !entry.alive {
		e.logEvent(event.InstanceAlive, event.F("instance", from), event.F("zone", heartbeat.Zone))
		e.instances.linksChanged = true
	}
	if heartbeat.Leaving && !entry.leaving {
		e.logEvent(event.InstanceLeaving, event.F("instance", from))
		e.instances.linksChanged = true
	}
	if entry.peerAddress != heartbeat.PeerAddress {
		e.instances.linksChanged = true
	}
	entry.zone, entry.peerAddress, entry.leaving = heartbeat.Zone, heartbeat.PeerAddress, heartbeat.Leaving
	entry.alive, entry.lastHeartbeat, entry.manifest = true, e.now, heartbeat.Manifest
	for _, known := range heartbeat.Known {
		e.addKnownPeer(known)
	}
	if heartbeat.Manifest > e.manifests.number {
		e.emit(message.SendPeer{To: from, Body: message.ManifestRequest{NewerThan: e.manifests.number}})
	}
}

// addKnownPeer adds an instance that a peer's heartbeat lists.
func (e *Engine) addKnownPeer(known message.KnownPeer) {
	if known.Instance == e.options.Instance {
		return
	}
	entry := e.instances.getOrAdd(known.Instance)
	if !entry.peerAddress.IsValid() {
		entry.peerAddress = known.PeerAddress
		e.instances.linksChanged = true
	}
}

// handleGroupUpdate handles a peer's message that it has promoted a database. The
// promotion record is added to the logbook. For the state of the databases the
// message is a hint only, so they are probed at once.
func (e *Engine) handleGroupUpdate(update message.GroupUpdate) {
	g, found := e.groupsByName[update.Group]
	if !found {
		return
	}
	var record PromotionRecord
	if err := json.Unmarshal(update.Record, &record); err == nil && record.Group == g.name {
		e.addRecord(g, record)
	}
	e.probeGroup(g)
}

// handleDatabaseLeaving records that a database is leaving. Only a later status of
// the database itself clears this.
func (e *Engine) handleDatabaseLeaving(leaving message.DatabaseLeaving) {
	d, found := e.databases[leaving.Database]
	if !found || d.isLeaving() || !leaving.Leaving {
		return
	}
	d.leavingHint = true
	d.leavingHintAt = e.now
	e.reportLeaving(d, "peer")
}

// broadcast sends a message to all live instances. The peer transport drops it for
// instances to which there is no link.
func (e *Engine) broadcast(body message.PeerMessage) {
	for _, entry := range e.instances.sorted() {
		if entry.alive {
			e.emit(message.SendPeer{To: entry.id, Body: body})
		}
	}
}

// -----------------------------------------------------------------------------
// The member system: one of the systems that the package comment lists.

// runMember sends heartbeats, detects instances that have stopped, reads the
// platform's list of instances and updates the set of links.
func (e *Engine) runMember() {
	e.expireInstances()
	e.requestInstanceList()
	if e.instances.linksChanged {
		e.instances.linksChanged = false
		e.publishPeers()
	}
	e.sendHeartbeats()
}

// currentHeartbeatInterval returns the time between heartbeats to one peer. It
// grows with the number of links, so that the traffic of one instance stays
// bounded. The number of known instances, live or not, up to maxLinks stands for
// the number of links.
func (e *Engine) currentHeartbeatInterval() time.Duration {
	knownInstances := len(e.instances.byID)
	return heartbeatInterval * time.Duration(max(1, min(knownInstances, maxLinks)/heartbeatLinkThreshold))
}

// expireInstances marks instances as not alive that have not sent a heartbeat for
// maxMissedHeartbeats intervals, and deletes those that the platform does not list
// after instanceRetention.
func (e *Engine) expireInstances() {
	timeout := maxMissedHeartbeats * e.currentHeartbeatInterval()
	for _, entry := range e.instances.sorted() {
		elapsed := e.now.Sub(entry.lastHeartbeat)
		if entry.alive && elapsed > timeout {
			entry.alive = false
			e.instances.linksChanged = true
			e.logEvent(event.InstanceGone, event.F("instance", entry.id), event.F("silent", elapsed.String()))
			if entry.leaving {
				e.scheduler.RemovePeer(e.now, entry.id)
			}
		}
		if !entry.alive && !entry.listed && !entry.lastHeartbeat.IsZero() && elapsed > instanceRetention {
			e.instances.remove(entry.id)
		}
	}
}

// requestInstanceList requests the platform's list of instances once per
// listInterval.
func (e *Engine) requestInstanceList() {
	table := &e.instances
	if table.listRequestID != 0 || e.now.Before(table.nextListRead) {
		return
	}
	table.listRequestID = e.correlationID()
	table.nextListRead = e.now.Add(e.jitter(listInterval))
	e.emit(message.ListInstances{CorrelationID: table.listRequestID, Timeout: platformTimeout})
}

// handleInstanceList handles the platform's list. Since the list lags, it only
// supplies addresses of instances to contact.
func (e *Engine) handleInstanceList(listed message.InstancesListed) {
	e.instances.listRequestID = 0
	if listed.Result != message.PlatformOK {
		return
	}
	for _, entry := range e.instances.byID {
		entry.listed = false
	}
	for _, listedInstance := range listed.Instances {
		if listedInstance.Instance == e.options.Instance {
			continue
		}
		entry := e.instances.getOrAdd(listedInstance.Instance)
		entry.listed = true
		if !entry.peerAddress.IsValid() {
			entry.peerAddress = listedInstance.PeerAddress
			entry.zone = listedInstance.Zone
			e.instances.linksChanged = true
		}
	}
}

// publishPeers sends the links to keep to the peer transport and the live instances
// to the scheduler. The list of databases is published as well, since this
// instance's share of their connections depends on the number of instances.
func (e *Engine) publishPeers() {
	targets := e.linkTargets()
	e.emit(message.SetPeers{Peers: targets})
	liveInstances := append(e.instances.alive(), e.options.Instance)
	sort.Slice(liveInstances, func(i, j int) bool { return liveInstances[i] < liveInstances[j] })
	e.scheduler.SetPeers(e.now, liveInstances)
	if e.manifests.current != nil {
		e.publishDatabases()
	}
}

// linkTargets returns the links to keep: at most maxLinks known instances, chosen by
// rendezvous hashing so that the choice is stable, and the seed addresses except
// this instance's own and those of the chosen instances.
func (e *Engine) linkTargets() []message.PeerTarget {
	candidates := slices.Clone(e.instances.sorted())
	sort.SliceStable(candidates, func(i, j int) bool {
		return model.RendezvousWeight(candidates[i].id, e.options.Instance) > model.RendezvousWeight(candidates[j].id, e.options.Instance)
	})
	var targets []message.PeerTarget
	usedAddresses := map[string]bool{e.options.PeerAddress.String(): true}
	for _, entry := range candidates {
		if !entry.peerAddress.IsValid() || len(targets) >= maxLinks {
			continue
		}
		targets = append(targets, message.PeerTarget{Instance: entry.id, Address: entry.peerAddress})
		usedAddresses[entry.peerAddress.String()] = true
	}
	for _, seed := range e.options.SeedAddresses {
		if !usedAddresses[seed.String()] {
			targets = append(targets, message.PeerTarget{Address: seed})
		}
	}
	return targets
}

// sendHeartbeats sends a heartbeat to each peer for which one is due.
func (e *Engine) sendHeartbeats() {
	interval := e.currentHeartbeatInterval()
	for _, entry := range e.instances.sorted() {
		if !entry.heartbeatSentAt.IsZero() && e.now.Sub(entry.heartbeatSentAt) < interval || !entry.peerAddress.IsValid() {
			continue
		}
		entry.heartbeatSentAt = e.now
		e.instances.heartbeatSequence++
		e.emit(message.SendPeer{To: entry.id, Body: e.newHeartbeat()})
	}
}

// newHeartbeat returns the heartbeat of this instance.
func (e *Engine) newHeartbeat() message.Heartbeat {
	return message.Heartbeat{
		Instance:    e.options.Instance,
		Zone:        e.options.Zone,
		PeerAddress: e.options.PeerAddress,
		Sequence:    e.instances.heartbeatSequence,
		Manifest:    e.manifests.number,
		Leaving:     e.drain.started,
		Known:       e.knownPeers(),
	}
}

// knownPeers returns up to maxKnownPeers live instances, different ones with each
// heartbeat.
func (e *Engine) knownPeers() []message.KnownPeer {
	alive := e.instances.alive()
	var peers []message.KnownPeer
	for i := range min(len(alive), maxKnownPeers) {
		id := alive[(int(e.instances.heartbeatSequence)+i)%len(alive)]
		peers = append(peers, message.KnownPeer{Instance: id, PeerAddress: e.instances.byID[id].peerAddress})
	}
	return peers
}
