package lease

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

var origin = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return origin.Add(d) }

func viewOf(version uint64, began time.Duration, row Row) View {
	return View{Version: version, Began: at(began), Member: true, Rows: map[model.GroupID]Row{"ratings": row}}
}

var grant = Grant{Group: "ratings", Primary: "a", Epoch: 3}

func TestJudge(t *testing.T) {
	stable := Row{Epoch: 3, Phase: PhaseStable, Primary: "a"}
	cases := []struct {
		name     string
		views    []View
		answered time.Duration
		want     Verdict
	}{
		{"no view", nil, 0, VerdictReplaced},
		{"answered inside the lease", []View{viewOf(1, 0, stable)}, Length - 1, VerdictPrimary},
		{"answered as the lease ends", []View{viewOf(1, 0, stable)}, Length, VerdictPending},
		{"a later view of the same epoch", []View{viewOf(1, 0, stable), viewOf(2, Length, stable)}, Length + 1, VerdictPrimary},
		{"the same version seen later", []View{viewOf(1, 0, stable), viewOf(1, Length, stable)}, Length + 1, VerdictPrimary},
		{
			"the primary is being replaced",
			[]View{viewOf(1, 0, stable), viewOf(2, 1, Row{Epoch: 4, Phase: PhaseChanging, Primary: "a"})},
			0, VerdictReplaced,
		},
		{
			"the same primary again, of another epoch",
			[]View{viewOf(1, 0, stable), viewOf(5, 1, Row{Epoch: 5, Phase: PhaseStable, Primary: "a"})},
			0, VerdictReplaced,
		},
		{
			"an older version does not count",
			[]View{viewOf(2, 0, Row{Epoch: 4, Phase: PhaseChanging}), viewOf(1, time.Hour, stable)},
			0, VerdictReplaced,
		},
		{
			"a newer version whose bound is looser",
			[]View{viewOf(1, Length, stable), viewOf(2, 0, stable)},
			Length + 1, VerdictPrimary,
		},
		{
			"this instance is no member",
			[]View{{Version: 1, Began: at(0), Rows: map[model.GroupID]Row{"ratings": stable}}},
			0, VerdictPending,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := NewTable()
			for _, view := range c.views {
				table.Learn(view)
			}
			if diff := cmp.Diff(c.want, table.Judge(grant, at(c.answered))); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// A verdict that is pending waits for the view that tells.
func TestAwait(t *testing.T) {
	stable := Row{Epoch: 3, Phase: PhaseStable, Primary: "a"}
	for name, c := range map[string]struct {
		next View
		want Verdict
	}{
		"renewed":  {viewOf(2, Length, stable), VerdictPrimary},
		"replaced": {viewOf(2, Length, Row{Epoch: 4, Phase: PhaseChanging}), VerdictReplaced},
	} {
		t.Run(name, func(t *testing.T) {
			table := NewTable()
			table.Learn(viewOf(1, 0, stable))
			verdicts := make(chan Verdict, 1)
			go func() { verdicts <- table.Await(grant, at(Length), nil) }()
			table.Learn(c.next)
			if diff := cmp.Diff(c.want, <-verdicts); diff != "" {
				t.Error(diff)
			}
		})
	}
	done := make(chan struct{})
	close(done)
	table := NewTable()
	table.Learn(viewOf(1, 0, stable))
	if diff := cmp.Diff(VerdictPending, table.Await(grant, at(Length), done)); diff != "" {
		t.Error(diff)
	}
}

func TestGrantNamesNoPrimaryWhileItChanges(t *testing.T) {
	table := NewTable()
	table.Learn(viewOf(1, 0, Row{Epoch: 4, Phase: PhaseChanging, Primary: "a"}))
	if got, found := table.Grant("ratings"); found {
		t.Errorf("granted %+v", got)
	}
	table.Learn(viewOf(2, 0, Row{Epoch: 5, Phase: PhaseStable, Primary: "b"}))
	got, _ := table.Grant("ratings")
	if diff := cmp.Diff(Grant{Group: "ratings", Primary: "b", Epoch: 5}, got); diff != "" {
		t.Error(diff)
	}
}
