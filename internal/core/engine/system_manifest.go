package engine

import (
	"github.com/eelgrassfold/eelgrassfold/internal/config/manifest"
	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

// -----------------------------------------------------------------------------
// The manifest in force.

// runManifest advances submissions and polls the platform for a newer manifest.
func (e *Engine) runManifest() {
	s := &e.manifests
	e.runSubmissions()
	e.pruneRemovedGroupsIfAny()
	e.republishDatabases()
	if s.rowReadID != 0 || s.objectReadID != 0 || e.now.Before(s.nextRead) {
		return
	}
	interval := manifestInterval
	if s.current == nil {
		interval = initialManifestInterval
	}
	s.nextRead = e.now.Add(e.jitter(interval))
	s.rowReadID = e.correlationID()
	e.emit(message.ReadRow{CorrelationID: s.rowReadID, Table: manifestTable, Key: manifestKey, Timeout: platformTimeout})
}

// handleManifestRow requests the manifest object if the row is newer than the
// manifest in force.
func (e *Engine) handleManifestRow(read message.RowsRead) {
	s := &e.manifests
	s.rowReadID = 0
	if read.Result != message.PlatformOK || len(read.Rows) == 0 {
		return
	}
	row, err := decodeManifestRow(read.Rows[0].Body)
	if err != nil && read.Rows[0].Version != s.rejectedVersion {
		s.rejectedVersion = read.Rows[0].Version
		e.logRejected(read.Rows[0], err)
	}
	if err != nil || row.Number <= s.number {
		return
	}
	e.readManifestObject(row)
}

// readManifestObject requests the body of an accepted manifest.
func (e *Engine) readManifestObject(row manifestRow) {
	s := &e.manifests
	s.pendingRow = row
	s.objectReadID = e.correlationID()
	e.emit(message.ReadObject{CorrelationID: s.objectReadID, Name: row.Digest, Timeout: platformTimeout})
}

// handleManifestObject adopts the requested body.
func (e *Engine) handleManifestObject(read message.ObjectRead) {
	s := &e.manifests
	s.objectReadID = 0
	if read.Result != message.PlatformOK {
		s.nextRead = e.now.Add(e.jitter(initialManifestInterval))
		return
	}
	e.adoptManifest(s.pendingRow.Number, s.pendingRow.Digest, read.Body, "platform")
}

// handleManifestOffer adopts a manifest that a peer has sent.
func (e *Engine) handleManifestOffer(from model.InstanceID, offer message.ManifestOffer) {
	e.adoptManifest(offer.Number, offer.Digest, offer.Body, "peer "+string(from))
}

// offerManifest sends the manifest in force to a peer that has an older one.
func (e *Engine) offerManifest(to model.InstanceID, newerThan uint64) {
	s := &e.manifests
	if s.current == nil || s.number <= newerThan {
		return
	}
	e.emit(message.SendPeer{To: to, Body: message.ManifestOffer{Number: s.number, Digest: s.digest, Body: s.body}})
}

// adoptManifest puts a manifest in force if it is newer than the present one and
// valid.
func (e *Engine) adoptManifest(number uint64, digest string, body []byte, source string) {
	s := &e.manifests
	if number <= s.number {
		return
	}
	if manifest.Digest(body) != digest {
		e.logEvent(event.ManifestRejected,
			event.F("number", number), event.F("source", source), event.F("why", "the body does not match the digest"))
		return
	}
	parsed, err := manifest.Parse(body)
	if err != nil {
		e.logEvent(event.ManifestRejected,
			event.F("number", number), event.F("source", source), event.F("why", err.Error()))
		return
	}
	s.number, s.digest, s.body, s.current = number, digest, body, parsed
	e.logEvent(event.ManifestInForce,
		event.F("number", number), event.F("digest", digest), event.F("source", source))
	e.applyManifest(parsed)
	for _, entry := range e.instances.sorted() {
		if entry.alive && entry.manifest < number {
			e.offerManifest(entry.id, entry.manifest)
		}
	}
}

// applyManifest updates the tables to a manifest. The state of a database is kept
// if its address has not changed.
func (e *Engine) applyManifest(newManifest *manifest.Manifest) {
	oldGroups, databases := e.groups, e.databases
	oldGroupsByName := make(map[model.GroupID]*group, len(oldGroups))
	for _, g := range oldGroups {
		oldGroupsByName[g.name] = g
	}
	e.groups = nil
	e.groupsByName = map[model.GroupID]*group{}
	e.databases = map[model.DatabaseID]*database{}
	for _, declared := range newManifest.Groups {
		g, found := oldGroupsByName[declared.Name]
		if !found {
			g = newGroup(declared.Name)
		}
		e.applyGroup(g, declared, databases)
	}
	e.retainRemovedGroups(oldGroups)
	for _, s := range e.sessions {
		s.group = e.groupsByName[s.name]
	}
	e.scheduler.Configure(e.now, newManifest)
	e.publishDatabases()
}

// retainRemovedGroups keeps the groups that are no longer in the manifest while
// they have open requests, so that each request still gets its outcome.
func (e *Engine) retainRemovedGroups(oldGroups []*group) {
	openGroups := e.groupsWithOpenRequests()
	for _, g := range oldGroups {
		if e.groupsByName[g.name] == g || !openGroups[g] {
			continue
		}
		g.removed = true
		e.groups = append(e.groups, g)
		for _, d := range g.databases {
			if e.databases[d.name] == nil {
				e.databases[d.name] = d
			}
		}
	}
}

// groupsWithOpenRequests returns the groups that have open requests.
func (e *Engine) groupsWithOpenRequests() map[*group]bool {
	open := map[*group]bool{}
	for _, r := range e.requests.byID {
		open[r.group] = true
	}
	return open
}

// pruneRemovedGroupsIfAny calls pruneRemovedGroups only while there are removed
// groups, since that walks over all open requests.
func (e *Engine) pruneRemovedGroupsIfAny() {
	for _, g := range e.groups {
		if g.removed {
			e.pruneRemovedGroups()
			return
		}
	}
}

// pruneRemovedGroups deletes removed groups whose last request has ended.
func (e *Engine) pruneRemovedGroups() {
	openGroups := e.groupsWithOpenRequests()
	remaining := e.groups[:0]
	for _, g := range e.groups {
		if !g.removed || openGroups[g] {
			remaining = append(remaining, g)
			continue
		}
		for _, d := range g.databases {
			if e.databases[d.name] == d {
				delete(e.databases, d.name)
			}
		}
	}
	if len(remaining) < len(e.groups) {
		e.groups = remaining
		e.publishDatabases()
	}
}

// applyGroup updates one group to its declaration.
func (e *Engine) applyGroup(g *group, declared manifest.Group, oldDatabases map[model.DatabaseID]*database) {
	e.groups = append(e.groups, g)
	e.groupsByName[g.name] = g
	g.removed = false
	g.databases = nil
	for _, member := range declared.Databases {
		d, found := oldDatabases[member.Name]
		if !found || d.group != g || d.declared.Address != member.Address {
			d = &database{name: member.Name, group: g}
		}
		if member.Leaving && !d.isLeaving() {
			e.reportLeaving(d, "manifest")
		}
		d.declared = member
		e.databases[d.name] = d
		g.databases = append(g.databases, d)
	}
	if g.primary != nil && e.databases[g.primary.name] != g.primary {
		g.primary = nil
	}
	g.refreshConfirmation()
}

// publishDatabases publishes the list of databases to the edges.
func (e *Engine) publishDatabases() {
	var targets []message.DatabaseTarget
	for _, g := range e.groups {
		for _, d := range g.databases {
			targets = append(targets, message.DatabaseTarget{
				Database: d.name, Group: g.name, Address: d.declared.Address,
				Connections: e.scheduler.Connections(d.name), Leaving: d.isLeaving(),
			})
		}
	}
	e.publishedDatabases = targets
	e.emit(message.SetDatabases{Databases: targets})
}

// republishDatabases publishes the list again if a database's share of connections
// or its leaving state has changed.
func (e *Engine) republishDatabases() {
	if e.now.Before(e.republishAt) {
		return
	}
	e.republishAt = e.now.Add(probeInterval)
	for _, target := range e.publishedDatabases {
		d, found := e.databases[target.Database]
		if !found {
			continue
		}
		if target.Connections != e.scheduler.Connections(d.name) || target.Leaving != d.isLeaving() {
			e.publishDatabases()
			return
		}
	}
}
