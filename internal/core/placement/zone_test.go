package placement

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/eelgrassfold/eelgrassfold/internal/core/clock"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/core/zone"
)

// A zone whose database has slowed down: the share of the reads that leave rises by
// steps, each is reported, and the reads that leave are counted. Reads that wait for the
// database of their zone leave it without another event once they have waited for long.
func TestShareThatLeavesTheZone(t *testing.T) {
	s, _ := newFixture(t)
	var changes []zone.Change
	outside := map[bool]int{}
	s.SetZoneOptions(ZoneOptions{
		Price:        zone.DefaultPrice,
		ShareChanged: func(_ model.GroupID, change zone.Change) { changes = append(changes, change) },
		SentOutside:  func(_ model.GroupID, isForced bool) { outside[isForced]++ },
	})
	for id, latency := range map[model.DatabaseID]time.Duration{"a": 12 * time.Millisecond, "b": 100 * time.Millisecond, "c": 12 * time.Millisecond} {
		db := s.byID[id]
		db.limit.lowest, db.latency, db.latencyUpdatedAt = 10*time.Millisecond, latency, clock.Now()
	}
	left := mustAcquire(t, s, readRequirements(1))
	s.FinishStatement(left, Result{Outcome: OutcomeNotSent})
	s.Release(left)
	s.byID["b"].latency = 10 * time.Millisecond
	stays := mustAcquire(t, s, readRequirements(1))
	waited := clock.Now()
	overdue := mustAcquire(t, s, readRequirements(1))
	if elapsed := clock.Since(waited); elapsed < zone.Patience(zone.DefaultPrice) || elapsed > unresponsiveAfter {
		t.Errorf("a read without room in its zone left after %v", elapsed)
	}
	got := []model.DatabaseID{left.Database.ID, stays.Database.ID, overdue.Database.ID}
	if diff := cmp.Diff([]model.DatabaseID{"c", "b", "c"}, got); diff != "" {
		t.Error(diff)
	}
	mustAcquire(t, s, Requirements{Group: ratings, Rank: 1, ArrivedAt: clock.Now(), RequiresPrimary: true})
	if diff := cmp.Diff(map[bool]int{false: 2, true: 1}, outside); diff != "" {
		t.Error(diff)
	}
	if len(changes) != 1 || changes[0].Before != 0 || changes[0].After != 0.1 {
		t.Errorf("changes: %+v", changes)
	}
}

// A read that is held for the database of its zone, while another zone has room, must not
// be rejected because that database serves slowly.
func TestHeldReadIsNotRejected(t *testing.T) {
	s, _ := newFixture(t)
	s.SetZoneOptions(ZoneOptions{Price: zone.DefaultPrice})
	for _, id := range []model.DatabaseID{"a", "b", "c"} {
		db := s.byID[id]
		db.limit.lowest, db.latency, db.latencyUpdatedAt = 10*time.Millisecond, 10*time.Millisecond, clock.Now()
	}
	mustAcquire(t, s, readRequirements(1))
	s.servedEvery("b", 1, 10*time.Second)
	requirements := readRequirements(1)
	requirements.Deadline = clock.Now().Add(time.Second)
	if got := mustAcquire(t, s, requirements); got.Database.ID != "c" {
		t.Errorf("the read went to %s", got.Database.ID)
	}
}
