package fleet

import (
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/clock"
	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/store"
)

// applyConfirmation records when a peer knew its configuration and its list of
// databases to be the newest, if this instance has the same versions. echoedAt is
// the time, by this instance's clock, at which it sent the message that the peer
// echoes. The peer computed the ages in the gossip after that, so counting them back
// from echoedAt gives times that are not too late.
func (f *Fleet) applyConfirmation(echoedAt time.Time, state message.GossipState) {
	if state.ConfigurationVersion == f.ConfigurationVersion() {
		f.confirmConfiguration(echoedAt.Add(-state.ConfigurationAge))
	}
	d := &f.directory
	d.mu.Lock()
	defer d.mu.Unlock()
	if confirmedAt := echoedAt.Add(-state.DatabasesAge); state.DatabasesVersion == d.listed &&
		confirmedAt.After(d.listConfirmedAt) {
		d.listConfirmedAt = confirmedAt
	}
}

// databasesOffer returns the list of databases as a message to a peer.
func (f *Fleet) databasesOffer() message.DatabasesOffer {
	d := &f.directory
	d.mu.Lock()
	defer d.mu.Unlock()
	offer := message.DatabasesOffer{Version: d.listed}
	for id, e := range d.entries {
		if e.missingSince.IsZero() {
			offer.Entries = append(offer.Entries,
				message.DatabaseEntry{Key: string(id), Value: e.raw, Version: e.version})
		}
	}
	return offer
}

// applyDatabasesOffer applies a peer's list of databases if it is newer than
// this instance's. source is the sender. It becomes the Table of the rows, which log
// events name as their origin.
func (f *Fleet) applyDatabasesOffer(offer message.DatabasesOffer, source string) {
	if offer.Version <= f.databasesVersion() {
		return
	}
	rows := store.Rows{Version: offer.Version}
	for _, e := range offer.Entries {
		rows.Rows = append(rows.Rows,
			store.Row{Table: source, Key: e.Key, Value: e.Value, Version: e.Version})
	}
	f.applyDatabaseRows(rows, true)
	f.directory.mu.Lock()
	defer f.directory.mu.Unlock()
	f.directory.listed = max(f.directory.listed, offer.Version)
}

// requestNewer requests the configuration and the list of databases from a peer
// that has announced newer ones.
func (f *Fleet) requestNewer(peer model.InstanceID, state message.GossipState) {
	now := clock.Now()
	d := &f.directory
	d.mu.Lock()
	configurationVersion, databasesVersion := d.configuration.Version, d.listed
	needsConfiguration := state.ConfigurationVersion > configurationVersion &&
		d.configurationRequest.recordIfDue(state.ConfigurationVersion, now)
	// Version 0 makes recordIfDue treat all versions of the list as one, so that a
	// newer version does not cause another request within peerRetryInterval: each
	// database changes the list when it starts.
	needsDatabases := state.DatabasesVersion > databasesVersion && d.databasesRequest.recordIfDue(0, now)
	d.mu.Unlock()
	if needsConfiguration {
		f.peers.links.HandleAction(message.SendPeer{
			To:   peer,
			Body: message.ManifestRequest{NewerThan: configurationVersion},
		})
	}
	if needsDatabases {
		f.peers.links.HandleAction(message.SendPeer{
			To:   peer,
			Body: message.DatabasesRequest{NewerThan: databasesVersion},
		})
	}
}
