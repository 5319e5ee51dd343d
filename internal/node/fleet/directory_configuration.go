package fleet

import (
	"context"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/clock"
	"github.com/eelgrassfold/eelgrassfold/internal/core/route"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/store"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

// applyConfigurationRows takes in the rows of the operator's table.
func (f *Fleet) applyConfigurationRows(rows store.Rows, key string) {
	for _, row := range rows.Rows {
		if row.Key == key && !row.Deleted {
			f.adoptConfiguration(row.Value, "store")
		}
	}
	f.confirmConfiguration(clock.Now())
}

// adoptConfiguration puts a configuration in force unless one as new already is.
func (f *Fleet) adoptConfiguration(body []byte, source string) {
	decoded, err := f.options.Schema.DecodeConfiguration(body)
	if err != nil {
		f.logEvent(event.ContentRejected, event.F("table", "configuration"), event.F("key", source), event.F("error", err.Error()))
		return
	}
	d := &f.directory
	d.mu.Lock()
	previousVersion := d.configuration.Version
	isNewer := !d.hasConfiguration || decoded.Version > previousVersion
	if isNewer {
		d.hasConfiguration = true
		d.configuration = decoded
		d.configurationBody = body
		d.notifyChanged()
		f.publishDatabases()
	}
	d.mu.Unlock()
	if isNewer {
		f.broadcast()
		f.logEvent(event.ConfigurationAdopted,
			event.F("version", decoded.Version), event.F("before", previousVersion), event.F("routes", len(decoded.Routes)),
			event.F("source", source))
	}
}

// confirmConfiguration notes that the configuration in force was the newest at a time.
func (f *Fleet) confirmConfiguration(at time.Time) {
	d := &f.directory
	d.mu.Lock()
	defer d.mu.Unlock()
	if !at.After(d.confirmedAt) {
		return
	}
	d.confirmedAt = at
	d.notifyChanged()
}

// notifyChanged lets those look again that wait for a configuration. The directory is
// locked.
func (d *directory) notifyChanged() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// configurationConfirmedAt returns when the configuration was last the newest.
func (f *Fleet) configurationConfirmedAt() time.Time {
	f.directory.mu.Lock()
	defer f.directory.mu.Unlock()
	return f.directory.confirmedAt
}

// Route implements session.Router.
func (f *Fleet) Route(name string) (route.Route, bool) {
	f.directory.mu.Lock()
	defer f.directory.mu.Unlock()
	result, ok := f.directory.configuration.Routes[name]
	return result, ok
}

// ConfirmRoute implements session.Router: a name without a route is refused only on a
// configuration that was the newest a moment ago.
func (f *Fleet) ConfirmRoute(ctx context.Context, name string) (found, isCertain bool) {
	ctx, cancel := context.WithTimeout(ctx, routeConfirmTimeout)
	defer cancel()
	for {
		changed := f.configurationChanged()
		if _, found = f.Route(name); found {
			return true, true
		}
		if f.isConfigurationRecent() {
			return false, true
		}
		f.lookUpConfiguration()
		select {
		case <-changed:
		case <-ctx.Done():
			return false, false
		}
	}
}

// isConfigurationRecent reports whether the configuration was the newest a moment ago.
func (f *Fleet) isConfigurationRecent() bool {
	f.directory.mu.Lock()
	defer f.directory.mu.Unlock()
	return f.directory.hasConfiguration && clock.Since(f.directory.confirmedAt) < f.options.MaxConfigurationAge
}

// configurationChanged returns a channel that is closed when a configuration is
// taken in, or confirmed.
func (f *Fleet) configurationChanged() <-chan struct{} {
	f.directory.mu.Lock()
	defer f.directory.mu.Unlock()
	return f.directory.changed
}

// lookUpConfiguration reads the operator's table once for all that wait, unless that was done a
// moment ago: a configuration may be as large as a slow link carries in a second.
func (f *Fleet) lookUpConfiguration() {
	d := &f.directory
	d.mu.Lock()
	isDue := !d.isLookingUp && clock.Since(d.lookedUpAt) >= minLookUpInterval
	if isDue {
		d.isLookingUp = true
	}
	d.mu.Unlock()
	if !isDue {
		return
	}
	f.running.Add(1)
	go func() {
		defer f.running.Done()
		f.readConfiguration(f.lifetime)
		d.mu.Lock()
		defer d.mu.Unlock()
		d.isLookingUp, d.lookedUpAt = false, clock.Now()
	}()
}

// readConfiguration reads the operator's table once.
func (f *Fleet) readConfiguration(ctx context.Context) {
	table, key := f.options.Schema.ConfigurationTable()
	rows, err := f.readTable(ctx, table)
	if err != nil {
		f.logEvent(event.DependencyLost, event.F("dependency", "store/"+table), event.F("error", err.Error()))
		return
	}
	f.applyConfigurationRows(rows, key)
}

// rawConfiguration returns the configuration in force as the operator wrote it.
func (f *Fleet) rawConfiguration() (uint64, []byte) {
	f.directory.mu.Lock()
	defer f.directory.mu.Unlock()
	return f.directory.configuration.Version, f.directory.configurationBody
}

// IdleTransactionTimeout implements session.Router.
func (f *Fleet) IdleTransactionTimeout() time.Duration {
	f.directory.mu.Lock()
	defer f.directory.mu.Unlock()
	return f.directory.configuration.IdleTransactionTimeout
}

// Version implements session.Router.
func (f *Fleet) ConfigurationVersion() uint64 {
	f.directory.mu.Lock()
	defer f.directory.mu.Unlock()
	return f.directory.configuration.Version
}
