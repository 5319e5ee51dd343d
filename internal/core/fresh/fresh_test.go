package fresh

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

func at(milliseconds int) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(milliseconds) * time.Millisecond)
}

func position(term, offset int) model.Position {
	return model.Position{Term: model.Term(term), Offset: uint64(offset)}
}

func TestLowestCovering(t *testing.T) {
	var samples PositionSamples
	for _, s := range []PositionSample{
		{at(0), position(1, 10)},
		{at(100), position(1, 20)},
		{at(90), position(1, 19)},  // older than the newest one
		{at(200), position(1, 15)}, // a database that is behind the newest position
		{at(300), position(2, 16)}, // a new term
		{at(400), position(0, 0)},  // no position
	} {
		samples.Add(s.At, s.Position)
	}
	cases := []struct {
		moment int
		want   model.Position
		found  bool
	}{
		{-5, position(1, 10), true},
		{0, position(1, 10), true},
		{1, position(1, 20), true},
		{101, position(1, 20), true},
		{201, position(2, 16), true},
		{301, model.Position{}, false},
	}
	for _, c := range cases {
		got, found := samples.LowestCovering(at(c.moment))
		if diff := cmp.Diff([]any{c.want, c.found}, []any{got.Position, found}); diff != "" {
			t.Errorf("lowest position that covers moment %d: %s", c.moment, diff)
		}
	}
}

// The returned sample covers every position that was added for a time before the given
// moment.
func TestSampleCoversAllEarlierPositions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var samples PositionSamples
		var added []PositionSample
		now, offset := 0, 0
		for range rapid.IntRange(1, 300).Draw(t, "n") {
			now += rapid.IntRange(0, 100).Draw(t, "pause")
			offset += rapid.IntRange(0, 3).Draw(t, "writes")
			s := PositionSample{At: at(now), Position: position(1, offset)}
			samples.Add(s.At, s.Position)
			added = append(added, s)
		}
		moment := at(rapid.IntRange(0, now+1).Draw(t, "moment"))
		got, found := samples.LowestCovering(moment)
		for _, s := range added {
			if found && s.At.Before(moment) && got.Position.Less(s.Position) {
				t.Fatalf("sample %v was added before moment %v, but the returned sample %v does not cover it", s, moment, got)
			}
		}
	})
}

func TestAddSpacedKeepsMinSpacing(t *testing.T) {
	var samples PositionSamples
	samples.AddSpaced(PositionSample{at(0), position(1, 1)})
	samples.AddSpaced(PositionSample{at(10), position(1, 2)})
	newest, _ := samples.Newest()
	if diff := cmp.Diff(position(1, 1), newest.Position); diff != "" {
		t.Error(diff)
	}
}
