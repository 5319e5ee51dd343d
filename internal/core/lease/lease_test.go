package lease

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

var origin = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return origin.Add(d) }

func viewOf(version uint64, readStart time.Duration, row GroupRow) View {
	return View{Version: version, ReadStartedAt: at(readStart), IsMember: true, Rows: map[model.GroupID]GroupRow{"ratings": row}}
}

var grant = Grant{Group: "ratings", Primary: "a", Epoch: 3}

func TestValidate(t *testing.T) {
	stable := GroupRow{Epoch: 3, Phase: PhaseStable, Primary: "a"}
	cases := []struct {
		name     string
		views    []View
		answered time.Duration
		want     Validity
	}{
		{"no view", nil, 0, ValidityReplaced},
		{"answered before the lease expires", []View{viewOf(1, 0, stable)}, Duration - 1, ValidityConfirmed},
		{"answered when the lease expires", []View{viewOf(1, 0, stable)}, Duration, ValidityPending},
		{"a later view of the same epoch", []View{viewOf(1, 0, stable), viewOf(2, Duration, stable)}, Duration + 1, ValidityConfirmed},
		{"the same version read later", []View{viewOf(1, 0, stable), viewOf(1, Duration, stable)}, Duration + 1, ValidityConfirmed},
		{
			"the primary is being replaced",
			[]View{viewOf(1, 0, stable), viewOf(2, 1, GroupRow{Epoch: 4, Phase: PhaseChanging, Primary: "a"})},
			0, ValidityReplaced,
		},
		{
			"the same primary in another epoch",
			[]View{viewOf(1, 0, stable), viewOf(5, 1, GroupRow{Epoch: 5, Phase: PhaseStable, Primary: "a"})},
			0, ValidityReplaced,
		},
		{
			"an older version is ignored",
			[]View{viewOf(2, 0, GroupRow{Epoch: 4, Phase: PhaseChanging}), viewOf(1, time.Hour, stable)},
			0, ValidityReplaced,
		},
		{
			"a newer version with an earlier lower bound of its read",
			[]View{viewOf(1, Duration, stable), viewOf(2, 0, stable)},
			Duration + 1, ValidityConfirmed,
		},
		{
			"this instance is not a member",
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

// AwaitValidity waits for the view that decides a pending validity.
func TestAwaitValidity(t *testing.T) {
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
			validities := make(chan Validity, 1)
			go func() { validities <- table.AwaitValidity(grant, at(Duration), nil) }()
			table.Update(c.next)
			if diff := cmp.Diff(c.want, <-validities); diff != "" {
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

func TestNoGrantDuringFailover(t *testing.T) {
	table := NewTable()
	table.Update(viewOf(1, 0, GroupRow{Epoch: 4, Phase: PhaseChanging, Primary: "a"}))
	if got, found := table.Grant("ratings"); found {
		t.Errorf("got grant %+v while the primary is being replaced", got)
	}
	table.Update(viewOf(2, 0, GroupRow{Epoch: 5, Phase: PhaseStable, Primary: "b"}))
	got, _ := table.Grant("ratings")
	if diff := cmp.Diff(Grant{Group: "ratings", Primary: "b", Epoch: 5}, got); diff != "" {
		t.Error(diff)
	}
}
