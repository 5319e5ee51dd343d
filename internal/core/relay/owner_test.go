package relay

import (
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// newMembers returns members in turn of three availability zones.
func newMembers(count int) []Candidate {
	members := []Candidate{}
	for i := range count {
		members = append(members, Candidate{Instance: model.InstanceID(fmt.Sprintf("front-%d", i)), Zone: model.ZoneID(fmt.Sprintf("z%d", i%3))})
	}
	return members
}

// 24 databases on 77 instances: all instances agree, no instance has many, and all owners are of
// the database's availability zone.
func TestOwnersSpread(t *testing.T) {
	members, counts := newMembers(77), map[model.InstanceID]int{}
	reversed := slices.Clone(members)
	slices.Reverse(reversed)
	for i := range 24 {
		id, zone := model.DatabaseID(fmt.Sprintf("db%d", i)), model.ZoneID(fmt.Sprintf("z%d", i%3))
		owners := Owners(id, zone, members)
		if !slices.Equal(owners, Owners(id, zone, reversed)) {
			t.Errorf("the owners of %s depend on the order of the members", id)
		}
		counts[owners[0].Instance]++
		if len(owners) != 2 || owners[0].Zone != zone || owners[1].Zone != zone {
			t.Errorf("the owners of %s are %v", id, owners)
		}
	}
	for instance, count := range counts {
		if count > 4 {
			t.Errorf("%s owns %d of 24 databases", instance, count)
		}
	}
}

// An owner that is lost is followed by its heir, and nothing else moves. A new instance
// takes over as first owner or changes nothing about it.
func TestOwnersOnChange(t *testing.T) {
	members := newMembers(30)
	lost := Owners("db0", "z0", members)[0].Instance
	fewer := slices.DeleteFunc(slices.Clone(members), func(m Candidate) bool { return m.Instance == lost })
	added := append(slices.Clone(members), Candidate{Instance: "front-new", Zone: "z0"})
	for i := range 24 {
		id := model.DatabaseID(fmt.Sprintf("db%d", i))
		before, after, grown := Owners(id, "z0", members), Owners(id, "z0", fewer), Owners(id, "z0", added)
		want := before[0]
		if want.Instance == lost {
			want = before[1]
		}
		if diff := cmp.Diff(want.Instance, after[0].Instance); diff != "" {
			t.Errorf("%s, an owner lost: %s", id, diff)
		}
		if grown[0] != before[0] && grown[0].Instance != "front-new" {
			t.Errorf("%s, a new instance: %s owns it instead of %s", id, grown[0].Instance, before[0].Instance)
		}
	}
}

// A database of an availability zone without instances has owners in another one.
func TestOwnersOfZoneWithoutInstances(t *testing.T) {
	if owners := Owners("db0", "z9", newMembers(5)); len(owners) != 2 {
		t.Errorf("the owners are %v", owners)
	}
	if owners := Owners("db0", "z0", nil); len(owners) != 0 {
		t.Errorf("the owners among no members are %v", owners)
	}
}
