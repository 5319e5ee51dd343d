package backend

import (
	"testing"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/core/placement"
)

// An instance with a share of two connections runs statements of many tenants: it must
// never have more open, or the database refuses those of other instances.
func TestConnectionsOfAllTenantsShareOneLimit(t *testing.T) {
	address, _ := startEchoServer(t)
	pool := NewPool(lineProtocol{})
	target := placement.Database{ID: "a", Address: address, HasTenants: true, ConnectionShare: 2}
	for _, tenant := range []model.TenantID{"a", "b", "c", "b", "c"} {
		conn, err := pool.Get(t.Context(), target, tenant, nil)
		if err != nil {
			t.Fatal(err)
		}
		if pool.mu.Lock(); pool.open["a"] > 2 {
			t.Errorf("%d connections are open, want at most 2", pool.open["a"])
		}
		pool.mu.Unlock()
		pool.Put(conn)
	}
	if !pool.HasIdle("a", "b") || !pool.HasIdle("a", "c") || pool.HasIdle("a", "a") {
		t.Error("the connection of the tenant that came first should have given way")
	}
	pool.CloseIdle("a")
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		pool.mu.Lock()
		open := len(pool.open)
		pool.mu.Unlock()
		if open == 0 {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("closed connections are still counted")
		}
	}
}

// Beyond the number that is kept, the connection that gives way is closed, which need not
// be the one returned last.
func TestScarceConnectionOfAnotherTenantGivesWay(t *testing.T) {
	address, _ := startEchoServer(t)
	pool := NewPool(lineProtocol{})
	target := placement.Database{
		ID: "a", Address: address, HasTenants: true, ConnectionShare: 2, HasScarceConnections: true, KeepsConnection: true,
	}
	for _, tenant := range []model.TenantID{"a", "b"} {
		conn, err := pool.Get(t.Context(), target, tenant, nil)
		if err != nil {
			t.Fatal(err)
		}
		pool.Put(conn)
	}
	for deadline := time.Now().Add(10 * time.Second); pool.HasIdle("a", "a"); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the surplus connection was not closed")
		}
	}
	if !pool.HasIdle("a", "b") {
		t.Error("the connection used last is not kept")
	}
}
