package fleet

import (
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/clock"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/core/placement"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/store"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

// takeDatabases takes in entries: all that there are where whole is set, else
// those that have changed.
func (f *Fleet) takeDatabases(rows store.Rows, whole bool) {
	d := &f.directory
	d.mu.Lock()
	defer d.mu.Unlock()
	listed := map[model.DatabaseID]bool{}
	for _, row := range rows.Rows {
		id := model.DatabaseID(row.Key)
		listed[id] = true
		d.listed = max(d.listed, row.Version)
		if row.Deleted {
			d.listed = max(d.listed, rows.Version)
			f.lapse(id)
			continue
		}
		f.takeEntry(row)
	}
	if whole {
		for id := range d.entries {
			if !listed[id] && f.lapse(id) {
				d.listed = max(d.listed, rows.Version)
			}
		}
	}
	f.publish()
}

// takeList takes in the databases as the store tells them now.
func (f *Fleet) takeList(rows store.Rows, whole bool) {
	f.takeDatabases(rows, whole)
	f.directory.mu.Lock()
	defer f.directory.mu.Unlock()
	f.directory.listedAt = clock.Now()
}

// databasesConfirmed returns when the list of databases was last the newest.
func (f *Fleet) databasesConfirmed() time.Time {
	f.directory.mu.Lock()
	defer f.directory.mu.Unlock()
	return f.directory.listedAt
}

// databasesVersion returns the store's version of the list of databases.
func (f *Fleet) databasesVersion() uint64 {
	f.directory.mu.Lock()
	defer f.directory.mu.Unlock()
	return f.directory.listed
}

// lapse notes that a database's entry is missing, and reports whether that is
// news.
func (f *Fleet) lapse(id model.DatabaseID) bool {
	known, found := f.directory.entries[id]
	if !found || !known.lapsed.IsZero() {
		return false
	}
	known.lapsed = clock.Now()
	return true
}

// takeEntry takes in one entry. One that can't be read changes nothing.
func (f *Fleet) takeEntry(row store.Row) {
	decoded, err := f.options.Schema.DecodeDatabase(row.Key, row.Value)
	if err != nil {
		f.note(event.ContentRejected, event.F("table", row.Table), event.F("key", row.Key), event.F("error", err.Error()))
		return
	}
	d := &f.directory
	known, found := d.entries[decoded.ID]
	if !found || known.Incarnation != decoded.Incarnation {
		known = &entry{}
		d.entries[decoded.ID] = known
	}
	if known.version > row.Version {
		return
	}
	if known.Database != decoded {
		f.note(event.DatabaseKnown,
			event.F("group", decoded.Group), event.F("database", decoded.ID), event.F("zone", decoded.Zone),
			event.F("leaving", decoded.Leaving), event.F("primary", decoded.ClaimsPrimary), event.F("born", decoded.Incarnation),
			event.F("source", row.Table))
	}
	if decoded.Leaving && known.leavingAt.IsZero() {
		known.leavingAt = clock.Now()
	}
	if !decoded.Leaving {
		known.leavingAt = time.Time{}
		known.retired = false
	}
	known.Database = decoded
	known.version = row.Version
	known.raw = row.Value
	known.lapsed = time.Time{}
}

// expireDatabases forgets databases that have left.
func (f *Fleet) expireDatabases() {
	d := &f.directory
	d.mu.Lock()
	defer d.mu.Unlock()
	now := clock.Now()
	gone := false
	for id, known := range d.entries {
		var why string
		switch {
		case !known.lapsed.IsZero() && now.Sub(known.lapsed) > lapseKept:
			why = "its entry is missing"
			delete(d.entries, id)
		case !known.retired && !known.leavingAt.IsZero() && now.Sub(known.leavingAt) > f.options.DrainTimeout:
			why = "it has been leaving for long"
			known.retired = true
		default:
			continue
		}
		gone = true
		f.note(event.DatabaseGone, event.F("group", known.Group), event.F("database", id), event.F("why", why))
	}
	if gone {
		f.publish()
	}
}

// isKnown reports whether a database may be connected to.
func (f *Fleet) isKnown(id model.DatabaseID) bool {
	f.directory.mu.Lock()
	defer f.directory.mu.Unlock()
	known, found := f.directory.entries[id]
	return found && !known.retired
}

// publish tells the scheduler which databases there are. The directory is locked.
func (f *Fleet) publish() {
	d := &f.directory
	databases := make([]placement.Database, 0, len(d.entries))
	for _, known := range d.entries {
		if known.retired {
			continue
		}
		published := known.Database
		published.MaxConnections = d.configuration.Groups[known.Group].MaxConnections
		databases = append(databases, published)
	}
	d.sharing = f.instances()
	f.Scheduler.SetDatabases(databases, d.sharing)
}

// republish tells the scheduler again where the number of instances has changed.
func (f *Fleet) republish() {
	f.directory.mu.Lock()
	defer f.directory.mu.Unlock()
	if f.directory.sharing != f.instances() {
		f.publish()
	}
}
