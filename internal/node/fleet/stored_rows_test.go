package fleet

import (
	"encoding/hex"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/eelgrassfold/eelgrassfold/internal/core/engine"
	"github.com/eelgrassfold/eelgrassfold/internal/core/lease"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/store"
	"github.com/eelgrassfold/eelgrassfold/internal/report/eventlog"
)

var update = flag.Bool("update", false, "write the golden files again")

// TestStoredRows guards against a renamed or moved field that changes the rows in
// the store: instances of other releases could no longer read them.
func TestStoredRows(t *testing.T) {
	s := newMemoryStore()
	f := New(Options{Store: s, Log: eventlog.NewWriter(logr.Discard(), eventlog.DefaultLinesPerSecond)})
	at := time.Date(2026, 3, 4, 5, 6, 7, 123456789, time.UTC)
	const version = 9
	view := lease.View{
		Rows: map[model.GroupID]lease.GroupRow{
			"ratings": {
				Epoch: 3, Phase: lease.PhaseChanging, Primary: "ratings-a", Term: 2,
				Coordinator: "front-1-ab", Reason: "no answer", Version: version,
			},
			"routes": {Epoch: 1, Phase: lease.PhaseStable, Primary: "routes-a", Version: version},
		},
		CoordinatorLease: lease.CoordinatorLease{
			Holder: "front-1-ab", HolderName: "front-1", FencingToken: 4, Challenger: "front-2-cd", Version: version,
		},
	}
	members := map[model.InstanceID]member{
		"front-1": {Address: netip.MustParseAddrPort("10.0.0.1:7000"), Zone: "lanier"},
		"front-2": {Address: netip.MustParseAddrPort("[fd00::2]:7000"), Zone: "moss"},
	}
	records := []any{
		engine.PromotionRecord{
			Group: "ratings", Term: 2, PreviousPrimary: "ratings-a", Primary: "ratings-b", Coordinator: "front-1-ab",
			Reason: "no answer", Evidence: []string{"no answer to 2 of 3", "stream lost"},
			FencedDatabases: []engine.FencedDatabase{{Database: "ratings-c", Position: "1:69"}}, Position: "1:70",
			SuspectedAt: at, ClaimedAt: at.Add(time.Second), PromotedAt: at.Add(2 * time.Second),
		},
		engine.PromotionRecord{Group: "routes", PromotedAt: at.Add(time.Minute)},
	}
	var got strings.Builder
	write := func(key string, value any) {
		fmt.Fprintf(&got, "%s %s %s\n", groupTable, key, hex.EncodeToString(f.encode(value)))
	}
	for _, name := range []model.GroupID{"ratings", "routes"} {
		row := view.Rows[name]
		write(groupKey(name), &row)
	}
	write(coordinatorLeaseKey, &view.CoordinatorLease)
	for _, name := range []model.InstanceID{"front-1", "front-2"} {
		m := members[name]
		write(memberPrefix+string(name), &m)
	}
	for epoch, record := range records {
		row := f.recordRow(record.(engine.PromotionRecord), uint64(epoch)+4)
		fmt.Fprintf(&got, "%s %s %s\n", row.Table, row.Key, row.Value)
	}
	const path = "testdata/stored_rows.golden"
	if *update {
		if err := os.WriteFile(path, []byte(got.String()), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	golden, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(golden), got.String()); diff != "" {
		t.Errorf("encoded rows: %s", diff)
	}

	decoded := groupRows{view: lease.View{Rows: map[model.GroupID]lease.GroupRow{}}, members: map[model.InstanceID]member{}}
	for line := range strings.Lines(string(golden)) {
		part := strings.SplitN(strings.TrimSpace(line), " ", 3)
		if part[0] == logbookTable {
			s.put(part[0], part[1], part[2])
			continue
		}
		value, err := hex.DecodeString(part[2])
		if err != nil {
			t.Fatal(err)
		}
		f.decodeRow(store.Row{Table: part[0], Key: part[1], Value: value, Version: version}, groupRows{}, &decoded)
	}
	equal := cmp.Options{
		cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b }),
		cmpopts.IgnoreUnexported(lease.GroupRow{}, lease.CoordinatorLease{}, member{}),
	}
	if diff := cmp.Diff(view, decoded.view, equal); diff != "" {
		t.Errorf("decoded group rows: %s", diff)
	}
	if diff := cmp.Diff(members, decoded.members, equal); diff != "" {
		t.Errorf("decoded members: %s", diff)
	}
	logbook, err := f.Logbook(t.Context(), "")
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(records, logbook.Records); diff != "" {
		t.Errorf("decoded records: %s", diff)
	}
}
