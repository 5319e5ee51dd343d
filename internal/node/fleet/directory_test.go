package fleet

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
)

// A change that all peers tell at once is asked for once; an answer that does
// not come is asked for again, and a newer change at once.
func TestOnePeerIsAsked(t *testing.T) {
	now := time.Unix(1000, 0)
	var q question
	got := []bool{
		q.isDue(5, now), q.isDue(5, now), q.isDue(4, now), q.isDue(6, now),
		q.isDue(6, now.Add(askAgain-1)), q.isDue(6, now.Add(askAgain)),
	}
	if diff := cmp.Diff([]bool{true, false, false, true, false, true}, got); diff != "" {
		t.Error(diff)
	}
}

// A configuration goes to each instance about once, however many tell of it.
func TestConfigurationIsSentOnce(t *testing.T) {
	const instances = 8
	w := newWorld(t, instances)
	w.hub.reset()
	w.hub.mu.Lock()
	w.hub.offersTake = 20 * time.Millisecond
	w.hub.mu.Unlock()
	w.store.put("configurations", "current", "2")
	for _, f := range w.fleets {
		eventually(t, "version 2", func() bool { return f.ConfigurationVersion() == 2 })
	}
	time.Sleep(bulletinInterval)
	if offers := w.hub.count(message.ManifestOffer{}); offers > instances {
		t.Errorf("%d offers of one configuration to %d instances", offers, instances)
	}
}

// The scheduler hears of a change in the number of instances that only a peer
// has told.
func TestSharesFollowTheFleet(t *testing.T) {
	f := newMember(5, 9)
	f.republish()
	before := f.directory.sharing
	f.tell("z1-1", message.GossipState{ZoneSize: 9, FleetSize: 27})
	f.republish()
	if diff := cmp.Diff([]int{7, 27}, []int{before, f.directory.sharing}); diff != "" {
		t.Error(diff)
	}
}

// Databases that register themselves one after the other make an instance ask for
// the list now and then, not for each of them.
func TestListIsAskedForNowAndThen(t *testing.T) {
	f := newMember(5, 9)
	asked := 0
	f.Attach(peerThat(func(send message.SendPeer) {
		if _, is := send.Body.(message.DatabasesRequest); is {
			asked++
		}
	}), idleSessions{})
	for version := uint64(1); version <= 50; version++ {
		f.askFor("z1-1", message.GossipState{DatabasesVersion: version})
	}
	if diff := cmp.Diff(1, asked); diff != "" {
		t.Error(diff)
	}
	time.Sleep(askAgain)
	f.askFor("z1-1", message.GossipState{DatabasesVersion: 51})
	if diff := cmp.Diff(2, asked); diff != "" {
		t.Errorf("later: %s", diff)
	}
}

// A name is refused only where the newest configuration is known, and many names
// at once cost the store one read.
func TestNameWithoutAConfiguration(t *testing.T) {
	f := newMember(1, 3)
	rows := f.options.Store.(*memoryStore)
	rows.down(true)
	const names = 20
	type outcome struct{ found, isCertain bool }
	outcomes := make(chan outcome, names)
	for range names {
		go func() {
			found, isCertain := f.ConfirmRoute(t.Context(), "lookups")
			outcomes <- outcome{found, isCertain}
		}()
	}
	for range names {
		if got := <-outcomes; got.found || got.isCertain {
			t.Errorf("without a configuration: %+v", got)
		}
	}
	if calls, most := rows.count(), int(confirmWait/lookUpPause)+1; calls > most {
		t.Errorf("%d reads for %d names, want %d at most", calls, names, most)
	}
	f.options.MaxConfigurationAge = time.Minute
	rows.down(false)
	rows.put("configurations", "current", "3")
	if found, isCertain := f.ConfirmRoute(t.Context(), "lookups"); found || !isCertain {
		t.Errorf("with the newest configuration: %v, %v", found, isCertain)
	}
}

// A read that ran into its limit has longer the next time, within bounds.
func TestPatienceWithLargeTables(t *testing.T) {
	p := patience{limits: map[string]time.Duration{}}
	var got []time.Duration
	for _, ranOut := range []bool{true, true, true, false} {
		p.learn("configurations", ranOut)
		got = append(got, p.of("configurations"))
	}
	got = append(got, p.of("databases"))
	if diff := cmp.Diff([]time.Duration{2 * readTimeout, readMost, readMost, readTimeout, readTimeout}, got); diff != "" {
		t.Error(diff)
	}
}
