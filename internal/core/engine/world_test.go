package engine_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sort"
	"testing"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/config/manifest"
	"github.com/eelgrassfold/eelgrassfold/internal/core/engine"
	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// -----------------------------------------------------------------------------
// Virtual time.

const (
	tick          = 5 * time.Millisecond
	linkDelay     = time.Millisecond
	statementTime = time.Millisecond
)

type scheduledCall struct {
	dueAt    time.Time
	sequence int
	run      func()
}

type callHeap []scheduledCall

func (h callHeap) Len() int { return len(h) }
func (h callHeap) Less(i, j int) bool {
	if h[i].dueAt.Equal(h[j].dueAt) {
		return h[i].sequence < h[j].sequence
	}
	return h[i].dueAt.Before(h[j].dueAt)
}
func (h callHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *callHeap) Push(x any)   { *h = append(*h, x.(scheduledCall)) }
func (h *callHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// world simulates some engines, one group of three databases and the platform on
// virtual time.
type world struct {
	t           testing.TB
	now         time.Time
	sequence    int
	queue       callHeap
	nodes       []*node
	databases   []*fakeDatabase
	platform    *fakePlatform
	brokenLinks map[[2]string]bool
	callers     []*fakeCaller
	// onAction is called before an action is carried out.
	onAction func(n *node, action message.Action)
	logLines []string
	// onEvent is called before an event is delivered to an engine.
	onEvent     func(n *node, incoming message.Event)
	lastSession model.SessionID
	// maxExtraDelay bounds the random delay that is added to each message, or is 0
	// for none.
	maxExtraDelay time.Duration
	random        *rand.Rand
}

// messageDelay returns the travel time of the next message.
func (w *world) messageDelay() time.Duration {
	if w.maxExtraDelay == 0 {
		return linkDelay
	}
	return linkDelay + time.Duration(w.random.Int64N(int64(w.maxExtraDelay)))
}

// node is one instance: an engine and the fakes of its edges.
type node struct {
	world    *world
	name     string
	engine   *engine.Engine
	dead     bool
	paused   bool
	drained  bool
	ready    bool
	number   uint64
	deferred []message.Event
	running  map[model.RequestID]*attempt
	callers  map[model.RequestID]*fakeCaller
	durable  model.Position
	decided  map[uint64]message.ManifestDecided
	peers    map[string]bool
}

const testManifest = `
service = "handicap-db"
[limits]
slots = 3
connections = 20
reserve = 4
open = "12ms"
[[rank]]
name = "urgent"
target = "200ms"
worth = 10
floor = 0.2
[[rank]]
name = "ordinary"
target = "500ms"
worth = 3
floor = 0.2
[[rank]]
name = "background"
target = "5s"
worth = 1
floor = 0.1
[[kind]]
name = "post"
rank = "urgent"
access = "write"
deadline = "8s"
[[kind]]
name = "check"
rank = "ordinary"
access = "read"
deadline = "4s"
[[kind]]
name = "pull"
rank = "background"
access = "read"
stale = "2s"
deadline = "4s"
[[group]]
name = "ratings"
[[group.database]]
name = "d1"
zone = "z1"
address = "127.0.0.1:7001"
[[group.database]]
name = "d2"
zone = "z2"
address = "127.0.0.1:7002"
[[group.database]]
name = "d3"
zone = "z3"
address = "127.0.0.1:7003"
`

// newWorld starts the instances i1, i2 and so on with the test manifest already
// accepted, and runs until all are ready.
func newWorld(t testing.TB, instances int) *world {
	t.Helper()
	w := &world{t: t, now: time.Unix(1_700_000_000, 0), brokenLinks: map[[2]string]bool{}, platform: newFakePlatform(), random: rand.New(rand.NewPCG(1, 2))}
	for i := 1; i <= 3; i++ {
		w.databases = append(w.databases, newFakeDatabase(w, i))
	}
	w.databases[0].role = model.RolePrimary
	w.acceptManifest(1, []byte(testManifest))
	for i := 1; i <= instances; i++ {
		w.start(fmt.Sprintf("i%d", i))
	}
	w.run(2 * time.Second)
	return w
}

// acceptManifest stores a manifest at the platform as the accepted one.
func (w *world) acceptManifest(number uint64, body []byte) {
	digest := manifest.Digest(body)
	w.platform.objects[digest] = body
	w.platform.store("manifest/current", []byte(fmt.Sprintf(`{"number":%d,"digest":%q,"nonce":"pipeline"}`, number, digest)))
}

// start starts an instance. Its seed addresses are those of the instances i1 to i3.
func (w *world) start(name string) *node {
	var index int
	fmt.Sscanf(name, "i%d", &index)
	n := &node{
		world: w, name: name,
		running: map[model.RequestID]*attempt{}, callers: map[model.RequestID]*fakeCaller{},
		decided: map[uint64]message.ManifestDecided{}, peers: map[string]bool{},
	}
	n.engine = engine.NewEngine(engine.Options{
		Instance: model.InstanceID(name), Zone: model.ZoneID(fmt.Sprintf("z%d", (index-1)%3+1)),
		PeerAddress: peerAddress(index), SeedAddresses: []netip.AddrPort{peerAddress(1), peerAddress(2), peerAddress(3)},
		StartID: fmt.Sprint(w.sequence),
	})
	w.nodes = append(w.nodes, n)
	w.after(0, n.tick)
	return n
}

func peerAddress(index int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(9000+index))
}

func (w *world) node(name string) *node {
	for _, n := range w.nodes {
		if n.name == name && !n.dead {
			return n
		}
	}
	return nil
}

