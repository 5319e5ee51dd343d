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
	tick     = 5 * time.Millisecond
	linkTime = time.Millisecond
	workTime = time.Millisecond
)

type due struct {
	at    time.Time
	order int
	run   func()
}

type dueHeap []due

func (h dueHeap) Len() int { return len(h) }
func (h dueHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].order < h[j].order
	}
	return h[i].at.Before(h[j].at)
}
func (h dueHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *dueHeap) Push(x any)   { *h = append(*h, x.(due)) }
func (h *dueHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// world holds some engines, one group of three databases and the platform, all
// on virtual time.
type world struct {
	t         testing.TB
	now       time.Time
	order     int
	queue     dueHeap
	nodes     []*node
	databases []*fakeDatabase
	platform  *fakePlatform
	cut       map[[2]string]bool
	callers   []*fakeCaller
	// onAction is called before an action is carried out.
	onAction func(n *node, action message.Action)
	notes    []string
	// onEvent is called before an engine takes an event of the edges in.
	onEvent     func(n *node, incoming message.Event)
	lastSession model.SessionID
	// scatter delays each message by another time below it.
	scatter time.Duration
	random  *rand.Rand
}

// delay is the time that a message takes.
func (w *world) delay() time.Duration {
	if w.scatter == 0 {
		return linkTime
	}
	return linkTime + time.Duration(w.random.Int64N(int64(w.scatter)))
}

// node is one instance: an engine and the fakes of its edges.
type node struct {
	world   *world
	name    string
	engine  *engine.Engine
	dead    bool
	paused  bool
	left    bool
	ready   bool
	number  uint64
	late    []message.Event
	running map[model.RequestID]*attempt
	callers map[model.RequestID]*fakeCaller
	proven  model.Position
	decided map[uint64]message.ManifestDecided
	peers   map[string]bool
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

// newWorld starts instances i1 … with the test manifest accepted already, and
// runs until all are ready.
func newWorld(t testing.TB, instances int) *world {
	t.Helper()
	w := &world{t: t, now: time.Unix(1_700_000_000, 0), cut: map[[2]string]bool{}, platform: newFakePlatform(), random: rand.New(rand.NewPCG(1, 2))}
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

// acceptManifest puts a manifest into the platform as accepted.
func (w *world) acceptManifest(number uint64, body []byte) {
	digest := manifest.Digest(body)
	w.platform.objects[digest] = body
	w.platform.put("manifest/current", []byte(fmt.Sprintf(`{"number":%d,"digest":%q,"nonce":"pipeline"}`, number, digest)))
}

// start starts an instance. Its seeds are all addresses that an instance of the
// test may have.
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
		StartID: fmt.Sprint(w.order),
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

// primary returns the database of the highest term that calls itself primary.
func (w *world) primary() *fakeDatabase {
	var best *fakeDatabase
	for _, d := range w.databases {
		if d.role == model.RolePrimary && (best == nil || d.term > best.term) {
			best = d
		}
	}
	return best
}

// after runs a function later.
func (w *world) after(d time.Duration, run func()) {
	w.order++
	heap.Push(&w.queue, due{at: w.now.Add(d), order: w.order, run: run})
}

// run lets virtual time pass.
func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		next := heap.Pop(&w.queue).(due)
		w.now = next.at
		next.run()
	}
	w.now = end
}

// linked reports whether a message from a reaches b.
func (w *world) linked(a, b string) bool { return !w.cut[[2]string{a, b}] && !w.cut[[2]string{b, a}] }

// split cuts every link between the two sides.
func (w *world) split(one, other []string) {
	for _, a := range one {
		for _, b := range other {
			w.cut[[2]string{a, b}] = true
		}
	}
}

func (w *world) heal() { w.cut = map[[2]string]bool{} }

// -----------------------------------------------------------------------------
// Instances.

func (n *node) tick() {
	if n.dead || n.left {
		return
	}
	n.step()
	n.world.after(tick, n.tick)
}

// post hands an event to the engine, or keeps it while the instance is paused.
func (n *node) post(incoming message.Event) {
	if n.dead || n.left {
		return
	}
	if n.world.onEvent != nil {
		n.world.onEvent(n, incoming)
	}
	if n.dead {
		return
	}
	if n.paused {
		n.late = append(n.late, incoming)
		return
	}
	n.step(incoming)
}

func (n *node) resume() {
	n.paused = false
	late := n.late
	n.late = nil
	n.step(late...)
}

func (n *node) step(events ...message.Event) {
	if n.paused || n.dead || n.left {
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
		n.act(action)
	}
}

// act carries out an action by the fakes of the edges.
func (n *node) act(action message.Action) {
	switch action := action.(type) {
	case message.Dispatch, message.ReleaseResult, message.SetDurablePosition, message.AcknowledgeCommit, message.RefuseRequest,
		message.AbortRequest, message.CancelStatement, message.CloseConnection:
		n.actCaller(action)
	case message.Probe, message.AwaitPosition, message.Fence, message.Promote, message.Follow, message.ResolveInDoubt:
		n.actDatabase(action)
	case message.ReadRow, message.ScanRows, message.WriteRows, message.ReadObject, message.WriteObject, message.ListInstances:
		n.actPlatform(action)
	case message.SendPeer:
		n.send(action)
	case message.SetPeers:
		for _, p := range action.Peers {
			n.peers[fmt.Sprintf("i%d", p.Address.Port()-9000)] = true
		}
		n.greet()
	case message.ManifestDecided:
		n.decided[action.CorrelationID] = action
	case message.Readiness:
		n.ready = action.Ready
	case message.Terminate:
		n.left = true
	case message.LogEvent:
		n.take(action)
	}
}

// greet stands for the links' handshake: both sides learn each other's name.
func (n *node) greet() {
	for _, name := range sortedNames(n.peers) {
		peer := n.world.node(name)
		if peer == nil || peer == n || !n.world.linked(n.name, name) {
			continue
		}
		n.world.after(n.world.delay(), func() {
			n.post(message.PeerConnected{Peer: model.InstanceID(peer.name)})
			peer.post(message.PeerConnected{Peer: model.InstanceID(n.name)})
		})
	}
}

func indexOf(name string) int {
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

func (n *node) send(action message.SendPeer) {
	to := n.world.node(string(action.To))
	if to == nil || !n.world.linked(n.name, to.name) {
		return
	}
	n.world.after(n.world.delay(), func() {
		if n.world.linked(n.name, to.name) {
			to.post(message.PeerMessageReceived{From: model.InstanceID(n.name), Body: action.Body})
		}
	})
}

// take keeps the log lines of promotions, terms and manifests.
func (n *node) take(note message.LogEvent) {
	if note.Event.Name == "manifest-in-force" {
		number := note.Fields[0].Value.(uint64)
		if number <= n.number {
			n.world.t.Errorf("%s: manifest %d came into force after %d", n.name, number, n.number)
		}
		n.number = number
	}
	line := fmt.Sprintf("%s %d %s", n.name, note.Event.Number, note.Event.Name)
	for _, field := range note.Fields {
		line += fmt.Sprintf(" %s=%v", field.Name, field.Value)
	}
	n.world.notes = append(n.world.notes, fmt.Sprintf("%s %s", n.world.now.Format("05.000"), line))
}
