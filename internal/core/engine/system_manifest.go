package engine

import (
	"github.com/eelgrassfold/eelgrassfold/internal/config/manifest"
	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

// -----------------------------------------------------------------------------
// The manifest in force.

// runManifest looks for a newer manifest at the platform now and then.
func (e *Engine) runManifest() {
	s := &e.declared
	e.runSubmits()
	e.dropRemovedWhenDue()
	e.republishDatabases()
	if s.rowAsk != 0 || s.objectAsk != 0 || e.now.Before(s.nextRead) {
		return
	}
	interval := manifestInterval
	if s.current == nil {
		interval = manifestFirst
	}
	s.nextRead = e.now.Add(e.jitter(interval))
	s.rowAsk = e.ask()
	e.do(message.ReadRow{CorrelationID: s.rowAsk, Table: manifestTable, Key: manifestKey, Timeout: platformTimeout})
}

// takeManifestRow reads the object of a newer row.
func (e *Engine) takeManifestRow(read message.RowsRead) {
	s := &e.declared
	s.rowAsk = 0
	if read.Err != message.PlatformOK || len(read.Rows) == 0 {
		return
	}
	row := decodeManifestRow(read.Rows[0].Body)
	if row.Number <= s.number {
		return
	}
	e.readManifestObject(row)
}

// readManifestObject asks for the body of an accepted manifest.
func (e *Engine) readManifestObject(row manifestRow) {
	s := &e.declared
	s.wanted = row
	s.objectAsk = e.ask()
	e.do(message.ReadObject{CorrelationID: s.objectAsk, Name: row.Digest, Timeout: platformTimeout})
}

// takeManifestObject adopts the body that was asked for.
func (e *Engine) takeManifestObject(read message.ObjectRead) {
	s := &e.declared
	s.objectAsk = 0
	if read.Err != message.PlatformOK {
		s.nextRead = e.now.Add(e.jitter(manifestFirst))
		return
	}
	e.adopt(s.wanted.Number, s.wanted.Digest, read.Body, "platform")
}

// takeOffer adopts a manifest that a peer passes on.
func (e *Engine) takeOffer(from model.InstanceID, offer message.ManifestOffer) {
	e.adopt(offer.Number, offer.Digest, offer.Body, "peer "+string(from))
}

// offerManifest passes the manifest in force on to a peer that has an older one.
func (e *Engine) offerManifest(to model.InstanceID, above uint64) {
	s := &e.declared
	if s.current == nil || s.number <= above {
		return
	}
	e.do(message.SendPeer{To: to, Body: message.ManifestOffer{Number: s.number, Digest: s.digest, Body: s.body}})
}

// adopt puts a manifest in force, if it is newer than the one that is.
func (e *Engine) adopt(number uint64, digest string, body []byte, source string) {
	s := &e.declared
	if number <= s.number {
		return
	}
	if manifest.Digest(body) != digest {
		e.note(event.ManifestRejected,
			event.F("number", number), event.F("source", source), event.F("why", "the body does not match the digest"))
		return
	}
	parsed, err := manifest.Parse(body)
	if err != nil {
		e.note(event.ManifestRejected,
			event.F("number", number), event.F("source", source), event.F("why", err.Error()))
		return
	}
	s.number, s.digest, s.body, s.current = number, digest, body, parsed
	e.note(event.ManifestInForce,
		event.F("number", number), event.F("digest", digest), event.F("source", source))
	e.configure(parsed)
	for _, entry := range e.instances.sorted() {
		if entry.alive && entry.manifest < number {
			e.offerManifest(entry.id, entry.manifest)
		}
	}
}

// configure brings the tables in line with a manifest. What is known of a
// database stays where its address does.
func (e *Engine) configure(m *manifest.Manifest) {
	before, databases := e.groups, e.databases
	known := make(map[model.GroupID]*group, len(before))
	for _, g := range before {
		known[g.name] = g
	}
	e.groups = nil
	e.byGroup = map[model.GroupID]*group{}
	e.databases = map[model.DatabaseID]*database{}
	for _, declared := range m.Groups {
		g, found := known[declared.Name]
		if !found {
			g = newGroup(declared.Name)
		}
		e.configureGroup(g, declared, databases)
	}
	e.keepRemoved(before)
	for _, s := range e.sessions {
		s.group = e.byGroup[s.name]
	}
	e.scheduler.Configure(e.now, m)
	e.publishDatabases()
}

// keepRemoved keeps the groups that the manifest has no more while requests of
// theirs are open, so that each still gets its outcome.
func (e *Engine) keepRemoved(before []*group) {
	open := e.openGroups()
	for _, g := range before {
		if e.byGroup[g.name] == g || !open[g] {
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

// openGroups returns the groups that have open requests.
func (e *Engine) openGroups() map[*group]bool {
	open := map[*group]bool{}
	for _, r := range e.requests.byID {
		open[r.group] = true
	}
	return open
}

// dropRemovedWhenDue looks for removed groups only while there are any.
func (e *Engine) dropRemovedWhenDue() {
	for _, g := range e.groups {
		if g.removed {
			e.dropRemoved()
			return
		}
	}
}

// dropRemoved forgets removed groups whose last request has ended.
func (e *Engine) dropRemoved() {
	open := e.openGroups()
	kept := e.groups[:0]
	for _, g := range e.groups {
		if !g.removed || open[g] {
			kept = append(kept, g)
			continue
		}
		for _, d := range g.databases {
			if e.databases[d.name] == d {
				delete(e.databases, d.name)
			}
		}
	}
	if len(kept) < len(e.groups) {
		e.groups = kept
		e.publishDatabases()
	}
}

// configureGroup brings one group in line.
func (e *Engine) configureGroup(g *group, declared manifest.Group, before map[model.DatabaseID]*database) {
	e.groups = append(e.groups, g)
	e.byGroup[g.name] = g
	g.removed = false
	g.databases = nil
	for _, member := range declared.Databases {
		d, found := before[member.Name]
		if !found || d.group != g || d.declared.Address != member.Address {
			d = &database{name: member.Name, group: g}
		}
		if member.Leaving && !d.isLeaving() {
			e.noteLeaving(d, "manifest")
		}
		d.declared = member
		e.databases[d.name] = d
		g.databases = append(g.databases, d)
	}
	if g.primary != nil && e.databases[g.primary.name] != g.primary {
		g.primary = nil
	}
	g.refreshProof()
}

// publishDatabases tells the edges which databases exist.
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
	e.published = targets
	e.do(message.SetDatabases{Databases: targets})
}

// republishDatabases tells the edges again where a share of connections or a
// leaving database has changed since.
func (e *Engine) republishDatabases() {
	if e.now.Before(e.republish) {
		return
	}
	e.republish = e.now.Add(probeInterval)
	for _, target := range e.published {
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
