package fleet

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/eelgrassfold/eelgrassfold/internal/core/clock"
)

// Only the first instance reads and watches the store on behalf of all; the
// calls of the others must be limited to their start.
func TestCallsDoNotGrowWithInstances(t *testing.T) {
	const instances, span, changes = 6, 4 * time.Second, 8
	tf := newTestFleets(t, instances)
	eventually(t, "all instances to be members", func() bool {
		for _, f := range tf.fleets {
			if !f.isMember() {
				return false
			}
		}
		return true
	})
	time.Sleep(time.Second)
	initialCalls := tf.store.callCount()
	for range changes {
		tf.store.put("databases", "b", "ratings")
		time.Sleep(span / changes)
	}
	// The first instance reads the groups each renewAge, and watches two
	// tables.
	maxCalls := int(span/renewAge) + 2*int(span/watchWait) + changes + 4
	if calls := tf.store.callCount() - initialCalls; calls > maxCalls {
		t.Errorf("%d calls of %d instances in %v, want %d at most", calls, instances, span, maxCalls)
	}
	for _, f := range tf.fleets {
		if age := clock.Since(f.configurationConfirmedAt()); age > fallbackReadAge+readTimeout {
			t.Errorf("%s: the last confirmation of the configuration is %v old", f.options.InstanceName, age)
		}
	}
}

// All instances start at once. Until they know each other each takes itself for the
// first, but only one may watch the store.
func TestOneInstanceWatchesAfterStart(t *testing.T) {
	const instances = 12
	tf := newTestFleets(t, instances)
	time.Sleep(firstWatchDelay / 2)
	if watches := tf.store.watchCount(); watches != 0 {
		t.Errorf("%d watches before the instances know each other", watches)
	}
	eventually(t, "a watch", func() bool { return tf.store.watchCount() > 0 })
	time.Sleep(watchWait / 2)
	// The first instance watches two tables.
	if watches := tf.store.watchCount(); watches > 4 {
		t.Errorf("%d watches of %d instances", watches, instances)
	}
}

// The store falls silent for the first instance only. Another one must take its place
// before the others read the store themselves, and no view may expire meanwhile.
func TestSilentStoreOfFirstInstance(t *testing.T) {
	const instances = 12
	tf := newTestFleets(t, instances)
	eventually(t, "all instances to be members", func() bool {
		return !slices.ContainsFunc(tf.fleets, func(f *Fleet) bool { return !f.isMember() })
	})
	time.Sleep(time.Second)
	before := tf.store.callCount()
	tf.stores[0].silent.Store(true)
	const span = 4 * time.Second
	unconfirmed := 0
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if !tf.fleets[instances-1].Leases.IsConfirmed(clock.Now()) {
			unconfirmed++
		}
	}
	// The new first instance reads the groups each renewAge and starts two watches with
	// a read; a few more may read the groups while the first is replaced.
	maxCalls := int(span/renewAge) + 2*(int(span/watchWait)+2) + instances/2
	if calls := tf.store.callCount() - before; calls > maxCalls {
		t.Errorf("%d calls of %d instances, want %d at most", calls, instances, maxCalls)
	}
	if unconfirmed > 0 {
		t.Errorf("no primary could be confirmed in %d of %d checks", unconfirmed, span/(10*time.Millisecond))
	}
}

// A new configuration must reach all instances even if some are partitioned or
// the store fails for a while.
func TestConfigurationReachesAll(t *testing.T) {
	for name, disturb := range map[string]func(tf *testFleets){
		"no disturbance":                        func(*testFleets) {},
		"the first instance is partitioned":     func(tf *testFleets) { tf.hub.setPartitioned("i1", true) },
		"the other instances are partitioned":   func(tf *testFleets) { tf.hub.setPartitioned("i2", true); tf.hub.setPartitioned("i3", true) },
		"the store was down for a second":       func(tf *testFleets) { tf.store.setDown(true); time.Sleep(time.Second); tf.store.setDown(false) },
		"a database registers at the same time": func(tf *testFleets) { tf.store.put("databases", "b", "ratings") },
	} {
		t.Run(name, func(t *testing.T) {
			tf := newTestFleets(t, 3)
			disturb(tf)
			tf.store.put("configurations", "current", "2")
			for _, f := range tf.fleets {
				eventually(t, "version 2", func() bool { return f.ConfigurationVersion() == 2 })
			}
		})
	}
}

// An entry that vanishes while no instance watches the store must be detected
// by the read that starts the next watch, and be reported to the peers.
func TestMissingEntryReachesAll(t *testing.T) {
	tf := newTestFleets(t, 3)
	for _, f := range tf.fleets {
		eventually(t, "the database", func() bool { return f.isConnectable("a") })
	}
	tf.hub.setPartitioned("i1", true)
	tf.store.remove("databases", "a")
	for _, f := range tf.fleets[1:] {
		eventually(t, "the database to be gone", func() bool { return !f.isConnectable("a") })
	}
}

// A store that is partly unavailable answers about the other tables but not about the
// groups. An instance that can't read the groups must not count as one that reaches the
// store: otherwise the instances take turns as the first, and each waits as one that is
// not before it reads the groups again.
func TestOtherTablesDoNotShowThatGroupsAreReachable(t *testing.T) {
	f := newUnstartedFleet(1, 3)
	memory := f.options.Store.(*memoryStore)
	memory.put("configurations", "current", "3")
	memory.setUnanswered(groupTable)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if err := f.readGroups(ctx); err == nil {
		t.Fatal("the table of groups was read")
	}
	_, readErr := f.readOrWatch(t.Context(), "configurations", 0, true)
	_, watchErr := f.readOrWatch(t.Context(), "configurations", 0, false)
	reachable := []bool{readErr == nil, watchErr == nil, f.storeReachable.Load()}
	memory.setUnanswered("")
	if err := f.readGroups(t.Context()); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]bool{true, true, false, true}, append(reachable, f.storeReachable.Load())); diff != "" {
		t.Error(diff)
	}
}
