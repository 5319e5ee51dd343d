// Package platform asks the platform's table service, object store and list of
// instances.
//
// # What flows in and out
//
// ReadRow, ScanRows, WriteRows, ReadObject, WriteObject and ListInstances flow
// in. Each gets exactly one answer: RowsRead, RowsWritten, ObjectRead,
// ObjectWritten or InstancesListed.
//
// The answer to a change that failed says what is known of its effect, since
// what is claimed to have had none is tried again under another version:
//
//	unsent    no connection, or no byte of the request was handed to it
//	conflict  a row was not at the expected version
//	refused   the platform answered that it did nothing (status 3xx or 4xx)
//	unknown   anything else: the request was sent and no answer came, the
//	          answer can't be read, or a server error came (status 5xx), which
//	          a gateway may give with the change made behind it
//
// Nothing is sent twice by this package: changes go on connections of their
// own, whose bytes are counted, redirects are not followed, and the HTTP
// transport is left no way to repeat a body. Reads share connections; after a
// read that got no answer all idle ones are closed, for they may have gone
// silent too.
//
// At most Options.Concurrency questions are asked at once; others wait in a
// queue, inside their timeouts.
//
// # Usage
//
//	port := platform.NewHTTPService(platform.HTTPOptions{Address: address})
//	edge := platform.NewEdge(platform.Options{Port: port}, sink, log)
//	ended, err := edge.Start(ctx)
//	edge.HandleAction(message.ReadRow{Ask: 1, Table: "groups", Key: "ratings", Timeout: time.Second})
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
	// defaultConcurrency is the number of questions asked at once.
	defaultConcurrency = 16
	// maxWaiting bounds the queue of questions.
	maxWaiting = 1024
)

// counters holds the number of answers by outcome, and the bytes sent and
// received.
var counters = expvar.NewMap("platform")

// Options are the settings of an Edge.
type Options struct {
	// Service is the platform's service.
	Service Service
	// Concurrency is the number of questions asked at once; 0 means 16.
	Concurrency int
}

// Client asks the platform. NewEdge makes one.
type Client struct {
	options Options
	sink    message.Sink
	log     *eventlog.Writer
	// wake holds one value for each question queued, at most.
	wake chan struct{}

	mu    sync.Mutex
	queue []*question
	// closed says that no further question is asked.
	closed bool
}

// NewClient returns an edge that posts its answers to sink.
func NewClient(options Options, sink message.Sink, log logr.Logger) *Client {
	if options.Concurrency == 0 {
		options.Concurrency = defaultConcurrency
	}
	return &Client{
		options: options,
		sink:    sink,
		log:     eventlog.NewWriter(log, eventlog.DefaultLinesPerSecond),
		wake:    make(chan struct{}, maxWaiting),
	}
}

// Start asks questions until ctx ends. The channel is closed when all
// questions are answered. It never fails.
func (e *Client) Start(ctx context.Context) (<-chan error, error) {
	ended := make(chan struct{})
	for range e.options.Concurrency {
		go func() {
			e.work(ctx)
			ended <- struct{}{}
		}()
	}
	over := make(chan error)
	go func() {
		defer close(over)
		for range e.options.Concurrency {
			<-ended
		}
		e.close()
	}()
	return over, nil
}

// HandleAction takes an action and reports whether it is one of this edge. It never
// blocks.
func (e *Client) HandleAction(action message.Action) bool {
	q, found := newQuestion(action)
	if found {
		q.expires = time.Now().Add(q.timeout)
		e.push(q)
	}
	return found
}

// -----------------------------------------------------------------------------
// The queue.

func (e *Client) push(q *question) {
	e.mu.Lock()
	closed, full := e.closed, len(e.queue) >= maxWaiting
	if !closed && !full {
		q.timer = time.AfterFunc(q.timeout, func() { e.expire(q) })
		e.queue = append(e.queue, q)
	}
	e.mu.Unlock()
	switch {
	case closed:
		e.giveUp(q, "the instance ends")
	case full:
		e.giveUp(q, "too many questions wait")
	default:
		e.stir()
	}
}

func (e *Client) stir() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// expire answers a question whose time ended in the queue.
func (e *Client) expire(q *question) {
	e.mu.Lock()
	place := slices.Index(e.queue, q)
	if place >= 0 {
		e.queue = slices.Delete(e.queue, place, place+1)
	}
	e.mu.Unlock()
	if place >= 0 {
		e.giveUp(q, "its time ended in the queue")
	}
}

// pop takes the oldest question out of the queue.
func (e *Client) pop() (*question, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.queue) == 0 {
		return nil, false
	}
	q := e.queue[0]
	e.queue = slices.Delete(e.queue, 0, 1)
	q.timer.Stop()
	return q, true
}

// close answers all questions that were not sent, now and later.
func (e *Client) close() {
	e.mu.Lock()
	e.closed = true
	e.mu.Unlock()
	for {
		q, found := e.pop()
		if !found {
			return
		}
		e.giveUp(q, "the instance ends")
	}
}

func (e *Client) giveUp(q *question, why string) {
	err := &OutcomeError{Outcome: message.PlatformUnreachable, Cause: &UnsentError{Reason: why}}
	e.answer(q, q.failed(err), err)
}

// -----------------------------------------------------------------------------
// The workers.

func (e *Client) work(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.wake:
		}
		if q, found := e.pop(); found {
			e.put(ctx, q)
		}
	}
}

func (e *Client) put(ctx context.Context, q *question) {
	ctx, cancel := context.WithDeadline(ctx, q.expires)
	defer cancel()
	answer, err := q.put(ctx, e.options.Service)
	e.answer(q, answer, err)
}

func (e *Client) answer(q *question, answer message.Event, err error) {
	outcome := outcomeOf(err)
	counters.Add(outcome.String(), 1)
	switch outcome {
	case message.PlatformOK, message.PlatformConflict, message.PlatformNotFound:
	default:
		e.log.Write(time.Now(), event.PlatformFailed,
			event.F("question", q.name),
			event.F("ask", q.ask),
			event.F("outcome", outcome.String()),
			event.F("error", err.Error()))
	}
	e.sink.Post(answer)
}
