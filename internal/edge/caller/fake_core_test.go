package caller

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/database"
)

const (
	testGroup    model.GroupID    = "ratings"
	testDatabase model.DatabaseID = "ratings-a"
)

// fakeCore decides like a core with one database: it dispatches every request
// there, acknowledges every commit and releases every held answer. A test
// changes single decisions by its hook.
type fakeCore struct {
	edge *Server
	// hook sees each event first; what it returns true for is done with.
	hook func(event message.Event) bool
	// dispatch is the pattern of every Dispatch.
	dispatch message.Dispatch

	// quiet keeps no record of the events.
	quiet bool

	mu     sync.Mutex
	events []message.Event
	keys   map[model.RequestID]string
	// ended receives every AttemptEnded.
	ended chan message.AttemptEnded
}

func (f *fakeCore) Post(event message.Event) {
	f.mu.Lock()
	if !f.quiet {
		f.events = append(f.events, event)
	}
	if arrived, ok := event.(message.RequestArrived); ok {
		f.keys[arrived.Request] = arrived.IdempotencyKey
	}
	f.mu.Unlock()
	if ended, ok := event.(message.AttemptEnded); ok {
		select {
		case f.ended <- ended:
		default:
		}
	}
	if f.hook != nil && f.hook(event) {
		return
	}
	f.decide(event)
}

func (f *fakeCore) decide(event message.Event) {
	switch event := event.(type) {
	case message.RequestArrived:
		f.send(event.Request, 1)
	case message.ResultHeld:
		f.edge.HandleAction(message.ReleaseResult{Request: event.Request, Attempt: event.Attempt})
	case message.AttemptEnded:
		f.decideEnded(event)
	case message.RequestCanceled:
		f.edge.HandleAction(message.CancelStatement{Request: event.Request, Attempt: 1})
	}
}

func (f *fakeCore) decideEnded(event message.AttemptEnded) {
	switch answer := event.Outcome.(type) {
	case message.OutcomeCommitted:
		f.edge.HandleAction(message.AcknowledgeCommit{
			Request: event.Request,
			Attempt: event.Attempt,
			Token:   model.Token{Group: testGroup, Position: answer.Position},
		})
	case message.OutcomeNotStarted, message.OutcomeBehind:
		f.edge.HandleAction(message.RefuseRequest{Request: event.Request, Reason: message.RefuseNoPrimary})
	case message.OutcomeConnectionLost:
		f.edge.HandleAction(message.AbortRequest{Request: event.Request, Attempt: event.Attempt, OutcomeUnknown: answer.MayHaveCommitted})
	}
}

// send dispatches a request for an attempt.
func (f *fakeCore) send(request model.RequestID, attempt model.Attempt) {
	d := f.dispatch
	d.Request = request
	d.Attempt = attempt
	f.mu.Lock()
	d.IdempotencyKey = f.keys[request]
	if f.quiet {
		delete(f.keys, request)
	}
	f.mu.Unlock()
	if d.Deadline.IsZero() {
		d.Deadline = time.Now().Add(time.Minute)
	}
	f.edge.HandleAction(d)
}

// bench is an edge between a fake core and a fake database.
type bench struct {
	t    *testing.T
	core *fakeCore
	edge *Server
	pool *database.Pool
	db   *fakeDatabase
	stop context.CancelFunc
	// gone is closed when the edge has ended.
	gone <-chan error
}

// newBench starts an edge with a pool of two connections. The hooks change the
// core and the options before the start.
func newBench(t *testing.T, change ...func(*bench, *Options)) *bench {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	b := &bench{t: t, db: newFakeDatabase(t), stop: stop}
	b.core = &fakeCore{
		keys:     map[model.RequestID]string{},
		ended:    make(chan message.AttemptEnded, 1000),
		dispatch: message.Dispatch{Database: testDatabase, Term: 7, HoldUntilDurable: true, Access: model.AccessWrite},
	}
	options := Options{ListenAddress: netip.MustParseAddrPort("127.0.0.1:0"), IdempotencyKeyPrefix: "i1", Trust: true}
	for _, one := range change {
		one(b, &options)
	}
	b.pool = database.NewPool(database.PoolOptions{User: "eelgrassfold"}, logr.Discard())
	poolGone, err := b.pool.Start(ctx)
	if err != nil {
		t.Fatal(err)
	}
	b.setDatabases(2)
	b.edge = NewServer(options, b.pool, b.core, logr.Discard())
	b.core.edge = b.edge
	b.gone, err = b.edge.Start(ctx)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		stop()
		<-b.gone
		<-poolGone
	})
	return b
}

func (b *bench) setDatabases(connections int) {
	b.pool.HandleAction(message.SetDatabases{Databases: []message.DatabaseTarget{{
		Database:    testDatabase,
		Group:       testGroup,
		Address:     b.db.address(),
		Connections: connections,
	}}})
}

// url returns the address for pgx, with further parameters.
func (b *bench) url(parameters string) string {
	return "postgres://officer@" + b.edge.Address().String() + "/" + string(testGroup) + "?sslmode=disable" + parameters
}

// refusingCore refuses every request.
type refusingCore struct{ *fakeCore }

func (f refusingCore) Post(event message.Event) {
	if arrived, ok := event.(message.RequestArrived); ok {
		f.edge.HandleAction(message.RefuseRequest{Request: arrived.Request, Reason: message.RefuseOverload})
	}
}
