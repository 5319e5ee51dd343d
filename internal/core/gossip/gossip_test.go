package gossip

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"github.com/eelgrassfold/eelgrassfold/internal/core/lease"
	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

var start = time.Unix(1000, 0)

// groupsOf returns gossip about a number of groups, sampled at start.
func groupsOf(count int, now time.Time) []message.GroupGossip {
	groups := make([]message.GroupGossip, count)
	for i := range groups {
		groups[i] = message.GroupGossip{
			Group: model.GroupID(fmt.Sprint(i)), Row: lease.GroupRow{Epoch: 1, Primary: "a"},
			SampledPosition: model.Position{Term: 1, Offset: 7}, SampleAge: now.Sub(start),
		}
	}
	return groups
}

// names returns how many groups are listed, and the first of them.
func names(groups []message.GroupGossip) string {
	if len(groups) == 0 {
		return "none"
	}
	return fmt.Sprint(len(groups), " ", groups[0].Group)
}

// A peer is told of what has changed since what it has acknowledged, and of nothing else.
func TestOnlyChangesAreTold(t *testing.T) {
	for name, c := range map[string]struct {
		change     func([]message.GroupGossip) []message.GroupGossip
		isSameZone bool
		want       string
	}{
		"nothing": {func(g []message.GroupGossip) []message.GroupGossip { return g }, false, "none"},
		"a row":   {func(g []message.GroupGossip) []message.GroupGossip { g[2].Row.Epoch++; return g }, true, "1 2"},
		"a sample": {func(g []message.GroupGossip) []message.GroupGossip {
			g[2].SampleAge = 0
			return g
		}, true, "1 2"},
		"a primary that does not answer": {func(g []message.GroupGossip) []message.GroupGossip {
			g[2].UnansweredFor = time.Second
			return g
		}, true, "1 2"},
		"observers, to another availability zone": {func(g []message.GroupGossip) []message.GroupGossip { g[2].Observers++; return g }, false, "1 2"},
		"observers, to the same one":              {func(g []message.GroupGossip) []message.GroupGossip { g[2].Observers++; return g }, true, "none"},
		"a new group":                             {func([]message.GroupGossip) []message.GroupGossip { return groupsOf(6, start.Add(time.Second)) }, true, "1 5"},
	} {
		t.Run(name, func(t *testing.T) {
			now := start.Add(time.Second)
			first := Published{}.Next(groupsOf(5, start), start)
			next := first.Next(c.change(groupsOf(5, now)), now)
			groups, since := next.Since(first.Version(), c.isSameZone, now)
			if diff := cmp.Diff([]string{c.want, "1"}, []string{names(groups), fmt.Sprint(since)}); diff != "" {
				t.Error(diff)
			}
			if all, since := next.Since(0, c.isSameZone, now); len(all) < 5 || since != 0 {
				t.Errorf("to a peer that has acknowledged nothing: %d groups since %d", len(all), since)
			}
		})
	}
	now := start.Add(time.Second)
	first := Published{}.Next(groupsOf(5, start), start)
	fewer := first.Next(groupsOf(4, now), now)
	if groups, since := fewer.Since(first.Version(), true, now); len(groups) != 4 || since != 0 {
		t.Errorf("after a removal: %d groups since %d", len(groups), since)
	}
}

// Changes that are based on what was not received, or are older than what was, must not
// leave groups in a mixed state: nothing counts until all groups arrive.
func TestChangesWithoutBase(t *testing.T) {
	full := message.GossipState{GroupsVersion: 4, Groups: groupsOf(3, start)}
	for name, c := range map[string]struct {
		since, version uint64
		want           bool
	}{
		"based on what was received":    {4, 5, true},
		"based on something earlier":    {2, 5, true},
		"based on something later":      {5, 6, false},
		"older than what was received":  {2, 3, false},
		"no change":                     {4, 4, true},
		"all groups, by an older state": {0, 2, true},
	} {
		t.Run(name, func(t *testing.T) {
			var received Received
			received.Apply(full)
			before := received.Rows()
			changed := message.GroupGossip{Group: "1", Row: lease.GroupRow{Epoch: 2}}
			got := received.Apply(message.GossipState{GroupsSince: c.since, GroupsVersion: c.version, Groups: []message.GroupGossip{changed}})
			wantVersion := c.version
			if !c.want {
				wantVersion = 0
			}
			_, isKnown := received.Group("1")
			if got != c.want || isKnown != c.want || received.Version() != wantVersion {
				t.Errorf("applied %v, group known %v, version %d", got, isKnown, received.Version())
			}
			if before["1"].Epoch != 1 {
				t.Error("the rows that were handed out have changed")
			}
		})
	}
	var empty Received
	if empty.Apply(message.GossipState{GroupsSince: 1, GroupsVersion: 2}) {
		t.Error("changes were applied to nothing")
	}
}

// Whatever messages are lost or overtaken, a receiver that counts its groups as known
// must have them as they were when the message was sent.
func TestReceivedEqualsPublished(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var published Published
		var received Received
		var acknowledged uint64
		var held []message.GossipState
		present := map[uint64]map[model.GroupID]lease.GroupRow{}
		groups := groupsOf(4, start)
		for range 30 {
			rows := map[model.GroupID]lease.GroupRow{}
			for i := range groups {
				if rapid.IntRange(0, 3).Draw(t, "change") == 0 {
					groups[i].Row.Epoch++
				}
				rows[groups[i].Group] = groups[i].Row
			}
			published = published.Next(groups, start)
			state := message.GossipState{GroupsVersion: published.Version()}
			state.Groups, state.GroupsSince = published.Since(acknowledged, true, start)
			present[published.Version()] = rows
			held = append(held, state)
			switch rapid.SampledFrom([]string{"deliver", "deliver", "lose", "hold"}).Draw(t, "fate") {
			case "lose":
				held = held[:len(held)-1]
			case "deliver":
				for len(held) > 0 {
					last := rapid.IntRange(0, len(held)-1).Draw(t, "next")
					delivered := held[last]
					held = append(held[:last], held[last+1:]...)
					if !received.Apply(delivered) {
						continue
					}
					if diff := cmp.Diff(present[delivered.GroupsVersion], received.Rows(), cmpopts.IgnoreUnexported(lease.GroupRow{})); diff != "" {
						t.Fatal(diff)
					}
				}
				acknowledged = received.Version()
			}
		}
	})
}
