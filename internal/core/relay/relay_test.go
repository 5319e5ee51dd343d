package relay

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

var start = time.Unix(1000, 0)

// newCandidate returns a usable candidate: a peer that reaches the database.
func newCandidate(name model.InstanceID, zone model.ZoneID) Candidate {
	return Candidate{Instance: name, Zone: zone, Address: addressOf(name), ReachesDatabase: true}
}

// addressOf returns an address for a name that ends with a digit.
func addressOf(name model.InstanceID) netip.AddrPort {
	return netip.MustParseAddrPort("10.0.0." + string(name[len(name)-1]) + ":7441")
}

func namesOf(candidates []Candidate) []model.InstanceID {
	names := []model.InstanceID{}
	for _, candidate := range candidates {
		names = append(names, candidate.Instance)
	}
	return names
}

// A relay in the own zone is preferred. The instance itself, a leaving peer and a peer
// that does not reach the database are never relays.
func TestOrderPrefersOwnZone(t *testing.T) {
	leaving, cutOff := newCandidate("i4", "east"), newCandidate("i5", "east")
	leaving.IsLeaving, cutOff.ReachesDatabase = true, false
	others := []Candidate{newCandidate("i1", "east"), leaving, cutOff, newCandidate("i2", "west")}
	for _, c := range []struct {
		candidates []Candidate
		want       []model.InstanceID
	}{
		{append([]Candidate{newCandidate("i3", "east")}, others...), []model.InstanceID{"i3"}},
		{others, []model.InstanceID{"i2"}},
		{others[:3], []model.InstanceID{}},
	} {
		got := namesOf(NewChooser("i1", "east").Order(start, "db", c.candidates))
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Error(diff)
		}
	}
}

// Half of the instances of a zone lose a primary: the other half share the work.
func TestInstancesSpreadOverRelays(t *testing.T) {
	var candidates []Candidate
	for i := range 8 {
		candidates = append(candidates, newCandidate(model.InstanceID(fmt.Sprintf("relay%d", i)), "east"))
	}
	chosen := map[model.InstanceID]int{}
	for i := range 400 {
		self := model.InstanceID(fmt.Sprintf("cut-%d", i))
		chosen[NewChooser(self, "east").Order(start, "db", candidates)[0].Instance]++
	}
	for _, candidate := range candidates {
		if n := chosen[candidate.Instance]; n < 25 || n > 100 {
			t.Errorf("%d of 400 instances chose %s", n, candidate.Instance)
		}
	}
}

// A relay that fails is left out for a time that doubles, and returns after an answer.
func TestFailedRelayBacksOff(t *testing.T) {
	chooser := NewChooser("i1", "east")
	first, second := newCandidate("i2", "east"), newCandidate("i3", "east")
	order := func(now time.Time) []model.InstanceID {
		return namesOf(chooser.Order(now, "db", []Candidate{first, second}))
	}
	preferred := order(start)[0]
	other := order(start)[1]
	chooser.RecordFailure(start, addressOf(preferred), "")
	chooser.RecordFailure(start, addressOf(preferred), "")
	if diff := cmp.Diff([]model.InstanceID{other}, order(start.Add(initialBackoff-1))); diff != "" {
		t.Error(diff)
	}
	again := start.Add(initialBackoff)
	if diff := cmp.Diff([]model.InstanceID{preferred, other}, order(again)); diff != "" {
		t.Error(diff)
	}
	chooser.RecordFailure(again, addressOf(preferred), "")
	if got := order(again.Add(2*initialBackoff - 1)); len(got) != 1 {
		t.Errorf("relays after the second failure: %v", got)
	}
	chooser.RecordAnswer(addressOf(preferred), "")
	if got := order(again); len(got) != 2 {
		t.Errorf("relays after an answer: %v", got)
	}
}

// A relay that holds many statements gives way to another one of its zone.
func TestLoadedRelayGivesWay(t *testing.T) {
	chooser := NewChooser("i1", "east")
	candidates := []Candidate{newCandidate("i2", "east"), newCandidate("i3", "east")}
	preferred := chooser.Order(start, "db", candidates)[0].Instance
	for i := range candidates {
		if candidates[i].Instance == preferred {
			candidates[i].Outstanding = maxPreferred
		}
	}
	if got := chooser.Order(start, "db", candidates)[0].Instance; got == preferred {
		t.Errorf("%s is chosen with %d statements outstanding", got, maxPreferred)
	}
}
