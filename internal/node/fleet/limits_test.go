package fleet

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"github.com/eelgrassfold/eelgrassfold/internal/core/clock"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/core/quota"
	"github.com/eelgrassfold/eelgrassfold/internal/core/route"
	"github.com/eelgrassfold/eelgrassfold/internal/report/eventlog"
)

// limitedFleets are fleets with a limit of the tenant "club" and the operations that they
// have admitted.
type limitedFleets struct {
	*testFleets
	limit    quota.Limit
	admitted []time.Time
}

// newLimitedFleets starts two availability zones of two instances each. It waits until
// each instance knows all keepers.
func newLimitedFleets(t *testing.T, limit quota.Limit) *limitedFleets {
	t.Helper()
	tf := newTestFleetsIn(t, []model.ZoneID{"lanier", "lanier", "sierra", "sierra"})
	tf.store.put("configurations", "current", fmt.Sprint(2, " ", limit.Rate, " ", limit.Burst))
	lf := &limitedFleets{testFleets: tf, limit: limit}
	for _, f := range lf.fleets {
		eventually(t, "each instance knows the keepers", func() bool { return keepers(f) == 4 })
	}
	return lf
}

// keepers returns the number of live keepers that an instance with a part of the limits
// knows.
func keepers(f *Fleet) int {
	f.limits.mu.Lock()
	defer f.limits.mu.Unlock()
	if f.limits.keeper.Parts() == 0 {
		return 0
	}
	return len(f.limits.heads.own) + len(f.limits.heads.others)
}

// operate has operations arrive in turn at some fleets for a time, at a rate per second.
// It returns how many arrived and how many were admitted.
func (lf *limitedFleets) operate(duration time.Duration, rate float64, fleets ...*Fleet) (arrived, admitted int) {
	for end := time.Now().Add(duration); time.Now().Before(end); arrived++ {
		if _, ok := fleets[arrived%len(fleets)].AdmitOperation(context.Background(), "club"); ok {
			admitted++
			lf.admitted = append(lf.admitted, clock.Now())
		}
		time.Sleep(time.Duration(float64(time.Second) / rate))
	}
	return arrived, admitted
}

// checkWindows fails the test if a window has more admitted operations than the bound.
func (lf *limitedFleets) checkWindows(t *testing.T) {
	t.Helper()
	tolerance, first := lf.fleets[0].limits.tolerance, 0
	for i, at := range lf.admitted {
		for at.Sub(lf.admitted[first]) > tolerance.Window {
			first++
		}
		if count := float64(i - first + 1); count > tolerance.Bound(lf.limit) {
			t.Fatalf("%g operations in a window, the bound is %g", count, tolerance.Bound(lf.limit))
		}
	}
}

// A keeper is cut off while it gives tokens. Its part stays unused, and those of the
// others are still drawn.
func TestKeeperIsLost(t *testing.T) {
	t.Parallel()
	lf := newLimitedFleets(t, quota.Limit{Rate: 40, Burst: 40})
	lf.operate(time.Second, 400, lf.fleets...)
	lf.hub.setPartitioned("i2", true)
	lf.operate(2*time.Second, 400, lf.fleets[0], lf.fleets[2], lf.fleets[3])
	before := len(lf.admitted)
	lf.operate(3*time.Second, 400, lf.fleets[0], lf.fleets[2], lf.fleets[3])
	if got := len(lf.admitted) - before; got < 60 {
		t.Errorf("%d operations were admitted in 3 s without one of 4 keepers", got)
	}
	lf.hub.setPartitioned("i2", false)
	lf.operate(2*time.Second, 400, lf.fleets...)
	lf.checkWindows(t)
}

