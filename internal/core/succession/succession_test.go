package succession

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

func TestFailoverReason(t *testing.T) {
	cases := []struct {
		name string
		e    Evidence
		want string
	}{
		{"answers all observers", Evidence{PrimaryListed: true, Replacements: 2, Observers: 3}, ""},
		{"leaving", Evidence{PrimaryListed: true, PrimaryLeaving: true, Replacements: 1}, "the primary leaves"},
		{"not listed", Evidence{Replacements: 1}, "the primary is gone"},
		{"no replacement", Evidence{PrimaryLeaving: true}, ""},
		{"unanswered by all", Evidence{PrimaryListed: true, Replacements: 2, Observers: 2, UnansweredObservers: 2}, "the primary does not answer a majority"},
		{"unanswered by one of three", Evidence{PrimaryListed: true, Replacements: 2, Observers: 3, UnansweredObservers: 1}, ""},
		{"unanswered by half", Evidence{PrimaryListed: true, Replacements: 2, Observers: 4, UnansweredObservers: 2}, ""},
		{"unanswered by a majority", Evidence{PrimaryListed: true, Replacements: 2, Observers: 3, UnansweredObservers: 2}, "the primary does not answer a majority"},
		{"no observers", Evidence{PrimaryListed: true, Replacements: 2}, ""},
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

func TestChooseCandidate(t *testing.T) {
	p := func(term, offset int) model.Position {
		return model.Position{Term: model.Term(term), Offset: uint64(offset)}
	}
	cases := []struct {
		name         string
		candidates   []Candidate
		acknowledged model.Position
		want         model.DatabaseID
	}{
		{"no candidates", nil, model.Position{}, ""},
		{"the longest log", []Candidate{{ID: "a", ReceivedPosition: p(1, 5), Leaving: false}, {ID: "b", ReceivedPosition: p(1, 7), Leaving: false}}, model.Position{}, "b"},
		{"a newer term wins over a longer log", []Candidate{{ID: "a", ReceivedPosition: p(2, 5), Leaving: false}, {ID: "b", ReceivedPosition: p(1, 7), Leaving: false}}, model.Position{}, "a"},
		{"a database that is not leaving wins over a longer log", []Candidate{{ID: "a", ReceivedPosition: p(1, 9), Leaving: true}, {ID: "b", ReceivedPosition: p(1, 7), Leaving: false}}, model.Position{}, "b"},
		{"a leaving database if there is no other", []Candidate{{ID: "a", ReceivedPosition: p(1, 9), Leaving: true}}, model.Position{}, "a"},
		{"no database without the acknowledged commits", []Candidate{{ID: "a", ReceivedPosition: p(1, 5), Leaving: false}}, p(1, 6), ""},
		{"a leaving database if only it has all acknowledged commits", []Candidate{{ID: "a", ReceivedPosition: p(1, 5), Leaving: false}, {ID: "b", ReceivedPosition: p(1, 6), Leaving: true}}, p(1, 6), "b"},
		{"the primary of those with equal logs", []Candidate{{ID: "a", ReceivedPosition: p(1, 7)}, {ID: "b", ReceivedPosition: p(1, 7), IsPrimary: true}, {ID: "c", ReceivedPosition: p(1, 7)}}, model.Position{}, "b"},
		{"a database restarted with an empty log loses", []Candidate{{ID: "a", ReceivedPosition: p(0, 0), Leaving: false}, {ID: "b", ReceivedPosition: p(1, 1), Leaving: false}}, model.Position{}, "b"},
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
