package quota

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

const (
	tenant      = model.TenantID("club")
	step        = 20 * time.Millisecond
	zones       = 3
	zoneSize    = 5
	headsOfZone = 3
)

var settings = Settings{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

// simInstance is one instance of a simulated fleet; the first ones of a zone are heads.
type simInstance struct {
	zone   int
	keeper *Keeper
	purse  *Purse
	// silentUntil is the end of a freeze, a kill or a cut of the instance.
	silentUntil time.Time
}

// simFleet is a simulated fleet with what its databases received.
type simFleet struct {
	now       time.Time
	instances []*simInstance
	// cutUntil is the end of the cut of each zone.
	cutUntil [zones]time.Time
	// arrivals holds the number of admitted operations of each step.
	arrivals         []int
	demand, admitted int
	spread           float64
}

func newSimFleet() *simFleet {
	f := &simFleet{now: time.Unix(1000, 0)}
	for i := range zones * zoneSize {
		f.instances = append(f.instances, &simInstance{zone: i / zoneSize})
		f.restart(i)
	}
	return f
}

func (f *simFleet) isHead(i int) bool { return i%zoneSize < headsOfZone }

func (f *simFleet) restart(i int) {
	f.instances[i].keeper, f.instances[i].purse = NewKeeper(settings), NewPurse()
	if f.isHead(i) {
		f.instances[i].keeper.SetParts(f.now, zones*headsOfZone)
	} else {
		f.instances[i].keeper.StandBy(f.now)
	}
}

func (f *simFleet) setLimit(limit Limit) {
	for _, instance := range f.instances {
		instance.keeper.SetLimits(f.now, map[model.TenantID]Limit{tenant: limit})
	}
}

// reaches reports whether two instances exchange messages.
func (f *simFleet) reaches(from, to *simInstance) bool {
	if f.now.Before(from.silentUntil) || f.now.Before(to.silentUntil) {
		return from == to && !f.now.Before(from.silentUntil)
	}
	return from.zone == to.zone || !f.now.Before(f.cutUntil[from.zone]) && !f.now.Before(f.cutUntil[to.zone])
}

// draw asks the heads for which the instance has links, its own zone first.
func (f *simFleet) draw(i int) {
	instance := f.instances[i]
	want, least := instance.purse.Want(f.now, tenant, 1), maxBlock
	for _, isOwnZone := range []bool{true, false} {
		for j := range f.instances {
			head := f.instances[(i+j)%len(f.instances)]
			if head.keeper.Parts() == 0 || (head.zone == instance.zone) != isOwnZone || !f.reaches(instance, head) {
				continue
			}
			granted, next := head.keeper.Take(f.now, tenant, want)
			if granted > 0 {
				instance.purse.Add(tenant, granted, f.now.Add(settings.HoldTime()))
				return
			}
			least = min(least, next)
		}
	}
	f.spread = math.Mod(f.spread+0.618, 1)
	instance.purse.Block(f.now, tenant, least, f.spread)
}

// operate lets one operation arrive at an instance.
func (f *simFleet) operate(i int) {
	instance := f.instances[i]
	if f.now.Before(instance.silentUntil) {
		return
	}
	f.demand++
	instance.purse.CountDemand(f.now, tenant)
	if !instance.purse.Take(f.now, tenant) {
		if instance.purse.BlockedFor(f.now, tenant) > 0 {
			return
		}
		f.draw(i)
		if !instance.purse.Take(f.now, tenant) {
			return
		}
	}
	f.admitted++
	f.arrivals[len(f.arrivals)-1]++
}

// run lets operations arrive for a time, at a rate per second, at instances that pick
// chooses.
func (f *simFleet) run(duration time.Duration, rate float64, pick func() int) {
	due := 0.0
	for end := f.now.Add(duration); f.now.Before(end); f.now = f.now.Add(step) {
		f.arrivals = append(f.arrivals, 0)
		for due += rate * step.Seconds(); due >= 1; due-- {
			f.operate(pick())
		}
	}
}

// checkWindows fails the test if a window has more arrivals than the bound.
func (f *simFleet) checkWindows(t rapid.TB, bound float64) {
	length, sum := int(settings.Window/step), 0
	for i, count := range f.arrivals {
		sum += count
		if i >= length {
			sum -= f.arrivals[i-length]
		}
		if float64(sum) > bound {
			t.Fatalf("%d operations in the window that ends at step %d; the bound is %.1f", sum, i, bound)
		}
	}
}

// The load: a tenant with any demand, while instances are killed or frozen, single
// instances and whole zones are cut off, and all instances restart.
func TestNoWindowExceedsTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.SampledFrom([]float64{0.5, 2.4, 20, 120, 440}).Draw(t, "rate")
		limit := Limit{Rate: rate, Burst: rate * rapid.SampledFrom([]float64{0.5, 1, 3}).Draw(t, "burst")}
		f := newSimFleet()
		f.setLimit(limit)
		restartedAll := f.now
		for range rapid.IntRange(5, 25).Draw(t, "phases") {
			i := rapid.IntRange(0, len(f.instances)-1).Draw(t, "instance")
			away := f.now.Add(time.Duration(rapid.IntRange(100, 4000).Draw(t, "away")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "fault") {
			case 0:
				f.instances[i].silentUntil = away
			case 1:
				f.instances[i].silentUntil = away
				f.restart(i)
				f.setLimit(limit)
			case 2:
				f.cutUntil[f.instances[i].zone] = away
			case 3:
				if f.now.Sub(restartedAll) < settings.Window {
					break
				}
				restartedAll = f.now
				for j := range f.instances {
					f.restart(j)
				}
				f.setLimit(limit)
			}
			width := rapid.IntRange(1, len(f.instances)).Draw(t, "width")
			next := 0
			f.run(time.Duration(rapid.IntRange(100, 3000).Draw(t, "duration"))*time.Millisecond,
				rate*rapid.SampledFrom([]float64{0, 0.5, 1, 3, 8}).Draw(t, "demand"),
				func() int { next++; return (i + next%width) % len(f.instances) })
		}
		f.checkWindows(t, settings.Bound(limit))
	})
}

