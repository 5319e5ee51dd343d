package zone

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// maxChanges is the number of changes of an instance's share in a minute that counts as
// rest: less than once from none to all and back.
const maxChanges = 2*steps - 1

// path is the extra time to another zone where it doesn't matter.
const path = 2 * time.Millisecond

func sum(counts map[model.Rank]int) float64 {
	total := 0
	for _, count := range counts {
		total += count
	}
	return float64(total)
}

// ratio returns the part of the reads served that one count is.
func (o outcome) ratio(count float64) float64 { return count / max(1, sum(o.served)) }

// between reports a value outside bounds.
func between(t *testing.T, what string, zone int, value, low, high float64) {
	t.Helper()
	if value < low || value > high {
		t.Errorf("zone %d: %s is %.3f, want %.3f to %.3f", zone, what, value, low, high)
	}
}

// The loads of all zones: each decides by itself, and in the last minute of two and a half they
// have come to rest. A zone's bounds are those of the reads that leave it, and the least
// share of its reads that has to be served.
func TestZonesUnderLoad(t *testing.T) {
	type bounds struct{ low, high, served float64 }
	stays := bounds{0, 0.05, 0.98}
	cases := map[string]struct {
		load load
		want []bounds
	}{
		"a calm day":              {load{demand: []float64{0.5, 0.5, 0.5}, path: path, lost: -1}, []bounds{stays, stays, stays}},
		"a zone without database": {load{demand: []float64{0.6, 0.6, 0.6}, missing: []int{2}, path: path, lost: -1}, []bounds{stays, stays, {1, 1, 0.98}}},
		"a zone with twice the demand that it can serve": {
			load{demand: []float64{2, 0.3, 0.3}, path: path, lost: -1}, []bounds{{0.45, 0.7, 0.98}, stays, stays},
		},
		"a cut that heals": {
			load{demand: []float64{0.5, 0.5, 0.5}, path: path, lostAt: 30 * time.Second, backAt: 40 * time.Second}, []bounds{stays, stays, stays},
		},
		"two full zones":   {load{demand: []float64{1.4, 1.4}, path: path, lost: -1}, []bounds{{0, 0.05, 0.64}, {0, 0.05, 0.64}}},
		"three full zones": {load{demand: []float64{1.4, 1.4, 1.4}, path: path, lost: -1}, []bounds{{0, 0.05, 0.64}, {0, 0.05, 0.64}, {0, 0.05, 0.64}}},
		"a slow path, and room": {
			load{demand: []float64{0.9, 0.2}, path: 60 * time.Millisecond, lost: -1}, []bounds{stays, stays},
		},
		"a slow path, and no room": {
			load{demand: []float64{1.3, 0.2}, path: 60 * time.Millisecond, lost: -1}, []bounds{{0.2, 0.4, 0.95}, stays},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for zone, o := range simulate(1, c.load) {
				between(t, "the part that leaves", zone, o.ratio(sum(o.outside)), c.want[zone].low, c.want[zone].high)
				between(t, "the part that is served", zone, sum(o.served)/sum(o.offered), c.want[zone].served, 1.02)
				between(t, "the number of changes", zone, float64(o.changes), 0, perZone*maxChanges)
			}
		})
	}
}

// One rank is urgent, and a third of the reads has to leave: the urgent ones leave first.
func TestUrgentRankLeavesFirst(t *testing.T) {
	t.Parallel()
	o := simulate(1, load{demand: []float64{1.5, 0.3}, urgent: 0.3, path: path, lost: -1})[0]
	urgent := float64(o.outside[0]) / float64(o.served[0])
	others := float64(o.outside[1]) / float64(o.served[1])
	if urgent < 2*others {
		t.Errorf("%.2f of the urgent reads leave and %.2f of the others", urgent, others)
	}
	between(t, "the number of changes", 0, float64(o.changes), 0, perZone*maxChanges)
}

// A cut of the databases here sends all reads away with the next one; when it heals they
// return by small steps, over some seconds. Nothing else moves by more than a step.
func TestReadsReturnGradually(t *testing.T) {
	t.Parallel()
	o := simulate(1, load{demand: []float64{0.5, 0.5}, path: path, lostAt: 30 * time.Second, backAt: 40 * time.Second})[0]
	at := func(d time.Duration) float64 { return o.shares[d/(100*time.Millisecond)] }
	got := []float64{at(29 * time.Second), at(30500 * time.Millisecond), at(39 * time.Second), at(80 * time.Second)}
	if diff := cmp.Diff([]float64{0, 1, 1, 0}, got); diff != "" {
		t.Errorf("before, in the cut twice, later: %s", diff)
	}
	for i := int(40 * time.Second / (100 * time.Millisecond)); i < len(o.shares); i++ {
		if step := o.shares[i-1] - o.shares[i]; step > 1.0/steps+1e-9 {
			t.Errorf("the share falls by %.1f after %v", step, time.Duration(i)*100*time.Millisecond)
		}
	}
	between(t, "the share two seconds after the cut", 0, at(42*time.Second), 0.7, 1)
}

// What a read does when the share says nothing about it.
func TestChoose(t *testing.T) {
	room := Place{IsUsable: true, HasRoom: true, Wait: 10 * time.Millisecond, Base: 8 * time.Millisecond}
	full, lost, slow := room, Place{IsLost: true}, room
	full.HasRoom = false
	slow.Wait += failingWait
	cases := map[string]struct {
		here, there Place
		waited      time.Duration
		isPressed   bool
		want        Side
	}{
		"room on both sides":               {room, room, 0, false, SideHere},
		"no room here":                     {full, room, 0, false, SideNone},
		"no room here for long":            {full, room, Patience(DefaultPrice), false, SideThere},
		"no room on either side for long":  {full, full, Patience(DefaultPrice), false, SideNone},
		"no room here and no time":         {full, room, 0, true, SideThere},
		"nothing usable here":              {lost, room, 0, false, SideThere},
		"nothing usable here, no room":     {lost, full, 0, false, SideNone},
		"a failing database here":          {slow, room, 0, false, SideThere},
		"a failing database, and no other": {slow, lost, 0, false, SideHere},
	}
	for name, c := range cases {
		decider := &Decider{}
		decider.Arrive(time.Unix(1000, 0), DefaultPrice, 1, room, room)
		if diff := cmp.Diff(c.want, decider.Choose(DefaultPrice, Read{Rank: 1, Waited: c.waited, IsPressed: c.isPressed}, c.here, c.there)); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
	}
}
