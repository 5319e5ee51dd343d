package fleet

import (
	"maps"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/clock"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/core/placement"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/store"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

// applyDatabaseRows applies entries of databases: the complete list if
// isComplete is set, otherwise only the entries that have changed.
func (f *Fleet) applyDatabaseRows(rows store.Rows, isComplete bool) {
	d := &f.directory
	d.mu.Lock()
	defer d.mu.Unlock()
	listed, isFirstList := map[model.DatabaseID]bool{}, d.listed == 0
	for _, row := range rows.Rows {
		id := model.DatabaseID(row.Key)
		listed[id] = true
		d.listed = max(d.listed, row.Version)
		if row.Deleted {
			d.rejected.remove(row.Key)
			d.listed = max(d.listed, rows.Version)
			f.markMissing(id)
			continue
		}
		f.applyEntry(row, isFirstList)
	}
	if isComplete {
		for id := range d.entries {
			if !listed[id] && f.markMissing(id) {
				d.listed = max(d.listed, rows.Version)
			}
		}
	}
	f.publishDatabases()
}

// applyDatabaseList applies entries that the store has just returned and
// records that the list of databases is the newest.
func (f *Fleet) applyDatabaseList(rows store.Rows, isComplete bool) {
	f.applyDatabaseRows(rows, isComplete)
	f.directory.mu.Lock()
	defer f.directory.mu.Unlock()
	f.directory.listConfirmedAt = clock.Now()
}

// databasesConfirmedAt returns the latest time at which the list of databases
// was known to be the newest.
func (f *Fleet) databasesConfirmedAt() time.Time {
	f.directory.mu.Lock()
	defer f.directory.mu.Unlock()
	return f.directory.listConfirmedAt
}

// databasesVersion returns the store's version of the list of databases.
func (f *Fleet) databasesVersion() uint64 {
	f.directory.mu.Lock()
	defer f.directory.mu.Unlock()
	return f.directory.listed
}

// markMissing records that a database's entry is missing, and reports whether
// it was present before. The directory must be locked.
func (f *Fleet) markMissing(id model.DatabaseID) bool {
	current, found := f.directory.entries[id]
	if !found || !current.missingSince.IsZero() {
		return false
	}
	current.missingSince = clock.Now()
	return true
}

// rejectEntry records that an entry can't be decoded. Such an entry names no database.
// If it has taken the place of one that did, that database counts as missing from now
// on: it is still used for missingEntryGrace, within which a database that is alive
// writes its entry again. The entries of other databases are not affected. The directory
// must be locked.
func (f *Fleet) rejectEntry(row store.Row, err error) {
	d := &f.directory
	if current, found := d.entries[model.DatabaseID(row.Key)]; found {
		if current.version > row.Version {
			return
		}
		current.version = row.Version
		f.markMissing(model.DatabaseID(row.Key))
	}
	if d.rejected.add(row) {
		f.logEvent(event.ContentRejected, event.F("table", row.Table), event.F("key", row.Key),
			event.F("error", err.Error()))
	}
}

// applyEntry applies one entry. The directory must be locked.
func (f *Fleet) applyEntry(row store.Row, isFirstList bool) {
	decoded, err := f.options.Schema.DecodeDatabase(row.Key, row.Value)
	if err != nil {
		f.rejectEntry(row, err)
		return
	}
	d := &f.directory
	d.rejected.remove(row.Key)
	current, found := d.entries[decoded.ID]
	if !found || current.Incarnation != decoded.Incarnation {
		current = &entry{}
		if !isFirstList && !d.isRemembered(decoded.ID) {
			current.knownSince = clock.Now()
		}
		d.entries[decoded.ID] = current
	}
	if current.version > row.Version {
		return
	}
	if current.Database != decoded {
		f.logEvent(event.DatabaseKnown,
			event.F("group", decoded.Group), event.F("database", decoded.ID),
			event.F("zone", decoded.Zone), event.F("leaving", decoded.Leaving),
			event.F("primary", decoded.ClaimsPrimary), event.F("born", decoded.Incarnation),
			event.F("source", row.Table))
	}
	if decoded.Leaving && current.leavingSince.IsZero() {
		current.leavingSince = clock.Now()
	}
	if !decoded.Leaving {
		current.leavingSince = time.Time{}
		current.retired = false
	}
	current.Database = decoded
	current.version = row.Version
	current.raw = row.Value
	current.missingSince = time.Time{}
}

// isRemembered reports whether a database was dropped so recently that all instances still
// count it in a survey. The directory must be locked.
func (d *directory) isRemembered(id model.DatabaseID) bool {
	e, found := d.dropped[id]
	return found && clock.Since(e.at) < directorySkew/2
}

// expireDatabases removes the databases whose entry has been missing for longer
// than missingEntryGrace, and retires those that have been leaving for longer
// than DrainTimeout.
func (f *Fleet) expireDatabases() {
	d := &f.directory
	d.mu.Lock()
	defer d.mu.Unlock()
	now := clock.Now()
	hasChanged := false
	maps.DeleteFunc(d.dropped, func(_ model.DatabaseID, e droppedDatabase) bool { return now.Sub(e.at) > droppedMemory })
	for id, e := range d.entries {
		var reason string
		switch {
		case !e.missingSince.IsZero() && now.Sub(e.missingSince) > missingEntryGrace:
			reason = "its entry is missing"
			delete(d.entries, id)
			d.dropped[id] = droppedDatabase{Database: e.Database, at: now}
		case !e.retired && !e.leavingSince.IsZero() && now.Sub(e.leavingSince) > f.options.DrainTimeout:
			reason = "it has been leaving for longer than the drain timeout"
			e.retired = true
		default:
			continue
		}
		hasChanged = true
		f.logEvent(event.DatabaseGone, event.F("group", e.Group), event.F("database", id),
			event.F("why", reason))
	}
	if hasChanged {
		f.publishDatabases()
	}
}

// isConnectable reports whether a database may be connected to.
func (f *Fleet) isConnectable(id model.DatabaseID) bool {
	f.directory.mu.Lock()
	defer f.directory.mu.Unlock()
	e, found := f.directory.entries[id]
	return found && !e.retired
}

// publishDatabases passes the databases in use and the number of instances to
// the scheduler. The directory must be locked.
func (f *Fleet) publishDatabases() {
	d := &f.directory
	databases := make([]placement.Database, 0, len(d.entries))
	for _, e := range d.entries {
		if e.retired {
			continue
		}
		published := e.Database
		published.MaxConnections = d.configuration.Groups[e.Group].MaxConnections
		databases = append(databases, published)
	}
	d.publishedInstances, d.publishedMembers = f.instanceCount(), f.membersVersion()
	f.Scheduler.SetDatabases(databases, placement.Population{
		Self: f.options.InstanceName, Instances: d.publishedInstances, Zones: f.membersByZone(),
		HasTenants: d.configuration.RequiresKey,
	})
}

// publishIfResized passes the databases to the scheduler again if the number of
// instances or the members have changed.
func (f *Fleet) publishIfResized() {
	f.directory.mu.Lock()
	defer f.directory.mu.Unlock()
	if f.directory.publishedInstances != f.instanceCount() || f.directory.publishedMembers != f.membersVersion() {
		f.publishDatabases()
	}
}
