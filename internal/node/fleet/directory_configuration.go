package fleet

import (
	"context"
	"strconv"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/clock"
	"github.com/eelgrassfold/eelgrassfold/internal/core/route"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/store"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

// applyConfigurationRows adopts the configuration in the rows of the operator's
// table and records that it is the newest.
func (f *Fleet) applyConfigurationRows(rows store.Rows, key string) {
	for _, row := range rows.Rows {
		if row.Key == key && !row.Deleted {
			f.adoptConfiguration(row.Value, "store")
		}
	}
	f.confirmConfiguration(clock.Now())
}

// adoptConfiguration puts a configuration in force if it is newer than the
// present one. One that can't be decoded changes nothing.
func (f *Fleet) adoptConfiguration(body []byte, source string) {
	decoded, err := f.options.Schema.DecodeConfiguration(body)
	if err == nil && f.isNewer(decoded.Version) {
		body, err = f.options.Schema.RedactConfiguration(body)
	}
	if err != nil {
		f.logEvent(event.ContentRejected, event.F("table", "configuration"), event.F("key", source),
			event.F("error", err.Error()))
		return
	}
	d := &f.directory
	d.mu.Lock()
	previousVersion := d.configuration.Version
	isNewer := d.isNewer(decoded.Version)
	if isNewer {
		d.hasConfiguration = true
		d.configuration = decoded
		d.configurationBody = body
		d.notifyChanged()
		f.publishDatabases()
	}
	d.mu.Unlock()
	if isNewer {
		f.applyLimits()
		f.sessions.CloseRevokedSessions()
		f.broadcast()
		f.logEvent(event.ConfigurationAdopted,
			event.F("version", decoded.Version), event.F("before", previousVersion),
			event.F("routes", len(decoded.Routes)), event.F("tenants", len(decoded.Tenants)),
			event.F("source", source))
		f.logRejectedParts(decoded)
	}
}

// isNewer reports whether a configuration of a version is newer than the present one.
func (f *Fleet) isNewer(version uint64) bool {
	f.directory.mu.Lock()
	defer f.directory.mu.Unlock()
	return f.directory.isNewer(version)
}

// isNewer is Fleet.isNewer for a caller that has locked the directory.
func (d *directory) isNewer(version uint64) bool {
	return !d.hasConfiguration || version > d.configuration.Version
}

// logRejectedParts logs the parts of a configuration that were left out, up to
// maxRejectedLines of them.
func (f *Fleet) logRejectedParts(decoded route.Configuration) {
	for i, err := range decoded.Rejected {
		if i == maxRejectedLines {
			return
		}
		f.logEvent(event.ContentRejected, event.F("table", "configuration"),
			event.F("key", strconv.FormatUint(decoded.Version, 10)), event.F("error", err.Error()))
	}
}

// confirmConfiguration records that the configuration in force was the newest
// at a time.
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

// notifyChanged wakes the goroutines that wait for a configuration to be
// adopted or confirmed. The directory must be locked.
func (d *directory) notifyChanged() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// configurationConfirmedAt returns the latest time at which the configuration
// was known to be the newest.
func (f *Fleet) configurationConfirmedAt() time.Time {
	f.directory.mu.Lock()
	defer f.directory.mu.Unlock()
	return f.directory.confirmedAt
}

// Admit implements session.Router.
func (f *Fleet) Admit(name string, key route.KeyDigest) route.Admission {
	f.directory.mu.Lock()
	defer f.directory.mu.Unlock()
	return f.directory.configuration.Admit(name, key)
}

// ConfirmAdmission implements session.Router. That a caller is refused is certain
// only if the configuration was the newest less than MaxConfigurationAge ago;
// otherwise ConfirmAdmission has the store read and waits for
// admissionConfirmTimeout at most.
func (f *Fleet) ConfirmAdmission(ctx context.Context, name string, key route.KeyDigest) (admission route.Admission, isCertain bool) {
	ctx, cancel := context.WithTimeout(ctx, admissionConfirmTimeout)
	defer cancel()
	for {
		changed := f.configurationChanged()
		if admission = f.Admit(name, key); admission.Refusal == route.RefusalNone {
			return admission, true
		}
		if f.isConfigurationRecent() {
			return admission, true
		}
		f.lookUpConfiguration()
		select {
		case <-changed:
		case <-ctx.Done():
			return admission, false
		}
	}
}

// isConfigurationRecent reports whether the configuration was known to be the
// newest less than MaxConfigurationAge ago.
func (f *Fleet) isConfigurationRecent() bool {
	f.directory.mu.Lock()
	defer f.directory.mu.Unlock()
	return f.directory.hasConfiguration && clock.Since(f.directory.confirmedAt) < f.options.MaxConfigurationAge
}

// configurationChanged returns a channel that is closed when a configuration is
// next adopted or confirmed.
func (f *Fleet) configurationChanged() <-chan struct{} {
	f.directory.mu.Lock()
	defer f.directory.mu.Unlock()
	return f.directory.changed
}

// lookUpConfiguration reads the operator's table once for all goroutines that
// wait, unless a read is running or ended less than minLookUpInterval ago: a
// configuration may be as large as a slow link carries in a second.
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

// readConfiguration reads the operator's table once and adopts its
// configuration.
func (f *Fleet) readConfiguration(ctx context.Context) {
	table, key := f.options.Schema.ConfigurationTable()
	rows, err := f.readTable(ctx, table)
	if err != nil {
		f.logEvent(event.DependencyLost, event.F("dependency", "store/"+table),
			event.F("error", err.Error()))
		return
	}
	f.applyConfigurationRows(rows, key)
}

// rawConfiguration returns the version of the configuration in force and its
// encoded form without secrets.
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

// ConfigurationVersion implements session.Router.
func (f *Fleet) ConfigurationVersion() uint64 {
	f.directory.mu.Lock()
	defer f.directory.mu.Unlock()
	return f.directory.configuration.Version
}
