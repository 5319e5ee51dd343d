// Package backend keeps connections to databases and carries statements over
// them, whatever the databases' protocol is.
//
// # What flows in and out
//
// Statements flow in, with the values and prepared statements that the session
// they belong to has; before them go the proxy's own statements that bring the
// connection into that state. Answers flow out, each with the time at which it
// was there.
//
// The bytes are a Protocol's, which is given to NewPool.
//
// # Usage
//
//	pool := backend.NewPool(protocol)
//	conn, err := pool.Get(ctx, database)
//	answers, err := conn.Exchange(deadline, calls)
//	pool.Put(conn)
package backend

import (
	"context"
	"expvar"
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
	// openTimeout bounds the opening of a connection: some ten times what a
	// database takes for it.
	openTimeout = 400 * time.Millisecond
	// idleKept is how long a connection is kept without use. Opening one takes
	// a slot of the database.
	idleKept = 12 * time.Second
	// scarceKept is how long one is kept of which there are fewer than instances:
	// for the next statement of a busy caller.
	scarceKept = 60 * time.Millisecond
	// preparedKept is the number of prepared statements on a connection beyond
	// which it is cleared.
	preparedKept = 200
)

// opened counts the connections opened to the databases of each group.
var opened = expvar.NewMap("backend.opened")

// Protocol opens connections of databases that speak it.
type Protocol interface {
	// Handshake greets the database behind conn. Its error is a *statement.FailureError
	// where the database has refused the connection.
	Handshake(conn net.Conn, target placement.Database) (Codec, error)
}

// Codec writes statements and reads answers on one connection.
type Codec interface {
	// Send writes calls, without waiting for their answers.
	Send(calls []statement.Request) error
	// Receive reads the answer to a call that was sent, in the order of
	// sending.
	Receive(call statement.Request) (Reply, error)
}

// Reply is an answer, with the database's standing where it was asked for.
type Reply struct {
	statement.Answer
	ServerStatus statement.ServerStatus
	// ReceivedAt is when the answer was there, by package clock.
	ReceivedAt time.Time
}

// Pool holds the connections to all databases.
type Pool struct {
	protocol Protocol

	mu   sync.Mutex
	idle map[model.DatabaseID][]*Conn
}

// NewPool returns a pool without connections.
func NewPool(protocol Protocol) *Pool {
	return &Pool{protocol: protocol, idle: map[model.DatabaseID][]*Conn{}}
}

// Get returns a connection that nobody uses, or opens one. Its errors are
// *ConnectError, with a *statement.FailureError as its cause where the database has
// refused.
func (p *Pool) Get(ctx context.Context, target placement.Database, values Variables) (*Conn, error) {
	for {
		conn := p.take(target, values)
		if conn == nil {
			return p.open(ctx, target)
		}
		if conn.isOpen() {
			return conn, nil
		}
		conn.Close()
	}
}

// take returns an idle connection, preferring one that has the same values.
func (p *Pool) take(target placement.Database, values Variables) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[target.ID]
	if len(idle) == 0 {
		return nil
	}
	chosen := len(idle) - 1
	for i := len(idle) - 1; i >= 0; i-- {
		if idle[i].values.Equal(values) {
			chosen = i
			break
		}
	}
	conn := idle[chosen]
	p.idle[target.ID] = append(idle[:chosen], idle[chosen+1:]...)
	if conn.target.Incarnation != target.Incarnation || conn.target.Address != target.Address {
		go conn.Close()
		return nil
	}
	return conn
}

func (p *Pool) open(ctx context.Context, target placement.Database) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	dialed, err := socket.Dial(ctx, "tcp", target.Address.String())
	if err != nil {
		return nil, &ConnectError{Database: target.ID, Cause: err}
	}
	if deadline, has := ctx.Deadline(); has {
		_ = dialed.SetDeadline(deadline)
	}
	wire, err := p.protocol.Handshake(dialed, target)
	if err != nil {
		_ = dialed.Close()
		return nil, &ConnectError{Database: target.ID, Cause: err}
	}
	opened.Add(string(target.Group), 1)
	return &Conn{target: target, net: dialed, wire: wire, prepared: map[string]string{}}, nil
}

// Put keeps a connection that is outside any transaction for its next use.
func (p *Pool) Put(conn *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conn.used = clock.Now()
	p.idle[conn.target.ID] = append(p.idle[conn.target.ID], conn)
	if used := conn.used; conn.target.HasScarceConnections {
		time.AfterFunc(scarceKept, func() { p.discard(conn, used) })
	}
}

// discard closes a connection that was not used since a time.
func (p *Pool) discard(conn *Conn, since time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[conn.target.ID]
	if i := slices.Index(idle, conn); i >= 0 && conn.used.Equal(since) {
		p.idle[conn.target.ID] = slices.Delete(idle, i, i+1)
		conn.Close()
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

// EvictStale closes connections that were not used for a while, and those of
// databases that keep reports as gone.
func (p *Pool) EvictStale(keep func(model.DatabaseID) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := clock.Now()
	for id, idle := range p.idle {
		left := idle[:0]
		for _, conn := range idle {
			if !keep(id) || now.Sub(conn.used) > idleKept {
				go conn.Close()
				continue
			}
			left = append(left, conn)
		}
		clear(idle[len(left):])
		if len(left) == 0 {
			delete(p.idle, id)
			continue
		}
		p.idle[id] = left
	}
}