// The load: a tenant far above its limit, after it was idle, and again after all instances
// have restarted.
func TestFloodsStayWithinTheBound(t *testing.T) {
	for _, rate := range []float64{0.5, 2.4, 20, 440} {
		for _, burst := range []float64{0.5, 1, 3} {
			t.Run(fmt.Sprintf("%g and %g", rate, burst), func(t *testing.T) {
				limit := Limit{Rate: rate, Burst: burst * rate}
				f := newSimFleet()
				f.setLimit(limit)
				next := 0
				flood := func() { f.run(3*time.Second, 10*rate+200, func() int { next++; return next % len(f.instances) }) }
				f.run(20*time.Second, 0, nil)
				flood()
				for i := range f.instances {
					f.restart(i)
				}
				f.setLimit(limit)
				flood()
				flood()
				f.checkWindows(t, settings.Bound(limit))
			})
		}
	}
}

// The load: a tenant far above its limit when the heads change. A member that becomes a head
// begins while instances that do not know it yet count the one before it.
func TestChangedHeadsStayWithinTheBound(t *testing.T) {
	const longestOverlap = 6 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.SampledFrom([]float64{2.4, 20, 120, 440}).Draw(t, "rate")
		limit := Limit{Rate: rate, Burst: rate * rapid.SampledFrom([]float64{0.5, 1, 3}).Draw(t, "burst")}
		f := newSimFleet()
		f.setLimit(limit)
		next := 0
		run := func(duration time.Duration, rate float64) {
			f.run(duration, rate, func() int { next++; return next % len(f.instances) })
		}
		run(20*time.Second, 0)
		overlap := rapid.Custom(func(t *rapid.T) time.Duration {
			return rapid.SampledFrom([]time.Duration{0, longestOverlap / 2, longestOverlap}).Draw(t, "overlap")
		})
		for range rapid.IntRange(1, 3).Draw(t, "changes") {
			var left []*Keeper
			for zone := range rapid.IntRange(1, zones).Draw(t, "zones") {
				first := zone * zoneSize
				head := f.instances[first+rapid.IntRange(0, headsOfZone-1).Draw(t, "head")].keeper
				heir := f.instances[first+rapid.IntRange(headsOfZone, zoneSize-1).Draw(t, "heir")].keeper
				if head.Parts() > 0 && heir.Parts() == 0 {
					heir.SetParts(f.now, zones*headsOfZone)
					left = append(left, head)
				}
			}
			run(overlap.Draw(t, "overlap"), 4*rate+50)
			for _, head := range left {
				head.StandBy(f.now)
			}
			run(time.Duration(rapid.IntRange(0, 9000).Draw(t, "pause"))*time.Millisecond, 4*rate+50)
		}
		f.checkWindows(t, settings.Bound(limit))
	})
}