// A zone is cut off with tokens outstanding. Each side goes on with its own parts.
func TestZoneIsCutWithTokensOutstanding(t *testing.T) {
	t.Parallel()
	lf := newLimitedFleets(t, quota.Limit{Rate: 40, Burst: 40})
	lf.operate(time.Second, 100, lf.fleets...)
	for _, id := range []model.InstanceID{"i3", "i4"} {
		lf.hub.setPartitioned(id, true)
	}
	lf.operate(2*time.Second, 400, lf.fleets...)
	for i, f := range lf.fleets[1:3] {
		before := len(lf.admitted)
		if lf.operate(time.Second, 400, f); len(lf.admitted)-before < 5 {
			t.Errorf("side %d of the cut admitted %d operations in a second", i, len(lf.admitted)-before)
		}
	}
	lf.operate(2*time.Second, 400, lf.fleets...)
	lf.checkWindows(t)
}

// What is below the limit is admitted, also if all callers are at one instance.
func TestDemandAtOneInstanceIsAdmitted(t *testing.T) {
	t.Parallel()
	lf := newLimitedFleets(t, quota.Limit{Rate: 60, Burst: 60})
	if arrived, admitted := lf.operate(4*time.Second, 40, lf.fleets[1]); float64(admitted) < 0.95*float64(arrived) {
		t.Errorf("%d of %d operations were admitted", admitted, arrived)
	}
}

// The configuration goes from tenants to none and back.
func TestLimitIsTakenAwayAndReturns(t *testing.T) {
	t.Parallel()
	lf := newLimitedFleets(t, quota.Limit{Rate: 5, Burst: 5})
	isLimited := func() bool { return lf.fleets[3].limits.areUsed() }
	lf.operate(time.Second, 200, lf.fleets[3])
	lf.store.put("configurations", "current", "3")
	eventually(t, "no limit is in force", func() bool { return !isLimited() })
	arrived, admitted := lf.operate(200*time.Millisecond, 500, lf.fleets[3])
	if diff := cmp.Diff(arrived, admitted); diff != "" {
		t.Errorf("admitted without a limit: %s", diff)
	}
	lf.store.put("configurations", "current", "4 5 5")
	eventually(t, "the limit is in force", isLimited)
	lf.admitted = nil
	lf.operate(3*time.Second, 200, lf.fleets[3])
	lf.checkWindows(t)
	if refusal, ok := lf.fleets[3].AdmitOperation(context.Background(), "club"); !ok {
		if diff := cmp.Diff(lf.limit, refusal.Limit); diff != "" {
			t.Errorf("limit in the refusal: %s", diff)
		}
	}
}

// A member that joins an availability zone with three heads, and is one by its name, waits
// until no instance counts the head before it. One that is back begins at once: its part was
// not given to others.
func TestJoiningHeadWaits(t *testing.T) {
	for name, c := range map[string]struct {
		others   int
		isListed bool
		want     bool
	}{
		"joins three heads":             {headsPerZone, false, true},
		"joins two heads":               {headsPerZone - 1, false, false},
		"was listed before it started":  {headsPerZone, true, false},
		"begins with all other members": {0, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := New(Options{
				StartID: "a-1", InstanceName: "a", Zone: "lanier", Tolerance: quota.Settings{Window: 5 * time.Second, Overage: 0.1, Slack: 20},
				Log: eventlog.NewWriter(logr.Discard(), eventlog.DefaultLinesPerSecond),
			})
			f.limits.replace(clock.Now(), map[model.TenantID]route.Tenant{"club": {Rate: 90, Burst: 90}})
			read := func(isListed bool, version uint64) {
				members := map[model.InstanceID]member{"z": {Zone: "sierra"}}
				for i := range c.others {
					members[model.InstanceID(fmt.Sprint("b", i))] = member{Zone: "lanier"}
				}
				if isListed {
					members["a"] = member{Zone: "lanier"}
				}
				f.updateMembers(members, version)
				f.updateKeepers(clock.Now())
			}
			read(c.isListed, 1)
			read(true, 2)
			f.limits.mu.Lock()
			defer f.limits.mu.Unlock()
			granted, _ := f.limits.keeper.Take(clock.Now(), "club", 1)
			if diff := cmp.Diff([]any{true, c.want}, []any{f.limits.keeper.Parts() > 0, granted == 0}); diff != "" {
				t.Error(diff)
			}
		})
	}
}
