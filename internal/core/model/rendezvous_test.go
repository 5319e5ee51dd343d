package model

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// The ranks of instances are all different, and the others keep their order when one
// instance is removed.
func TestRendezvousRank(t *testing.T) {
	all := []InstanceID{"i1", "i2", "i3", "i4"}
	order := func(ids []InstanceID) []InstanceID {
		sorted := make([]InstanceID, len(ids))
		for _, id := range ids {
			sorted[RendezvousRank(id, ids, "ratings")] = id
		}
		return sorted
	}
	orderOfAll := order(all)
	orderWithout := order([]InstanceID{"i1", "i2", "i4"})
	var wantOrder []InstanceID
	for _, id := range orderOfAll {
		if id != "i3" {
			wantOrder = append(wantOrder, id)
		}
	}
	if diff := cmp.Diff(wantOrder, orderWithout); diff != "" {
		t.Error(diff)
	}
}
