package rank

import (
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// Times of the exchange of demand.
const (
	// demandGap is the least time between two demands with news.
	demandGap = 2 * time.Millisecond
	// demandKeep is the time after which a demand is repeated.
	demandKeep = 50 * time.Millisecond
	// demandFades is the age at which a peer's demand no longer counts.
	demandFades = 250 * time.Millisecond
)

// demandShare divides slots in proportion to the demand that the instances tell
// each other: urgent demand first, floors kept, what is left in equal parts.
type demandShare struct {
	peers    map[model.InstanceID]*peerDemand
	sequence uint64
	sent     time.Time
	// total is what was waiting and running when it was last told.
	total int
	rates map[model.DatabaseID]float64
	at    time.Time
}

// peerDemand is the demand of one instance by database and rank, in slots.
type peerDemand struct {
	heard time.Time
	slots map[model.DatabaseID][]float64
}

func newDemandShare() *demandShare {
	return &demandShare{peers: map[model.InstanceID]*peerDemand{}, rates: map[model.DatabaseID]float64{}}
}

func (*demandShare) isShare() {}

// hear takes in a peer's demand.
func (w *demandShare) hear(s *Scheduler, now time.Time, _ *group, from model.InstanceID, body message.PeerMessage) {
	demand, ok := body.(message.Demand)
	if !ok {
		return
	}
	w.peers[from] = readDemand(now, &demand, len(s.floors))
	w.at = time.Time{}
}

func readDemand(now time.Time, demand *message.Demand, ranks int) *peerDemand {
	read := &peerDemand{heard: now, slots: map[model.DatabaseID][]float64{}}
	add := func(id model.DatabaseID, r model.Rank, n float64) {
		if read.slots[id] == nil {
			read.slots[id] = make([]float64, ranks)
		}
		if int(r) < ranks {
			read.slots[id][r] += n
		}
	}
	for _, want := range demand.Wants {
		for _, id := range want.Databases {
			add(id, want.Rank, float64(want.Waiting)/float64(len(want.Databases)))
		}
	}
	for _, held := range demand.Held {
		add(held.Database, held.Rank, 1)
	}
	return read
}

// own returns the demand of this instance.
func (w *demandShare) own(now time.Time, g *group) message.Demand {
	demand := message.Demand{Group: g.id, Sequence: w.sequence, Wants: g.wants(now)}
	for _, d := range g.databases {
		for r, n := range d.ledger.running {
			for range n {
				demand.Held = append(demand.Held, message.HeldLease{Database: d.id, Rank: model.Rank(r)})
			}
		}
	}
	return demand
}

// messages tells all live peers the demand of this instance.
func (w *demandShare) messages(s *Scheduler, now time.Time, g *group) []message.SendPeer {
	demand := w.own(now, g)
	total := len(demand.Held)
	for _, want := range demand.Wants {
		total += min(want.Waiting, s.limits.Slots)
	}
	due := demandGap
	if total == w.total {
		due = demandKeep
	}
	if now.Sub(w.sent) < due {
		return nil
	}
	w.sequence++
	w.sent, w.total = now, total
	var out []message.SendPeer
	for _, id := range s.peers.live {
		if id != s.self {
			out = append(out, message.SendPeer{To: id, Body: demand})
		}
	}
	return out
}

// rate returns the slots of d that this instance may use.
func (w *demandShare) rate(s *Scheduler, now time.Time, d *database) float64 {
	if now.Sub(w.at) >= demandGap {
		w.at = now
		own := w.own(now, d.group)
		mine := readDemand(now, &own, len(s.floors))
		for _, member := range d.group.databases {
			w.rates[member.id] = w.divide(s, now, member, mine)
		}
	}
	return w.rates[d.id]
}

// divide computes this instance's part of d.
func (w *demandShare) divide(s *Scheduler, now time.Time, d *database, mine *peerDemand) float64 {
	all := make([]float64, len(s.floors))
	reserved := 0
	for _, id := range s.peers.known {
		from := w.peers[id]
		if id == s.self {
			from = mine
		}
		if from == nil || now.Sub(from.heard) > demandFades {
			reserved++
			continue
		}
		for r, n := range from.slots[d.id] {
			all[r] += n
		}
	}
	limit := float64(s.limitOf(d) + slotsAhead)
	known := float64(max(1, len(s.peers.known)))
	left := limit * (1 - float64(reserved)/known)
	given := make([]float64, len(all))
	for r := range all {
		given[r] = min(all[r], s.floors[r]*left)
	}
	for _, n := range given {
		left -= n
	}
	part := 0.0
	for r := range all {
		more := min(all[r]-given[r], left)
		left -= more
		if own := mine.slots[d.id]; own != nil && all[r] > 0 {
			part += (given[r] + more) * own[r] / all[r]
		}
	}
	return part + left/known
}
