// Package database keeps the pool of data connections to the databases.
//
// # What flows in and out
//
// The core sends SetDatabases: which databases exist and how many connections
// this instance may open to each. The caller edge takes connections out of the
// pool by Acquire and returns them by Release or Discard. The pool does not
// interpret the statements that a holder sends on them.
//
// Opening a connection takes about 12 ms, so idle connections are kept. The one
// used last is handed out first. If none is idle and the limit is reached,
// Acquire waits for one. The limit counts all open connections, including those
// that are being opened or closed, so it is never exceeded, not even briefly.
//
// An idle connection is checked before it is handed out: one system call shows
// whether the database has closed it. A connection that was idle for more than a
// few seconds must also answer an empty query, since a network path that has
// lost the connection's state shows no sign of that at this end. A connection
// that fails these checks has not carried any part of the new statement, which
// proves that the statement did not run.
//
// # Usage
//
//	pool := database.NewPool(database.PoolOptions{User: "eelgrassfold"}, log)
//	done, err := pool.Start(ctx)
//	pool.HandleAction(message.SetDatabases{Databases: targets})
//	conn, openTime, err := pool.Acquire(ctx, "ratings-a", expires)
//	...
//	pool.Release(conn)
package database

import (
	"context"
	"crypto/tls"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/socket"
)

const (
	// openTimeout is the maximum time for opening a connection.
	openTimeout = 2 * time.Second
	// cancelTimeout is the maximum time for a cancel request.
	cancelTimeout = 2 * time.Second
	// terminateTimeout is the maximum time for writing the Terminate message.
	terminateTimeout = 100 * time.Millisecond
	// idleCheckThreshold is the idle time after which a connection must answer
	// an empty query before it is used.
	idleCheckThreshold = 3 * time.Second
	// idleCheckTimeout is the maximum time for that answer.
	idleCheckTimeout = 500 * time.Millisecond
	// maxIdleTime is the idle time after which a connection is closed.
	maxIdleTime = 5 * time.Minute
	// sweepInterval is the interval at which such connections are looked for.
	sweepInterval = 10 * time.Second
	// defaultMaxMessageBytes is the default of PoolOptions.MaxMessageBytes.
	defaultMaxMessageBytes = 64 << 20
)

// PoolOptions are the settings of a pool.
type PoolOptions struct {
	// User and Password are the credentials for the databases.
	User     string
	Password string
	// TLS is the TLS configuration of the connections, or nil for plain TCP.
	TLS *tls.Config
	// MaxMessageBytes is the size limit of a message from a database, in bytes.
	// Zero means 64 MiB.
	MaxMessageBytes int
}

// Pool holds the data connections of all databases.
type Pool struct {
	options PoolOptions
	log     logr.Logger
	dial    pgconn.DialFunc

	mu       sync.Mutex
	subpools map[model.DatabaseID]*subpool
}

// NewPool returns a pool without databases; SetDatabases adds them.
func NewPool(options PoolOptions, log logr.Logger) *Pool {
	if options.MaxMessageBytes == 0 {
		options.MaxMessageBytes = defaultMaxMessageBytes
	}
	return &Pool{options: options, log: log, dial: socket.Dial, subpools: map[model.DatabaseID]*subpool{}}
}

// Start starts a goroutine that closes connections that are idle for longer than
// maxIdleTime. When ctx ends, it removes all databases, closes all idle
// connections and then the returned channel. Start never fails.
func (p *Pool) Start(ctx context.Context) (<-chan error, error) {
	done := make(chan error)
	go func() {
		defer close(done)
		p.sweep(ctx)
	}()
	return done, nil
}

// HandleAction handles SetDatabases. It reports whether action is of that type.
func (p *Pool) HandleAction(action message.Action) bool {
	update, ok := action.(message.SetDatabases)
	if !ok {
		return false
	}
	p.setDatabases(update.Databases)
	return true
}

// Acquire returns a usable connection, idle or new, and the time that opening it
// took, which is zero for an idle one. If the limit is reached, it waits for a
// connection until expires. Its error is an *AcquireError.
func (p *Pool) Acquire(ctx context.Context, database model.DatabaseID, expires time.Time) (*Conn, time.Duration, error) {
	s := p.subpool(database)
	if s == nil {
		return nil, 0, &AcquireError{Database: database, Reason: message.NotStartedUnreachable}
	}
	return s.acquire(ctx, expires)
}

// Release returns a connection to the pool. The last answer on it must have been
// read completely, and no transaction may be open. A tainted connection is
// closed.
func (p *Pool) Release(c *Conn) {
	if c.tainted || c.Reader.Buffered() > 0 {
		p.Discard(c)
		return
	}
	c.idleSince = time.Now()
	c.subpool.put(c)
}

// Discard closes an acquired connection that must not be reused.
func (p *Pool) Discard(c *Conn) {
	c.close()
	c.subpool.countClosed()
}

// CloseIdle closes the idle connections to the database of c that were last used
// at or before cutoff. It is called after c became unresponsive: whatever lost
// the state of c has probably lost the state of these connections too.
// Connections that were used after cutoff are kept.
func (p *Pool) CloseIdle(c *Conn, cutoff time.Time) { c.subpool.closeIdle(cutoff) }

func (p *Pool) subpool(database model.DatabaseID) *subpool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.subpools[database]
}

// setDatabases creates or updates the subpool of each target and marks the
// databases of all other subpools as removed.
func (p *Pool) setDatabases(targets []message.DatabaseTarget) {
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := map[model.DatabaseID]bool{}
	for _, target := range targets {
		listed[target.Database] = true
		s := p.subpools[target.Database]
		if s == nil {
			s = newSubpool(p, target.Database)
			p.subpools[target.Database] = s
		}
		s.setTarget(target)
	}
	for database, s := range p.subpools {
		if !listed[database] {
			s.markRemoved()
		}
	}
}

// sweep calls closeIdle periodically until ctx ends, then removes all databases.
func (p *Pool) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			p.setDatabases(nil)
			return
		case now := <-ticker.C:
			p.closeIdle(now.Add(-maxIdleTime))
		}
	}
}

// closeIdle closes the connections that have been idle since cutoff or longer,
// and deletes the subpools of removed databases that have no connection left.
func (p *Pool) closeIdle(cutoff time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for database, s := range p.subpools {
		s.closeIdle(cutoff)
		if s.isDrained() {
			delete(p.subpools, database)
		}
	}
}
