package fleet

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/core/placement"
	"github.com/eelgrassfold/eelgrassfold/internal/core/quota"
	"github.com/eelgrassfold/eelgrassfold/internal/core/route"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/store"
	"github.com/eelgrassfold/eelgrassfold/internal/report/eventlog"
)

// eventuallyTimeout bounds what a test waits for. It is far longer than that
// takes on a busy machine.
const eventuallyTimeout = 30 * time.Second

// eventually waits until a condition holds, and fails the test after
// eventuallyTimeout.
func eventually(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(eventuallyTimeout); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not in time: %s", condition)
		}
	}
}

// memoryStore is a store in memory that counts its calls.
type memoryStore struct {
	mu      sync.Mutex
	version uint64
	rows    map[string]store.Row
	changed chan struct{}
	calls   int
	watches int
	isDown  bool
	// unansweredTable is a table whose reads get no answer.
	unansweredTable string
}

func newMemoryStore() *memoryStore {
	return &memoryStore{rows: map[string]store.Row{}, changed: make(chan struct{})}
}

// instanceStore is a memoryStore as one instance reaches it.
type instanceStore struct {
	*memoryStore
	// silent is set while the instance gets no answers.
	silent atomic.Bool
}

// Read implements store.Store.
func (s *instanceStore) Read(ctx context.Context, table string) (store.Rows, error) {
	if s.silent.Load() {
		<-ctx.Done()
		return store.Rows{}, &store.Error{Outcome: store.OutcomeUnknown, Cause: ctx.Err()}
	}
	return s.memoryStore.Read(ctx, table)
}

// Watch implements store.Store.
func (s *instanceStore) Watch(ctx context.Context, table string, after uint64, wait time.Duration) (store.Rows, error) {
	rows, err := s.memoryStore.Watch(ctx, table, after, wait)
	if s.silent.Load() {
		<-ctx.Done()
		return store.Rows{}, &store.Error{Outcome: store.OutcomeUnknown, Cause: ctx.Err()}
	}
	return rows, err
}

// put writes a row, in place of the operator or a database.
func (s *memoryStore) put(table, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(store.Row{Table: table, Key: key, Value: []byte(value)})
}

// set stores a row at the present version and wakes the watches. The store must
// be locked.
func (s *memoryStore) set(row store.Row) {
	row.Version = s.version
	s.rows[row.Table+"/"+row.Key] = row
	close(s.changed)
	s.changed = make(chan struct{})
}

// row returns the present value of a row.
func (s *memoryStore) row(table, key string) store.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[table+"/"+key]
}

// remove deletes a row and wakes the watches.
func (s *memoryStore) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(store.Row{Table: table, Key: key, Deleted: true})
}

// callCount returns the number of calls so far.
func (s *memoryStore) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *memoryStore) setDown(isDown bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isDown = isDown
}

// watchCount returns the number of watches so far.
func (s *memoryStore) watchCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watches
}

// setUnanswered sets the table whose reads get no answer.
func (s *memoryStore) setUnanswered(table string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unansweredTable = table
}

// startCall counts a call and returns an error if the store is down.
func (s *memoryStore) startCall() error {
	s.calls++
	if s.isDown {
		return &store.Error{Outcome: store.OutcomeRefused, Cause: context.DeadlineExceeded}
	}
	return nil
}

// Read implements store.Store.
func (s *memoryStore) Read(ctx context.Context, table string) (store.Rows, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if table == s.unansweredTable {
		s.mu.Unlock()
		<-ctx.Done()
		s.mu.Lock()
		return store.Rows{}, &store.Error{Outcome: store.OutcomeUnknown, Cause: ctx.Err()}
	}
	if err := s.startCall(); err != nil {
		return store.Rows{}, err
	}
	rows := slices.DeleteFunc(s.changedSince(table, 0), func(row store.Row) bool { return row.Deleted })
	return store.Rows{Version: s.version, Rows: rows}, nil
}

