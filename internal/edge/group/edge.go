// Package group sends control requests to databases. By these requests the core
// reads and changes a group's primary, terms and positions.
//
// # What flows in and out
//
// The core sends Probe, AwaitPosition, Fence, Promote, Follow and ResolveInDoubt,
// and SetDatabases with the databases' addresses. Each request is one statement of
// the PostgreSQL protocol on a control connection
// (docs/design/database-protocol.md). Exactly one ControlAnswered or
// InDoubtResolved is posted for each request. It carries the database's answer, or
// ControlTimeout if the request expired, or ControlUnreachable if there is no
// connection.
//
// Each database has two request queues with a connection each, which is opened
// for the first request: one for requests that are answered immediately, and one
// for AwaitPosition, which may block, so that no Probe ever waits behind it. The
// requests of one queue are sent one after the other. Probes that are queued
// together are answered by one statement, which is sent after the last of them
// was queued, so each answer shows the database's state at a time after its
// request. AwaitPosition requests are combined in the same way: the statement
// names the lowest position, and its answer serves each request whose position
// has been reached.
//
// When a request that was sent expires, its connection is closed. A late answer
// can therefore not be taken for the answer to the next request, and the next
// request replaces an unresponsive connection by a new one. A connection that was
// used before may have broken unnoticed. In that case the request is sent once
// more on a new connection, which is safe because all control statements are
// idempotent. Attempts to connect are spaced by exponential backoff with full
// jitter.
//
// # Usage
//
//	client := group.NewClient(group.Options{User: "eelgrassfold"}, sink, log)
//	done, err := client.Start(ctx)
//	client.HandleAction(message.SetDatabases{Databases: targets})
//	client.HandleAction(message.Probe{
//		Database: "ratings-a", CorrelationID: 1, Timeout: time.Second,
//	})
package group

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/report/eventlog"
)

// -----------------------------------------------------------------------------
// Options.

// The defaults of Options.
const (
	defaultUser           = "eelgrassfold"
	defaultConnectTimeout = time.Second
	defaultInitialBackoff = 20 * time.Millisecond
	defaultMaxBackoff     = 500 * time.Millisecond
)

// Options are the options of a Client. Each zero value stands for its default.
type Options struct {
	// User is the user name of the control connections.
	User string
	// Password is sent in clear text to a database that requests a clear-text
	// password. Other authentication methods are not supported.
	Password string
	// ConnectTimeout is the maximum time for opening a connection.
	ConnectTimeout time.Duration
	// InitialBackoff is the maximum pause after the first failure to connect. The
	// maximum doubles with each further failure, up to MaxBackoff.
	InitialBackoff, MaxBackoff time.Duration
	// Now returns the current time; the default is time.Now.
	Now func() time.Time
}

