package lease

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

var origin = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return origin.Add(d) }

func viewOf(version uint64, began time.Duration, row GroupRow) View {
	return View{Version: version, ReadStartedAt: at(began), IsMember: true, Rows: map[model.GroupID]GroupRow{"ratings": row}}
}

var grant = Grant{Group: "ratings", Primary: "a", Epoch: 3}

func TestJudge(t *testing.T) {
	stable := GroupRow{Epoch: 3, Phase: PhaseStable, Primary: "a"}
	cases := []struct {
		name     string
		views    []View
		answered time.Duration
		want     Validity
	}{
		{"no view", nil, 0, ValidityReplaced},
		{"answered inside the lease", []View{viewOf(1, 0, stable)}, Duration - 1, ValidityConfirmed},
		{"answered as the lease ends", []View{viewOf(1, 0, stable)}, Duration, ValidityPending},
		{"a later view of the same epoch", []View{viewOf(1, 0, stable), viewOf(2, Duration, stable)}, Duration + 1, ValidityConfirmed},
		{"the same version seen later", []View{viewOf(1, 0, stable), viewOf(1, Duration, stable)}, Duration + 1, ValidityConfirmed},
		{
			"the primary is being replaced",
			[]View{viewOf(1, 0, stable), viewOf(2, 1, GroupRow{Epoch: 4, Phase: PhaseChanging, Primary: "a"})},
			0, ValidityReplaced,
		},
		{
			"the same primary again, of another epoch",
			[]View{viewOf(1, 0, stable), viewOf(5, 1, GroupRow{Epoch: 5, Phase: PhaseStable, Primary: "a"})},
			0, ValidityReplaced,
		},
		{
			"an older version does not count",
			[]View{viewOf(2, 0, GroupRow{Epoch: 4, Phase: PhaseChanging}), viewOf(1, time.Hour, stable)},
			0, ValidityReplaced,
		},
		{
			"a newer version whose bound is looser",
			[]View{viewOf(1, Duration, stable), viewOf(2, 0, stable)},
			Duration + 1, ValidityConfirmed,
		},
		{
			"this instance is no member",
			[]View{{Version: 1, ReadStartedAt: at(0), Rows: map[model.GroupID]GroupRow{"ratings": stable}}},
			0, ValidityPending,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := NewTable()
			for _, view := range c.views {
				table.Update(view)
			}
			if diff := cmp.Diff(c.want, table.Validate(grant, at(c.answered))); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// A verdict that is pending waits for the view that tells.
func TestAwait(t *testing.T) {
	stable := GroupRow{Epoch: 3, Phase: PhaseStable, Primary: "a"}
	for name, c := range map[string]struct {
		next View
		want Validity
	}{
		"renewed":  {viewOf(2, Duration, stable), ValidityConfirmed},
		"replaced": {viewOf(2, Duration, GroupRow{Epoch: 4, Phase: PhaseChanging}), ValidityReplaced},
	} {
		t.Run(name, func(t *testing.T) {
			table := NewTable()
			table.Update(viewOf(1, 0, stable))
			verdicts := make(chan Validity, 1)
			go func() { verdicts <- table.AwaitValidity(grant, at(Duration), nil) }()
			table.Update(c.next)
			if diff := cmp.Diff(c.want, <-verdicts); diff != "" {
				t.Error(diff)
			}
		})
	}
	done := make(chan struct{})
	close(done)
	table := NewTable()
	table.Update(viewOf(1, 0, stable))
	if diff := cmp.Diff(ValidityPending, table.AwaitValidity(grant, at(Duration), done)); diff != "" {
		t.Error(diff)
	}
}

func TestGrantNamesNoPrimaryWhileItChanges(t *testing.T) {
	table := NewTable()
	table.Update(viewOf(1, 0, GroupRow{Epoch: 4, Phase: PhaseChanging, Primary: "a"}))
	if got, found := table.Grant("ratings"); found {
		t.Errorf("granted %+v", got)
	}
	table.Update(viewOf(2, 0, GroupRow{Epoch: 5, Phase: PhaseStable, Primary: "b"}))
	got, _ := table.Grant("ratings")
	if diff := cmp.Diff(Grant{Group: "ratings", Primary: "b", Epoch: 5}, got); diff != "" {
		t.Error(diff)
	}
}
