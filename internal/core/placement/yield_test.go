package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// rankLoad is the load of one rank that each instance offers.
type rankLoad struct {
	perSecond      float64
	work, deadline time.Duration
}

// rankResult is what became of a rank's statements.
type rankResult struct {
	offered, served int
	// atDatabase is the time that the statements spent at the database, slotTime the
	// part of it in a slot.
	atDatabase, slotTime time.Duration
}

// share returns the part of the statements that were served.
func (r rankResult) share() float64 { return float64(r.served) / float64(max(1, r.offered)) }

// rankedDatabase simulates a database that instances share without communicating; each
// has a queue of its own in the order of rank. The database serves statements in the
// order of their arrival. The first fifth of the span isn't counted.
func rankedDatabase(seed uint64, instances, slots int, loads map[model.Rank]rankLoad, span time.Duration) map[model.Rank]*rankResult {
	type statement struct {
		instance       int
		rank           model.Rank
		arrived, sent  time.Duration
		endsAt, inSlot time.Duration
	}
	const ranks = 3
	random := rand.New(rand.NewPCG(seed, 3))
	start := time.Unix(1000, 0)
	schedulers := make([]*Scheduler, instances)
	databases := make([]*databaseState, instances)
	waiting := make([][ranks][]*statement, instances)
	for i := range instances {
		schedulers[i] = NewScheduler("lanier", nil)
		schedulers[i].instances = instances
		databases[i] = &databaseState{Database: Database{ID: "a", Slots: slots, MaxConnections: 1000}}
		databases[i].limit.resize(slots, instances)
		for range minLatencySamples {
			databases[i].limit.answered(start.Add(-time.Second), vary(random, loads[1].work), 0)
		}
	}
	results := map[model.Rank]*rankResult{}
	for rank := range loads {
		results[rank] = &rankResult{}
	}
	running := make([]*statement, slots)
	var queue []*statement
	for now := time.Duration(0); now < span; now += time.Millisecond {
		at, isCounted := start.Add(now), now > span/5
		for slot, s := range running {
			if s == nil || now < s.endsAt {
				continue
			}
			running[slot] = nil
			db := databases[s.instance]
			db.inFlight--
			db.connectionsInUse--
			db.limit.answered(at, now-s.sent, len(waiting[s.instance][0])+len(waiting[s.instance][1])+len(waiting[s.instance][2]))
			if isCounted {
				results[s.rank].served++
				results[s.rank].atDatabase += now - s.sent
				results[s.rank].slotTime += s.inSlot
			}
		}
		for _, i := range random.Perm(instances) {
			g := schedulers[i].group("g")
			g.passedOver = noRank
			for rank := range model.Rank(ranks) {
				load, offered := loads[rank]
				if offered && random.Float64() < load.perSecond/1000 {
					waiting[i][rank] = append(waiting[i][rank], &statement{instance: i, rank: rank, arrived: now})
					g.demand.record(at, rank)
					if isCounted {
						results[rank].offered++
					}
				}
				for len(waiting[i][rank]) > 0 {
					s := waiting[i][rank][0]
					if now-s.arrived <= load.deadline && !schedulers[i].hasCapacity(at, g, databases[i], rank) {
						g.passedOver = min(g.passedOver, rank)
						break
					}
					waiting[i][rank] = waiting[i][rank][1:]
					if now-s.arrived > load.deadline {
						continue
					}
					databases[i].inFlight++
					databases[i].connectionsInUse++
					databases[i].recordReserved(g.demand, rank)
					s.sent = now
					queue = append(queue, s)
				}
			}
		}
		for slot := range running {
			if running[slot] == nil && len(queue) > 0 {
				s := queue[0]
				queue = queue[1:]
				s.inSlot = vary(random, loads[s.rank].work)
				running[slot], s.endsAt = s, now+s.inSlot
			}
		}
	}
	return results
}