// withDefaults returns the options with each zero value replaced by its default.
func (o Options) withDefaults() Options {
	if o.User == "" {
		o.User = defaultUser
	}
	if o.ConnectTimeout == 0 {
		o.ConnectTimeout = defaultConnectTimeout
	}
	if o.InitialBackoff == 0 {
		o.InitialBackoff = defaultInitialBackoff
	}
	if o.MaxBackoff == 0 {
		o.MaxBackoff = defaultMaxBackoff
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return o
}

// -----------------------------------------------------------------------------
// The client.

// Client sends control requests to databases. It is created by NewClient.
type Client struct {
	options Options
	sink    message.Sink
	log     *eventlog.Writer
	// queueEnded receives a value from each queue's goroutine when it ends.
	queueEnded chan struct{}

	mu     sync.Mutex
	queues map[model.DatabaseID]databaseQueues
	// ctx is the context given to Start, or nil before Start.
	ctx context.Context
	// runningQueues is the number of queues whose goroutine is running.
	runningQueues int
}

// databaseQueues are the two request queues of one database: await for
// AwaitPosition, control for all other requests.
type databaseQueues struct {
	target  target
	control *requestQueue
	await   *requestQueue
}

// NewClient returns a Client that posts its answers to sink.
func NewClient(options Options, sink message.Sink, log logr.Logger) *Client {
	return &Client{
		options:    options.withDefaults(),
		sink:       sink,
		log:        eventlog.NewWriter(log, eventlog.DefaultLinesPerSecond),
		queueEnded: make(chan struct{}),
		queues:     map[model.DatabaseID]databaseQueues{},
	}
}

// Start starts sending requests, which continues until ctx ends. The returned
// channel is closed when all connections are closed and all requests are answered.
// Start never fails.
func (c *Client) Start(ctx context.Context) (<-chan error, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ctx = ctx
	for _, queues := range c.queues {
		c.startQueues(queues)
	}
	done := make(chan error)
	go c.supervise(ctx, done)
	return done, nil
}

// HandleAction handles SetDatabases and the control requests. It reports whether
// action is one of these. It never blocks.
func (c *Client) HandleAction(action message.Action) bool {
	if update, found := action.(message.SetDatabases); found {
		c.setDatabases(update.Databases)
		return true
	}
	req, found := newRequest(action)
	if !found {
		return false
	}
	req.expires = c.options.Now().Add(req.timeout)
	c.dispatch(req)
	return true
}

// dispatch puts a request into its queue, or answers ControlUnreachable if the
// database is unknown.
func (c *Client) dispatch(req *request) {
	c.mu.Lock()
	queues, found := c.queues[req.database]
	c.mu.Unlock()
	if !found {
		c.sink.Post(req.failureEvent(message.ControlUnreachable))
		return
	}
	if _, blocks := req.action.(message.AwaitPosition); blocks {
		queues.await.enqueue(req)
		return
	}
	queues.control.enqueue(req)
}

// -----------------------------------------------------------------------------
// Starting and stopping of queues.

// setDatabases retires the queues of databases that were removed or whose target
// changed, and adds queues for new targets. After the end of ctx it removes all.
func (c *Client) setDatabases(databases []message.DatabaseTarget) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ctx != nil && c.ctx.Err() != nil {
		databases = nil
	}
	targets := map[model.DatabaseID]target{}
	for _, d := range databases {
		targets[d.Database] = target{database: d.Database, group: d.Group, address: d.Address}
	}
	for id, queues := range c.queues {
		if queues.target != targets[id] {
			queues.retire()
			delete(c.queues, id)
		}
	}
	for id, destination := range targets {
		if _, found := c.queues[id]; !found {
			c.addQueues(destination)
		}
	}
}

// addQueues adds the queues of one database, and starts them if Start was called.
func (c *Client) addQueues(destination target) {
	queues := databaseQueues{
		target:  destination,
		control: newRequestQueue("control", destination, c.options, c.sink, c.log),
		await:   newRequestQueue("await", destination, c.options, c.sink, c.log),
	}
	c.queues[destination.database] = queues
	if c.ctx != nil {
		c.startQueues(queues)
	}
}

// startQueues starts a goroutine for each of the two queues.
func (c *Client) startQueues(queues databaseQueues) {
	for _, queue := range []*requestQueue{queues.control, queues.await} {
		c.runningQueues++
		go func() {
			queue.run(c.ctx)
			c.queueEnded <- struct{}{}
		}()
	}
}

func (q databaseQueues) retire() {
	q.control.retire()
	q.await.retire()
}

// supervise counts the queues that end. When ctx ends, it retires all queues, and
// when the last of them has ended, it closes allEnded.
func (c *Client) supervise(ctx context.Context, allEnded chan<- error) {
	defer close(allEnded)
	done := ctx.Done()
	for {
		select {
		case <-done:
			done = nil
			c.setDatabases(nil)
		case <-c.queueEnded:
			c.mu.Lock()
			c.runningQueues--
			c.mu.Unlock()
		}
		c.mu.Lock()
		running := c.runningQueues
		c.mu.Unlock()
		if done == nil && running == 0 {
			return
		}
	}
}
