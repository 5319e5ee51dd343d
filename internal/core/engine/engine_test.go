package engine_test

import (
	"strings"
	"testing"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/config/manifest"
	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

func TestWriteThenReadElsewhere(t *testing.T) {
	w := newWorld(t, 2)
	write := w.newRequest(w.node("i1"), "post", "entry-1", model.Token{})
	w.run(time.Second)
	if write.result != resultDone {
		t.Fatalf("write = %s %s\n%s", write.result, write.detail, w.logLines)
	}
	read := w.newRequest(w.node("i2"), "check", "", model.Token{})
	w.run(time.Second)
	if read.result != resultDone || len(read.returnedValues) != 1 {
		t.Fatalf("read = %s %s, saw %v", read.result, read.detail, read.returnedValues)
	}
	t.Logf("write took %s, read took %s at %s", write.endedAt.Sub(write.startedAt), read.endedAt.Sub(read.startedAt), read.detail)
}

// A caller that comes to another instance without a token must read what it has written,
// although the replicas are far behind.
func TestReadElsewhereWithLaggingReplicas(t *testing.T) {
	w := newWorld(t, 2)
	for _, d := range w.databases {
		d.lag = 5 * time.Second
	}
	write := w.newRequest(w.node("i1"), "post", "entry-1", model.Token{})
	w.run(time.Second)
	read := w.newRequest(w.node("i2"), "check", "", model.Token{})
	w.run(time.Second)
	if write.result != resultDone || read.result != resultDone || len(read.returnedValues) != 1 {
		t.Errorf("write = %s, read = %s %s, saw %v", write.result, read.result, read.detail, read.returnedValues)
	}
}

// TestFailoverGap sends writes through three instances while the primary fails, and
// checks the results that the callers got against the surviving log.
func TestFailoverGap(t *testing.T) {
	cases := map[string]func(w *world){
		"killed": func(w *world) { w.primary().dead = true },
		"frozen": func(w *world) { w.primary().frozen = true },
		"isolated from everything": func(w *world) {
			w.partition([]string{"d1"}, []string{"d2", "d3", "i1", "i2", "i3", "platform"})
		},
		"isolated from the replicas": func(w *world) { w.partition([]string{"d1"}, []string{"d2", "d3"}) },
		"isolated with one instance": func(w *world) {
			w.partition([]string{"d1", "i1"}, []string{"d2", "d3", "i2", "i3", "platform"})
		},
		"leaving": func(w *world) { w.primary().leaving = true },
	}
	for name, fail := range cases {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 3)
			w.writeSteadily(500 * time.Millisecond)
			fail(w)
			w.writeSteadily(6 * time.Second)
			w.heal()
			for _, d := range w.databases {
				d.unfreeze()
			}
			w.run(12 * time.Second)
			w.checkHistory()
			t.Logf("gap %s", w.longestWriteGap())
		})
	}
}

const otherGroup = `
[[group]]
name = "standings"
[[group.database]]
name = "e1"
zone = "z1"
address = "127.0.0.1:7101"
[[group.database]]
name = "e2"
zone = "z2"
address = "127.0.0.1:7102"
[[group.database]]
name = "e3"
zone = "z3"
address = "127.0.0.1:7103"
`

// TestGroupRemovedWithOpenWrite removes a group from the manifest while a write to
// it is in flight. The write must still get its outcome.
func TestGroupRemovedWithOpenWrite(t *testing.T) {
	w := newWorld(t, 1)
	n := w.node("i1")
	groupsOffset := strings.Index(testManifest, "[[group]]")
	n.deliverEvent(message.ManifestSubmitted{CorrelationID: 1, Body: []byte(testManifest + otherGroup), ExpectedNumber: 1})
	w.run(time.Second)
	write := w.newRequest(n, "post", "entry-1", model.Token{})
	n.deliverEvent(message.ManifestSubmitted{CorrelationID: 2, Body: []byte(testManifest[:groupsOffset] + otherGroup), ExpectedNumber: 2})
	w.run(5 * time.Millisecond)
	laterWrite := w.newRequest(n, "post", "entry-2", model.Token{})
	w.run(10 * time.Second)
	if n.number != 3 {
		t.Fatalf("manifest in force = %d, want 3", n.number)
	}
	if write.result != resultDone {
		t.Errorf("write in flight = %s %s, want done", write.result, write.detail)
	}
	if laterWrite.result == resultNone {
		t.Errorf("write after the removal of the group got no answer")
	}
}

// TestRestartInOutage starts an instance while the platform is down. It must serve
// under the manifest of its peers, and must replace it neither by one with a lower
// number nor by one whose body does not match its digest.
func TestRestartInOutage(t *testing.T) {
	w := newWorld(t, 2)
	firstInstance := w.node("i1")
	firstInstance.deliverEvent(message.ManifestSubmitted{CorrelationID: 1, Body: []byte(testManifest + "# second\n"), ExpectedNumber: 1})
	w.run(time.Second)
	w.platform.down = true
	w.node("i2").dead = true
	restarted := w.start("i2")
	w.run(2 * time.Second)
	if restarted.number != 2 || !restarted.ready {
		t.Fatalf("restarted instance: manifest %d, ready %v, want manifest 2, ready", restarted.number, restarted.ready)
	}
	read := w.newRequest(restarted, "check", "", model.Token{})
	w.run(time.Second)
	if read.result != resultDone {
		t.Errorf("read at the restarted instance = %s %s", read.result, read.detail)
	}
	restarted.deliverEvent(message.PeerMessageReceived{From: "i9", Body: message.ManifestOffer{
		Number: 1, Digest: manifest.Digest([]byte(testManifest)), Body: []byte(testManifest),
	}})
	w.run(time.Second)
	restarted.deliverEvent(message.PeerMessageReceived{From: "i9", Body: message.ManifestOffer{
		Number: 9, Digest: manifest.Digest([]byte(testManifest)), Body: []byte(testManifest + "# changed on the way\n"),
	}})
	w.run(time.Second)
	if restarted.number != 2 {
		t.Errorf("manifest in force = %d after a lower and a changed one were offered, want 2", restarted.number)
	}
}

