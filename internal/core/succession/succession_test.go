package succession

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

func TestJudge(t *testing.T) {
	cases := []struct {
		name string
		e    Evidence
		want string
	}{
		{"well", Evidence{PrimaryListed: true, Replacements: 2, Observers: 3}, ""},
		{"leaving", Evidence{PrimaryListed: true, PrimaryLeaving: true, Replacements: 1}, "the primary leaves"},
		{"gone", Evidence{Replacements: 1}, "the primary is gone"},
		{"nobody to take over", Evidence{PrimaryLeaving: true}, ""},
		{"silent for all", Evidence{PrimaryListed: true, Replacements: 2, Observers: 2, UnansweredObservers: 2}, "the primary does not answer a majority"},
		{"silent for one of three", Evidence{PrimaryListed: true, Replacements: 2, Observers: 3, UnansweredObservers: 1}, ""},
		{"silent for half", Evidence{PrimaryListed: true, Replacements: 2, Observers: 4, UnansweredObservers: 2}, ""},
		{"silent for most", Evidence{PrimaryListed: true, Replacements: 2, Observers: 3, UnansweredObservers: 2}, "the primary does not answer a majority"},
		{"nobody knows", Evidence{PrimaryListed: true, Replacements: 2}, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			reason, needed := FailoverReason(c.e)
			if diff := cmp.Diff([]any{c.want, c.want != ""}, []any{reason, needed}); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestChoose(t *testing.T) {
	p := func(term, offset int) model.Position {
		return model.Position{Term: model.Term(term), Offset: uint64(offset)}
	}
	cases := []struct {
		name         string
		candidates   []Candidate
		acknowledged model.Position
		want         model.DatabaseID
	}{
		{"none", nil, model.Position{}, ""},
		{"the longest log", []Candidate{{ID: "a", ReceivedPosition: p(1, 5), Leaving: false}, {ID: "b", ReceivedPosition: p(1, 7), Leaving: false}}, model.Position{}, "b"},
		{"the newest term before the longest log", []Candidate{{ID: "a", ReceivedPosition: p(2, 5), Leaving: false}, {ID: "b", ReceivedPosition: p(1, 7), Leaving: false}}, model.Position{}, "a"},
		{"one that stays before one that leaves", []Candidate{{ID: "a", ReceivedPosition: p(1, 9), Leaving: true}, {ID: "b", ReceivedPosition: p(1, 7), Leaving: false}}, model.Position{}, "b"},
		{"one that leaves where no other is", []Candidate{{ID: "a", ReceivedPosition: p(1, 9), Leaving: true}}, model.Position{}, "a"},
		{"one that lacks an acknowledged commit is none", []Candidate{{ID: "a", ReceivedPosition: p(1, 5), Leaving: false}}, p(1, 6), ""},
		{"the one that leaves has all acknowledged commits", []Candidate{{ID: "a", ReceivedPosition: p(1, 5), Leaving: false}, {ID: "b", ReceivedPosition: p(1, 6), Leaving: true}}, p(1, 6), "b"},
		{"of equal logs the one that leads", []Candidate{{ID: "a", ReceivedPosition: p(1, 7)}, {ID: "b", ReceivedPosition: p(1, 7), IsPrimary: true}, {ID: "c", ReceivedPosition: p(1, 7)}}, model.Position{}, "b"},
		{"born anew with an empty log", []Candidate{{ID: "a", ReceivedPosition: p(0, 0), Leaving: false}, {ID: "b", ReceivedPosition: p(1, 1), Leaving: false}}, model.Position{}, "b"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, found := ChooseCandidate(c.candidates, c.acknowledged)
			if diff := cmp.Diff([]any{c.want, c.want != ""}, []any{got, found}); diff != "" {
				t.Error(diff)
			}
		})
	}
}
