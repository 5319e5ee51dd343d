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

// fakeCore behaves like a core with one database: it dispatches every request
// there, acknowledges every commit and releases every held answer. Tests
// override single decisions with the hook.
type fakeCore struct {
	server *Server
	// hook is called first with each event. If it returns true, the default is
	// skipped.
	hook func(event message.Event) bool
	// dispatch is the template of every Dispatch.
	dispatch message.Dispatch

	// discardEvents turns the recording of events off.
	discardEvents bool

	mu     sync.Mutex
	events []message.Event
	keys   map[model.RequestID]string
	// ended receives every AttemptEnded.
	ended chan message.AttemptEnded
}

func (f *fakeCore) Post(event message.Event) {
	f.mu.Lock()
	if !f.discardEvents {
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
	f.applyDefault(event)
}

func (f *fakeCore) applyDefault(event message.Event) {
	switch event := event.(type) {
	case message.RequestArrived:
		f.sendDispatch(event.Request, 1)
	case message.ResultHeld:
		f.server.HandleAction(message.ReleaseResult{Request: event.Request, Attempt: event.Attempt})
	case message.AttemptEnded:
		f.applyDefaultOutcome(event)
	case message.RequestCanceled:
		f.server.HandleAction(message.CancelStatement{Request: event.Request, Attempt: 1})
	}
}

func (f *fakeCore) applyDefaultOutcome(event message.AttemptEnded) {
	switch outcome := event.Outcome.(type) {
	case message.OutcomeCommitted:
		f.server.HandleAction(message.AcknowledgeCommit{
			Request: event.Request,
			Attempt: event.Attempt,
			Token:   model.Token{Group: testGroup, Position: outcome.Position},
		})
	case message.OutcomeNotStarted, message.OutcomeBehind:
		f.server.HandleAction(message.RefuseRequest{Request: event.Request, Reason: message.RefuseNoPrimary})
	case message.OutcomeConnectionLost:
		f.server.HandleAction(message.AbortRequest{Request: event.Request, Attempt: event.Attempt, OutcomeUnknown: outcome.MayHaveCommitted})
	}
}

// sendDispatch dispatches an attempt of a request.
func (f *fakeCore) sendDispatch(request model.RequestID, attempt model.Attempt) {
	dispatch := f.dispatch
	dispatch.Request = request
	dispatch.Attempt = attempt
	f.mu.Lock()
	dispatch.IdempotencyKey = f.keys[request]
	if f.discardEvents {
		delete(f.keys, request)
	}
	f.mu.Unlock()
	if dispatch.Deadline.IsZero() {
		dispatch.Deadline = time.Now().Add(time.Minute)
	}
	f.server.HandleAction(dispatch)
}

// testSetup is a server between a fake core and a fake database.
type testSetup struct {
	t      *testing.T
	core   *fakeCore
	server *Server
	pool   *database.Pool
	db     *fakeDatabase
	stop   context.CancelFunc
	// stopped is closed when the server has stopped.
	stopped <-chan error
}

// newTestSetup starts a server with a pool of two connections. The changes are
// applied to the core and the options before the start.
func newTestSetup(t *testing.T, changes ...func(*testSetup, *Options)) *testSetup {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	setup := &testSetup{t: t, db: newFakeDatabase(t), stop: stop}
	setup.core = &fakeCore{
		keys:     map[model.RequestID]string{},
		ended:    make(chan message.AttemptEnded, 1000),
		dispatch: message.Dispatch{Database: testDatabase, Term: 7, HoldUntilDurable: true, Access: model.AccessWrite},
	}
	options := Options{ListenAddress: netip.MustParseAddrPort("127.0.0.1:0"), IdempotencyKeyPrefix: "i1", Trust: true}
	for _, change := range changes {
		change(setup, &options)
	}
	setup.pool = database.NewPool(database.PoolOptions{User: "eelgrassfold"}, logr.Discard())
	poolStopped, err := setup.pool.Start(ctx)
	if err != nil {
		t.Fatal(err)
	}
	setup.setDatabases(2)
	setup.server = NewServer(options, setup.pool, setup.core, logr.Discard())
	setup.core.server = setup.server
	setup.stopped, err = setup.server.Start(ctx)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		stop()
		<-setup.stopped
		<-poolStopped
	})
	return setup
}

func (setup *testSetup) setDatabases(connections int) {
	setup.pool.HandleAction(message.SetDatabases{Databases: []message.DatabaseTarget{{
		Database:    testDatabase,
		Group:       testGroup,
		Address:     setup.db.address(),
		Connections: connections,
	}}})
}

// url returns the connection URL for pgx, with additional parameters.
func (setup *testSetup) url(parameters string) string {
	return "postgres://officer@" + setup.server.Address().String() + "/" + string(testGroup) + "?sslmode=disable" + parameters
}

// rejectingCore rejects every request.
type rejectingCore struct{ *fakeCore }

func (f rejectingCore) Post(event message.Event) {
	if arrived, ok := event.(message.RequestArrived); ok {
		f.server.HandleAction(message.RefuseRequest{Request: arrived.Request, Reason: message.RefuseOverload})
	}
}
