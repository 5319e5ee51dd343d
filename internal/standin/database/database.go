// Package database simulates one database of a group for tests and measurements:
// the server side of the PostgreSQL wire protocol 3 with a small set of
// statements, and the terms, positions and control statements of
// docs/design/database-protocol.md. All data is kept in memory.
//
// # What flows in and out
//
// Clients connect with any PostgreSQL driver; SupportedStatements lists the
// statements that they may send. Replicas connect to the same address and pull
// the log as msgpack frames, each preceded by its length in four bytes. A replica
// receives an entry the shipping delay after its commit, and makes it visible to
// reads after the apply lag.
//
// Tests and measurements control the database over HTTP at the admin address:
//
//	POST /fault    JSON {fault, from, factor, share, grace}
//	PUT  /lag      JSON {lag}
//	GET  /state    JSON: role, term, positions
//	GET  /content  JSON: kv, ledger, committed and settled keys
//
// A database loses its log when it restarts. One that starts with a source
// therefore rejects fencing and promotion until it has caught up with a primary:
// if it counted towards a majority before, that majority could lack acknowledged
// commits.
//
// # Usage
//
//	db := database.NewDatabase(database.Options{Name: "a", Group: "ratings", Primary: true, Slots: 3, Connections: 20})
//	done, err := db.Start(ctx)
//	...
//	conn, err := pgx.Connect(ctx, "postgres://any@"+db.Address().String()+"/ratings")
//	state, err := db.AwaitState(ctx, func(s database.State) bool { return s.Applied == position })
package database

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/standin/task"
)

// Options configures a Database.
type Options struct {
	Name  model.DatabaseID
	Group model.GroupID
	Zone  model.ZoneID
	// Listen is the address for clients and replicas, and AdminListen is the
	// address of the HTTP service. With port 0 the system chooses a free port.
	Listen, AdminListen netip.AddrPort
	// Slots is the maximum number of statements that run at the same time, and
	// Connections is the maximum number of open client connections.
	Slots, Connections int
	// ConnectDelay is the time that a new connection takes, and StatementTime is
	// the time that a statement takes.
	ConnectDelay, StatementTime time.Duration
	// ShippingDelay is the time from a commit until a replica receives it, and
	// ApplyLag is the time from then until the replica's reads see it.
	ShippingDelay, ApplyLag time.Duration
	// Primary starts the database as the primary of Term; a Term of 0 means 1.
	Primary bool
	Term    model.Term
	// Source is the address of the primary that a replica follows from the start.
	Source netip.AddrPort
	// Password is requested from clients in clear text, unless it is empty.
	Password string
}

// Database is one simulated database.
type Database struct {
	options Options
	node    *node
	faults  *faultState
	slots   *slots
	tasks   *task.Group

	address, adminAddress netip.AddrPort

	mu sync.Mutex
	// connections is the number of open client connections, and sessions holds
	// their sessions by process ID.
	connections   int
	sessions      map[uint32]*session
	lastProcessID uint32
}

// NewDatabase returns a database that has not been started.
func NewDatabase(options Options) *Database {
	return &Database{
		options:  options,
		node:     newNode(options),
		faults:   newFaultState(),
		slots:    &slots{limit: options.Slots},
		tasks:    task.NewGroup(),
		sessions: map[uint32]*session{},
	}
}

// Start binds the addresses and serves until the context ends. The returned
// channel receives the first error, if there is one, and is closed when every
// goroutine has stopped.
func (d *Database) Start(ctx context.Context) (<-chan error, error) {
	listener, address, err := task.Listen(d.options.Listen)
	if err != nil {
		return nil, err
	}
	adminListener, admin, err := task.Listen(d.options.AdminListen)
	if err != nil {
		_ = listener.Close()
		return nil, err
	}
	d.address, d.adminAddress = address, admin
	ctx, cancel := context.WithCancel(ctx)
	d.tasks.Start(ctx, func(ctx context.Context) error { return d.acceptConnections(ctx, listener) })
	d.tasks.Start(ctx, func(ctx context.Context) error {
		return task.ServeHTTP(ctx, adminListener, d.adminHandler())
	})
	d.tasks.Start(ctx, d.applyEntries)
	d.tasks.Start(ctx, d.follow)
	return d.tasks.Supervise(cancel), nil
}

