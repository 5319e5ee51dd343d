package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/clock"
	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
)

// heads holds the heads that keep parts of the limits and are alive, by start ID: those
// of the own availability zone, this instance included, and those of the other zones.
type heads struct{ own, others []model.InstanceID }

// updateKeepers determines the heads, and whether this instance is one. The keepers are
// the first headsPerZone members of each availability zone, in the order of names, dead
// or alive. No other instance takes the part of a dead one.
func (f *Fleet) updateKeepers(now time.Time) {
	if !f.limits.areUsed() {
		return
	}
	f.peers.mu.Lock()
	names, alive := f.keeperNames(), f.peers.liveStartIDs(now)
	isStandby := f.peers.hasJoinedHeads
	f.peers.hasJoinedHeads = false
	f.peers.mu.Unlock()
	parts, isKeeper, found := 0, false, heads{}
	for zone, zoneNames := range names {
		parts += len(zoneNames)
		for _, name := range zoneNames {
			id, isAlive := alive[name]
			if name == f.options.InstanceName {
				id, isAlive, isKeeper = f.options.StartID, true, true
			}
			if isAlive && zone == f.options.Zone {
				found.own = append(found.own, id)
			} else if isAlive {
				found.others = append(found.others, id)
			}
		}
	}
	if !isKeeper {
		parts = 0
	}
	f.setKeepers(now, found, parts, isStandby || len(names) > 0 && !isKeeper)
}

// keeperNames returns the names of the keepers by availability zone. There are none until
// the members were read with this instance among them. The peers must be locked.
func (f *Fleet) keeperNames() map[model.ZoneID][]model.InstanceID {
	if f.peers.membersReadAt.IsZero() || !f.peers.isListed {
		return nil
	}
	names := map[model.ZoneID][]model.InstanceID{f.options.Zone: {f.options.InstanceName}}
	for name, m := range f.peers.members {
		names[m.Zone] = append(names[m.Zone], name)
	}
	for zone, zoneNames := range names {
		slices.Sort(zoneNames)
		names[zone] = zoneNames[:min(len(zoneNames), headsPerZone)]
	}
	return names
}

// liveStartIDs returns the start IDs of the linked peers that are alive, by name. The
// peers must be locked.
func (p *peers) liveStartIDs(now time.Time) map[model.InstanceID]model.InstanceID {
	ids := map[model.InstanceID]model.InstanceID{}
	for id, known := range p.known {
		if known.isLinked && known.isAlive(now) {
			ids[known.gossip.Instance] = id
		}
	}
	return ids
}

// setKeepers records the heads, and the number of parts if this instance is a keeper.
// isStandby is set if the keepers do not include it, or did not when it joined.
func (f *Fleet) setKeepers(now time.Time, found heads, parts int, isStandby bool) {
	l := f.limits
	l.mu.Lock()
	l.heads = found
	before := l.keeper.Parts()
	if isStandby {
		l.keeper.StandBy(now)
	}
	l.keeper.SetParts(now, parts)
	l.forgetRequests(now)
	l.mu.Unlock()
	if before != parts {
		f.logEvent(event.LimitKeeperChanged, event.F("parts", parts), event.F("before", before),
			event.F("zone", len(found.own)), event.F("others", len(found.others)))
	}
}

// forgetRequests removes the state that no decision uses any more. l must be locked.
func (l *limits) forgetRequests(now time.Time) {
	maps.DeleteFunc(l.requests, func(_ uint64, r *tokenRequest) bool {
		return now.Sub(r.sentAt) > l.tolerance.HoldTime()+admitTimeout
	})
	maps.DeleteFunc(l.silentUntil, func(_ model.InstanceID, until time.Time) bool { return now.After(until) })
	maps.DeleteFunc(l.relayBlockedUntil, func(_ model.TenantID, until time.Time) bool { return now.After(until) })
}

// answerTokenRequest gives a peer tokens of this instance's part. If it has none and is
// to relay the request, it asks the heads of the other availability zones.
func (f *Fleet) answerTokenRequest(from model.InstanceID, request message.TokenRequest) {
	l := f.limits
	l.mu.Lock()
	tokens, next := l.keeper.Take(clock.Now(), request.Tenant, request.Want)
	l.mu.Unlock()
	if tokens > 0 || !request.Relay {
		f.sendGrant(from, message.TokenGrant{Sequence: request.Sequence, Tokens: tokens, Next: next})
		return
	}
	f.running.Add(1)
	go func() {
		defer f.running.Done()
		l.mu.Lock()
		granted := f.drawElsewhere(f.lifetime, request.Tenant, request.Want)
		l.mu.Unlock()
		f.sendGrant(from, message.TokenGrant{Sequence: request.Sequence, Tokens: granted, Next: next})
	}()
}

func (f *Fleet) sendGrant(to model.InstanceID, grant message.TokenGrant) {
	limitMessages.Add("grants", 1)
	f.peers.links.HandleAction(message.SendPeer{To: to, Body: grant})
}
