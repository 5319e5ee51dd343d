package rank

import (
	"math"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// share is how the instances divide the slots of one group. Each variant has a
// file of its own, share_*.go.
type share interface{ isShare() }

// shareVariant is one entry of the table of variants.
type shareVariant struct {
	name string
	make func() share
}

// shareVariants lists the variants.
var shareVariants = []shareVariant{
	{"fixed", func() share { return &fixedShare{} }},
	{"demand", func() share { return newDemandShare() }},
	{"arbiter", func() share { return newArbiterShare() }},
}

// defaultShare is the variant in use.
const defaultShare = "arbiter"

// ShareNames returns the names of the ways to divide slots.
func ShareNames() []string {
	var names []string
	for _, variant := range shareVariants {
		names = append(names, variant.name)
	}
	return names
}

func newShare(name string) share {
	for _, variant := range shareVariants {
		if variant.name == name {
			return variant.make()
		}
	}
	return &fixedShare{}
}

// -----------------------------------------------------------------------------
// Decisions by variant.

// allows reports whether this instance may start work of a rank on d now.
func (s *Scheduler) allows(now time.Time, d *database, r model.Rank) bool {
	switch way := d.group.share.(type) {
	case *demandShare:
		return d.meter.allows(now, way.rate(s, now, d), d.ledger.busy())
	case *arbiterShare:
		return way.holder.allows(s, now, d, r)
	default:
		return d.meter.allows(now, s.equalShare(d), d.ledger.busy())
	}
}

// isArbiter reports whether this instance lends the group's slots, so that what
// it asks of itself is answered at once.
func (g *group) isArbiter() bool {
	way, ok := g.share.(*arbiterShare)
	return ok && way.bench != nil
}

// started tells the share that an item runs.
func (s *Scheduler) started(now time.Time, it *item) {
	if way, ok := it.database.group.share.(*arbiterShare); ok {
		way.holder.started(now, it)
	}
}

// finished tells the share that an item has ended.
func (s *Scheduler) finished(it *item) {
	if way, ok := it.database.group.share.(*arbiterShare); ok {
		way.holder.finished(it)
	}
}

// hear takes in what a peer says of a group's slots.
func (s *Scheduler) hear(now time.Time, g *group, from model.InstanceID, body message.PeerMessage) {
	switch way := g.share.(type) {
	case *demandShare:
		way.hear(s, now, g, from, body)
	case *arbiterShare:
		way.hear(s, now, g, from, body)
	}
}

// messages returns what the peers shall hear of a group's slots.
func (s *Scheduler) messages(now time.Time, g *group) []message.SendPeer {
	switch way := g.share.(type) {
	case *demandShare:
		return way.messages(s, now, g)
	case *arbiterShare:
		return way.messages(s, now, g)
	}
	return nil
}

// equalShare returns the slots of d that this instance may use on average when
// all known instances use the same.
func (s *Scheduler) equalShare(d *database) float64 {
	return float64(s.limitOf(d)) / float64(max(1, len(s.peers.known)))
}

// -----------------------------------------------------------------------------
// Shares below one slot.

// meterBurst and meterDebt bound what a meter saves and owes, in slot-seconds.
const (
	meterBurst = 0.02
	meterDebt  = 1.0
)

// meter lets an instance use a fraction of a slot as a share of time: it saves
// slot-time at a rate and lets work start while something is saved.
type meter struct {
	saved float64
	since time.Time
	// busy is the number of slots used since then.
	busy int
}

// advance brings the meter to now, from when on busy slots are used.
func (m *meter) advance(now time.Time, rate float64, busy int) {
	if elapsed := now.Sub(m.since).Seconds(); elapsed > 0 {
		m.saved += (rate - float64(m.busy)) * elapsed
		m.saved = min(max(m.saved, -meterDebt), meterBurst)
		m.since = now
	}
	m.busy = busy
}

// allows reports whether one more slot may be used at the rate.
func (m *meter) allows(now time.Time, rate float64, busy int) bool {
	m.advance(now, rate, busy)
	if busy < int(rate) {
		return true
	}
	return float64(busy) < math.Ceil(rate) && m.saved > 0
}

// -----------------------------------------------------------------------------
// What waits.

// wants returns the demand of this instance on a group.
func (g *group) wants(now time.Time) []message.Want {
	var wants []message.Want
	for _, q := range g.queues {
		for _, l := range q.lanes {
			mask := g.usable(now, l.mask)
			if mask == 0 || len(l.lines) == 0 {
				continue
			}
			wants = append(wants, message.Want{
				Databases: g.names(mask),
				Rank:      q.rank,
				Late:      l.class == classLate,
				Waiting:   l.waiting,
				Slack:     l.lines[0].items[0].work.Deadline.Sub(now),
			})
		}
	}
	return wants
}

// names returns the databases of a set.
func (g *group) names(mask uint64) []model.DatabaseID {
	var names []model.DatabaseID
	for _, d := range g.databases {
		if d.bit&mask != 0 {
			names = append(names, d.id)
		}
	}
	return names
}
