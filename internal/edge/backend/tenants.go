package backend

import (
	"expvar"
	"slices"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/clock"
	"github.com/eelgrassfold/eelgrassfold/internal/core/idle"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/core/placement"
)

// tenantIdleTimeout is how long an unused connection of a tenant is kept. Many tenants
// send seldom; the limit on connections ends those that are in the way.
const tenantIdleTimeout = time.Minute

// connectionsGivenWay counts the idle connections that were closed for another tenant's.
var connectionsGivenWay = expvar.NewInt("backend.gave-way")

// limitOf returns what this instance may hold of a database's connections.
func limitOf(target placement.Database) idle.Limit {
	limit := idle.Limit{Open: target.ConnectionShare, Kept: target.ConnectionShare}
	if target.HasScarceConnections {
		limit.Kept = 0
		if target.KeepsConnection {
			limit.Kept = 1
		}
	}
	return limit
}

// HasIdle implements placement.Connections.
func (p *Pool) HasIdle(database model.DatabaseID, tenant model.TenantID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.idle[database], func(c *Conn) bool { return c.tenant == tenant })
}

// startOpening counts a connection that is about to be opened, and closes an idle one of
// another tenant if this instance may hold no more.
func (p *Pool) startOpening(target placement.Database) {
	p.mu.Lock()
	var victim *Conn
	if target.HasTenants && limitOf(target).IsUsedUp(p.open[target.ID]) {
		victim = p.removeVictim(target.ID)
	}
	p.open[target.ID]++
	p.mu.Unlock()
	if victim != nil {
		connectionsGivenWay.Add(1)
		victim.Close()
	}
}

// endOpen counts a connection that is not open any more.
func (p *Pool) endOpen(id model.DatabaseID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[id]--
	if p.open[id] == 0 {
		delete(p.open, id)
	}
}

// putOfTenant returns a connection to the pool, as Put does. The idle connections beyond
// the limit are closed: at once if too many are open, and otherwise after
// scarceIdleTimeout.
func (p *Pool) putOfTenant(conn *Conn) {
	id, limit := conn.target.ID, limitOf(conn.target)
	p.mu.Lock()
	defer p.mu.Unlock()
	conn.lastUsedAt = clock.Now()
	p.idle[id] = append(p.idle[id], conn)
	if p.open[id] > limit.Open {
		if victim := p.removeVictim(id); victim != nil {
			connectionsGivenWay.Add(1)
			go victim.Close()
		}
	}
	if len(p.idle[id]) > limit.Kept {
		surplus := p.idle[id][p.victim(id)]
		lastUsedAt := surplus.lastUsedAt
		time.AfterFunc(scarceIdleTimeout, func() { p.closeUnused(surplus, lastUsedAt) })
	}
}

// removeVictim removes the idle connection to a database that gives way from the pool; nil
// if none is idle.
func (p *Pool) removeVictim(id model.DatabaseID) *Conn {
	i := p.victim(id)
	if i < 0 {
		return nil
	}
	victim := p.idle[id][i]
	p.idle[id] = slices.Delete(p.idle[id], i, i+1)
	return victim
}

// victim returns the index of the idle connection to a database that gives way; -1 if none
// is idle.
func (p *Pool) victim(id model.DatabaseID) int {
	connections := make([]idle.Connection, 0, len(p.idle[id]))
	for _, c := range p.idle[id] {
		connections = append(connections, idle.Connection{Tenant: c.tenant, LastUsedAt: c.lastUsedAt})
	}
	if i, found := idle.GivesWay(clock.Now(), connections); found {
		return i
	}
	return -1
}

// idleTimeout is how long the connection is kept while it is not used.
func (c *Conn) idleTimeout() time.Duration {
	if c.target.HasTenants {
		return tenantIdleTimeout
	}
	return idleTimeout
}
