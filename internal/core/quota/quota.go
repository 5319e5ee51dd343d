// Package quota decides which operations of a tenant are within its limit, which holds
// over all instances together.
//
// # What flows in and out
//
// The limit of a tenant is divided into as many fixed parts as there are keepers: the
// heads of all availability zones. A Keeper is the part of one head: a token bucket for
// each tenant. Instances draw tokens from the keepers of their availability zone, and a
// keeper without tokens draws from those of the others. The tokens that an instance has
// drawn are in its Purse until they are used or lapse.
//
//	operation ─> Purse.Take ─no token─> Keeper.Take at a head ─> Purse.Add ─> Purse.Take
//	                                    none at any head: Purse.Block, the operation is refused
//
// A token is taken out of a bucket before it is sent, so that a message that is lost or
// late loses tokens and never makes any. No part is ever taken over by another keeper,
// and none needs to be: a killed, frozen or cut-off keeper only leaves its own part unused.
//
// # The bound
//
// In any window, at most rate x window + burst operations are within the limit. The
// deployment tolerates (rate x window + burst) x (1 + Overage) + Slack, because of the
// distances between instances. The difference is spent as follows:
//
//	holdShare of Overage x rate x window   tokens drawn before the window and used in it
//	burstShare of Slack                    in addition to the burst, for small limits
//	startShare of Slack                    in the buckets after a start
//	the rest                               keepers that begin while others have not ended
//
// # Usage
//
//	keeper.SetLimits(now, limits)
//	keeper.SetParts(now, 9)
//	granted, next := keeper.Take(now, "club", 3)
//	purse.Add("club", granted, requestedAt.Add(settings.HoldTime()))
//	ok := purse.Take(now, "club")
package quota

