package engine_test

import (
	"testing"
	"time"

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