func (w *world) database(name model.DatabaseID) *fakeDatabase {
	for _, d := range w.databases {
		if d.name == name {
			return d
		}
	}
	return nil
}

// primary returns the database that is primary in the highest term.
func (w *world) primary() *fakeDatabase {
	var best *fakeDatabase
	for _, d := range w.databases {
		if d.role == model.RolePrimary && (best == nil || d.term > best.term) {
			best = d
		}
	}
	return best
}

// after schedules a function to run after the duration.
func (w *world) after(d time.Duration, run func()) {
	w.sequence++
	heap.Push(&w.queue, scheduledCall{dueAt: w.now.Add(d), sequence: w.sequence, run: run})
}

// run advances virtual time by the duration and runs the functions that are due.
func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].dueAt.After(end) {
		next := heap.Pop(&w.queue).(scheduledCall)
		w.now = next.dueAt
		next.run()
	}
	w.now = end
}

// isConnected reports whether messages between a and b are delivered.
func (w *world) isConnected(a, b string) bool {
	return !w.brokenLinks[[2]string{a, b}] && !w.brokenLinks[[2]string{b, a}]
}

// partition breaks every link between the two sides.
func (w *world) partition(one, other []string) {
	for _, a := range one {
		for _, b := range other {
			w.brokenLinks[[2]string{a, b}] = true
		}
	}
}

func (w *world) heal() { w.brokenLinks = map[[2]string]bool{} }

// -----------------------------------------------------------------------------
// Instances.

func (n *node) tick() {
	if n.dead || n.drained {
		return
	}
	n.step()
	n.world.after(tick, n.tick)
}

// deliverEvent delivers an event to the engine, or defers it while the instance is
// paused.
func (n *node) deliverEvent(incoming message.Event) {
	if n.dead || n.drained {
		return
	}
	if n.world.onEvent != nil {
		n.world.onEvent(n, incoming)
	}
	if n.dead {
		return
	}
	if n.paused {
		n.deferred = append(n.deferred, incoming)
		return
	}
	n.step(incoming)
}

func (n *node) resume() {
	n.paused = false
	deferred := n.deferred
	n.deferred = nil
	n.step(deferred...)
}

func (n *node) step(events ...message.Event) {
	if n.paused || n.dead || n.drained {
		return
	}
	actions := append([]message.Action(nil), n.engine.Step(n.world.now, events)...)
	for _, action := range actions {
		if n.world.onAction != nil {
			n.world.onAction(n, action)
		}
		if n.dead {
			return
		}
		n.performAction(action)
	}
}

// performAction carries out an action with the fakes of the edges.
func (n *node) performAction(action message.Action) {
	switch action := action.(type) {
	case message.Dispatch, message.ReleaseResult, message.SetDurablePosition, message.AcknowledgeCommit, message.RefuseRequest,
		message.AbortRequest, message.CancelStatement, message.CloseConnection:
		n.performCallerAction(action)
	case message.Probe, message.AwaitPosition, message.Fence, message.Promote, message.Follow, message.ResolveInDoubt:
		n.performDatabaseAction(action)
	case message.ReadRow, message.ScanRows, message.WriteRows, message.ReadObject, message.WriteObject, message.ListInstances:
		n.performPlatformAction(action)
	case message.SendPeer:
		n.sendToPeer(action)
	case message.SetPeers:
		for _, p := range action.Peers {
			n.peers[fmt.Sprintf("i%d", p.Address.Port()-9000)] = true
		}
		n.connectPeers()
	case message.ManifestDecided:
		n.decided[action.CorrelationID] = action
	case message.Readiness:
		n.ready = action.Ready
	case message.Terminate:
		n.drained = true
	case message.LogEvent:
		n.recordLogEvent(action)
	}
}

// connectPeers simulates the handshake of the links, in which both sides learn each
// other's ID.
func (n *node) connectPeers() {
	for _, name := range sortedNames(n.peers) {
		peer := n.world.node(name)
		if peer == nil || peer == n || !n.world.isConnected(n.name, name) {
			continue
		}
		n.world.after(n.world.messageDelay(), func() {
			n.deliverEvent(message.PeerConnected{Peer: model.InstanceID(peer.name)})
			peer.deliverEvent(message.PeerConnected{Peer: model.InstanceID(n.name)})
		})
	}
}

func instanceIndex(name string) int {
	var index int
	fmt.Sscanf(name, "i%d", &index)
	return index
}

func sortedNames(set map[string]bool) []string {
	var names []string
	for name := range set {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func (n *node) sendToPeer(action message.SendPeer) {
	to := n.world.node(string(action.To))
	if to == nil || !n.world.isConnected(n.name, to.name) {
		return
	}
	n.world.after(n.world.messageDelay(), func() {
		if n.world.isConnected(n.name, to.name) {
			to.deliverEvent(message.PeerMessageReceived{From: model.InstanceID(n.name), Body: action.Body})
		}
	})
}

// recordLogEvent records a log event. It reports an error if the number of the
// manifest in force does not increase.
func (n *node) recordLogEvent(logEvent message.LogEvent) {
	if logEvent.Event.Name == "manifest-in-force" {
		number := logEvent.Fields[0].Value.(uint64)
		if number <= n.number {
			n.world.t.Errorf("%s: manifest %d came into force after %d", n.name, number, n.number)
		}
		n.number = number
	}
	line := fmt.Sprintf("%s %d %s", n.name, logEvent.Event.Number, logEvent.Event.Name)
	for _, field := range logEvent.Fields {
		line += fmt.Sprintf(" %s=%v", field.Name, field.Value)
	}
	n.world.logLines = append(n.world.logLines, fmt.Sprintf("%s %s", n.world.now.Format("05.000"), line))
}
