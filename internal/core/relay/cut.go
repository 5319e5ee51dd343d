package relay

import (
	"net/netip"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

const (
	// askAfter is the time without an answer of a primary after which peers are asked
	// whether it answers them.
	askAfter = 150 * time.Millisecond
	// relayAfter is the time without an answer after which statements pass through
	// relays: until then the primary has been probed on a new connection as well.
	relayAfter = 350 * time.Millisecond
	// evidenceMargin is how long after the silence began here the primary must have
	// answered a peer. A primary that has failed has answered nobody since.
	evidenceMargin = 100 * time.Millisecond
	// wantedRelays is the number of relays to know of. Peers are asked every askInterval
	// until there are so many, and every laterAskInterval after quickAsks times or once
	// there are.
	wantedRelays     = 2
	askInterval      = 100 * time.Millisecond
	laterAskInterval = time.Second
	quickAsks        = 8
)

// Evidence is what an instance observes of a group's primary.
type Evidence struct {
	Primary model.DatabaseID
	// UnansweredFor is how long the primary has not answered although it was sent
	// something; zero if it answers. AnsweredAt is when it last answered.
	UnansweredFor time.Duration
	AnsweredAt    time.Time
	// IsConfirmed is true if this instance can confirm primaries at present: it could
	// not use an answer otherwise.
	IsConfirmed bool
}

// Cut decides whether the statements for one group's primary pass through relays, because
// the way from this instance to the primary is cut. The zero value is ready for use. It is
// not safe for concurrent use.
//
// Statements are relayed once the primary has been silent here for relayAfter while it
// answered a peer in that time, and until it answers this instance again. A primary that
// is silent to everybody has failed, which is not for relays to mend.
type Cut struct {
	primary model.DatabaseID
	// silentSince is when the silence began; zero if there is none.
	silentSince time.Time
	// relayingSince is when relaying began; zero while statements are not relayed.
	relayingSince time.Time
	// reached holds the peers that the primary has answered during the silence.
	reached map[netip.AddrPort]Candidate
	// askedAt is when peers were last asked, asks how often during this silence.
	askedAt time.Time
	asks    int
}

// Update takes new evidence into account. isUsable reports whether a relay may be chosen as
// far as its failures are concerned. It returns true if peers are to be asked now.
func (c *Cut) Update(now time.Time, evidence Evidence, isUsable func(netip.AddrPort) bool) bool {
	isOver := evidence.UnansweredFor < askAfter
	if c.IsRelaying() {
		isOver = evidence.AnsweredAt.After(c.relayingSince)
	}
	if isOver || evidence.Primary != c.primary {
		*c = Cut{primary: evidence.Primary}
		return false
	}
	if c.silentSince.IsZero() {
		c.silentSince = now.Add(-evidence.UnansweredFor)
	}
	usable := 0
	for address := range c.reached {
		if isUsable(address) {
			usable++
		}
	}
	switch {
	case usable == 0:
		c.relayingSince = time.Time{}
	case !c.IsRelaying() && evidence.IsConfirmed && evidence.UnansweredFor >= relayAfter:
		c.relayingSince = now
	}
	interval := askInterval
	if c.asks >= quickAsks || usable >= wantedRelays {
		interval = laterAskInterval
	}
	if !c.askedAt.IsZero() && now.Sub(c.askedAt) < interval {
		return false
	}
	c.askedAt = now
	c.asks++
	return true
}

// RecordReached records that the primary has answered a peer at the given time.
func (c *Cut) RecordReached(primary model.DatabaseID, candidate Candidate, answeredAt time.Time) {
	if primary != c.primary || c.silentSince.IsZero() || answeredAt.Before(c.silentSince.Add(evidenceMargin)) {
		return
	}
	if c.reached == nil {
		c.reached = map[netip.AddrPort]Candidate{}
	}
	candidate.ReachesDatabase = true
	c.reached[candidate.Address] = candidate
}

// IsRelaying reports whether statements for the primary pass through relays.
func (c *Cut) IsRelaying() bool { return !c.relayingSince.IsZero() }

// Primary returns the database that the evidence was about.
func (c *Cut) Primary() model.DatabaseID { return c.primary }

// Relays returns the peers that the primary has answered, in no order.
func (c *Cut) Relays() []Candidate {
	relays := make([]Candidate, 0, len(c.reached))
	for _, candidate := range c.reached {
		relays = append(relays, candidate)
	}
	return relays
}
