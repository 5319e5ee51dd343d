package drill

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestSlope(t *testing.T) {
	cases := []struct {
		name string
		x, y []float64
		want float64
	}{
		{"line", []float64{1, 2, 4}, []float64{5, 7, 11}, 2},
		{"flat", []float64{1, 2, 3}, []float64{4, 4, 4}, 0},
		{"scattered around a line", []float64{0, 1, 2, 3}, []float64{1, 0, 3, 2}, 0.6},
		{"equal x", []float64{2, 2}, []float64{1, 3}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if diff := cmp.Diff(c.want, slope(c.x, c.y)); diff != "" {
				t.Error(diff)
			}
		})
	}
}
