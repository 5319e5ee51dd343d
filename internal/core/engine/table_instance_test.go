package engine

import (
	"maps"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// TestOrderFollowsTheTable adds and removes instances at random and compares
// the kept order with the table, and lists returned before with what they were.
func TestOrderFollowsTheTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := newInstanceTable()
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			before := table.sorted()
			held := slices.Clone(before)
			id := model.InstanceID(rapid.StringMatching("i[0-9]").Draw(t, "id"))
			if rapid.Bool().Draw(t, "remove") {
				table.remove(id)
			} else {
				table.get(id)
			}
			if !slices.Equal(held, before) {
				t.Fatal("a list that was returned before has changed")
			}
			var names []model.InstanceID
			for _, entry := range table.sorted() {
				names = append(names, entry.id)
			}
			if diff := cmp.Diff(slices.Sorted(maps.Keys(table.byID)), names); diff != "" {
				t.Fatal(diff)
			}
		}
	})
}
