package placement

import (
	"strconv"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// fairQueue is a queue of which one waiter is served at a time.
type fairQueue struct {
	usage   usage
	now     time.Time
	waiting []*waiter
}

func (q *fairQueue) add(tenant model.TenantID, rank model.Rank, late bool) {
	q.waiting = append(q.waiting, &waiter{
		requirements: Requirements{Tenant: tenant, Rank: rank, ArrivedAt: q.now.Add(time.Duration(len(q.waiting)))}, late: late,
	})
}

func (q *fairQueue) serve() model.TenantID {
	q.usage.orderFairly(q.now, q.waiting)
	served := q.waiting[0].requirements.Tenant
	q.waiting = q.waiting[1:]
	q.usage.record(q.now, served)
	return served
}

func (q *fairQueue) serveAll() []model.TenantID {
	var served []model.TenantID
	for len(q.waiting) > 0 {
		served = append(served, q.serve())
	}
	return served
}

func newFairQueue() *fairQueue { return &fairQueue{usage: usage{}, now: time.Unix(1000, 0)} }

// One tenant keeps 200 statements waiting, and one arrives from each of 80 others, all of
// which are behind it by arrival.
func TestFloodOfOneTenantLeavesEightyOthersTheirRoom(t *testing.T) {
	q := newFairQueue()
	for range 200 {
		q.add("flood", 1, false)
	}
	for range 20 {
		q.serve()
	}
	for i := range 80 {
		q.add(model.TenantID("small-"+strconv.Itoa(i)), 1, false)
	}
	for i := range 80 {
		if served := q.serve(); served == "flood" {
			t.Fatalf("place %d went to the tenant that floods", i)
		}
	}
	if served := q.serve(); served != "flood" {
		t.Errorf("idle room went to %q, want the tenant that floods", served)
	}
}

func TestOneTenantAloneUsesAllRoomInOrderOfArrival(t *testing.T) {
	q := newFairQueue()
	for range 50 {
		q.add("alone", 1, false)
	}
	first := q.waiting[0]
	q.usage.orderFairly(q.now, q.waiting)
	if q.waiting[0] != first || len(q.serveAll()) != 50 {
		t.Error("a tenant without competition does not get all room in its order")
	}
}

func TestRanksAndOnTimeComeBeforeTheShareOfATenant(t *testing.T) {
	q := newFairQueue()
	for range 10 {
		q.usage.record(q.now, "large")
	}
	q.add("late", 1, true)
	q.add("small", 2, false)
	q.add("large", 1, false)
	q.add("large", 0, false)
	want := []model.TenantID{"large", "large", "late", "small"}
	if diff := cmp.Diff(want, q.serveAll()); diff != "" {
		t.Errorf("order (-want +got):\n%s", diff)
	}
}

func TestTwoTenantsWithEqualUseTakeTurns(t *testing.T) {
	q := newFairQueue()
	q.add("a", 1, false)
	q.add("a", 1, false)
	q.add("b", 1, false)
	q.add("b", 1, false)
	if diff := cmp.Diff([]model.TenantID{"a", "b", "a", "b"}, q.serveAll()); diff != "" {
		t.Errorf("order (-want +got):\n%s", diff)
	}
}

func TestUseOfATenantDecaysAndIsForgotten(t *testing.T) {
	q := newFairQueue()
	q.usage.record(q.now, "a")
	if used := q.usage.of(q.now.Add(usageHalfLife), "a"); used < 0.49 || used > 0.51 {
		t.Errorf("use %v after its half-life, want 0.5", used)
	}
	q.usage.forget(q.now.Add(10 * usageHalfLife))
	if len(q.usage) != 0 {
		t.Errorf("%d tenants are still held", len(q.usage))
	}
}

// idleConnections is a pool with one idle connection.
type idleConnections struct {
	database model.DatabaseID
	tenant   model.TenantID
}

// HasIdle implements Connections.
func (c idleConnections) HasIdle(database model.DatabaseID, tenant model.TenantID) bool {
	return c.database == database && c.tenant == tenant
}

func TestReadsOfATenantPreferTheDatabaseWithItsConnection(t *testing.T) {
	s, _ := newFixture(t)
	now := time.Now()
	s.SetConnections(idleConnections{database: "c", tenant: "held"})
	for _, db := range s.byID {
		db.HasTenants = true
	}
	for tenant, isCheaper := range map[model.TenantID]bool{"held": true, "other": false} {
		if got := s.cost(now, s.byID["c"], false, tenant) < s.cost(now, s.byID["b"], false, tenant); got != isCheaper {
			t.Errorf("tenant %s: the database with the connection is cheaper: %v, want %v", tenant, got, isCheaper)
		}
	}
}
