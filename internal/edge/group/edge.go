// Package group asks databases the control questions by which a group's
// primary, terms and positions are known and changed.
//
// # What flows in and out
//
// Probe, Await, Fence, Promote, Follow and Settle flow in, and SetDatabases
// tells where the databases are. Each question is one statement of the
// PostgreSQL protocol on a control connection (docs/design/
// database-protocol.md). For each question exactly one ControlAnswered or
// InDoubtResolved flows out: the database's answer, or ControlTimeout when the
// question's time is over, or ControlUnreachable when there is no connection.
//
// Each database has two lanes with a connection each, opened with the first
// question: one for questions that are answered at once, and one for Await,
// which may block, so that no probe ever waits behind it. Inside a lane the
// questions go one after the other. Probes that wait together are answered by
// one statement that is sent after the last of them arrived, so that each
// answer tells the database's state at a time after its question. Waits for
// positions are shared in the same way: the statement names the lowest
// position, and its answer serves each wait whose position has been reached.
//
// A question whose time is over closes its connection. A late answer then
// can't be taken for the next question's, and a connection that has gone
// silent is replaced by the next question. A connection left over from before
// may have broken unnoticed; the question is then sent once more on a new one,
// since all control statements are idempotent. Tries to connect are spaced by
// exponential backoff with full jitter.
//
// # Usage
//
//	edge := group.NewEdge(group.Options{User: "eelgrassfold"}, sink, log)
//	ended, err := edge.Start(ctx)
//	edge.HandleAction(message.SetDatabases{Databases: targets})
//	edge.HandleAction(message.Probe{Database: "ratings-a", Ask: 1, Timeout: time.Second})
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
	defaultUser       = "eelgrassfold"
	defaultConnect    = time.Second
	defaultBackoff    = 20 * time.Millisecond
	defaultBackoffMax = 500 * time.Millisecond
)

// Options are the settings of an Edge. A zero value has the defaults.
type Options struct {
	// User is the user name of the control connections.
	User string
	// Password is sent in clear text to a database that asks for it so. Other
	// ways to authenticate are not offered.
	Password string
	// ConnectTimeout is the longest time for opening a connection.
	ConnectTimeout time.Duration
	// InitialBackoff is the longest pause after the first failure to connect. It
	// doubles with each failure up to MaxBackoff.
	InitialBackoff, MaxBackoff time.Duration
	// Now is the clock.
	Now func() time.Time
}

func (o Options) withDefaults() Options {
	if o.User == "" {
		o.User = defaultUser
	}
	if o.ConnectTimeout == 0 {
		o.ConnectTimeout = defaultConnect
	}
	if o.InitialBackoff == 0 {
		o.InitialBackoff = defaultBackoff
	}
	if o.MaxBackoff == 0 {
		o.MaxBackoff = defaultBackoffMax
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return o
}

// -----------------------------------------------------------------------------
// The edge.

// Client asks control questions. NewEdge makes one.
type Client struct {
	options Options
	sink    message.Sink
	log     *eventlog.Writer
	// ended gets a value from each lane's goroutine when it ends.
	ended chan struct{}

	mu    sync.Mutex
	lanes map[model.DatabaseID]lanes
	// ctx is nil before Start.
	ctx context.Context
	// running counts the lanes' goroutines.
	running int
}

// lanes are the two lanes of one database.
type lanes struct {
	target  target
	control *lane
	await   *lane
}

// NewClient returns an edge that posts its answers to sink.
func NewClient(options Options, sink message.Sink, log logr.Logger) *Client {
	return &Client{
		options: options.withDefaults(),
		sink:    sink,
		log:     eventlog.NewWriter(log, eventlog.DefaultLinesPerSecond),
		ended:   make(chan struct{}),
		lanes:   map[model.DatabaseID]lanes{},
	}
}

// Start lets questions be sent until ctx ends. The channel is closed when all
// connections are closed and all questions are answered. It never fails.
func (e *Client) Start(ctx context.Context) (<-chan error, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ctx = ctx
	for _, pair := range e.lanes {
		e.launch(pair)
	}
	over := make(chan error)
	go e.supervise(ctx, over)
	return over, nil
}

// HandleAction takes an action and reports whether it is one of this edge. It never
// blocks.
func (e *Client) HandleAction(action message.Action) bool {
	if set, found := action.(message.SetDatabases); found {
		e.setDatabases(set.Databases)
		return true
	}
	q, found := newQuestion(action)
	if !found {
		return false
	}
	q.expires = e.options.Now().Add(q.timeout)
	e.ask(q)
	return true
}

func (e *Client) ask(q *question) {
	e.mu.Lock()
	pair, known := e.lanes[q.database]
	e.mu.Unlock()
	if !known {
		e.sink.Post(q.failed(message.ControlUnreachable))
		return
	}
	if _, blocks := q.action.(message.AwaitPosition); blocks {
		pair.await.push(q)
		return
	}
	pair.control.push(q)
}

// -----------------------------------------------------------------------------
// The lanes' lives.

func (e *Client) setDatabases(databases []message.DatabaseTarget) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ctx != nil && e.ctx.Err() != nil {
		databases = nil
	}
	wanted := map[model.DatabaseID]target{}
	for _, d := range databases {
		wanted[d.Database] = target{database: d.Database, group: d.Group, address: d.Address}
	}
	for id, pair := range e.lanes {
		if pair.target != wanted[id] {
			pair.retire()
			delete(e.lanes, id)
		}
	}
	for id, to := range wanted {
		if _, known := e.lanes[id]; !known {
			e.add(to)
		}
	}
}

func (e *Client) add(to target) {
	pair := lanes{
		target:  to,
		control: newLane("control", to, e.options, e.sink, e.log),
		await:   newLane("await", to, e.options, e.sink, e.log),
	}
	e.lanes[to.database] = pair
	if e.ctx != nil {
		e.launch(pair)
	}
}

func (e *Client) launch(pair lanes) {
	for _, l := range []*lane{pair.control, pair.await} {
		e.running++
		go func() {
			l.run(e.ctx)
			e.ended <- struct{}{}
		}()
	}
}

func (p lanes) retire() {
	p.control.retire()
	p.await.retire()
}

// supervise reads the ends of the lanes until ctx is over and all have ended.
func (e *Client) supervise(ctx context.Context, over chan<- error) {
	defer close(over)
	done := ctx.Done()
	for {
		select {
		case <-done:
			done = nil
			e.setDatabases(nil)
		case <-e.ended:
			e.mu.Lock()
			e.running--
			e.mu.Unlock()
		}
		e.mu.Lock()
		running := e.running
		e.mu.Unlock()
		if done == nil && running == 0 {
			return
		}
	}
}
