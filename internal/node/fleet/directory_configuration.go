package fleet

import (
	"context"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/clock"
	"github.com/eelgrassfold/eelgrassfold/internal/core/route"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/store"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

// takeConfiguration takes in the rows of the operator's table.
func (f *Fleet) takeConfiguration(rows store.Rows, key string) {
	for _, row := range rows.Rows {
		if row.Key == key && !row.Deleted {
			f.adopt(row.Value, "store")
		}
	}
	f.confirm(clock.Now())
}

// adopt puts a configuration in force unless one as new already is.
func (f *Fleet) adopt(body []byte, from string) {
	decoded, err := f.options.Schema.DecodeConfiguration(body)
	if err != nil {
		f.note(event.ContentRejected, event.F("table", "configuration"), event.F("key", from), event.F("error", err.Error()))
		return
	}
	d := &f.directory
	d.mu.Lock()
	before := d.configuration.Version
	newer := !d.known || decoded.Version > before
	if newer {
		d.known = true
		d.configuration = decoded
		d.raw = body
		d.wake()
		f.publish()
	}
	d.mu.Unlock()
	if newer {
		f.broadcast()
		f.note(event.ConfigurationAdopted,
			event.F("version", decoded.Version), event.F("before", before), event.F("routes", len(decoded.Routes)),
			event.F("source", from))
	}
}

// confirm notes that the configuration in force was the newest at a time.
func (f *Fleet) confirm(at time.Time) {
	d := &f.directory
	d.mu.Lock()
	defer d.mu.Unlock()
	if !at.After(d.confirmed) {
		return
	}
	d.confirmed = at
	d.wake()
}

// wake lets those look again that wait for a configuration. The directory is
// locked.
func (d *directory) wake() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// configurationConfirmed returns when the configuration was last the newest.
func (f *Fleet) configurationConfirmed() time.Time {
	f.directory.mu.Lock()
	defer f.directory.mu.Unlock()
	return f.directory.confirmed
}

// Route implements session.Router.
func (f *Fleet) Route(name string) (route.Route, bool) {
	f.directory.mu.Lock()
	defer f.directory.mu.Unlock()
	found, is := f.directory.configuration.Routes[name]
	return found, is
}

// ConfirmRoute implements session.Router: a name without a route is refused only on a
// configuration that was the newest a moment ago.
func (f *Fleet) ConfirmRoute(ctx context.Context, name string) (found, isCertain bool) {
	ctx, cancel := context.WithTimeout(ctx, confirmWait)
	defer cancel()
	for {
		changed := f.configurationChanged()
		if _, found = f.Route(name); found {
			return true, true
		}
		if f.isConfirmed() {
			return false, true
		}
		f.lookUp()
		select {
		case <-changed:
		case <-ctx.Done():
			return false, false
		}
	}
}

// isConfirmed reports whether the configuration was the newest a moment ago.
func (f *Fleet) isConfirmed() bool {
	f.directory.mu.Lock()
	defer f.directory.mu.Unlock()
	return f.directory.known && clock.Since(f.directory.confirmed) < f.options.MaxConfigurationAge
}

// configurationChanged returns a channel that is closed when a configuration is
// taken in, or confirmed.
func (f *Fleet) configurationChanged() <-chan struct{} {
	f.directory.mu.Lock()
	defer f.directory.mu.Unlock()
	return f.directory.changed
}

// lookUp reads the operator's table once for all that wait, unless that was done a
// moment ago: a configuration may be as large as a slow link carries in a second.
func (f *Fleet) lookUp() {
	d := &f.directory
	d.mu.Lock()
	isDue := !d.lookingUp && clock.Since(d.lookedUp) >= lookUpPause
	if isDue {
		d.lookingUp = true
	}
	d.mu.Unlock()
	if !isDue {
		return
	}
	f.running.Add(1)
	go func() {
		defer f.running.Done()
		f.readConfiguration(f.life)
		d.mu.Lock()
		defer d.mu.Unlock()
		d.lookingUp, d.lookedUp = false, clock.Now()
	}()
}

// readConfiguration reads the operator's table once.
func (f *Fleet) readConfiguration(ctx context.Context) {
	table, key := f.options.Schema.ConfigurationTable()
	rows, err := f.read(ctx, table)
	if err != nil {
		f.note(event.DependencyLost, event.F("dependency", "store/"+table), event.F("error", err.Error()))
		return
	}
	f.takeConfiguration(rows, key)
}

// rawConfiguration returns the configuration in force as the operator wrote it.
func (f *Fleet) rawConfiguration() (uint64, []byte) {
	f.directory.mu.Lock()
	defer f.directory.mu.Unlock()
	return f.directory.configuration.Version, f.directory.raw
}

// IdleTransactionTimeout implements session.Router.
func (f *Fleet) IdleTransactionTimeout() time.Duration {
	f.directory.mu.Lock()
	defer f.directory.mu.Unlock()
	return f.directory.configuration.IdleTransactionTimeout
}

// ConfigurationVersion returns the version of the configuration in force, as session.Router requires.
func (f *Fleet) ConfigurationVersion() uint64 {
	f.directory.mu.Lock()
	defer f.directory.mu.Unlock()
	return f.directory.configuration.Version
}
