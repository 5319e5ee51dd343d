// Package fleet keeps what one instance believes of the fleet: the configuration
// in force, the databases, their primaries, and the other instances.
//
// # What flows in and out
//
// The platform's store flows in: the operator's configuration, the databases'
// entries, and the tables of the fleet itself. Routes, samples and verdicts flow
// out to sessions, databases and their state to the scheduler.
//
// # How it is laid out
//
//	fleet.go           the parts and their common life
//	watch.go           following a table of the store
//	directory.go       the configuration and the databases in force, from the
//	                   store (directory_configuration.go, directory_database.go)
//	                   and from peers (directory_peer.go)
//	readiness.go       whether callers shall come here
//	leases.go          the table of groups: views, and the first rows
//	prove.go           verdicts for sessions
//	survey.go          proofs while neither the store nor a peer answers
//	peers.go           the other instances: who is alive, who is first
//	peers_member.go    who uses leases
//	peers_link.go      whom to keep a link to
//	peers_bulletin.go  what instances tell each other
//	steward.go         when a primary is changed
//	steward_duty.go    by whom
//	steward_change.go  how
//	logbook.go         the records of changes
//	ask.go             questions to databases
//
// # Usage
//
//	f := fleet.New(options)
//	f.Attach(links, sessions)
//	ended := f.Start(ctx)
package fleet

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/clock"
	"github.com/eelgrassfold/eelgrassfold/internal/core/fresh"
	"github.com/eelgrassfold/eelgrassfold/internal/core/lease"
	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/core/placement"
	"github.com/eelgrassfold/eelgrassfold/internal/core/route"
	"github.com/eelgrassfold/eelgrassfold/internal/core/succession"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/backend"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/store"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
	"github.com/eelgrassfold/eelgrassfold/internal/report/eventlog"
)

const (
	// tickInterval is the time between two looks at what only time changes.
	tickInterval = 250 * time.Millisecond
	// watchInterval is the time between two looks at the primaries: a fifth of
	// the silence that counts against one.
	watchInterval = 100 * time.Millisecond
)

// StoreSchema tells where the operator and the databases write, and decodes it.
type StoreSchema interface {
	ConfigurationTable() (table, key string)
	DecodeConfiguration(body []byte) (route.Configuration, error)
	DatabaseTable() string
	// DecodeDatabase decodes an entry; its error says that it names no database.
	DecodeDatabase(id string, body []byte) (placement.Database, error)
}

// Options are what a Fleet needs.
type Options struct {
	// StartID names this start of the instance, InstanceName the instance itself.
	StartID, InstanceName model.InstanceID
	Zone                  model.ZoneID
	// PeerAddress is where other instances connect, Seeds where some of them do.
	PeerAddress   netip.AddrPort
	SeedAddresses []netip.AddrPort
	// ExpectedInstances is the number of instances that share the databases until more
	// is known.
	ExpectedInstances int
	Store             store.Store
	Promoter          store.Promoter
	Schema            StoreSchema
	Protocol          backend.Protocol
	// DrainTimeout is how long after it has said so a leaving database may still
	// get work.
	DrainTimeout time.Duration
	// MaxConfigurationAge is the age of the configuration below which a name without a
	// route is refused without a look at the store.
	MaxConfigurationAge time.Duration
	Log                 *eventlog.Writer
}

// Fleet is the state of one instance. New makes one.
type Fleet struct {
	options   Options
	Leases    *lease.Table
	Scheduler *placement.Scheduler
	Pool      *backend.Pool

	directory    directory
	renewal      renewal
	peers        peers
	surveys      surveys
	groupGossip  groupGossip
	readTimeouts readTimeouts
	// probing holds the primaries that are being asked.
	probing      sync.Map
	coordination coordination
	leaving      atomic.Bool
	// storeReachable says that the store has answered the last call.
	storeReachable atomic.Bool
	ready          atomic.Bool
	running        sync.WaitGroup
	// lifetime ends with the fleet, by end; what peers ask for runs under it.
	lifetime  context.Context
	cancel    context.CancelFunc
	startedAt time.Time
	// sessions are shed while the instance is cut off.
	sessions Sessions

	samplesMu sync.Mutex
	samples   map[model.GroupID]*fresh.PositionSamples
}

