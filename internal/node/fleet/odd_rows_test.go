package fleet

import (
	"bytes"
	"errors"
	"net/netip"
	"strings"
	"testing"

	"github.com/go-logr/logr/funcr"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/eelgrassfold/eelgrassfold/internal/core/clock"
	"github.com/eelgrassfold/eelgrassfold/internal/core/lease"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/store"
	"github.com/eelgrassfold/eelgrassfold/internal/report/eventlog"
)

// nestedArray returns a value with arrays nested in each other under a field that no
// row has. A decoder that skips unknown fields descends into them.
func nestedArray(levels int) []byte {
	return append([]byte{0x81, 0xa1, 'x'}, bytes.Repeat([]byte{0x91}, levels)...)
}

// Another writer has replaced the rows of the table of groups. None of them may end
// the process or stop the others from being followed, each version is logged once, and
// what was known stays in force with the version under which it can be replaced.
func TestOddRowsOfGroups(t *testing.T) {
	encode := func(value any) []byte {
		body, err := msgpack.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		return body
	}
	odd := map[string]map[string][]byte{
		"nested":       {groupKey("a"): nestedArray(900_000), coordinatorLeaseKey: nestedArray(900_000), memberPrefix + "m": nestedArray(900_000)},
		"empty":        {groupKey("a"): nil, coordinatorLeaseKey: nil, memberPrefix + "m": nil},
		"text":         {groupKey("a"): []byte("{}"), coordinatorLeaseKey: []byte("{}"), memberPrefix + "m": []byte("{}")},
		"out of range": {groupKey("a"): encode(&lease.GroupRow{Phase: 7, Primary: "a1"}), coordinatorLeaseKey: encode(&lease.CoordinatorLease{FencingToken: 1<<64 - 1}), memberPrefix + "m": encode(&member{Address: netip.MustParseAddrPort("0.0.0.0:70")})},
		"no successor": {groupKey("a"): encode(&lease.GroupRow{Epoch: 1<<64 - 1, Primary: "a1"}), coordinatorLeaseKey: encode(&lease.CoordinatorLease{FencingToken: 1<<64 - 1}), memberPrefix + "m": encode(&member{})},
	}
	equal := cmp.Options{
		cmpopts.IgnoreUnexported(lease.GroupRow{}, lease.CoordinatorLease{}, member{}),
		cmp.AllowUnexported(groupRows{}),
		cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b }),
	}
	for name, rows := range odd {
		t.Run(name, func(t *testing.T) {
			var log strings.Builder
			f := newUnstartedFleet(5, 9)
			f.options.Log = eventlog.NewWriter(funcr.New(func(_, line string) { log.WriteString(line + "\n") }, funcr.Options{}), eventlog.DefaultLinesPerSecond)
			known := groupRows{
				view: lease.View{
					Rows:             map[model.GroupID]lease.GroupRow{"a": {Epoch: 3, Primary: "a1", Version: 5}},
					CoordinatorLease: lease.CoordinatorLease{Holder: "x", FencingToken: 4, Version: 6},
				},
				members: map[model.InstanceID]member{"m": {Zone: "lanier"}, "gone": {Zone: "moss"}},
			}
			read := func(known groupRows) groupRows {
				read := groupRows{
					view:    lease.View{Rows: map[model.GroupID]lease.GroupRow{}, Rejected: map[model.GroupID]uint64{}},
					members: map[model.InstanceID]member{},
				}
				rows := map[string][]byte{
					groupKey("a"): rows[groupKey("a")], coordinatorLeaseKey: rows[coordinatorLeaseKey], memberPrefix + "m": rows[memberPrefix+"m"],
					groupKey("b"): encode(&lease.GroupRow{Epoch: 1, Primary: "b1"}),
				}
				for key, value := range rows {
					f.decodeRow(store.Row{Table: groupTable, Key: key, Value: value, Version: 9}, known, &read)
				}
				return read
			}
			for range 3 {
				want := groupRows{
					view: lease.View{
						Rows: map[model.GroupID]lease.GroupRow{
							"a": {Epoch: 3, Primary: "a1", Version: 9}, "b": {Epoch: 1, Primary: "b1", Version: 9},
						},
						Rejected:         map[model.GroupID]uint64{},
						CoordinatorLease: lease.CoordinatorLease{Holder: "x", FencingToken: 4, Version: 9},
					},
					members: map[model.InstanceID]member{"m": {Zone: "lanier"}},
				}
				got := read(known)
				if diff := cmp.Diff(want, got, equal); diff != "" {
					t.Error(diff)
				}
				if !got.members["m"].isRejected {
					t.Error("the member does not get to know that its row can't be decoded")
				}
			}
			if diff := cmp.Diff(3, strings.Count(log.String(), "content-rejected")); diff != "" {
				t.Error(diff, log.String())
			}
			want := groupRows{
				view: lease.View{
					Rows:             map[model.GroupID]lease.GroupRow{"b": {Epoch: 1, Primary: "b1", Version: 9}},
					Rejected:         map[model.GroupID]uint64{"a": 9},
					CoordinatorLease: lease.CoordinatorLease{FencingToken: 9, Version: 9},
				},
				members: map[model.InstanceID]member{},
			}
			if diff := cmp.Diff(want, read(groupRows{}), equal); diff != "" {
				t.Error("without a known view: ", diff)
			}
		})
	}
}

