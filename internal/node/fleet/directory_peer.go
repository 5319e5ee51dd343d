package fleet

import (
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/clock"
	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/store"
)

// hearConfirmation takes in that a peer knew the configuration and the list of
// databases to be the newest at some age of them before echoed.
func (f *Fleet) hearConfirmation(echoed time.Time, b message.GossipState) {
	if b.ConfigurationVersion == f.ConfigurationVersion() {
		f.confirm(echoed.Add(-b.ConfigurationAge))
	}
	d := &f.directory
	d.mu.Lock()
	defer d.mu.Unlock()
	if at := echoed.Add(-b.DatabasesAge); b.DatabasesVersion == d.listed && at.After(d.listedAt) {
		d.listedAt = at
	}
}

// offerDatabases returns the list of databases for a peer.
func (f *Fleet) offerDatabases() message.DatabasesOffer {
	d := &f.directory
	d.mu.Lock()
	defer d.mu.Unlock()
	offer := message.DatabasesOffer{Version: d.listed}
	for id, known := range d.entries {
		if known.lapsed.IsZero() {
			offer.Entries = append(offer.Entries, message.DatabaseEntry{Key: string(id), Value: known.raw, Version: known.version})
		}
	}
	return offer
}

// takeOffer takes in a peer's list of databases where it is newer than this
// instance's.
func (f *Fleet) takeOffer(offer message.DatabasesOffer, from string) {
	if offer.Version <= f.databasesVersion() {
		return
	}
	rows := store.Rows{Version: offer.Version}
	for _, known := range offer.Entries {
		rows.Rows = append(rows.Rows, store.Row{Table: from, Key: known.Key, Value: known.Value, Version: known.Version})
	}
	f.takeDatabases(rows, true)
	f.directory.mu.Lock()
	defer f.directory.mu.Unlock()
	f.directory.listed = max(f.directory.listed, offer.Version)
}

// askFor asks a peer for what it knows newer.
func (f *Fleet) askFor(peer model.InstanceID, b message.GossipState) {
	now := clock.Now()
	d := &f.directory
	d.mu.Lock()
	above, listed := d.configuration.Version, d.listed
	wantsConfiguration := b.ConfigurationVersion > above && d.askedConfiguration.isDue(b.ConfigurationVersion, now)
	// All versions of the list count as one: at a start each database changes it.
	wantsDatabases := b.DatabasesVersion > listed && d.askedDatabases.isDue(0, now)
	d.mu.Unlock()
	if wantsConfiguration {
		f.peers.links.HandleAction(message.SendPeer{To: peer, Body: message.ManifestRequest{NewerThan: above}})
	}
	if wantsDatabases {
		f.peers.links.HandleAction(message.SendPeer{To: peer, Body: message.DatabasesRequest{NewerThan: listed}})
	}
}
