package engine

import (
	"maps"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// TestSortedMatchesTable adds and removes random instances. It checks that the
// sorted slice matches the table, and that slices returned earlier are not changed.
func TestSortedMatchesTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := newInstanceTable()
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			earlier := table.sorted()
			earlierCopy := slices.Clone(earlier)
			id := model.InstanceID(rapid.StringMatching("i[0-9]").Draw(t, "id"))
			if rapid.Bool().Draw(t, "remove") {
				table.remove(id)
			} else {
				table.getOrAdd(id)
			}
			if !slices.Equal(earlierCopy, earlier) {
				t.Fatal("a slice that sorted returned earlier has changed")
			}
			var ids []model.InstanceID
			for _, entry := range table.sorted() {
				ids = append(ids, entry.id)
			}
			if diff := cmp.Diff(slices.Sorted(maps.Keys(table.byID)), ids); diff != "" {
				t.Fatal(diff)
			}
		}
	})
}
