// Package database is a stand-in for one database of a group: the server side
// of the PostgreSQL wire protocol 3 with a small statement set, and the terms,
// positions and control statements of docs/design/database-protocol.md.
// Everything is kept in memory.
//
// # What flows in and out
//
// Clients connect with any PostgreSQL driver; Forms lists the statements that
// are known. Replicas connect to the same address and pull the log, as msgpack
// frames behind four bytes of length. A replica's log receives an entry the
// shipping delay after its commit, and reads see it the lag later.
//
// Tests and measurements drive the stand-in over HTTP at the admin address:
//
//	POST /fault    JSON {fault, from, factor, share, grace}
//	PUT  /lag      JSON {lag}
//	GET  /state    JSON: role, term, positions
//	GET  /content  JSON: kv, ledger, committed and settled keys
//
// A database keeps nothing over a restart. One that starts with a source has
// lost its log, so it refuses to be fenced or promoted until it has caught up
// with a primary: counted among a majority, it would hide acknowledged commits.
//
// # Usage
//
//	db := database.NewDatabase(database.Options{Name: "a", Group: "ratings", Primary: true, Slots: 3, Connections: 20})
//	done, err := db.Start(ctx)
//	...
//	conn, err := pgx.Connect(ctx, "postgres://any@"+db.Address().String()+"/ratings")
//	state, err := db.Await(ctx, func(s database.State) bool { return s.Applied == position })
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

// Options sets up a Database.
type Options struct {
	Name  model.DatabaseID
	Group model.GroupID
	Zone  model.ZoneID
	// Listen is the address for clients and replicas, AdminListen that of the HTTP
	// service; port 0 lets the system choose.
	Listen, AdminListen netip.AddrPort
	// Slots is the number of statements that run at once, Connections the
	// number of clients' connections.
	Slots, Connections int
	// ConnectDelay is the time that a new connection takes, StatementTime that of a statement.
	ConnectDelay, StatementTime time.Duration
	// ShippingDelay is the time between a commit and its reception by a replica, ApplyLag
	// that between reception and visibility to reads.
	ShippingDelay, ApplyLag time.Duration
	// Primary makes the database the primary of Term from the start.
	Primary bool
	Term    model.Term
	// Source is the primary that a replica follows from the start.
	Source netip.AddrPort
	// Password is asked of clients in clear text where it is not empty.
	Password string
}

// Database is one running stand-in.
type Database struct {
	options Options
	node    *node
	faults  *faults
	slots   *slots
	group   *task.Group

	address, admin netip.AddrPort

	mu sync.Mutex
	// connections counts the clients' connections, sessions holds them by
	// their process id.
	connections int
	sessions    map[uint32]*session
	lastProcess uint32
}

// NewDatabase returns a database that is not started yet.
func NewDatabase(options Options) *Database {
	return &Database{
		options:  options,
		node:     newNode(options),
		faults:   newFaults(),
		slots:    &slots{size: options.Slots},
		group:    task.NewGroup(),
		sessions: map[uint32]*session{},
	}
}

// Start binds the addresses and serves until the context ends. The channel is
// closed when all has stopped; a failure comes first.
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
	d.address, d.admin = address, admin
	ctx, cancel := context.WithCancel(ctx)
	d.group.Start(ctx, func(ctx context.Context) error { return d.accept(ctx, listener) })
	d.group.Start(ctx, func(ctx context.Context) error {
		return task.ServeHTTP(ctx, adminListener, d.adminHandler())
	})
	d.group.Start(ctx, d.applyEntries)
	d.group.Start(ctx, d.follow)
	return d.group.Supervise(cancel), nil
}

// Address returns the address for clients and replicas.
func (d *Database) Address() netip.AddrPort { return d.address }

// AdminAddress returns the address of the HTTP service.
func (d *Database) AdminAddress() netip.AddrPort { return d.admin }

// -----------------------------------------------------------------------------
// Connections.

func (d *Database) accept(ctx context.Context, listener net.Listener) error {
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
		d.group.Start(ctx, func(ctx context.Context) error {
			d.serveConn(ctx, conn)
			return nil
		})
	}
}

// serveConn tells a replica from a client by the first bytes.
func (d *Database) serveConn(ctx context.Context, raw net.Conn) {
	conn := &gatedConn{Conn: raw, faults: d.faults, done: ctx.Done()}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer conn.Close() //nolint:errcheck // nothing is left to be lost
	reader := bufio.NewReader(conn)
	head, err := reader.Peek(len(streamMagic))
	if err != nil {
		return
	}
	if string(head) == streamMagic {
		d.serveStream(ctx, conn, reader)
		return
	}
	newSession(d, conn, reader).serve(ctx)
}

// -----------------------------------------------------------------------------
// Applying.

// applyEntries makes received entries visible when their lag is over.
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

// State is what a database says of itself.
type State struct {
	Name  model.DatabaseID `json:"name"`
	Role  model.Role       `json:"role"`
	Term  model.Term       `json:"term"`
	Nonce model.Nonce      `json:"nonce"`
	// Received is the last position in the log, Applied the last that reads
	// see.
	Received model.Position `json:"received"`
	Applied  model.Position `json:"applied"`
	// Source is the primary that is followed, Streaming says that its stream
	// is alive.
	Source    model.DatabaseID `json:"source"`
	Streaming bool             `json:"streaming"`
	Leaving   bool             `json:"leaving"`
	// Slots and Busy count statements, Connections clients' connections.
	Slots       int `json:"slots"`
	Busy        int `json:"busy"`
	Connections int `json:"connections"`
}

// State returns the state as it is now.
func (d *Database) State() State {
	state, _ := d.observe()
	return state
}

func (d *Database) observe() (State, <-chan struct{}) {
	state, changed := d.node.snapshot()
	state.Leaving, _ = d.faults.isLeaving(time.Now())
	state.Slots = d.slots.size
	state.Busy = d.slots.inUse()
	d.mu.Lock()
	state.Connections = d.connections
	d.mu.Unlock()
	return state, changed
}

// AwaitState returns the first state that meets a condition on role, term,
// positions, source or streaming. It fails with the context.
func (d *Database) AwaitState(ctx context.Context, meets func(state State) bool) (State, error) {
	for {
		state, changed := d.observe()
		if meets(state) {
			return state, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return state, errors.Wrapf(ctx.Err(), "await a state of %s", state.Name)
		}
	}
}

// SetFault adds a fault, or ends all of them with FaultNone.
func (d *Database) SetFault(fault Fault) {
	if _, silent := fault.(FaultSilent); silent {
		d.silence()
	}
	d.faults.set(fault, time.Now())
}

func (d *Database) silence() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.sessions {
		s.conn.silent.Store(true)
	}
}

// SetLag changes the time between receiving an entry and its visibility.
func (d *Database) SetLag(lag time.Duration) { d.node.setLag(lag) }