// New returns a fleet that knows nothing yet.
func New(options Options) *Fleet {
	leases := lease.NewTable()
	lifetime, cancel := context.WithCancel(context.Background())
	return &Fleet{
		options:      options,
		lifetime:     lifetime,
		readTimeouts: readTimeouts{timeouts: map[string]time.Duration{}},
		cancel:       cancel,
		Leases:       leases,
		Scheduler:    placement.NewScheduler(options.Zone, leases),
		Pool:         backend.NewPool(options.Protocol),
		directory:    newDirectory(),
		renewal:      renewal{requested: make(chan struct{}, 1)},
		peers:        newPeers(),
		surveys:      surveys{rounds: map[model.GroupID]*round{}, confirmed: map[model.GroupID]time.Time{}, pending: map[time.Duration]chan message.PrimarySurveyResponse{}},
		coordination: coordination{active: map[model.GroupID]chan struct{}{}},
		samples:      map[model.GroupID]*fresh.PositionSamples{},
	}
}

// Sessions are those of callers.
type Sessions interface {
	// CloseIdleSessions closes the sessions that are idle.
	CloseIdleSessions()
}

// Attach gives the fleet its links and sessions. It goes before the start of
// either, since peers may be heard at once.
func (f *Fleet) Attach(links Links, sessions Sessions) {
	f.sessions = sessions
	f.peers.links = links
}

// Start runs the fleet until ctx ends. The channel gets its end.
func (f *Fleet) Start(ctx context.Context) <-chan error {
	f.startedAt = clock.Now()
	context.AfterFunc(ctx, f.cancel)
	f.updateLinks()
	configurationTable, key := f.options.Schema.ConfigurationTable()
	for _, run := range []func(context.Context){
		func(ctx context.Context) {
			f.watchTable(ctx, configurationTable, f.configurationConfirmedAt, func(rows store.Rows, _ bool) { f.applyConfigurationRows(rows, key) })
		},
		func(ctx context.Context) {
			f.watchTable(ctx, f.options.Schema.DatabaseTable(), f.databasesConfirmedAt, f.applyDatabaseList)
		},
		f.renewViews,
		f.keepRegistered,
		f.gossipPeriodically,
		f.runPeriodicTasks,
		f.watchPrimaries,
	} {
		f.running.Add(1)
		go func() {
			defer f.running.Done()
			run(ctx)
		}()
	}
	ended := make(chan error, 1)
	go func() {
		f.running.Wait()
		ended <- nil
	}()
	return ended
}

// runPeriodicTasks does what only time calls for.
func (f *Fleet) runPeriodicTasks(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f.peers.prune(clock.Now())
			f.updateLinks()
			f.publishIfResized()
			f.expireDatabases()
			f.createMissingRows(ctx)
			f.deleteExpiredMembers(ctx)
			f.Pool.EvictStale(f.isConnectable)
			f.updateReadiness()
			f.options.Log.Flush(time.Now())
		}
	}
}

// watchPrimaries finds primaries that fail, tells the peers at once, and begins
// changes.
func (f *Fleet) watchPrimaries(ctx context.Context) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	failing := map[model.GroupID]bool{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f.probePrimaries(ctx)
			f.surveyUnconfirmed(ctx)
			if f.hasNewFailure(failing) {
				f.broadcast()
			}
			f.startFailovers(ctx)
		}
	}
}

// hasNewFailure reports whether a primary fails that did not before.
func (f *Fleet) hasNewFailure(wasFailing map[model.GroupID]bool) bool {
	hasNew := false
	for name := range f.Leases.View().Rows {
		isFailing := f.Scheduler.FailureDuration(name) >= succession.SilenceThreshold
		hasNew = hasNew || isFailing && !wasFailing[name]
		wasFailing[name] = isFailing
	}
	return hasNew
}

// SamplesOf implements session.SampleSource.
func (f *Fleet) SamplesOf(group model.GroupID) *fresh.PositionSamples {
	f.samplesMu.Lock()
	defer f.samplesMu.Unlock()
	samples, found := f.samples[group]
	if !found {
		samples = &fresh.PositionSamples{}
		f.samples[group] = samples
	}
	return samples
}

// StartDraining takes the instance out of the platform's rotation.
func (f *Fleet) StartDraining() {
	f.leaving.Store(true)
	f.updateReadiness()
}

// IsReady reports whether the platform shall send callers here.
func (f *Fleet) IsReady() bool { return f.ready.Load() }

func (f *Fleet) logEvent(e event.Event, fields ...event.Field) {
	f.options.Log.Write(time.Now(), e, fields...)
}
