package idle

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// load is a sequence of statements at one database, one after the other.
type load struct {
	limit       Limit
	connections []Connection
	now         time.Time
	opened      int
}

// run runs one statement of a tenant and returns whether a connection was opened for it.
func (l *load) run(tenant model.TenantID) bool {
	l.now = l.now.Add(10 * time.Millisecond)
	for i := len(l.connections) - 1; i >= 0; i-- {
		if l.connections[i].Tenant == tenant {
			l.connections = slices.Delete(l.connections, i, i+1)
			l.connections = append(l.connections, Connection{Tenant: tenant, LastUsedAt: l.now})
			return false
		}
	}
	if l.limit.IsUsedUp(len(l.connections)) {
		i, _ := GivesWay(l.now, l.connections)
		l.connections = slices.Delete(l.connections, i, i+1)
	}
	l.opened++
	l.connections = append(l.connections, Connection{Tenant: tenant, LastUsedAt: l.now})
	return true
}

func small(i int) model.TenantID { return model.TenantID("small-" + strconv.Itoa(i)) }

func newLoad(open int) *load {
	return &load{limit: Limit{Open: open, Kept: open}, now: time.Unix(0, 0)}
}

func TestManySmallTenantsThatFitOpenOneConnectionEach(t *testing.T) {
	l := newLoad(36)
	for i := range 36 * 20 {
		l.run(small(i % 36))
	}
	if l.opened != 36 {
		t.Errorf("opened %d connections, want 36", l.opened)
	}
}

func TestOneLargeTenantAmongManySmallOnesKeepsItsConnection(t *testing.T) {
	l := newLoad(8)
	reopened := 0
	for i := range 400 {
		if l.run("large") && i > 0 {
			reopened++
		}
		l.run(small(i % 80))
	}
	if reopened > 0 {
		t.Errorf("the large tenant's connection was opened %d times again", reopened)
	}
}

func TestSurplusOfALargeTenantsBurstGivesWayFirst(t *testing.T) {
	now := time.Unix(100, 0)
	connections := []Connection{{Tenant: "small", LastUsedAt: now.Add(-time.Second)}}
	for i := range 6 {
		connections = append(connections, Connection{Tenant: "large", LastUsedAt: now.Add(-time.Duration(400-i) * time.Millisecond)})
	}
	if i, _ := GivesWay(now, connections); connections[i].Tenant != "large" {
		t.Errorf("%+v gives way, want the surplus of the burst", connections[i])
	}
}

func TestATenantThatHasMovedGivesWay(t *testing.T) {
	l := newLoad(4)
	for range 3 {
		l.run("moved")
	}
	for i := range 30 {
		l.run(small(i % 3))
	}
	l.run("new")
	for _, c := range l.connections {
		if c.Tenant == "moved" {
			t.Errorf("the connection of the tenant that has moved is kept: %+v", l.connections)
		}
	}
}

// No statement is refused or waits for want of a connection of its own tenant.
func TestFewerConnectionsThanPairsNeverExceedsTheLimit(t *testing.T) {
	l := newLoad(2)
	for i := range 200 {
		l.run(small(i * 7 % 81))
		if len(l.connections) > 2 {
			t.Fatalf("%d connections are open, want at most 2", len(l.connections))
		}
	}
}

// After a restart of all instances the database still counts the dead connections: the
// limit is reached before any connection is idle, and nothing can give way.
func TestAfterARestartOfAllNothingGivesWayWhileNothingIsIdle(t *testing.T) {
	if i, found := GivesWay(time.Unix(0, 0), nil); found {
		t.Errorf("connection %d gives way, want none", i)
	}
	if !(Limit{}).IsUsedUp(0) {
		t.Error("a limit of zero leaves room")
	}
}
