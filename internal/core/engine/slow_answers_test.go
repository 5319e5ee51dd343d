package engine_test

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against a group that stays without a primary while the databases respond slowly,
// as on a busy machine: an instance loses its evidence for a moment with each late
// response, and must not begin again with its wait in the coordinator order.
func TestPrimaryIsReplacedWhileDatabasesRespondSlowly(t *testing.T) {
	const maxWithoutPrimary = 15 * time.Second
	for seed := range uint64(6) {
		w := newWorld(t, 12)
		w.random = rand.New(rand.NewPCG(seed, 2))
		w.maxExtraDelay, w.platform.responseDelay = 400*time.Millisecond, 600*time.Millisecond
		w.primary().dead = true
		failedAt := w.now
		for p := w.primary(); p == nil || p.dead; p = w.primary() {
			if w.run(100 * time.Millisecond); w.now.Sub(failedAt) > maxWithoutPrimary {
				t.Errorf("seed %d: no primary after %s", seed, maxWithoutPrimary)
				break
			}
		}
	}
}

// A primary that was suspected must not be replaced if it responds again before an
// instance claims, however little the instance heard in between.
func TestSuspicionEndsWhenPrimaryResponds(t *testing.T) {
	w := newWorld(t, 1)
	primary := w.primary()
	w.platform.down = true // holds up the claim
	for _, d := range w.databases {
		d.frozen = d == primary
	}
	w.run(1500 * time.Millisecond) // suspected
	for _, d := range w.databases {
		d.frozen = true
	}
	w.run(700 * time.Millisecond)
	for _, d := range w.databases {
		d.unfreeze()
	}
	w.run(500 * time.Millisecond)
	w.platform.down = false
	w.run(10 * time.Second)
	if got := w.primary(); got != primary || got.term != 1 {
		t.Errorf("the primary is %s in term %d", got.name, got.term)
	}
}
