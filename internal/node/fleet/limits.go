package fleet

import (
	"cmp"
	"context"
	"expvar"
	"slices"
	"sync"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/clock"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/core/quota"
	"github.com/eelgrassfold/eelgrassfold/internal/core/route"
)

const (
	// admitTimeout bounds how long an operation waits for tokens.
	admitTimeout = 500 * time.Millisecond
	// namedTenants is the number of tenants, those with the highest limits, that have
	// metrics of their own; otherTenants is the name of the sum for the rest.
	namedTenants = 8
	otherTenants = "other"
)

// Counters of operations by tenant, and of the messages about tokens.
var (
	limitAdmitted = expvar.NewMap("limits.admitted")
	limitRefused  = expvar.NewMap("limits.refused")
	limitMessages = expvar.NewMap("limits.messages")
)

// limits holds this instance's part in the limits of tenants.
type limits struct {
	tolerance quota.Settings

	mu     sync.Mutex
	keeper *quota.Keeper
	purse  *quota.Purse
	// names holds the tenants with metrics of their own.
	names []model.TenantID
	heads heads
	// draws holds the draws that are running, waiting the number of operations that wait
	// for tokens.
	draws   map[model.TenantID]chan struct{}
	waiting map[model.TenantID]int
	// grantedAt is when a draw last had tokens, by tenant.
	grantedAt map[model.TenantID]time.Time
	// requests holds the requests without a response, by sequence.
	requests map[uint64]*tokenRequest
	sequence uint64
	// silentUntil holds the heads that are not asked for a while since they have not
	// responded. relayBlockedUntil holds the end of the time in which the heads of other
	// availability zones are not asked, by tenant.
	silentUntil       map[model.InstanceID]time.Time
	relayBlockedUntil map[model.TenantID]time.Time
}

func newLimits(tolerance quota.Settings) *limits {
	return &limits{
		tolerance: tolerance, keeper: quota.NewKeeper(tolerance), purse: quota.NewPurse(),
		draws: map[model.TenantID]chan struct{}{}, waiting: map[model.TenantID]int{},
		grantedAt: map[model.TenantID]time.Time{}, requests: map[uint64]*tokenRequest{},
		silentUntil: map[model.InstanceID]time.Time{}, relayBlockedUntil: map[model.TenantID]time.Time{},
	}
}

// applyLimits puts the limits of the configuration in force. The limits stay locked from
// the read of the configuration on, so that no older one replaces a newer one.
func (f *Fleet) applyLimits() {
	l := f.limits
	l.mu.Lock()
	f.directory.mu.Lock()
	tenants := f.directory.configuration.Tenants
	f.directory.mu.Unlock()
	l.replace(clock.Now(), tenants)
	l.mu.Unlock()
	f.updateKeepers(clock.Now())
}

// replace replaces the limits by those of the given tenants. l must be locked.
func (l *limits) replace(now time.Time, tenants map[model.TenantID]route.Tenant) {
	limited := map[model.TenantID]quota.Limit{}
	for name, tenant := range tenants {
		if tenant.Rate > 0 {
			limited[name] = quota.Limit{Rate: tenant.Rate, Burst: tenant.Burst}
		}
	}
	l.keeper.SetLimits(now, limited)
	l.purse.Retain(func(name model.TenantID) bool { _, found := limited[name]; return found })
	l.names = l.names[:0]
	for name := range limited {
		l.names = append(l.names, name)
	}
	slices.SortFunc(l.names, func(a, b model.TenantID) int { return cmp.Compare(limited[b].Rate, limited[a].Rate) })
	l.names = l.names[:min(len(l.names), namedTenants)]
}

// areUsed reports whether any tenant has a limit.
func (l *limits) areUsed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.keeper.HasLimits()
}

// metricName returns the name under which a tenant is counted. l must be locked.
func (l *limits) metricName(tenant model.TenantID) string {
	if slices.Contains(l.names, tenant) {
		return string(tenant)
	}
	return otherTenants
}

// verdict is whether an operation is admitted, refused, or has to wait for tokens.
type verdict int

// The values of verdict.
const (
	verdictAdmitted verdict = iota
	verdictRefused
	// verdictWait: another operation of the tenant draws tokens.
	verdictWait
	// verdictDraw: the operation is to draw tokens.
	verdictDraw
)

// AdmitOperation implements session.Limiter. An operation without a token waits for a
// draw, for admitTimeout at most.
func (f *Fleet) AdmitOperation(ctx context.Context, tenant model.TenantID) (quota.Refusal, bool) {
	l := f.limits
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, isLimited := l.keeper.Limit(tenant); !isLimited {
		return quota.Refusal{}, true
	}
	l.purse.CountDemand(clock.Now(), tenant)
	l.waiting[tenant]++
	defer func() {
		if l.waiting[tenant]--; l.waiting[tenant] == 0 {
			delete(l.waiting, tenant)
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, admitTimeout)
	defer cancel()
	for {
		decided, drawn := l.decide(clock.Now(), tenant)
		switch decided {
		case verdictAdmitted:
			limitAdmitted.Add(l.metricName(tenant), 1)
			return quota.Refusal{}, true
		case verdictRefused:
			return l.refuse(tenant, "no keeper has a token"), false
		case verdictWait:
			l.mu.Unlock()
			select {
			case <-drawn:
			case <-ctx.Done():
			}
			l.mu.Lock()
		case verdictDraw:
			f.draw(ctx, tenant)
			delete(l.draws, tenant)
			close(drawn)
		}
		if ctx.Err() != nil {
			return l.refuse(tenant, "no keeper has answered in time"), false
		}
	}
}

// decide decides on an operation. The channel is closed at the end of the draw. l must be
// locked.
func (l *limits) decide(now time.Time, tenant model.TenantID) (verdict, chan struct{}) {
	if _, isLimited := l.keeper.Limit(tenant); !isLimited || l.purse.Take(now, tenant) {
		return verdictAdmitted, nil
	}
	if l.purse.BlockedFor(now, tenant) > 0 {
		return verdictRefused, nil
	}
	if drawn, isRunning := l.draws[tenant]; isRunning {
		return verdictWait, drawn
	}
	l.draws[tenant] = make(chan struct{})
	return verdictDraw, l.draws[tenant]
}

// refuse counts and returns a refusal. l must be locked.
func (l *limits) refuse(tenant model.TenantID, reason string) quota.Refusal {
	now := clock.Now()
	limitRefused.Add(l.metricName(tenant), 1)
	limit, _ := l.keeper.Limit(tenant)
	refusal := quota.Refusal{
		Limit: limit, RetryAfter: l.purse.BlockedFor(now, tenant),
		Keepers: len(l.heads.own) + len(l.heads.others), GrantAge: -1, Reason: reason,
	}
	if at, found := l.grantedAt[tenant]; found {
		refusal.GrantAge = now.Sub(at)
	}
	if len(l.heads.own) == 0 {
		refusal.Reason = "no keeper is in reach"
	}
	return refusal
}
