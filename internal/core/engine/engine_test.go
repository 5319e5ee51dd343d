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
	write := w.call(w.node("i1"), "post", "entry-1", model.Token{})
	w.run(time.Second)
	if write.result != resultDone {
		t.Fatalf("write = %s %s\n%s", write.result, write.why, w.notes)
	}
	read := w.call(w.node("i2"), "check", "", model.Token{})
	w.run(time.Second)
	if read.result != resultDone || len(read.saw) != 1 {
		t.Fatalf("read = %s %s, saw %v", read.result, read.why, read.saw)
	}
	t.Logf("write took %s, read took %s at %s", write.ended.Sub(write.began), read.ended.Sub(read.began), read.why)
}

// TestFailoverGap writes steadily through two instances while the primary
// fails, and checks what the callers were told against the surviving log.
func TestFailoverGap(t *testing.T) {
	cases := map[string]func(w *world){
		"killed": func(w *world) { w.primary().dead = true },
		"frozen": func(w *world) { w.primary().frozen = true },
		"isolated from everything": func(w *world) {
			w.split([]string{"d1"}, []string{"d2", "d3", "i1", "i2", "i3", "platform"})
		},
		"isolated from the replicas": func(w *world) { w.split([]string{"d1"}, []string{"d2", "d3"}) },
		"isolated with one instance": func(w *world) {
			w.split([]string{"d1", "i1"}, []string{"d2", "d3", "i2", "i3", "platform"})
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
				d.thaw()
			}
			w.run(12 * time.Second)
			w.check()
			t.Logf("gap %s", w.gap())
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

// TestGroupRemovedWithOpenWrite removes the group while a write is in flight:
// the write still gets its outcome.
func TestGroupRemovedWithOpenWrite(t *testing.T) {
	w := newWorld(t, 1)
	n := w.node("i1")
	cut := strings.Index(testManifest, "[[group]]")
	n.post(message.ManifestSubmitted{CorrelationID: 1, Body: []byte(testManifest + otherGroup), ExpectedNumber: 1})
	w.run(time.Second)
	write := w.call(n, "post", "entry-1", model.Token{})
	n.post(message.ManifestSubmitted{CorrelationID: 2, Body: []byte(testManifest[:cut] + otherGroup), ExpectedNumber: 2})
	w.run(5 * time.Millisecond)
	refused := w.call(n, "post", "entry-2", model.Token{})
	w.run(10 * time.Second)
	if n.number != 3 {
		t.Fatalf("manifest in force = %d, want 3", n.number)
	}
	if write.result != resultDone {
		t.Errorf("write in flight = %s %s, want done", write.result, write.why)
	}
	if refused.result == resultNone {
		t.Errorf("later write got no answer")
	}
}

// TestRestartInOutage starts an instance while the platform is down: it serves
// under the manifest that its peers have, and a lower one never replaces it.
func TestRestartInOutage(t *testing.T) {
	w := newWorld(t, 2)
	first := w.node("i1")
	first.post(message.ManifestSubmitted{CorrelationID: 1, Body: []byte(testManifest + "# second\n"), ExpectedNumber: 1})
	w.run(time.Second)
	w.platform.down = true
	w.node("i2").dead = true
	again := w.start("i2")
	w.run(2 * time.Second)
	if again.number != 2 || !again.ready {
		t.Fatalf("restarted instance: manifest %d, ready %v, want manifest 2, ready", again.number, again.ready)
	}
	read := w.call(again, "check", "", model.Token{})
	w.run(time.Second)
	if read.result != resultDone {
		t.Errorf("read at the restarted instance = %s %s", read.result, read.why)
	}
	again.post(message.PeerMessageReceived{From: "i9", Body: message.ManifestOffer{
		Number: 1, Digest: manifest.Digest([]byte(testManifest)), Body: []byte(testManifest),
	}})
	w.run(time.Second)
	again.post(message.PeerMessageReceived{From: "i9", Body: message.ManifestOffer{
		Number: 9, Digest: manifest.Digest([]byte(testManifest)), Body: []byte(testManifest + "# changed on the way\n"),
	}})
	w.run(time.Second)
	if again.number != 2 {
		t.Errorf("manifest in force = %d after a lower and a changed one were offered, want 2", again.number)
	}
}

// TestLostCommitOfRepeatableWork loses the answer of a commit while the old
// primary goes on: repeatable work is sent again without asking, other work only
// after proof.
func TestLostCommitOfRepeatableWork(t *testing.T) {
	cases := map[string]struct {
		kind   string
		asked  bool
		result result
	}{
		"repeatable":     {kind: "recompute", asked: false, result: resultDone},
		"not repeatable": {kind: "post", asked: true, result: resultCommitted},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 1)
			n := w.node("i1")
			recompute := "[[kind]]\nname = \"recompute\"\nrank = \"background\"\naccess = \"write\"\ndeadline = \"8s\"\nrepeat = true\n"
			n.post(message.ManifestSubmitted{CorrelationID: 1, Body: []byte(testManifest + recompute), ExpectedNumber: 1})
			w.run(time.Second)
			asked := false
			w.onAction = func(_ *node, action message.Action) {
				_, isSettle := action.(message.ResolveInDoubt)
				asked = asked || isSettle
				if dispatch, isDispatch := action.(message.Dispatch); isDispatch && dispatch.Attempt == 1 {
					// The work arrives; its answer never does.
					w.after(linkTime+workTime+linkTime/2, func() { w.database("d1").mute["i1"] = true })
				}
			}
			write := w.call(n, c.kind, "entry", model.Token{})
			w.run(5 * time.Second)
			if write.result != c.result || asked != c.asked {
				t.Errorf("result = %s %s, group asked %v; want %s, %v", write.result, write.why, asked, c.result, c.asked)
			}
		})
	}
}

// TestTokenAheadOfTheGroup reads with a token that no database has reached: the
// read is refused as too old at its deadline, and does not keep the primary busy
// meanwhile.
func TestTokenAheadOfTheGroup(t *testing.T) {
	w := newWorld(t, 1)
	ahead := model.Token{Group: "ratings", Position: model.Position{Term: 1, Offset: 1 << 40}}
	read := w.call(w.node("i1"), "check", "", ahead)
	w.run(10 * time.Second)
	if read.result != resultNotRun || read.why != "stale" {
		t.Errorf("read = %s %s, want not run, stale", read.result, read.why)
	}
	const bound = 200
	if read.attempts > bound {
		t.Errorf("%d attempts, want at most %d", read.attempts, bound)
	}
}

// TestGroupRemovedAndManifestChangedAgain changes the manifest once more while a
// write of a removed group waits for its proof.
func TestGroupRemovedAndManifestChangedAgain(t *testing.T) {
	w := newWorld(t, 1)
	n := w.node("i1")
	without := testManifest[:strings.Index(testManifest, "[[group]]")] + otherGroup
	w.acceptManifest(2, []byte(without))
	w.split([]string{"d1"}, []string{"d2", "d3"})
	write := w.call(n, "post", "entry-1", model.Token{})
	w.run(20 * time.Millisecond)
	for number, body := range []string{without, without + "# again\n"} {
		offer := message.ManifestOffer{
			Number: uint64(number + 2), Digest: manifest.Digest([]byte(body)), Body: []byte(body),
		}
		n.post(message.PeerMessageReceived{From: "i9", Body: offer})
	}
	w.heal()
	w.run(5 * time.Second)
	if n.number != 3 {
		t.Fatalf("manifest in force = %d, want 3", n.number)
	}
	if write.result != resultDone {
		t.Errorf("write in flight = %s %s, want done", write.result, write.why)
	}
}
