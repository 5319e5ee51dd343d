package fleet

import (
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/google/go-cmp/cmp"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/route"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/store"
	"github.com/eelgrassfold/eelgrassfold/internal/report/eventlog"
)

// All peers announce a new version at once, but it must be requested from one
// of them only. A request without an answer is repeated after
// peerRetryInterval, and a newer version is requested at once.
func TestVersionIsRequestedFromOnePeer(t *testing.T) {
	now := time.Unix(1000, 0)
	var r versionRequest
	got := []bool{
		r.recordIfDue(5, now), r.recordIfDue(5, now), r.recordIfDue(4, now), r.recordIfDue(6, now),
		r.recordIfDue(6, now.Add(peerRetryInterval-1)), r.recordIfDue(6, now.Add(peerRetryInterval)),
	}
	if diff := cmp.Diff([]bool{true, false, false, true, false, true}, got); diff != "" {
		t.Error(diff)
	}
}

// A new configuration must be sent to each instance about once, although all
// its peers announce it. Peers may still be sending the first one then, so that
// only the messages with the new one count.
func TestConfigurationIsSentOnce(t *testing.T) {
	const instances = 8
	tf := newTestFleets(t, instances)
	tf.hub.mu.Lock()
	tf.hub.offerDelay = 20 * time.Millisecond
	tf.hub.mu.Unlock()
	tf.store.put("configurations", "current", "2")
	for _, f := range tf.fleets {
		eventually(t, "version 2", func() bool { return f.ConfigurationVersion() == 2 })
	}
	time.Sleep(gossipInterval)
	if offers := tf.hub.offerCount(2); offers == 0 || offers > instances {
		t.Errorf("%d messages with one configuration to %d instances", offers, instances)
	}
}

// The number of instances can change only by the report of a peer. The
// scheduler must get the new number in this case as well.
func TestInstanceCountReachesScheduler(t *testing.T) {
	f := newUnstartedFleet(5, 9)
	f.publishIfResized()
	initialInstances := f.directory.publishedInstances
	f.receiveGossip("z1-1", message.GossipState{ZoneSize: 9, FleetSize: 27})
	f.publishIfResized()
	if diff := cmp.Diff([]int{7, 27}, []int{initialInstances, f.directory.publishedInstances}); diff != "" {
		t.Error(diff)
	}
}

// When databases register themselves in quick succession, each changes the
// list. The list must be requested at intervals, not once for each change.
func TestDatabasesRequestsAreRateLimited(t *testing.T) {
	f := newUnstartedFleet(5, 9)
	requests := 0
	f.Attach(sendFunc(func(send message.SendPeer) {
		if _, ok := send.Body.(message.DatabasesRequest); ok {
			requests++
		}
	}), idleSessions{})
	for version := uint64(1); version <= 50; version++ {
		f.requestNewer("z1-1", message.GossipState{DatabasesVersion: version})
	}
	if diff := cmp.Diff(1, requests); diff != "" {
		t.Error(diff)
	}
	time.Sleep(peerRetryInterval)
	f.requestNewer("z1-1", message.GossipState{DatabasesVersion: 51})
	if diff := cmp.Diff(2, requests); diff != "" {
		t.Errorf("after peerRetryInterval: %s", diff)
	}
}

// A name is certain to have no route only if the newest configuration is known.
// Many lookups of such a name at the same time must share the reads of the
// store.
func TestUnknownRouteNeedsNewestConfiguration(t *testing.T) {
	f := newUnstartedFleet(1, 3)
	memory := f.options.Store.(*memoryStore)
	memory.setDown(true)
	const names = 20
	type outcome struct {
		refusal   route.Refusal
		isCertain bool
	}
	outcomes := make(chan outcome, names)
	for range names {
		go func() {
			admission, isCertain := f.ConfirmAdmission(t.Context(), "lookups", route.KeyDigest{})
			outcomes <- outcome{admission.Refusal, isCertain}
		}()
	}
	for range names {
		if got := <-outcomes; got.refusal != route.RefusalNoRoute || got.isCertain {
			t.Errorf("without a configuration: %+v", got)
		}
	}
	if calls, maxCalls := memory.callCount(), int(admissionConfirmTimeout/minLookUpInterval)+1; calls > maxCalls {
		t.Errorf("%d reads for %d lookups, want %d at most", calls, names, maxCalls)
	}
	f.options.MaxConfigurationAge = time.Minute
	memory.setDown(false)
	memory.put("configurations", "current", "3")
	if admission, isCertain := f.ConfirmAdmission(t.Context(), "lookups", route.KeyDigest{}); admission.Refusal != route.RefusalNoRoute || !isCertain {
		t.Errorf("with the newest configuration: %v, %v", admission.Refusal, isCertain)
	}
}

// The time limit of a table's reads must grow with each timeout, up to
// maxReadTimeout, and fall back to readTimeout after a success.
func TestReadTimeoutGrowsAfterTimeouts(t *testing.T) {
	r := readTimeouts{timeouts: map[string]time.Duration{}}
	var got []time.Duration
	for _, timedOut := range []bool{true, true, true, false} {
		r.record("configurations", timedOut)
		got = append(got, r.timeoutFor("configurations"))
	}
	got = append(got, r.timeoutFor("databases"))
	if diff := cmp.Diff([]time.Duration{2 * readTimeout, maxReadTimeout, maxReadTimeout, readTimeout, readTimeout}, got); diff != "" {
		t.Error(diff)
	}
}

// An entry that can't be decoded is logged once for each of its versions, however often
// the list is read. If it replaces the entry of a database in use, that database is
// used for missingEntryGrace, so that it can write its entry again, and no longer.
// Other databases are not affected.
func TestOddEntry(t *testing.T) {
	var log strings.Builder
	f := newUnstartedFleet(5, 9)
	f.options.Log = eventlog.NewWriter(funcr.New(func(_, line string) { log.WriteString(line + "\n") }, funcr.Options{}), eventlog.DefaultLinesPerSecond)
	rows := func(version uint64, first string) store.Rows {
		return store.Rows{Version: version, Rows: []store.Row{
			{Table: "databases", Key: "a", Value: []byte(first), Version: version},
			{Table: "databases", Key: "b", Value: []byte("ratings"), Version: 2},
			{Table: "databases", Key: "c", Value: []byte(oddEntry), Version: 3},
		}}
	}
	isConnectable := func() []bool { return []bool{f.isConnectable("a"), f.isConnectable("b"), f.isConnectable("c")} }
	f.applyDatabaseRows(rows(4, "ratings"), true)
	for range 3 {
		f.applyDatabaseRows(rows(5, oddEntry), true)
	}
	if diff := cmp.Diff([]bool{true, true, false}, isConnectable()); diff != "" {
		t.Error("within the grace: ", diff)
	}
	if diff := cmp.Diff(2, strings.Count(log.String(), "content-rejected")); diff != "" {
		t.Error(diff, log.String())
	}
	// A row that is older than the odd one changes nothing.
	f.applyDatabaseRows(rows(4, "ratings"), true)
	f.directory.entries["a"].missingSince = f.directory.entries["a"].missingSince.Add(-2 * missingEntryGrace)
	f.expireDatabases()
	if diff := cmp.Diff([]bool{false, true, false}, isConnectable()); diff != "" {
		t.Error("after the grace: ", diff)
	}
	f.applyDatabaseRows(rows(6, "ratings"), true)
	if diff := cmp.Diff([]bool{true, true, false}, isConnectable()); diff != "" {
		t.Error("when the database has written its entry again: ", diff)
	}
}
