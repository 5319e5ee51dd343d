// Package backend pools connections to databases and exchanges statements over
// them, independently of the databases' protocol.
//
// # What flows in and out
//
// The input is the statements of a session, together with the session's variables
// and prepared statements. The proxy's own statements that synchronize the
// connection with that session state run first: a session's statement is sent once
// the database has acknowledged them. What a connection is recorded to have set or
// prepared is what the database has acknowledged. The output is the answers, each
// with the time at which it was received.
//
// The Protocol that is passed to NewPool encodes and decodes the messages.
//
// # Usage
//
//	pool := backend.NewPool(protocol)
//	conn, err := pool.Get(ctx, database, tenant, variables)
//	err = conn.Synchronize(ctx, timeout, backend.SessionState{Variables: variables})
//	reply, err := conn.Run(ctx, timeout, request)
//	pool.Put(conn)
package backend

import (
	"context"
	"expvar"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/clock"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/core/placement"
	"github.com/eelgrassfold/eelgrassfold/internal/core/statement"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/socket"
)

const (
	// connectTimeout bounds the opening of a connection. It is about ten times as
	// long as a database needs.
	connectTimeout = 400 * time.Millisecond
	// idleTimeout is how long an unused connection is kept. Opening a connection
	// takes a slot of the database.
	idleTimeout = 12 * time.Second
	// scarceIdleTimeout is how long an unused connection is kept if the database
	// allows fewer connections than there are instances and this instance is not one
	// of those that keep one. It is just long enough for the next statement of a busy
	// caller.
	scarceIdleTimeout = 60 * time.Millisecond
	// maxPreparedStatements is the number of prepared statements at which a
	// connection is reset.
	maxPreparedStatements = 200
	// maxStateBytes is the size of a connection's variables and prepared statements, in
	// bytes, above which it is reset or closed after use.
	maxStateBytes = 256 << 10
)

// connectionsOpened counts the connections opened to the databases of each group.
var connectionsOpened = expvar.NewMap("backend.opened")

// Protocol performs the handshake with databases that use it.
type Protocol interface {
	// Handshake sends the startup message to the database behind conn, for a tenant or
	// none. Its error is a *statement.FailureError if the database refused the
	// connection.
	Handshake(conn net.Conn, target placement.Database, tenant model.TenantID) (Codec, error)
}

// Codec writes statements and reads answers on one connection.
type Codec interface {
	// Send writes requests, without waiting for their answers.
	Send(requests []statement.Request) error
	// Receive reads the answer to a request that was sent. It is called in the
	// order of sending.
	Receive(request statement.Request) (Reply, error)
	// HasUnread reports whether data was read from the connection that belongs to no
	// answer received so far.
	HasUnread() bool
}

// Reply is the answer to one request, with the database's status if the request
// queried it.
type Reply struct {
	statement.Answer
	ServerStatus statement.ServerStatus
	// ReceivedAt is when the answer had been read, by package clock.
	ReceivedAt time.Time
}

// Pool holds the idle connections to all databases.
type Pool struct {
	protocol Protocol

	mu   sync.Mutex
	idle map[model.DatabaseID][]*Conn
	// open counts the connections to each database that are open, in use or idle.
	open map[model.DatabaseID]int
}

// NewPool returns a pool without connections.
func NewPool(protocol Protocol) *Pool {
	return &Pool{protocol: protocol, idle: map[model.DatabaseID][]*Conn{}, open: map[model.DatabaseID]int{}}
}

// Get returns an idle connection of the given tenant, preferably one with the given
// variables, or opens a new one. A connection serves one tenant until it is closed; no
// tenant is one of its own. Its errors are *ConnectError, with a *statement.FailureError as
// the cause if the database refused the connection.
func (p *Pool) Get(ctx context.Context, target placement.Database, tenant model.TenantID, variables Variables) (*Conn, error) {
	for {
		conn := p.takeIdle(target, tenant, variables)
		if conn == nil {
			return p.connect(ctx, target, tenant)
		}
		if conn.isOpen() {
			return conn, nil
		}
		conn.Close()
	}
}

