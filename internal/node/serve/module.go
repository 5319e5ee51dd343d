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

// startLength is the number of characters that tell one start of an instance
// from another.
const startLength = 8

// module tells fx how the parts are made and in which order they start.
var module = fx.Options(
	fx.Provide(
		newIdentity,
		newLogger,
		newEvents,
		newEngine,
		newRunner,
		func(r *runner.Runner) message.Sink { return r },
		newPool,
		newGroupEdge,
		newPlatformEdge,
		newPeerEdge,
		newReadiness,
		newOperatorEdge,
		newCallerEdge,
	),
	fx.Invoke(register),
)

// parts are all parts of an instance.
type parts struct {
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

// register attaches the edges to the runner and puts all parts under the
// lifecycle, in the order in which they start.
func register(lifecycle fx.Lifecycle, ends chan<- partEnd, p parts) {
	p.Runner.AddHandlers(
		p.Caller.HandleAction, p.Pool.HandleAction, p.Group.HandleAction, p.Platform.HandleAction, p.Peer.HandleAction, p.Operator.HandleAction, p.Readiness.HandleAction,
	)
	supervise(lifecycle, ends, partPool, p.Pool)
	supervise(lifecycle, ends, partGroup, p.Group)
	supervise(lifecycle, ends, partPlatform, p.Platform)
	supervise(lifecycle, ends, partPeer, p.Peer)
	supervise(lifecycle, ends, partOperator, p.Operator)
	supervise(lifecycle, ends, partRunner, looper{p.Runner})
	supervise(lifecycle, ends, partCaller, p.Caller)
}

// -----------------------------------------------------------------------------
// Identity, log, core.

// identity names this start of the instance.
type identity struct {
	instance model.InstanceID
	start    string
}

// newIdentity makes a name that no other start of any instance has.
func newIdentity(s *settings.Settings) identity {
	start := uuid.NewString()[:startLength]
	return identity{instance: model.InstanceID(s.Name + "-" + start), start: start}
}

func newLogger(options Options, id identity) logr.Logger {
	s := options.Settings
	return log.NewLogger(log.Options{
		Level: s.Log.Level, Format: s.Log.Format, Instance: id.instance, Zone: s.Zone, Writer: options.LogWriter,
	})
}

func newEvents(logger logr.Logger) *eventlog.Writer {
	return eventlog.NewWriter(logger, eventlog.DefaultLinesPerSecond)
}

func newEngine(s *settings.Settings, id identity) *engine.Engine {
	return engine.NewEngine(engine.Options{
		Instance:      id.instance,
		Zone:          s.Zone,
		PeerAddress:   s.Listen.Peers,
		SeedAddresses: s.SeedAddresses,
		StartID:       id.start,
	})
}

func newRunner(core *engine.Engine, s *settings.Settings, logger logr.Logger) *runner.Runner {
	return runner.NewRunner(core, runner.Options{MaxStepInterval: s.TickInterval}, logger)
}

// looper gives the runner the common shape of the parts.
type looper struct{ runner *runner.Runner }

// Start implements starter.
func (l looper) Start(ctx context.Context) (<-chan error, error) { return l.runner.Start(ctx), nil }

// -----------------------------------------------------------------------------
// Edges.

func newPool(s *settings.Settings, logger logr.Logger) (*database.Pool, error) {
	password, err := s.Database.Password.Load()
	if err != nil {
		return nil, err
	}
	return database.NewPool(database.PoolOptions{User: s.Database.User, Password: password}, logger), nil
}

func newGroupEdge(s *settings.Settings, sink message.Sink, logger logr.Logger) (*group.Client, error) {
	password, err := s.Database.Password.Load()
	if err != nil {
		return nil, err
	}
	return group.NewClient(group.Options{User: s.Database.User, Password: password}, sink, logger), nil
}

func newPlatformEdge(s *settings.Settings, sink message.Sink, logger logr.Logger) (*platform.Client, error) {
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

func newPeerEdge(s *settings.Settings, id identity, sink message.Sink, logger logr.Logger) (*peer.Transport, error) {
	key, err := s.Peer.SharedKey.Load()
	if err != nil {
		return nil, err
	}
	secure, err := peerTLS(s.Peer.TLS)
	if err != nil {
		return nil, err
	}
	options := peer.Options{Instance: id.instance, Listen: s.Listen.Peers, Key: []byte(key), TLS: secure}
	return peer.NewTransport(options, sink, logger), nil
}

func newOperatorEdge(s *settings.Settings, ready *readiness, sink message.Sink, logger logr.Logger) (*operator.Server, error) {
	token, err := s.Operator.Token.Load()
	if err != nil {
		return nil, err
	}
	options := operator.Options{Address: s.Listen.Operators, Token: token, IsReady: ready.ready.Load}
	return operator.NewServer(options, sink, logger), nil
}

func newCallerEdge(s *settings.Settings, id identity, pool *database.Pool, sink message.Sink, logger logr.Logger) (*caller.Server, error) {
	users, err := loadUsers(s.Caller.Users)
	if err != nil {
		return nil, err
	}
	secure, err := callerTLS(s.Caller.TLS)
	if err != nil {
		return nil, err
	}
	options := caller.Options{
		ListenAddress:        s.Listen.Callers,
		IdempotencyKeyPrefix: string(id.instance),
		TLS:                  secure,
		RequireTLS:           s.Caller.RequireTLS,
		Users:                users,
		Trust:                s.Caller.TrustAnyUser,
		MaxSessions:          s.Caller.MaxConnections,
	}
	return caller.NewServer(options, pool, sink, logger), nil
}

// -----------------------------------------------------------------------------
// Readiness.

// readiness remembers whether the instance takes callers.
type readiness struct{ ready atomic.Bool }

func newReadiness() *readiness { return &readiness{} }

// HandleAction takes message.Readiness, and reports whether action was that.
func (r *readiness) HandleAction(action message.Action) bool {
	told, is := action.(message.Readiness)
	if is {
		r.ready.Store(told.Ready)
	}
	return is
}