// Address returns the address for clients and replicas.
func (d *Database) Address() netip.AddrPort { return d.address }

// AdminAddress returns the address of the HTTP service.
func (d *Database) AdminAddress() netip.AddrPort { return d.adminAddress }

// -----------------------------------------------------------------------------
// Connections.

// acceptConnections serves each new connection in a goroutine of its own.
func (d *Database) acceptConnections(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "accept a connection")
		}
		d.tasks.Start(ctx, func(ctx context.Context) error {
			d.serveConn(ctx, conn)
			return nil
		})
	}
}

// serveConn serves one connection. A connection that begins with streamMagic is
// from a replica, any other from a client.
func (d *Database) serveConn(ctx context.Context, raw net.Conn) {
	conn := &faultConn{Conn: raw, faults: d.faults, done: ctx.Done()}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer conn.Close() //nolint:errcheck // the connection is no longer used
	reader := bufio.NewReader(conn)
	prefix, err := reader.Peek(len(streamMagic))
	if err != nil {
		return
	}
	if string(prefix) == streamMagic {
		d.serveStream(ctx, conn, reader)
		return
	}
	newSession(d, conn, reader).serve(ctx)
}

// -----------------------------------------------------------------------------
// Applying.

// applyEntries applies each received entry when its apply lag has passed.
func (d *Database) applyEntries(ctx context.Context) error {
	for ctx.Err() == nil && d.faults.awaitThaw(ctx.Done()) {
		wait, changed := d.node.applyDue(time.Now())
		if wait < 0 {
			select {
			case <-changed:
				continue
			case <-ctx.Done():
				return nil
			}
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-changed:
		case <-ctx.Done():
		}
		timer.Stop()
	}
	return nil
}

// -----------------------------------------------------------------------------
// State and faults.

// State is the state of a database at one moment.
type State struct {
	Name  model.DatabaseID `json:"name"`
	Role  model.Role       `json:"role"`
	Term  model.Term       `json:"term"`
	Nonce model.Nonce      `json:"nonce"`
	// Received is the last position in the log, and Applied is the last position
	// that reads see.
	Received model.Position `json:"received"`
	Applied  model.Position `json:"applied"`
	// Source is the primary that a replica follows, and Streaming is true
	// if the replica receives the log from there.
	Source    model.DatabaseID `json:"source"`
	Streaming bool             `json:"streaming"`
	Leaving   bool             `json:"leaving"`
	// Slots is the maximum number of statements that run at the same time, Busy
	// is the number that run now, and Connections is the number of open client
	// connections.
	Slots       int `json:"slots"`
	Busy        int `json:"busy"`
	Connections int `json:"connections"`
}

// State returns the current state.
func (d *Database) State() State {
	state, _ := d.observe()
	return state
}

// observe returns the current state, and a channel that is closed when the node
// changes.
func (d *Database) observe() (State, <-chan struct{}) {
	state, changed := d.node.snapshot()
	state.Leaving, _ = d.faults.isLeaving(time.Now())
	state.Slots = d.slots.limit
	state.Busy = d.slots.inUse()
	d.mu.Lock()
	state.Connections = d.connections
	d.mu.Unlock()
	return state, changed
}

// AwaitState waits for a state that meets a condition and returns it. Only
// changes of role, term, nonce, positions, source and streaming are noticed, so
// the condition must not depend on other fields. The error is that of the
// context, and comes with the last state.
func (d *Database) AwaitState(ctx context.Context, condition func(state State) bool) (State, error) {
	for {
		state, changed := d.observe()
		if condition(state) {
			return state, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return state, errors.Wrapf(ctx.Err(), "await a state of %s", state.Name)
		}
	}
}

// SetFault adds a fault. FaultNone ends all faults instead.
func (d *Database) SetFault(fault Fault) {
	if _, silent := fault.(FaultSilent); silent {
		d.silenceSessions()
	}
	d.faults.set(fault, time.Now())
}

// silenceSessions makes all open client connections silent.
func (d *Database) silenceSessions() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.sessions {
		s.conn.silent.Store(true)
	}
}

// SetLag changes the time between the reception of an entry and its application.
func (d *Database) SetLag(lag time.Duration) { d.node.setLag(lag) }