// TestLostCommitOfRetryableRequest loses the response to a commit while the primary
// stays the same. A retryable request must be sent again without asking for the
// outcome, any other only once the outcome is resolved.
func TestLostCommitOfRetryableRequest(t *testing.T) {
	cases := map[string]struct {
		kind             string
		resolveRequested bool
		result           result
	}{
		"retryable":     {kind: "recompute", resolveRequested: false, result: resultDone},
		"not retryable": {kind: "post", resolveRequested: true, result: resultCommitted},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 1)
			n := w.node("i1")
			recompute := "[[kind]]\nname = \"recompute\"\nrank = \"background\"\naccess = \"write\"\ndeadline = \"8s\"\nrepeat = true\n"
			n.deliverEvent(message.ManifestSubmitted{CorrelationID: 1, Body: []byte(testManifest + recompute), ExpectedNumber: 1})
			w.run(time.Second)
			resolveRequested := false
			w.onAction = func(_ *node, action message.Action) {
				_, isResolve := action.(message.ResolveInDoubt)
				resolveRequested = resolveRequested || isResolve
				if dispatch, isDispatch := action.(message.Dispatch); isDispatch && dispatch.Attempt == 1 {
					// The request arrives, but its response does not.
					w.after(linkDelay+statementTime+linkDelay/2, func() { w.database("d1").unresponsiveTo["i1"] = true })
				}
			}
			write := w.newRequest(n, c.kind, "entry", model.Token{})
			w.run(5 * time.Second)
			if write.result != c.result || resolveRequested != c.resolveRequested {
				t.Errorf("result = %s %s, outcome requested %v; want %s, %v", write.result, write.detail, resolveRequested, c.result, c.resolveRequested)
			}
		})
	}
}

// TestTokenAheadOfTheGroup reads with a token that no database has reached. The
// read must be rejected as too stale at its deadline, and must not keep the primary
// busy until then.
func TestTokenAheadOfTheGroup(t *testing.T) {
	w := newWorld(t, 1)
	token := model.Token{Group: "ratings", Position: model.Position{Term: 1, Offset: 1 << 40}}
	read := w.newRequest(w.node("i1"), "check", "", token)
	w.run(10 * time.Second)
	if read.result != resultNotRun || read.detail != "stale" {
		t.Errorf("read = %s %s, want not run, stale", read.result, read.detail)
	}
	const bound = 200
	if read.attempts > bound {
		t.Errorf("%d attempts, want at most %d", read.attempts, bound)
	}
}

// TestGroupRemovedAndManifestChangedAgain changes the manifest once more while a
// write to a removed group waits to become durable.
func TestGroupRemovedAndManifestChangedAgain(t *testing.T) {
	w := newWorld(t, 1)
	n := w.node("i1")
	without := testManifest[:strings.Index(testManifest, "[[group]]")] + otherGroup
	w.acceptManifest(2, []byte(without))
	w.partition([]string{"d1"}, []string{"d2", "d3"})
	write := w.newRequest(n, "post", "entry-1", model.Token{})
	w.run(20 * time.Millisecond)
	for number, body := range []string{without, without + "# again\n"} {
		offer := message.ManifestOffer{
			Number: uint64(number + 2), Digest: manifest.Digest([]byte(body)), Body: []byte(body),
		}
		n.deliverEvent(message.PeerMessageReceived{From: "i9", Body: offer})
	}
	w.heal()
	w.run(5 * time.Second)
	if n.number != 3 {
		t.Fatalf("manifest in force = %d, want 3", n.number)
	}
	if write.result != resultDone {
		t.Errorf("write in flight = %s %s, want done", write.result, write.detail)
	}
}

// Guards against a durable commit that is missing in the log of the new primary: the
// replica that holds it drains, the other one is behind, and the instances that have
// acknowledged it have ended with the primary.
func TestDrainingReplicaKeepsDurableCommits(t *testing.T) {
	w := newWorld(t, 3)
	w.database("d2").leaving = true
	w.partition([]string{"d3"}, []string{"d1", "d2"})
	w.writeSteadily(500 * time.Millisecond)
	w.primary().dead = true
	for _, name := range []string{"i1", "i2", "i3"} {
		w.node(name).dead = true
		w.start(name)
	}
	w.heal()
	w.writeSteadily(6 * time.Second)
	w.run(12 * time.Second)
	w.checkHistory()
	if w.longestWriteGap() > 6*time.Second {
		t.Error("no write was acknowledged after the failover")
	}
}
