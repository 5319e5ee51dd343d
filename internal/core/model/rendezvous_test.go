package model

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// The places of instances are all different, and without one of them the others
// keep their order.
func TestPlace(t *testing.T) {
	all := []InstanceID{"i1", "i2", "i3", "i4"}
	order := func(ids []InstanceID) []InstanceID {
		sorted := make([]InstanceID, len(ids))
		for _, id := range ids {
			sorted[RendezvousRank(id, ids, "ratings")] = id
		}
		return sorted
	}
	whole := order(all)
	without := order([]InstanceID{"i1", "i2", "i4"})
	var rest []InstanceID
	for _, id := range whole {
		if id != "i3" {
			rest = append(rest, id)
		}
	}
	if diff := cmp.Diff(rest, without); diff != "" {
		t.Error(diff)
	}
}
