package relay

import (
	"context"
	"errors"
	"expvar"
	"net/netip"
	"sync"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/clock"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/core/placement"
	"github.com/eelgrassfold/eelgrassfold/internal/core/relay"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
	"github.com/eelgrassfold/eelgrassfold/internal/report/eventlog"
)

// counters counts the statements and links of relays, published under "relays".
var counters = expvar.NewMap("relays")

// ClientOptions are the dependencies and settings of a Client.
type ClientOptions struct {
	// Instance is the ID of this instance, Key the key that the instances share.
	Instance model.InstanceID
	Key      []byte
	// Chooser is told which relays have failed and which have answered.
	Chooser *relay.Chooser
	Log     *eventlog.Writer
}

// Client holds the links to the relays. NewClient makes one.
type Client struct {
	options ClientOptions
	// running counts the goroutines of the links.
	running sync.WaitGroup

	mu sync.Mutex
	// ctx is nil before Start.
	ctx   context.Context
	links map[netip.AddrPort]*link
}

// NewClient returns a client without links.
func NewClient(options ClientOptions) *Client {
	return &Client{options: options, links: map[netip.AddrPort]*link{}}
}

// Start lets the client open links until ctx ends. The channel receives nil when all of
// them have ended.
func (c *Client) Start(ctx context.Context) <-chan error {
	c.mu.Lock()
	c.ctx = ctx
	c.mu.Unlock()
	ended := make(chan error, 1)
	go func() {
		<-ctx.Done()
		c.mu.Lock()
		for _, l := range c.links {
			l.close(&LinkClosedError{})
		}
		c.mu.Unlock()
		c.running.Wait()
		ended <- nil
	}()
	return ended
}

// Open returns a connection through a relay to the database of a reservation, for a
// statement or transaction with the given requirements. Nothing is sent until it runs a
// statement. Close must be called at its end.
func (c *Client) Open(address netip.AddrPort, requirements placement.Requirements, reservation placement.Reservation) *Conn {
	return &Conn{client: c, relay: address, requirements: requirements, reservation: reservation}
}

// Ask asks a relay when a database has last answered it. The time is by the clock of this
// instance, and not later than the true one. Its errors are *NotRunError, if the relay could
// not be reached or would not run a statement at the database, and *LostError.
func (c *Client) Ask(ctx context.Context, address netip.AddrPort, database placement.Database, timeout time.Duration) (time.Time, error) {
	l := c.linkTo(address)
	if l == nil {
		return time.Time{}, notRun(address, ReasonUnreachable, "this instance is shutting down")
	}
	askedAt := clock.Now()
	answer, err := l.exchange(ctx, timeout, &run{
		Group: database.Group, Database: database.ID, Address: database.Address, Incarnation: database.Incarnation,
		NeedsPrimary: true, Statement: wireStatement{Type: statementAsk},
	})
	if err != nil {
		counters.Add("asked.refused", 1)
		c.options.Chooser.RecordFailure(clock.Now(), address, database.ID)
		return time.Time{}, err
	}
	counters.Add("asked.answered", 1)
	return askedAt.Add(-answer.Took), nil
}

// Outstanding returns the number of statements that were passed to a relay and are not
// answered yet.
func (c *Client) Outstanding(address netip.AddrPort) int {
	c.mu.Lock()
	l := c.links[address]
	c.mu.Unlock()
	if l == nil {
		return 0
	}
	return l.outstanding()
}

// linkTo returns the link to a relay, which is opened if there is none. It returns nil if
// the client does not run.
func (c *Client) linkTo(address netip.AddrPort) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l := c.links[address]; l != nil {
		return l
	}
	if c.ctx == nil || c.ctx.Err() != nil {
		return nil
	}
	l := newLink(address)
	c.links[address] = l
	c.running.Add(1)
	go func() {
		defer c.running.Done()
		c.serve(l)
	}()
	return l
}

// serve opens a link and serves it until it ends.
func (c *Client) serve(l *link) {
	reason := l.run(c.ctx, c.options)
	c.mu.Lock()
	if c.links[l.address] == l {
		delete(c.links, l.address)
	}
	c.mu.Unlock()
	unsent, lost := l.failPending()
	var closed *LinkClosedError
	if errors.As(reason, &closed) && unsent+lost == 0 {
		return
	}
	counters.Add("links.lost", 1)
	c.logEvent(event.RelayLost, event.F("relay", l.address.String()), event.F("why", reason.Error()),
		event.F("unsent", unsent), event.F("lost", lost))
	c.options.Chooser.RecordFailure(clock.Now(), l.address, "")
}

func (c *Client) logEvent(e event.Event, fields ...event.Field) {
	c.options.Log.Write(time.Now(), e, fields...)
}
