// Package fleet holds the state of the fleet as one instance observes it: the
// configuration in force, the databases, their primaries, and the other instances.
//
// # Data flow
//
// The input is the platform's store: the operator's configuration, the databases'
// entries, and the tables of the fleet itself. Sessions get routes, position
// samples and the validity of grants from the fleet; the scheduler gets the
// databases and their state.
//
// # Files
//
//	fleet.go                 the components and their lifetime
//	watch.go                 following a table of the store
//	directory.go             the configuration and the databases in force, from the
//	                         store (directory_configuration.go, directory_database.go)
//	                         and from peers (directory_peer.go)
//	readiness.go             whether the platform should send callers to this instance
//	leases.go                the table of groups: views, and the first rows
//	confirm.go               confirmation of primaries, for sessions
//	guard.go                 confirmation while an abandoned promotion may take effect
//	rounds.go                queries of databases that goroutines share
//	survey.go                confirmation while neither the store nor a peer answers
//	peers.go                 the other instances: which are alive, which is the first
//	peers_member.go          the members: the listed instances, which use leases
//	peers_link.go            the choice of the peers to keep a link to
//	peers_gossip.go          the gossip between instances
//	coordinator.go           when a failover is started
//	coordinator_lease.go     the coordinator lease: which instance carries it out
//	coordinator_failover.go  the steps of a failover
//	coordinator_promotion.go the promotions, for package promotion
//	coordinator_successor.go the choice of the database to promote
//	coordinator_synchronous.go
//	                         the same with synchronous replication
//	replicas.go              the databases of a group, for package replica
//	logbook.go               the records of failovers
//	control.go               control statements to databases
//	relays.go                the primaries that are reached through other instances
//	limits.go                the limits of tenants: admission of operations
//	limits_keeper.go         the heads, which keep the parts of the limits
//	limits_draw.go           the tokens that instances draw from heads
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
	"github.com/eelgrassfold/eelgrassfold/internal/core/quota"
	"github.com/eelgrassfold/eelgrassfold/internal/core/route"
	"github.com/eelgrassfold/eelgrassfold/internal/core/succession"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/backend"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/store"
	"github.com/eelgrassfold/eelgrassfold/internal/node/promotion"
	"github.com/eelgrassfold/eelgrassfold/internal/node/replica"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
	"github.com/eelgrassfold/eelgrassfold/internal/report/eventlog"
)

const (
	// tickInterval is the time between two runs of the periodic tasks.
	tickInterval = 250 * time.Millisecond
	// watchInterval is the time between two checks of the primaries: a fifth of
	// the time without an answer that counts as a failure.
	watchInterval = 100 * time.Millisecond
)

// StoreSchema names the tables that the operator and the databases write, and
// decodes their rows.
type StoreSchema interface {
	ConfigurationTable() (table, key string)
	DecodeConfiguration(body []byte) (route.Configuration, error)
	// RedactConfiguration returns a form of a configuration that contains no secrets
	// and that DecodeConfiguration decodes to the same. It is sent to peers.
	RedactConfiguration(body []byte) ([]byte, error)
	DatabaseTable() string
	// DecodeDatabase decodes an entry; it returns an error if the entry does
	// not describe a database.
	DecodeDatabase(id string, body []byte) (placement.Database, error)
}

// Options configures a Fleet.
type Options struct {
	// StartID identifies this start of the instance: it differs after a restart.
	// InstanceName identifies the instance itself and stays the same.
	StartID, InstanceName model.InstanceID
	Zone                  model.ZoneID
	// PeerAddress is the address at which other instances connect;
	// SeedAddresses are such addresses of some other instances.
	PeerAddress   netip.AddrPort
	SeedAddresses []netip.AddrPort
	// ExpectedInstances is the number of instances assumed to share the
	// databases until more is known.
	ExpectedInstances int
	Store             store.Store
	Promoter          store.Promoter
	Schema            StoreSchema
	Protocol          backend.Protocol
	// DrainTimeout is how long a leaving database may still get work after it
	// has announced that it leaves.
	DrainTimeout time.Duration
	// MaxConfigurationAge is the maximum time since the configuration was known
	// to be the newest for which a name without a route is refused without a
	// read of the store.
	MaxConfigurationAge time.Duration
	// RelayPort is the port of the relay address of all instances; zero means that
	// statements are not relayed. RelayKey is the key that the instances share.
	RelayPort uint16
	RelayKey  []byte
	// Tolerance is the tolerance of the limits of tenants.
	Tolerance quota.Settings
	// ZonePrice is the time that a read has to save to leave its availability zone;
	// zero means that a fixed cost decides.
	ZonePrice time.Duration
	// Patience is how long a failover of a group with synchronous replication waits for
	// databases that have no entry and may hold acknowledged commits; zero means
	// DefaultPatience.
	Patience time.Duration
	Log      *eventlog.Writer
}

