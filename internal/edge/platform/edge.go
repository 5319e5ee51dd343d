// Package platform is the client of the platform's table service, object store and
// list of instances.
//
// # What flows in and out
//
// The actions ReadRow, ScanRows, WriteRows, ReadObject, WriteObject and
// ListInstances are requests to the platform. Each is answered by exactly one
// event: RowsRead, RowsWritten, ObjectRead, ObjectWritten or InstancesListed.
//
// The answer to a failed write states what is known of its effect, since a write
// that is reported to have had no effect is retried under another version:
//
//	unsent    no connection was made, or no byte of the request was passed to it
//	conflict  a row was not at the expected version
//	refused   the platform answered that it changed nothing (status 3xx or 4xx)
//	unknown   anything else: the request was sent and no response was received,
//	          the response cannot be decoded, or it is a server error (status
//	          5xx), which a gateway may return although the platform behind it
//	          made the change
//
// This package never sends a request twice: each write uses a new connection, on
// which the bytes written are counted, redirects are not followed, and the HTTP
// transport has no copy of the body to send again. Reads share connections; after a
// read without a response, all idle connections are closed, since they may have
// become unresponsive too.
//
// At most Options.Concurrency requests are executed at once; others wait in a
// queue, and the wait counts towards their timeouts.
//
// # Usage
//
//	service := platform.NewHTTPService(platform.HTTPOptions{Address: address})
//	client := platform.NewClient(platform.Options{Service: service}, sink, log)
//	stopped, err := client.Start(ctx)
//	client.HandleAction(message.ReadRow{
//		CorrelationID: 1, Table: "groups", Key: "ratings", Timeout: time.Second,
//	})
package platform

import (
	"context"
	"expvar"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
	"github.com/eelgrassfold/eelgrassfold/internal/report/eventlog"
)

const (
	// defaultConcurrency is the maximum number of requests executed at once.
	defaultConcurrency = 16
	// maxQueuedRequests is the maximum number of requests in the queue.
	maxQueuedRequests = 1024
)

// counters counts answers by outcome, and the bytes sent and received.
var counters = expvar.NewMap("platform")

// Options are the settings of a Client.
type Options struct {
	// Service executes the requests.
	Service Service
	// Concurrency is the maximum number of requests executed at once; 0 means 16.
	Concurrency int
}

// Client executes requests to the platform. It is created by NewClient.
type Client struct {
	options Options
	sink    message.Sink
	log     *eventlog.Writer
	// wake receives a value for each queued request, so that a worker takes it.
	wake chan struct{}

	mu    sync.Mutex
	queue []*platformRequest
	// closed is true if requests fail at once and are not queued.
	closed bool
}

// NewClient returns a client that posts the answers to requests to sink.
func NewClient(options Options, sink message.Sink, log logr.Logger) *Client {
	if options.Concurrency == 0 {
		options.Concurrency = defaultConcurrency
	}
	return &Client{
		options: options,
		sink:    sink,
		log:     eventlog.NewWriter(log, eventlog.DefaultLinesPerSecond),
		wake:    make(chan struct{}, maxQueuedRequests),
	}
}

// Start executes requests until ctx ends. The returned channel is closed when all
// requests are answered; no error is sent on it. The returned error is always nil.
func (c *Client) Start(ctx context.Context) (<-chan error, error) {
	workerEnded := make(chan struct{})
	for range c.options.Concurrency {
		go func() {
			c.runWorker(ctx)
			workerEnded <- struct{}{}
		}()
	}
	stopped := make(chan error)
	go func() {
		defer close(stopped)
		for range c.options.Concurrency {
			<-workerEnded
		}
		c.close()
	}()
	return stopped, nil
}

// HandleAction queues action if it is a request to the platform, and reports
// whether it is one. It does not wait for the response.
func (c *Client) HandleAction(action message.Action) bool {
	r, found := newPlatformRequest(action)
	if found {
		r.deadline = time.Now().Add(r.timeout)
		c.enqueue(r)
	}
	return found
}

// -----------------------------------------------------------------------------
// Request queue.

func (c *Client) enqueue(r *platformRequest) {
	c.mu.Lock()
	closed, queueFull := c.closed, len(c.queue) >= maxQueuedRequests
	if !closed && !queueFull {
		r.queueTimer = time.AfterFunc(r.timeout, func() { c.expire(r) })
		c.queue = append(c.queue, r)
	}
	c.mu.Unlock()
	switch {
	case closed:
		c.failUnsent(r, "the instance is shutting down")
	case queueFull:
		c.failUnsent(r, "too many queued requests")
	default:
		c.wakeWorker()
	}
}

func (c *Client) wakeWorker() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// expire fails a request whose timeout ended while it was queued.
func (c *Client) expire(r *platformRequest) {
	c.mu.Lock()
	index := slices.Index(c.queue, r)
	if index >= 0 {
		c.queue = slices.Delete(c.queue, index, index+1)
	}
	c.mu.Unlock()
	if index >= 0 {
		c.failUnsent(r, "timed out in the queue")
	}
}

// dequeue removes and returns the oldest request of the queue, or returns false if
// the queue is empty.
func (c *Client) dequeue() (*platformRequest, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) == 0 {
		return nil, false
	}
	r := c.queue[0]
	c.queue = slices.Delete(c.queue, 0, 1)
	r.queueTimer.Stop()
	return r, true
}

// close fails all queued requests, and makes later ones fail at once.
func (c *Client) close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	for {
		r, found := c.dequeue()
		if !found {
			return
		}
		c.failUnsent(r, "the instance is shutting down")
	}
}

func (c *Client) failUnsent(r *platformRequest, reason string) {
	err := &OutcomeError{Outcome: message.PlatformUnreachable, Cause: &UnsentError{Reason: reason}}
	c.complete(r, r.failureEvent(err), err)
}

// -----------------------------------------------------------------------------
// Workers.

func (c *Client) runWorker(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
		}
		if r, found := c.dequeue(); found {
			c.execute(ctx, r)
		}
	}
}

func (c *Client) execute(ctx context.Context, r *platformRequest) {
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	completion, err := r.execute(ctx, c.options.Service)
	c.complete(r, completion, err)
}

func (c *Client) complete(r *platformRequest, completion message.Event, err error) {
	outcome := outcomeOf(err)
	counters.Add(outcome.String(), 1)
	switch outcome {
	case message.PlatformOK, message.PlatformConflict, message.PlatformNotFound:
	default:
		c.log.Write(time.Now(), event.PlatformFailed,
			event.F("question", r.name),
			event.F("ask", r.correlationID),
			event.F("outcome", outcome.String()),
			event.F("error", err.Error()))
	}
	c.sink.Post(completion)
}
