package fleet

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/clock"
	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

const (
	// tokenTimeout is how long the response of a head is awaited, and silentPause how
	// long a head that has not responded is not asked.
	tokenTimeout = 120 * time.Millisecond
	silentPause  = 300 * time.Millisecond
	// relayPause is how long the heads of other availability zones are not asked for a
	// tenant's tokens after none of them had any.
	relayPause = 250 * time.Millisecond
)

// tokenRequest is a request for tokens without a response.
type tokenRequest struct {
	tenant model.TenantID
	sentAt time.Time
	// isRelayed is true if the tokens are for another instance.
	isRelayed bool
	// responded receives the response. It has room for one.
	responded chan message.TokenGrant
}

// handleGrant takes the tokens of a grant. Those for this instance are of use also if
// nobody waits for them any more.
func (l *limits) handleGrant(grant message.TokenGrant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	request, found := l.requests[grant.Sequence]
	if !found {
		return
	}
	delete(l.requests, grant.Sequence)
	if grant.Tokens > 0 && !request.isRelayed {
		l.addTokens(request.tenant, grant.Tokens, request.sentAt)
	}
	request.responded <- grant
}

// addTokens adds tokens that were requested at a time. l must be locked.
func (l *limits) addTokens(tenant model.TenantID, tokens int, requestedAt time.Time) {
	l.purse.Add(tenant, tokens, requestedAt.Add(l.tolerance.HoldTime()))
	l.grantedAt[tenant] = clock.Now()
}

// draw draws tokens from the heads of the own availability zone, and through the last of
// them from those of the other zones. If there are none, the tenant is blocked for a
// time. The limits must be locked; the lock is released while the draw waits.
func (f *Fleet) draw(ctx context.Context, tenant model.TenantID) {
	l := f.limits
	limitMessages.Add("draws", 1)
	want := l.purse.Want(clock.Now(), tenant, l.waiting[tenant])
	order := f.order(l.heads.own, tenant)
	least := time.Duration(-1)
	for i, head := range order {
		isLast := i == len(order)-1
		requestedAt := clock.Now()
		var granted int
		var next time.Duration
		if head == f.options.StartID {
			granted, next = l.keeper.Take(requestedAt, tenant, want)
			if granted == 0 && isLast {
				granted = f.drawElsewhere(ctx, tenant, want)
			}
			if granted > 0 {
				l.addTokens(tenant, granted, requestedAt)
			}
		} else {
			granted, next = f.requestTokens(ctx, head, message.TokenRequest{Tenant: tenant, Want: want, Relay: isLast}, false)
		}
		if granted > 0 || ctx.Err() != nil {
			return
		}
		if least < 0 || next < least {
			least = next
		}
	}
	limitMessages.Add("empty", 1)
	l.purse.Block(clock.Now(), tenant, least, rand.Float64())
}

// drawElsewhere draws tokens from the heads of the other availability zones, for this
// instance or another, for tokenTimeout at most. The limits must be locked; the lock is
// released while the draw waits.
func (f *Fleet) drawElsewhere(ctx context.Context, tenant model.TenantID, want int) int {
	l := f.limits
	if clock.Now().Before(l.relayBlockedUntil[tenant]) {
		return 0
	}
	ctx, cancel := context.WithTimeout(ctx, tokenTimeout)
	defer cancel()
	for _, head := range f.order(l.heads.others, tenant) {
		granted, _ := f.requestTokens(ctx, head, message.TokenRequest{Tenant: tenant, Want: want}, true)
		if granted > 0 || ctx.Err() != nil {
			return granted
		}
	}
	l.relayBlockedUntil[tenant] = clock.Now().Add(relayPause)
	return 0
}

// order returns the heads that are not silent in the order in which this instance asks
// them for tokens of a tenant: itself first, the others in an order of its own, so that
// the instances spread over them. The limits must be locked.
func (f *Fleet) order(heads []model.InstanceID, tenant model.TenantID) []model.InstanceID {
	now, name := clock.Now(), string(tenant)+"\x00"+string(f.options.StartID)
	weight := func(id model.InstanceID) uint64 {
		if id == f.options.StartID {
			return 0
		}
		return model.RendezvousWeight(id, name)
	}
	ordered := slices.DeleteFunc(slices.Clone(heads), func(id model.InstanceID) bool {
		return now.Before(f.limits.silentUntil[id])
	})
	slices.SortFunc(ordered, func(a, b model.InstanceID) int {
		return cmp.Compare(weight(a), weight(b))
	})
	return ordered
}

// requestTokens asks a head for tokens and waits for its response, for tokenTimeout at
// most. The limits must be locked; the lock is released meanwhile.
func (f *Fleet) requestTokens(
	ctx context.Context, head model.InstanceID, body message.TokenRequest, isRelayed bool,
) (granted int, next time.Duration) {
	l := f.limits
	l.sequence++
	body.Sequence = l.sequence
	request := &tokenRequest{
		tenant: body.Tenant, sentAt: clock.Now(), isRelayed: isRelayed, responded: make(chan message.TokenGrant, 1),
	}
	l.requests[body.Sequence] = request
	l.mu.Unlock()
	limitMessages.Add("requests", 1)
	f.peers.links.HandleAction(message.SendPeer{To: head, Body: body})
	timeout := tokenTimeout
	switch {
	case body.Relay:
		timeout *= 2
	case isRelayed:
		timeout /= 2
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	var grant message.TokenGrant
	hasResponse := false
	select {
	case grant = <-request.responded:
		hasResponse = true
	case <-timer.C:
	case <-ctx.Done():
	}
	l.mu.Lock()
	if hasResponse {
		return grant.Tokens, grant.Next
	}
	if ctx.Err() == nil {
		l.silentUntil[head] = clock.Now().Add(silentPause)
	}
	return 0, silentPause
}