// changedSince returns the rows of a table that changed after a version, in the
// order of their versions.
func (s *memoryStore) changedSince(table string, after uint64) []store.Row {
	var rows []store.Row
	for _, row := range s.rows {
		if row.Table == table && row.Version > after {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b store.Row) int { return int(a.Version) - int(b.Version) })
	return rows
}

// Watch implements store.Store.
func (s *memoryStore) Watch(
	ctx context.Context, table string, after uint64, wait time.Duration,
) (store.Rows, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watches++
	if err := s.startCall(); err != nil {
		return store.Rows{}, err
	}
	for {
		if rows := s.changedSince(table, after); len(rows) > 0 {
			return store.Rows{Version: s.version, Rows: rows}, nil
		}
		changed := s.changed
		s.mu.Unlock()
		var ended bool
		select {
		case <-changed:
		case <-timer.C:
			ended = true
		case <-ctx.Done():
			ended = true
		}
		s.mu.Lock()
		if ended {
			return store.Rows{Version: s.version}, nil
		}
	}
}

// Write implements store.Store.
func (s *memoryStore) Write(_ context.Context, tx store.Transaction) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.startCall(); err != nil {
		return 0, err
	}
	for _, row := range tx.Preconditions {
		if s.rows[row.Table+"/"+row.Key].Version != row.Version {
			return 0, &store.Error{Outcome: store.OutcomeConflict, Cause: context.Canceled}
		}
	}
	s.version++
	for _, row := range tx.Upserts {
		s.set(row)
	}
	for _, row := range tx.Deletes {
		row.Deleted = true
		s.set(row)
	}
	return s.version, nil
}

// testSchema decodes a configuration that consists of a version and, if the tenant
// "club" has a limit, its rate and burst, and entries that consist of a group only. The
// entry oddEntry can't be decoded.
type testSchema struct{}

const oddEntry = "odd"

func (testSchema) ConfigurationTable() (table, key string) { return "configurations", "current" }
func (testSchema) DatabaseTable() string                   { return "databases" }

func (testSchema) DecodeConfiguration(body []byte) (route.Configuration, error) {
	var version uint64
	if _, err := fmt.Sscan(string(body), &version); err != nil {
		return route.Configuration{}, err
	}
	tenants := map[model.TenantID]route.Tenant{}
	var limited route.Tenant
	if _, err := fmt.Sscan(string(body), &version, &limited.Rate, &limited.Burst); err == nil {
		tenants["club"] = limited
	}
	return route.Configuration{Version: version, Tenants: tenants, Groups: map[model.GroupID]route.Group{"ratings": {MaxConnections: 20}}}, nil
}

func (testSchema) RedactConfiguration(body []byte) ([]byte, error) { return body, nil }

func (testSchema) DecodeDatabase(id string, body []byte) (placement.Database, error) {
	if string(body) == oddEntry {
		return placement.Database{}, fmt.Errorf("entry %s", id)
	}
	return placement.Database{
		ID: model.DatabaseID(id), Group: model.GroupID(body), Slots: 3, Address: netip.MustParseAddrPort("127.0.0.1:1"),
	}, nil
}

// hub carries messages between the fleets of a test.
type hub struct {
	mu     sync.Mutex
	fleets map[model.InstanceID]*Fleet
	order  []model.InstanceID
	// offerDelay is the delay of a configuration on its way to the second
	// instance. To the third it takes twice as long, and so on; to the first
	// there is no delay.
	offerDelay time.Duration
	// partitioned holds the instances that neither receive nor send messages.
	partitioned map[model.InstanceID]bool
	// offers counts the messages with a configuration by its version.
	offers map[uint64]int
}

// offerCount returns how many messages with a version of the configuration were
// sent.
func (h *hub) offerCount(version uint64) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.offers[version]
}

// hubLinks are the links of one instance to a hub.
type hubLinks struct {
	hub  *hub
	self model.InstanceID
}