// The part of a head that has left is in use again some time after its heir has begun.
func TestHeirTakesOver(t *testing.T) {
	now := time.Unix(1000, 0)
	heir := NewKeeper(settings)
	heir.SetLimits(now, map[model.TenantID]Limit{tenant: {Rate: 90, Burst: 90}})
	heir.StandBy(now)
	heir.SetParts(now, 9)
	for _, c := range []struct {
		after time.Duration
		want  int
	}{{0, 0}, {takeoverDelay - 1, 0}, {takeoverDelay + time.Second/2, 5}, {takeoverDelay + time.Minute, 11}} {
		if granted, _ := heir.Take(now.Add(c.after), tenant, 100); granted != c.want {
			t.Errorf("%d tokens after %v, want %d", granted, c.after, c.want)
		}
	}
}

func TestTokensLapse(t *testing.T) {
	now, purse := time.Unix(1000, 0), NewPurse()
	purse.Add(tenant, 2, now.Add(settings.HoldTime()))
	if !purse.Take(now.Add(settings.HoldTime()-1), tenant) {
		t.Error("a token lapsed before its time")
	}
	if purse.Take(now.Add(settings.HoldTime()), tenant) {
		t.Error("a token was used after its time")
	}
	limit := Limit{Rate: 10, Burst: 10}
	held := limit.Rate * settings.HoldTime().Seconds()
	if most := limit.Rate*5 + limit.Burst + held + settings.Slack; most > settings.Bound(limit) {
		t.Errorf("%g operations are possible, the bound is %g", most, settings.Bound(limit))
	}
}

// The load: a tenant below its limit, whose callers are at few or many instances, in one
// availability zone or in all.
func TestDemandBelowTheLimitIsAdmitted(t *testing.T) {
	for _, rate := range []float64{2.4, 20, 120, 440} {
		for _, width := range []int{1, 3, 5, zones * zoneSize} {
			t.Run(fmt.Sprintf("%g at %d", rate, width), func(t *testing.T) {
				f := newSimFleet()
				f.setLimit(Limit{Rate: rate, Burst: rate})
				next := 0
				f.run(30*time.Second, 0.9*rate, func() int { next++; return next % width })
				if float64(f.admitted) < 0.95*float64(f.demand) {
					t.Errorf("%d of %d operations were admitted", f.admitted, f.demand)
				}
			})
		}
	}
}

// The load: a tenant at its limit while the operator lowers and raises it.
func TestLimitChanges(t *testing.T) {
	f := newSimFleet()
	next := 0
	run := func(limit Limit) float64 {
		f.setLimit(limit)
		f.run(settings.Window, 500, func() int { next++; return next % len(f.instances) })
		before := f.admitted
		f.run(settings.Window, 500, func() int { next++; return next % len(f.instances) })
		return float64(f.admitted - before)
	}
	for _, rate := range []float64{200, 20, 100} {
		limit := Limit{Rate: rate, Burst: rate}
		if got := run(limit); got > settings.Bound(limit) || got < 0.9*rate*settings.Window.Seconds() {
			t.Errorf("%g operations in a window under rate %g, the bound is %g", got, rate, settings.Bound(limit))
		}
	}
	f.setLimit(Limit{})
	for _, instance := range f.instances {
		instance.keeper.SetLimits(f.now, nil)
		if _, found := instance.keeper.Limit(tenant); found {
			t.Error("a tenant whose limit was taken away has one")
		}
	}
}
