package succession

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// Guards against a database that is promoted although its log has left the history: the
// commits that it has more were rolled back, and it lacks those that took their place.
func TestHistoryContains(t *testing.T) {
	p := func(term, offset int) model.Position {
		return model.Position{Term: model.Term(term), Offset: uint64(offset)}
	}
	history := History{}.Add(Promotion{Term: 2, Base: p(1, 93)}).Add(Promotion{Term: 4, Base: p(2, 120)})
	got := map[string]bool{}
	for _, end := range []model.Position{p(1, 90), p(1, 93), p(1, 97), p(1, 200), p(2, 94), p(2, 120), p(2, 121), p(3, 121), p(4, 121)} {
		got[end.String()] = history.Contains(end)
	}
	want := map[string]bool{
		"1:90": true, "1:93": true, "1:97": false, "1:200": false, "2:94": true, "2:120": true, "2:121": false, "3:121": false, "4:121": true,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]any{true, p(2, 120), model.Position{}}, []any{History{}.Contains(p(1, 97)), history.Base(), History{}.Base()}); diff != "" {
		t.Error(diff)
	}
	for term := range 2 * maxPromotions {
		history = history.Add(Promotion{Term: model.Term(term)})
	}
	if diff := cmp.Diff(maxPromotions, len(history.Promotions)); diff != "" {
		t.Errorf("promotions kept: %s", diff)
	}
}

func TestBarredCandidateIsNotChosen(t *testing.T) {
	barred := Candidate{ID: "a", ReceivedPosition: model.Position{Term: 1, Offset: 9}, IsBarred: true}
	other := Candidate{ID: "b", Leaving: true}
	first, found := ChooseCandidate([]Candidate{barred, other}, model.Position{})
	second, foundSecond := ChooseCandidate([]Candidate{barred}, model.Position{})
	if diff := cmp.Diff([]any{model.DatabaseID("b"), true, model.DatabaseID(""), false}, []any{first, found, second, foundSecond}); diff != "" {
		t.Error(diff)
	}
}