// takeIdle removes an idle connection of a tenant from the pool and returns it,
// preferring one that has the same variables. It returns nil if there is none, or if the one
// chosen leads to another address or to an earlier incarnation of the database.
func (p *Pool) takeIdle(target placement.Database, tenant model.TenantID, variables Variables) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[target.ID]
	chosen := -1
	for i := len(idle) - 1; i >= 0; i-- {
		if idle[i].tenant != tenant {
			continue
		}
		if chosen < 0 {
			chosen = i
		}
		if idle[i].variables.Equal(variables) {
			chosen = i
			break
		}
	}
	if chosen < 0 {
		return nil
	}
	conn := idle[chosen]
	p.idle[target.ID] = append(idle[:chosen], idle[chosen+1:]...)
	if conn.target.Incarnation != target.Incarnation || conn.target.Address != target.Address {
		go conn.Close()
		return nil
	}
	conn.target = target
	return conn
}

func (p *Pool) connect(ctx context.Context, target placement.Database, tenant model.TenantID) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	p.startOpening(target)
	closed := sync.OnceFunc(func() { p.endOpen(target.ID) })
	dialed, err := socket.Dial(ctx, "tcp", target.Address.String())
	if err != nil {
		closed()
		return nil, &ConnectError{Database: target.ID, Cause: err}
	}
	if deadline, hasDeadline := ctx.Deadline(); hasDeadline {
		_ = dialed.SetDeadline(deadline)
	}
	stopInterrupt := interruptAtEnd(ctx, dialed)
	codec, err := p.protocol.Handshake(dialed, target, tenant)
	if !stopInterrupt() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		_ = dialed.Close()
		closed()
		return nil, &ConnectError{Database: target.ID, Cause: err}
	}
	connectionsOpened.Add(string(target.Group), 1)
	return &Conn{target: target, tenant: tenant, net: dialed, codec: codec, prepared: map[string]string{}, onClose: closed}, nil
}

// Put returns a connection to the pool. It closes a connection that is inside a
// transaction or whose state is not known.
func (p *Pool) Put(conn *Conn) {
	if !conn.isReusable() {
		conn.Close()
		return
	}
	if conn.target.HasTenants {
		p.putOfTenant(conn)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	conn.lastUsedAt = clock.Now()
	isKept := !conn.target.HasScarceConnections || conn.target.KeepsConnection && len(p.idle[conn.target.ID]) == 0
	p.idle[conn.target.ID] = append(p.idle[conn.target.ID], conn)
	if lastUsedAt := conn.lastUsedAt; !isKept {
		time.AfterFunc(scarceIdleTimeout, func() { p.closeUnused(conn, lastUsedAt) })
	}
}

// closeUnused closes an idle connection that was last used at the given time. It
// leaves a connection alone that was used again since.
func (p *Pool) closeUnused(conn *Conn, usedAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[conn.target.ID]
	if i := slices.Index(idle, conn); i >= 0 && conn.lastUsedAt.Equal(usedAt) {
		p.idle[conn.target.ID] = slices.Delete(idle, i, i+1)
		go conn.Close()
	}
}

// CloseIdle closes the idle connections to a database.
func (p *Pool) CloseIdle(id model.DatabaseID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.idle[id] {
		go conn.Close()
	}
	delete(p.idle, id)
}

// EvictStale closes connections that were not used for their idleTimeout, and those of
// databases for which keep returns false. keep may take locks under which others call the
// pool: the pool's own is not held meanwhile.
func (p *Pool) EvictStale(keep func(model.DatabaseID) bool) {
	p.mu.Lock()
	ids := slices.Collect(maps.Keys(p.idle))
	p.mu.Unlock()
	dropped := map[model.DatabaseID]bool{}
	for _, id := range ids {
		dropped[id] = !keep(id)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := clock.Now()
	for id, idle := range p.idle {
		remaining := idle[:0]
		for _, conn := range idle {
			if dropped[id] || now.Sub(conn.lastUsedAt) > conn.idleTimeout() {
				go conn.Close()
				continue
			}
			remaining = append(remaining, conn)
		}
		clear(idle[len(remaining):])
		if len(remaining) == 0 {
			delete(p.idle, id)
			continue
		}
		p.idle[id] = remaining
	}
}
