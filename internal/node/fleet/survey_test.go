package fleet

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/eelgrassfold/eelgrassfold/internal/core/clock"
	"github.com/eelgrassfold/eelgrassfold/internal/core/lease"
	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/core/placement"
	"github.com/eelgrassfold/eelgrassfold/internal/core/statement"
	"github.com/eelgrassfold/eelgrassfold/internal/edge/store"
)

// sendFunc is a Links that passes each message to a peer to the function.
type sendFunc func(send message.SendPeer)

// HandleAction implements Links.
func (f sendFunc) HandleAction(action message.Action) bool {
	if send, ok := action.(message.SendPeer); ok {
		f(send)
	}
	return true
}

// The first instance of a zone surveys the databases for all instances of the
// zone. Only its response to the present request, about the same group and
// primary, may confirm the primary.
func TestSurveyThroughPeer(t *testing.T) {
	grant := lease.Grant{Group: "ratings", Primary: "a", Epoch: 1}
	for name, c := range map[string]struct {
		response *message.PrimarySurveyResponse
		stale    bool
		want     bool
	}{
		"confirmed":                   {&message.PrimarySurveyResponse{Group: "ratings", Primary: "a", Confirmed: true}, false, true},
		"another database is primary": {&message.PrimarySurveyResponse{Group: "ratings", Primary: "b", Confirmed: true}, false, false},
		"not confirmed":               {&message.PrimarySurveyResponse{Group: "ratings", Primary: "a"}, false, false},
		"for another group":           {&message.PrimarySurveyResponse{Group: "results", Primary: "a", Confirmed: true}, false, false},
		"for an earlier request":      {&message.PrimarySurveyResponse{Group: "ratings", Primary: "a", Confirmed: true}, true, false},
		"no answer":                   {nil, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newUnstartedFleet(5, 9)
			f.Attach(sendFunc(func(send message.SendPeer) {
				request, ok := send.Body.(message.PrimarySurveyRequest)
				if !ok || c.response == nil {
					return
				}
				response := *c.response
				response.SenderClock = request.SenderClock
				if c.stale {
					response.SenderClock--
				}
				go f.Post(message.PeerMessageReceived{From: send.To, Body: response})
			}), idleSessions{})
			f.receiveGossip("z1-1", message.GossipState{})
			f.Leases.Update(lease.View{
				Version: 1, ReadStartedAt: clock.Now(), IsMember: true,
				Rows: map[model.GroupID]lease.GroupRow{"ratings": {Epoch: 1, Primary: "a"}},
			})
			if diff := cmp.Diff(c.want, f.surveys.confirm(t.Context(), f, grant, clock.Now().Add(-time.Millisecond))); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Guards against a request that can't be interrupted, and gets no answer when its instance
// ends, because it has started a survey: only the survey waits for the peer.
func TestSurveyDoesNotHoldUpRequest(t *testing.T) {
	f := newUnstartedFleet(5, 9)
	f.Attach(sendFunc(func(message.SendPeer) {}), idleSessions{})
	f.receiveGossip("z1-1", message.GossipState{})
	f.Leases.Update(lease.View{
		Version: 1, ReadStartedAt: clock.Now(), IsMember: true,
		Rows: map[model.GroupID]lease.GroupRow{"ratings": {Epoch: 1, Primary: "a"}},
	})
	ctx, cancel := context.WithTimeout(t.Context(), peerSurveyTimeout/10)
	defer cancel()
	startedAt := time.Now()
	if f.surveys.confirm(ctx, f, lease.Grant{Group: "ratings", Primary: "a", Epoch: 1}, clock.Now()) {
		t.Error("a survey without an answer confirmed the primary")
	}
	if took := time.Since(startedAt); took >= peerSurveyTimeout {
		t.Errorf("the request was held up for %v", took)
	}
}

// A survey for a peer must start after the request was received: a round that
// was running already may have read states from before it.
func TestSurveyForPeerStartsAfterRequest(t *testing.T) {
	f := newUnstartedFleet(1, 3)
	answers := make(chan message.PrimarySurveyResponse, 1)
	f.Attach(sendFunc(func(send message.SendPeer) {
		if response, ok := send.Body.(message.PrimarySurveyResponse); ok {
			answers <- response
		}
	}), idleSessions{})
	running, isNew := f.surveys.join("ratings")
	if !isNew {
		t.Fatal("a round is running already")
	}
	f.Post(message.PeerMessageReceived{From: "z1-2", Body: message.PrimarySurveyRequest{Group: "ratings", SenderClock: 7}})
	running.result = survey{primary: "a", confirmed: true}
	f.surveys.endRound("ratings", running)
	if diff := cmp.Diff(message.PrimarySurveyResponse{Group: "ratings", SenderClock: 7}, <-answers); diff != "" {
		t.Errorf("the response is that of the round that was already running: %s", diff)
	}
}

// A survey confirms a primary only if all databases have responded, are in one
// term, and no other of them is primary.
func TestSolePrimary(t *testing.T) {
	status := func(id model.DatabaseID, role model.Role, term model.Term) databaseStatus {
		s := databaseStatus{status: statement.ServerStatus{Role: role, Term: term}}
		s.database.ID = id
		return s
	}
	primary, replica := status("a", model.RolePrimary, 2), status("b", model.RoleReplica, 2)
	for name, c := range map[string]struct {
		statuses []databaseStatus
		total    int
		want     bool
	}{
		"the only primary":                  {[]databaseStatus{primary, replica}, 2, true},
		"one did not answer":                {[]databaseStatus{primary, replica}, 3, false},
		"none answered":                     {nil, 0, false},
		"one is in another term":            {[]databaseStatus{primary, status("c", model.RoleReplica, 3)}, 2, false},
		"two primaries":                     {[]databaseStatus{primary, status("c", model.RolePrimary, 2)}, 2, false},
		"no primary":                        {[]databaseStatus{replica}, 1, false},
		"a former primary in an older term": {[]databaseStatus{primary, status("c", model.RolePrimary, 1), replica}, 3, false},
	} {
		t.Run(name, func(t *testing.T) {
			_, got := solePrimary(c.statuses, c.total)
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// A survey must count the databases that were dropped since the list was the newest, or
// shortly before, as another instance may drop them later.
func TestPromotableSince(t *testing.T) {
	f := newUnstartedFleet(1, 3)
	now := clock.Now()
	f.applyDatabaseRows(store.Rows{Version: 1, Rows: []store.Row{
		{Key: "a", Value: []byte("ratings"), Version: 1},
		{Key: "b", Value: []byte("ratings"), Version: 1},
		{Key: "c", Value: []byte("results"), Version: 1},
	}}, true)
	for id, at := range map[model.DatabaseID]time.Time{"d": now.Add(time.Second), "e": now.Add(-directorySkew / 2), "f": now.Add(-2 * directorySkew)} {
		f.directory.dropped[id] = droppedDatabase{Database: placement.Database{ID: id, Group: "ratings"}, at: at}
	}
	f.directory.entries["b"].missingSince = now.Add(-2 * missingEntryGrace)
	f.expireDatabases()
	var got []string
	for _, d := range f.promotableSince("ratings", now) {
		got = append(got, string(d.ID))
	}
	slices.Sort(got)
	if diff := cmp.Diff([]string{"a", "b", "d", "e"}, got); diff != "" {
		t.Error(diff)
	}
}

// A database that has registered after the first list must not be promoted while a member
// that has not seen the claim may survey the group without it.
func TestNewcomerIsUnknownToSome(t *testing.T) {
	f := newUnstartedFleet(1, 1)
	row := func(id string, version uint64) store.Rows {
		return store.Rows{Version: version, Rows: []store.Row{{Key: id, Value: []byte("ratings"), Version: version}}}
	}
	f.applyDatabaseRows(row("a", 1), true)
	f.applyDatabaseRows(row("b", 2), false)
	f.directory.dropped["c"] = droppedDatabase{at: clock.Now().Add(-time.Second)}
	f.applyDatabaseRows(row("c", 3), false)
	f.directory.dropped["d"] = droppedDatabase{at: clock.Now().Add(-directorySkew)}
	f.applyDatabaseRows(row("d", 4), false)
	const claim = 10
	var got []bool
	for _, id := range []model.DatabaseID{"a", "b", "c", "d"} {
		got = append(got, f.isUnknownToSome(id, claim))
	}
	f.Leases.Update(lease.View{Version: claim, ReadStartedAt: clock.Now(), IsMember: true})
	for _, id := range []model.InstanceID{"z2-1", "z3-1"} {
		f.receiveGossip(id, message.GossipState{ViewVersion: claim})
	}
	got = append(got, f.isUnknownToSome("b", claim))
	f.directory.entries["b"].knownSince = clock.Now().Add(-maxSurveyViewAge - time.Second)
	got = append(got, f.isUnknownToSome("b", claim+1))
	if diff := cmp.Diff([]bool{false, true, false, true, false, false}, got); diff != "" {
		t.Error(diff)
	}
}