import (
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

const (
	// takeoverDelay is the time for which a keeper that takes the part of another one gives
	// no tokens: longer than instances may disagree on who the keepers are.
	takeoverDelay = 7 * time.Second
	// holdShare, burstShare and startShare divide the tolerance of the deployment.
	holdShare  = 0.8
	burstShare = 0.5
	startShare = 0.45
	// minHoldTime and maxHoldTime bound HoldTime: a token has to reach its instance, also
	// if the deployment tolerates nothing.
	minHoldTime = 50 * time.Millisecond
	maxHoldTime = 500 * time.Millisecond
)

// Settings are the tolerance of a deployment.
type Settings struct {
	// Window is the length of the windows in which operations are counted.
	Window time.Duration
	// Overage is the tolerated part, and Slack the tolerated number, of operations of a
	// tenant above its limit in a window.
	Overage, Slack float64
}

// Limit is the limit of a tenant over all instances.
type Limit struct {
	// Rate is in operations per second. Burst operations may come at once in addition.
	Rate, Burst float64
}

// Refusal is the reason why an operation was refused under the limit of its tenant.
type Refusal struct {
	Limit Limit
	// RetryAfter is the time until the instance next draws tokens of the tenant.
	RetryAfter time.Duration
	// Keepers is the number of keepers in reach, and GrantAge the time since one of them
	// last gave tokens of the tenant; negative if none did.
	Keepers  int
	GrantAge time.Duration
	Reason   string
}

// HoldTime returns how long a token may be held after the instance has asked for it.
func (s Settings) HoldTime() time.Duration {
	return min(max(minHoldTime, time.Duration(holdShare*s.Overage*float64(s.Window))), maxHoldTime)
}

// Bound returns the number of operations of a tenant that is tolerated in a window.
func (s Settings) Bound(limit Limit) float64 {
	return (limit.Rate*s.Window.Seconds()+limit.Burst)*(1+s.Overage) + s.Slack
}

// bucket is a token bucket. It holds the tokens as of a time.
type bucket struct {
	tokens float64
	asOf   time.Time
}

// Keeper is the part of one instance in the limits of all tenants. NewKeeper makes one.
// It is not safe for concurrent use.
type Keeper struct {
	settings Settings
	limits   map[model.TenantID]Limit
	// parts is the number of keepers, or zero while this instance is not one of them.
	parts int
	// isStandby is set while it is known that this instance is no keeper: it takes the part
	// of another one if it becomes one. beginsAt is when it gives its first tokens.
	isStandby bool
	beginsAt  time.Time
	buckets   map[model.TenantID]*bucket
}

// NewKeeper returns a Keeper that has no part yet.
func NewKeeper(settings Settings) *Keeper {
	return &Keeper{settings: settings, buckets: map[model.TenantID]*bucket{}}
}

// StandBy ends the part of this instance, of which it is known that it is no keeper. If it
// becomes one, instances may still count the keeper before it for some time.
func (k *Keeper) StandBy(now time.Time) {
	k.SetParts(now, 0)
	k.isStandby = true
}

// SetParts sets the number of keepers, this one included, or zero if this instance is
// no keeper. A keeper that begins has the tokens of a start; one that takes the part of
// another has none, and begins after takeoverDelay.
func (k *Keeper) SetParts(now time.Time, parts int) {
	if parts == k.parts {
		return
	}
	k.refillAll(now)
	isNew := k.parts == 0
	k.parts = parts
	if isNew {
		clear(k.buckets)
		k.beginsAt = now
		if k.isStandby {
			k.beginsAt = now.Add(takeoverDelay)
		}
	}
	k.isStandby = parts == 0
	k.fitBuckets(now)
}

// SetLimits replaces the limits of all tenants. A lower one takes tokens above its burst
// away at once.
func (k *Keeper) SetLimits(now time.Time, limits map[model.TenantID]Limit) {
	k.refillAll(now)
	k.limits = limits
	k.fitBuckets(now)
}

// Limit returns the limit of a tenant, or false if it has none.
func (k *Keeper) Limit(tenant model.TenantID) (Limit, bool) {
	limit, found := k.limits[tenant]
	return limit, found
}

// HasLimits reports whether any tenant has a limit.
func (k *Keeper) HasLimits() bool { return len(k.limits) > 0 }

// Parts returns the number of keepers, or zero while this instance is none of them.
func (k *Keeper) Parts() int { return k.parts }

// Take removes up to want whole tokens from the bucket of a tenant. It returns their
// number and the time until there is a further token. A tenant without a limit here has
// no tokens: the asking instance has another configuration, for a short time.
func (k *Keeper) Take(now time.Time, tenant model.TenantID, want int) (granted int, next time.Duration) {
	b, found := k.buckets[tenant]
	if !found {
		return 0, k.settings.HoldTime()
	}
	k.refill(now, tenant, b)
	granted = max(0, min(want, int(b.tokens)))
	b.tokens -= float64(granted)
	missing := max(0, 1-b.tokens)
	return granted, max(0, b.asOf.Sub(now)) + time.Duration(missing/k.rate(tenant)*float64(time.Second))
}

// rate returns the rate at which the bucket of a tenant is refilled.
func (k *Keeper) rate(tenant model.TenantID) float64 { return k.limits[tenant].Rate / float64(k.parts) }

// capacity returns the most tokens that the bucket of a tenant holds: one at least, since
// a smaller bucket would never give any.
func (k *Keeper) capacity(tenant model.TenantID) float64 {
	return max(1, (k.limits[tenant].Burst+burstShare*k.settings.Slack)/float64(k.parts))
}

// refill adds the tokens of the time since the bucket's last change, which may be to come.
func (k *Keeper) refill(now time.Time, tenant model.TenantID, b *bucket) {
	if now.Before(b.asOf) {
		return
	}
	b.tokens = min(b.tokens+k.rate(tenant)*now.Sub(b.asOf).Seconds(), k.capacity(tenant))
	b.asOf = now
}

func (k *Keeper) refillAll(now time.Time) {
	for tenant, b := range k.buckets {
		k.refill(now, tenant, b)
	}
}

// fitBuckets makes the buckets match the limits: one for each, filled to its capacity at
// most. A new one has the tokens of a start.
func (k *Keeper) fitBuckets(now time.Time) {
	for tenant := range k.buckets {
		if _, found := k.limits[tenant]; !found || k.parts == 0 {
			delete(k.buckets, tenant)
		}
	}
	if k.parts == 0 {
		return
	}
	for tenant := range k.limits {
		b, found := k.buckets[tenant]
		if !found {
			b = &bucket{tokens: startShare * k.settings.Slack / float64(k.parts), asOf: now}
			if now.Before(k.beginsAt) {
				b = &bucket{tokens: 0, asOf: k.beginsAt}
			}
			k.buckets[tenant] = b
		}
		b.tokens = min(b.tokens, k.capacity(tenant))
	}
}