// Fleet is the state of the fleet as one instance observes it. New creates one.
type Fleet struct {
	options   Options
	Leases    *lease.Table
	Scheduler *placement.Scheduler
	Pool      *backend.Pool

	directory directory
	renewal   renewal
	// rejectedRows holds the rows of the table of groups that could not be decoded.
	rejectedRows rejections
	peers        peers
	surveys      surveys
	guards       guards
	groupGossip  groupGossip
	readTimeouts readTimeouts
	limits       *limits
	// probing holds the primaries that are being probed.
	probing      sync.Map
	observed     observedGroups
	coordination coordination
	relays       relays
	replicas     *replica.Keeper
	promotions   *promotion.Caller
	lastCall     lastCall
	leaving      atomic.Bool
	// storeReachable is set if the store has answered the last call about the table of
	// groups.
	storeReachable atomic.Bool
	ready          atomic.Bool
	// liveAt is the time since boot, in nanoseconds, at which the parts that each
	// statement passes through were last seen to respond.
	liveAt atomic.Int64
	// running counts the goroutines of the fleet.
	running sync.WaitGroup
	// lifetime is the context of work that is started on request, such as
	// surveys for peers; cancel ends it when the fleet stops.
	lifetime  context.Context
	cancel    context.CancelFunc
	startedAt time.Time
	// sessions are those of callers. The idle ones are closed while the
	// instance is partitioned.
	sessions Sessions

	samplesMu sync.Mutex
	samples   map[model.GroupID]*fresh.PositionSamples
}

// New returns a Fleet that has not been started and has no state yet.
func New(options Options) *Fleet {
	leases := lease.NewTable()
	pool := backend.NewPool(options.Protocol)
	scheduler := placement.NewScheduler(options.Zone, leases)
	scheduler.SetConnections(pool)
	lifetime, cancel := context.WithCancel(context.Background())
	f := &Fleet{
		options:      options,
		lifetime:     lifetime,
		readTimeouts: readTimeouts{timeouts: map[string]time.Duration{}},
		cancel:       cancel,
		Leases:       leases,
		Scheduler:    scheduler,
		Pool:         pool,
		directory:    newDirectory(),
		limits:       newLimits(options.Tolerance),
		renewal:      renewal{requested: make(chan struct{}, 1)},
		peers:        newPeers(),
		surveys: surveys{
			confirmed: map[model.GroupID]time.Time{},
			pending:   map[time.Duration]chan message.PrimarySurveyResponse{},
		},
		coordination: coordination{active: map[model.GroupID]chan struct{}{}},
		relays:       newRelays(options),
		samples:      map[model.GroupID]*fresh.PositionSamples{},
	}
	f.replicas = f.newKeeper()
	f.promotions = f.newPromotions()
	f.Scheduler.SetRelayPolicy(f)
	f.Scheduler.SetZoneOptions(f.zoneOptions())
	return f
}

// Sessions are the sessions of callers.
type Sessions interface {
	// CloseIdleSessions closes the sessions that are idle.
	CloseIdleSessions()
	// CloseRevokedSessions closes the sessions whose key identifies no tenant any
	// more, each as soon as it is idle.
	CloseRevokedSessions()
}

// Attach sets the links to peers and the sessions. It must be called before
// either of them starts, since messages of peers may arrive at once.
func (f *Fleet) Attach(links Links, sessions Sessions) {
	f.sessions = sessions
	f.peers.links = links
}

// Start runs the fleet until ctx ends. The channel receives nil when all its
// goroutines have ended.
func (f *Fleet) Start(ctx context.Context) <-chan error {
	f.startedAt = clock.Now()
	context.AfterFunc(ctx, f.cancel)
	f.updateLinks()
	configurationTable, key := f.options.Schema.ConfigurationTable()
	for _, run := range []func(context.Context){
		func(ctx context.Context) {
			f.watchTable(ctx, configurationTable, f.configurationConfirmedAt,
				func(rows store.Rows, _ bool) { f.applyConfigurationRows(rows, key) })
		},
		func(ctx context.Context) {
			f.watchTable(ctx, f.options.Schema.DatabaseTable(), f.databasesConfirmedAt,
				f.applyDatabaseList)
		},
		f.renewViews,
		f.keepRegistered,
		f.gossipPeriodically,
		f.runPeriodicTasks,
		f.watchPrimaries,
		f.keepReplicaRecords,
		f.recordLiveness,
	} {
		f.running.Add(1)
		go func() {
			defer f.running.Done()
			run(ctx)
		}()
	}
	relaysEnded := f.relays.client.Start(ctx)
	ended := make(chan error, 1)
	go func() {
		f.running.Wait()
		ended <- <-relaysEnded
	}()
	return ended
}

// runPeriodicTasks runs, until ctx ends, the tasks that depend on the time
// only.
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
			f.updateKeepers(clock.Now())
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

// watchPrimaries probes the primaries until ctx ends, sends gossip at once when
// one begins to fail, and starts failovers.
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
			f.updateRelays(ctx)
			f.surveyUnconfirmed()
			if f.hasNewFailure(failing) {
				f.broadcast()
			}
			f.startFailovers(ctx)
		}
	}
}

// hasNewFailure reports whether a primary fails that did not fail at the last
// call. It updates wasFailing for the next call.
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

// StartDraining marks the instance as leaving, which takes it out of the
// platform's rotation.
func (f *Fleet) StartDraining() {
	f.leaving.Store(true)
	f.updateReadiness()
}

func (f *Fleet) logEvent(e event.Event, fields ...event.Field) {
	f.options.Log.Write(time.Now(), e, fields...)
}
