package fleet

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/eelgrassfold/eelgrassfold/internal/core/clock"
	"github.com/eelgrassfold/eelgrassfold/internal/core/lease"
	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// Answers within maxGroupGossipAge must have the same content, with ages that
// grow with the time. Once the cache is too old, the view has changed or the
// cache was invalidated, as a broadcast does, the content must be new.
func TestGroupGossipIsCached(t *testing.T) {
	f := newUnstartedFleet(1, 3)
	now := clock.Now()
	position := model.Position{Term: 1, Offset: 7}
	f.SamplesOf("ratings").Add(now, position)
	view := lease.View{Version: 4, Rows: map[model.GroupID]lease.GroupRow{"ratings": {Epoch: 1, Primary: "a"}}}
	groupAt := func(view lease.View, at time.Time) message.GroupGossip {
		groups, _ := f.cachedGroupGossip(view, at).Since(0, false, at)
		return groups[0]
	}
	first := groupAt(view, now)
	f.SamplesOf("ratings").Add(now.Add(time.Second), model.Position{Term: 1, Offset: 9})
	ages := []time.Duration{first.SampleAge}
	positions := []uint64{first.SampledPosition.Offset}
	record := func(view lease.View, at time.Time) {
		gossip := groupAt(view, at)
		ages, positions = append(ages, gossip.SampleAge), append(positions, gossip.SampledPosition.Offset)
	}
	record(view, now.Add(maxGroupGossipAge/2))
	record(view, now.Add(maxGroupGossipAge))
	view.Version++
	f.SamplesOf("ratings").Add(now.Add(2*time.Second), model.Position{Term: 1, Offset: 11})
	record(view, now.Add(maxGroupGossipAge))
	f.SamplesOf("ratings").Add(now.Add(3*time.Second), model.Position{Term: 1, Offset: 13})
	f.groupGossip.invalidate()
	record(view, now.Add(maxGroupGossipAge))
	if diff := cmp.Diff([]uint64{7, 7, 9, 11, 13}, positions); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]time.Duration{0, maxGroupGossipAge / 2}, ages[:2]); diff != "" {
		t.Error(diff)
	}
}