// HandleAction implements Links.
func (l hubLinks) HandleAction(action message.Action) bool {
	send, ok := action.(message.SendPeer)
	if !ok {
		return true
	}
	l.hub.mu.Lock()
	to, found := l.hub.fleets[send.To]
	isPartitioned := l.hub.partitioned[l.self] || l.hub.partitioned[send.To]
	if offer, ok := send.Body.(message.ManifestOffer); ok {
		l.hub.offers[offer.Number]++
	}
	delay := l.hub.offerDelay * time.Duration(slices.Index(l.hub.order, send.To))
	l.hub.mu.Unlock()
	if found && !isPartitioned {
		go func() {
			if _, ok := send.Body.(message.ManifestOffer); ok {
				time.Sleep(delay)
			}
			to.Post(message.PeerMessageReceived{From: l.self, Body: send.Body})
		}()
	}
	return true
}

func (h *hub) setPartitioned(id model.InstanceID, isPartitioned bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.partitioned[id] = isPartitioned
}

// idleSessions implements Sessions for tests without sessions: there is none to
// close.
type idleSessions struct{}

func (idleSessions) CloseIdleSessions()    {}
func (idleSessions) CloseRevokedSessions() {}

// testFleets is the Fleet of each instance of one fleet, with their common store.
type testFleets struct {
	store *memoryStore
	// stores are the stores as the fleets reach them, in the same order.
	stores []*instanceStore
	hub    *hub
	fleets []*Fleet
}

// newTestFleets starts fleets named i1 and so on, with one group of a database
// that can't be reached. It waits until each has the first configuration.
func newTestFleets(t *testing.T, instances int) *testFleets {
	t.Helper()
	return newTestFleetsIn(t, slices.Repeat([]model.ZoneID{"lanier"}, instances))
}

// newTestFleetsIn is like newTestFleets with the availability zone of each instance.
func newTestFleetsIn(t *testing.T, zones []model.ZoneID) *testFleets {
	t.Helper()
	tf := &testFleets{
		store: newMemoryStore(),
		hub: &hub{
			fleets: map[model.InstanceID]*Fleet{}, partitioned: map[model.InstanceID]bool{}, offers: map[uint64]int{},
		},
	}
	tf.store.put("configurations", "current", "1")
	tf.store.put("databases", "a", "ratings")
	ctx, cancel := context.WithCancel(context.Background())
	var ends []<-chan error
	for i, zone := range zones {
		name := model.InstanceID(fmt.Sprintf("i%d", i+1))
		reached := &instanceStore{memoryStore: tf.store}
		tf.stores = append(tf.stores, reached)
		f := New(Options{
			StartID: name, InstanceName: name, Zone: zone, ExpectedInstances: len(zones), Store: reached,
			PeerAddress: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(i+1)),
			Schema:      testSchema{}, MaxConfigurationAge: time.Second,
			Tolerance: quota.Settings{Window: 5 * time.Second, Overage: 0.1, Slack: 20},
			Log:       eventlog.NewWriter(logr.Discard(), eventlog.DefaultLinesPerSecond),
		})
		f.Attach(hubLinks{hub: tf.hub, self: name}, idleSessions{})
		tf.hub.mu.Lock()
		tf.hub.fleets[name] = f
		tf.hub.order = append(tf.hub.order, name)
		tf.hub.mu.Unlock()
		tf.fleets = append(tf.fleets, f)
	}
	for _, f := range tf.fleets {
		ends = append(ends, f.Start(ctx))
		for _, other := range tf.fleets {
			if other != f {
				f.Post(message.PeerConnected{Peer: other.options.StartID})
			}
		}
	}
	t.Cleanup(func() {
		cancel()
		for _, ended := range ends {
			<-ended
		}
	})
	for _, f := range tf.fleets {
		eventually(t, "the first configuration", func() bool { return f.ConfigurationVersion() == 1 })
	}
	return tf
}
