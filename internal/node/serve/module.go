package serve

import (
	"context"
	"crypto/tls"
	"net/netip"
	"sync/atomic"

	"github.com/go-logr/logr"
	"github.com/google/uuid"
	"go.uber.org/fx"

	"github.com/eelgrassfold/eelgrassfold/internal/config/settings"
	"github.com/eelgrassfold/eelgrassfold/internal/core/engine"
	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/caller"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/database"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/group"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/operator"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/peer"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/platform"
	"github.com/eelgrassfold/eelgrassfold/internal/node/runner"
	"github.com/eelgrassfold/eelgrassfold/internal/report/eventlog"
	"github.com/eelgrassfold/eelgrassfold/internal/report/log"
)

// startIDLength is the number of characters of the identifier that distinguishes
// one start of an instance from another.
const startIDLength = 8

// module defines how fx constructs the components and in which order it starts
// them.
var module = fx.Options(
	fx.Provide(
		newIdentity,
		newLogger,
		newEventWriter,
		newEngine,
		newRunner,
		func(r *runner.Runner) message.Sink { return r },
		newPool,
		newGroupClient,
		newPlatformClient,
		newPeerTransport,
		newReadiness,
		newOperatorServer,
		newCallerServer,
	),
	fx.Invoke(register),
)

// components holds all components of an instance.
type components struct {
	fx.In
	Pool      *database.Pool
	Group     *group.Client
	Platform  *platform.Client
	Peer      *peer.Transport
	Operator  *operator.Server
	Readiness *readiness
	Runner    *runner.Runner
	Caller    *caller.Server
}

// register adds the edges' action handlers to the runner and registers all
// components with the lifecycle, in the order in which they start.
func register(lifecycle fx.Lifecycle, exits chan<- componentExit, p components) {
	p.Runner.AddHandlers(
		p.Caller.HandleAction, p.Pool.HandleAction, p.Group.HandleAction, p.Platform.HandleAction, p.Peer.HandleAction, p.Operator.HandleAction, p.Readiness.HandleAction,
	)
	supervise(lifecycle, exits, componentDatabase, p.Pool)
	supervise(lifecycle, exits, componentGroup, p.Group)
	supervise(lifecycle, exits, componentPlatform, p.Platform)
	supervise(lifecycle, exits, componentPeer, p.Peer)
	supervise(lifecycle, exits, componentOperator, p.Operator)
	supervise(lifecycle, exits, componentRunner, runnerComponent{p.Runner})
	supervise(lifecycle, exits, componentCaller, p.Caller)
}

// -----------------------------------------------------------------------------
// Identity, log, core.

// identity identifies this start of the instance.
type identity struct {
	instance model.InstanceID
	startID  string
}

// newIdentity returns an identity that is unique among all starts of all
// instances.
func newIdentity(s *settings.Settings) identity {
	startID := uuid.NewString()[:startIDLength]
	return identity{instance: model.InstanceID(s.Name + "-" + startID), startID: startID}
}

func newLogger(options Options, id identity) logr.Logger {
	s := options.Settings
	return log.NewLogger(log.Options{
		Level: s.Log.Level, Format: s.Log.Format, Instance: id.instance, Zone: s.Zone, Writer: options.LogWriter,
	})
}

func newEventWriter(logger logr.Logger) *eventlog.Writer {
	return eventlog.NewWriter(logger, eventlog.DefaultLinesPerSecond)
}

func newEngine(s *settings.Settings, id identity) *engine.Engine {
	return engine.NewEngine(engine.Options{
		Instance:      id.instance,
		Zone:          s.Zone,
		PeerAddress:   s.Listen.Peers,
		SeedAddresses: s.SeedAddresses,
		StartID:       id.startID,
	})
}

func newRunner(core *engine.Engine, s *settings.Settings, logger logr.Logger) *runner.Runner {
	return runner.NewRunner(core, runner.Options{MaxStepInterval: s.TickInterval}, logger)
}

// runnerComponent adapts the runner to the starter interface.
type runnerComponent struct{ runner *runner.Runner }

// Start implements starter.
func (l runnerComponent) Start(ctx context.Context) (<-chan error, error) {
	return l.runner.Start(ctx), nil
}

// -----------------------------------------------------------------------------
// Edges.

func newPool(s *settings.Settings, logger logr.Logger) (*database.Pool, error) {
	password, err := s.Database.Password.Load()
	if err != nil {
		return nil, err
	}
	return database.NewPool(database.PoolOptions{User: s.Database.User, Password: password}, logger), nil
}

func newGroupClient(s *settings.Settings, sink message.Sink, logger logr.Logger) (*group.Client, error) {
	password, err := s.Database.Password.Load()
	if err != nil {
		return nil, err
	}
	return group.NewClient(group.Options{User: s.Database.User, Password: password}, sink, logger), nil
}

func newPlatformClient(s *settings.Settings, sink message.Sink, logger logr.Logger) (*platform.Client, error) {
	token, err := s.Platform.Token.Load()
	if err != nil {
		return nil, err
	}
	address, err := netip.ParseAddrPort(s.Platform.URL.Host)
	if err != nil {
		return nil, err
	}
	options := platform.HTTPOptions{Address: address, Token: token}
	if s.Platform.URL.Scheme == "https" {
		options.TLS = &tls.Config{MinVersion: tls.VersionTLS12}
	}
	return platform.NewClient(platform.Options{Service: platform.NewHTTPService(options)}, sink, logger), nil
}

func newPeerTransport(s *settings.Settings, id identity, sink message.Sink, logger logr.Logger) (*peer.Transport, error) {
	key, err := s.Peer.SharedKey.Load()
	if err != nil {
		return nil, err
	}
	tlsConfig, err := peerTLS(s.Peer.TLS)
	if err != nil {
		return nil, err
	}
	options := peer.Options{Instance: id.instance, Listen: s.Listen.Peers, Key: []byte(key), TLS: tlsConfig}
	return peer.NewTransport(options, sink, logger), nil
}

func newOperatorServer(s *settings.Settings, ready *readiness, sink message.Sink, logger logr.Logger) (*operator.Server, error) {
	token, err := s.Operator.Token.Load()
	if err != nil {
		return nil, err
	}
	options := operator.Options{Address: s.Listen.Operators, Token: token, IsReady: ready.ready.Load}
	return operator.NewServer(options, sink, logger), nil
}

func newCallerServer(s *settings.Settings, id identity, pool *database.Pool, sink message.Sink, logger logr.Logger) (*caller.Server, error) {
	users, err := loadUsers(s.Caller.Users)
	if err != nil {
		return nil, err
	}
	tlsConfig, err := callerTLS(s.Caller.TLS)
	if err != nil {
		return nil, err
	}
	options := caller.Options{
		ListenAddress:        s.Listen.Callers,
		IdempotencyKeyPrefix: string(id.instance),
		TLS:                  tlsConfig,
		RequireTLS:           s.Caller.RequireTLS,
		Users:                users,
		Trust:                s.Caller.TrustAnyUser,
		MaxSessions:          s.Caller.MaxConnections,
		MemoryBudget:         s.Caller.MemoryBudget,
	}
	return caller.NewServer(options, pool, sink, logger), nil
}

// -----------------------------------------------------------------------------
// Readiness.

// readiness stores whether the instance accepts callers.
type readiness struct{ ready atomic.Bool }

func newReadiness() *readiness { return &readiness{} }

// HandleAction stores a message.Readiness, and reports whether action is one.
func (r *readiness) HandleAction(action message.Action) bool {
	change, ok := action.(message.Readiness)
	if ok {
		r.ready.Store(change.Ready)
	}
	return ok
}
