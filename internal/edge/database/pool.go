// Package database keeps the data connections towards the databases.
//
// # What flows in and out
//
// SetDatabases flows in from the core: which databases exist and how many
// connections this instance may open to each. The caller edge takes
// connections out by Acquire and gives them back by Release or Discard. What
// travels on them is the business of whoever holds them.
//
// Opening takes about 12 ms, so idle connections are kept, the one used last
// goes out first, and a holder that finds none idle waits for one where the
// limit is reached. The limit counts open connections, also those being opened
// or closed, so that it holds at every moment.
//
// A connection is looked at before it goes out: it costs one system call to see
// that the database has closed it. One that was idle for more than a few
// seconds answers an empty query first, since a path that has lost track of it
// shows nothing to this end. What is found broken here was never used for the
// work, which is the proof that the work did not run.
//
// # Usage
//
//	pool := database.NewPool(database.PoolOptions{User: "eelgrassfold"}, log)
//	ended, err := pool.Start(ctx)
//	pool.HandleAction(message.SetDatabases{Databases: targets})
//	conn, err := pool.Acquire(ctx, "ratings-a", expires)
//	...
//	pool.Release(conn)
package database

import (
	"context"
	"crypto/tls"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

const (
	// openTimeout bounds the opening of a connection.
	openTimeout = 2 * time.Second
	// cancelTimeout bounds a cancel request.
	cancelTimeout = 2 * time.Second
	// terminateTimeout bounds the last word on a connection.
	terminateTimeout = 100 * time.Millisecond
	// idleCheck is the idle time after which a connection is checked before
	// it is used.
	idleCheck = 3 * time.Second
	// idleAnswer bounds that check.
	idleAnswer = 500 * time.Millisecond
	// idleLimit is the idle time after which a connection is closed.
	idleLimit = 5 * time.Minute
	// sweepInterval is the time between two looks for such connections.
	sweepInterval = 10 * time.Second
	// messageLimit is the default of PoolOptions.Message, in bytes.
	messageLimit = 64 << 20
)

// PoolOptions are the settings of a pool.
type PoolOptions struct {
	// User and Password are what the databases ask for.
	User     string
	Password string
	// TLS is the setting for the connections; nil for none.
	TLS *tls.Config
	// MaxMessageBytes is the greatest message that is taken from a database, in
	// bytes; zero for 64 MiB.
	MaxMessageBytes int
}

// Pool holds the data connections of all databases.
type Pool struct {
	options PoolOptions
	log     logr.Logger

	mu       sync.Mutex
	subpools map[model.DatabaseID]*subpool
}

// NewPool returns a pool that knows no database yet.
func NewPool(options PoolOptions, log logr.Logger) *Pool {
	if options.MaxMessageBytes == 0 {
		options.MaxMessageBytes = messageLimit
	}
	return &Pool{options: options, log: log, subpools: map[model.DatabaseID]*subpool{}}
}

// Start closes connections that were idle for long until ctx ends, then all
// idle ones. It closes the channel at the end.
func (p *Pool) Start(ctx context.Context) (<-chan error, error) {
	ended := make(chan error)
	go func() {
		defer close(ended)
		p.sweep(ctx)
	}()
	return ended, nil
}

// HandleAction takes SetDatabases, and reports whether action was that.
func (p *Pool) HandleAction(action message.Action) bool {
	set, ok := action.(message.SetDatabases)
	if !ok {
		return false
	}
	p.setDatabases(set.Databases)
	return true
}

// Acquire returns a connection that is fit for use, idle or new, and the time
// that opening it took. It waits for a free one until expires. Its error is an
// *AcquireError.
func (p *Pool) Acquire(ctx context.Context, database model.DatabaseID, expires time.Time) (*Conn, time.Duration, error) {
	s := p.subpool(database)
	if s == nil {
		return nil, 0, &AcquireError{Database: database, Reason: message.NotStartedUnreachable}
	}
	return s.acquire(ctx, expires)
}

// Release gives a connection back whose last answer was read to its end, with
// no transaction open. A tainted one is closed.
func (p *Pool) Release(c *Conn) {
	if c.tainted || c.Reader.Buffered() > 0 {
		p.Discard(c)
		return
	}
	c.idle = time.Now()
	c.subpool.put(c)
}

// Discard closes a connection that must not be used again.
func (p *Pool) Discard(c *Conn) {
	c.close()
	c.subpool.forget()
}

// CloseIdle closes the idle connections to the database of c that were not used
// after since: c was found silent, and whatever has lost track of it has most
// likely lost track of those as well. The ones used later are spared.
func (p *Pool) CloseIdle(c *Conn, since time.Time) { c.subpool.closeIdle(since) }

func (p *Pool) subpool(database model.DatabaseID) *subpool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.subpools[database]
}

func (p *Pool) setDatabases(targets []message.DatabaseTarget) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := map[model.DatabaseID]bool{}
	for _, target := range targets {
		known[target.Database] = true
		s := p.subpools[target.Database]
		if s == nil {
			s = newSubpool(p, target.Database)
			p.subpools[target.Database] = s
		}
		s.set(target)
	}
	for database, s := range p.subpools {
		if !known[database] {
			s.retire()
		}
	}
}

func (p *Pool) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			p.setDatabases(nil)
			return
		case now := <-ticker.C:
			p.closeIdle(now.Add(-idleLimit))
		}
	}
}

func (p *Pool) closeIdle(before time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for database, s := range p.subpools {
		s.closeIdle(before)
		if s.isGone() {
			delete(p.subpools, database)
		}
	}
}