// While the fleet runs, another writer replaces the rows of a group, of the coordinator
// lease and of a member. All instances must go on: they follow other rows, keep the
// group's primary and the member, and have their views confirmed.
func TestOddRowsWhileRunning(t *testing.T) {
	tf := newTestFleets(t, 3)
	put := func(key string, row any) {
		body, err := msgpack.Marshal(row)
		if err != nil {
			t.Fatal(err)
		}
		tf.store.put(groupTable, key, string(body))
	}
	put(groupKey("ratings"), &lease.GroupRow{Epoch: 1, Primary: "a"})
	for _, f := range tf.fleets {
		eventually(t, "the group's row", func() bool { return f.Leases.View().Rows["ratings"].Epoch == 1 })
	}
	for _, key := range []string{groupKey("ratings"), coordinatorLeaseKey, memberPrefix + "i2"} {
		put(key, &lease.GroupRow{Phase: 9, Epoch: 1 << 63})
	}
	put(groupKey("orders"), &lease.GroupRow{Epoch: 1, Primary: "b"})
	for _, f := range tf.fleets {
		eventually(t, "rows written after the odd ones", func() bool {
			return f.Leases.View().Rows["orders"].Epoch == 1 && f.isMember() &&
				len(f.memberNames()) == 2 && f.Leases.IsConfirmed(clock.Now())
		})
		if got := f.Leases.View().Rows["ratings"]; got.Epoch != 1 || got.Primary != "a" {
			t.Errorf("the group's row is %+v", got)
		}
	}
}

// Guards against a member that an instance started later does not know: another writer
// replaces the row of a member, and the member must write it again, since a failover
// waits only for the members that are known.
func TestOddRowOfMemberIsReplaced(t *testing.T) {
	tf := newTestFleets(t, 2)
	key := memberPrefix + "i2"
	for _, f := range tf.fleets {
		eventually(t, "the members", func() bool { return f.isMember() && len(f.memberNames()) == 1 })
	}
	tf.store.put(groupTable, key, "odd")
	eventually(t, "the row of the member", func() bool {
		tf.store.mu.Lock()
		defer tf.store.mu.Unlock()
		var written member
		return decodeStored(tf.store.rows[groupTable+"/"+key].Value, &written) == nil
	})
}

// Guards against a row of a member that is replaced before the others have read it: the
// member must write it again, and each instance get to know the member, although only
// the first reads the table all the time.
func TestOddRowOfUnknownMember(t *testing.T) {
	tf := newTestFleets(t, 3)
	tf.store.put(groupTable, memberPrefix+"i2", "odd")
	for _, f := range tf.fleets {
		eventually(t, "the members", func() bool { return f.isMember() && len(f.memberNames()) == 2 })
	}
}

func FuzzDecodeStored(f *testing.F) {
	for _, value := range []any{
		&member{Address: netip.MustParseAddrPort("10.0.0.1:7000"), Zone: "lanier"},
		&lease.GroupRow{Epoch: 3, Primary: "a", Term: 2, Reason: "no answer"},
		&lease.CoordinatorLease{Holder: "x", FencingToken: 4},
	} {
		body, err := msgpack.Marshal(value)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(body)
	}
	f.Add(nestedArray(100))
	f.Fuzz(func(t *testing.T, body []byte) {
		var m member
		if decodeStored(body, &m) == nil && m.Address.Port() == 0 {
			t.Errorf("decoded %+v", m)
		}
		var row lease.GroupRow
		if decodeStored(body, &row) == nil && (row.Epoch > model.MaxCounter || row.Term > model.MaxCounter) {
			t.Errorf("decoded %+v", row)
		}
		_ = row.Phase.String()
		var held lease.CoordinatorLease
		if decodeStored(body, &held) == nil && held.FencingToken > model.MaxCounter {
			t.Errorf("decoded %+v", held)
		}
		var outOfRange *model.OutOfRangeError
		if err := decodeStored(make([]byte, maxRowBytes+1), &held); !errors.As(err, &outOfRange) {
			t.Errorf("an error of type %T", err)
		}
	})
}