// Lag of all replicas: the reads of a group go to its primary, which is asked for one and
// a half times of what it can serve. Each instance has waiters of a middle rank only now
// and then, and would fill its part of the slots with the least urgent ones meanwhile.
// These must give way, but not without end; the slots must stay in use.
func TestLeastUrgentRankGivesWay(t *testing.T) {
	const instances, slots, span = 6, 2, 60 * time.Second
	loads := map[model.Rank]rankLoad{
		0: {perSecond: 6, work: 5 * time.Millisecond, deadline: 800 * time.Millisecond},
		1: {perSecond: 20, work: 14 * time.Millisecond, deadline: 800 * time.Millisecond},
		2: {perSecond: 5, work: 30 * time.Millisecond, deadline: 2500 * time.Millisecond},
	}
	total := map[model.Rank]rankResult{}
	slotTime := time.Duration(0)
	const seeds = 4
	for seed := range uint64(seeds) {
		for rank, r := range rankedDatabase(seed, instances, slots, loads, span) {
			sum := total[rank]
			total[rank] = rankResult{offered: sum.offered + r.offered, served: sum.served + r.served, atDatabase: sum.atDatabase + r.atDatabase}
			slotTime += r.slotTime
		}
	}
	used := slotTime.Seconds() / (seeds * slots * span.Seconds() * 4 / 5)
	t.Logf("%.2f of the slots used; served %.2f, %.2f and %.2f", used, total[0].share(), total[1].share(), total[2].share())
	if used < 0.85 {
		t.Errorf("%.2f of the slots used", used)
	}
	if total[0].share() < 0.97 {
		t.Errorf("%.2f of the most urgent served", total[0].share())
	}
	// What the most urgent rank leaves would serve all of the middle one. Without giving
	// way, 0.93 are served.
	if total[1].share() < 0.95 {
		t.Errorf("%.2f of the middle rank served", total[1].share())
	}
	if share := total[2].share(); share < yieldShare || share > 0.2 {
		t.Errorf("%.2f of the least urgent served", share)
	}
}

// Burst of the least urgent rank alone: nothing has to give way, and all slots are its.
func TestLeastUrgentRankAloneUsesAllSlots(t *testing.T) {
	const slots, span = 2, 30 * time.Second
	loads := map[model.Rank]rankLoad{
		1: {work: 30 * time.Millisecond},
		2: {perSecond: 20, work: 30 * time.Millisecond, deadline: 2500 * time.Millisecond},
	}
	result := rankedDatabase(1, 6, slots, loads, span)[2]
	if used := result.slotTime.Seconds() / (slots * span.Seconds() * 4 / 5); used < 0.85 {
		t.Errorf("%.2f of the slots used", used)
	}
}

// A rank that gives way must get statements through where the database stays congested
// for long, and must have all again once those more urgent are gone.
func TestYieldEnds(t *testing.T) {
	now := time.Unix(1000, 0)
	g := &group{demand: demand{}, passedOver: noRank}
	db := &databaseState{}
	db.limit.resize(2, 6)
	for range minLatencySamples {
		db.limit.answered(now, 10*time.Millisecond, 0)
	}
	for range 50 {
		now = now.Add(40 * time.Millisecond)
		db.limit.answered(now, 40*time.Millisecond, 0)
	}
	g.demand.record(now, 2)
	if db.yields(now, g, 2) {
		t.Error("a rank gives way to none")
	}
	g.demand.record(now, 0)
	sent := 0
	for range 100 {
		if !db.yields(now, g, 2) {
			db.recordReserved(g.demand, 2)
			sent++
		}
		db.recordReserved(g.demand, 0)
	}
	if sent < 9 || sent > 11 {
		t.Errorf("%d statements of the rank that gives way for 100 others", sent)
	}
	if now = now.Add(yieldMemory); db.yields(now, g, 2) {
		t.Error("a rank gives way to one that is no longer in use")
	}
}
