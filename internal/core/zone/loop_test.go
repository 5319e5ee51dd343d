package zone

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// load is what the zones of a simulated deployment face. Each zone has some instances,
// which decide by themselves, and one database at most.
type load struct {
	// demand is the reads that arrive in each zone, as a share of what one database
	// serves; missing lists the zones without a database.
	demand  []float64
	missing []int
	// urgent is the share of reads of rank 0; the others have rank 1.
	urgent float64
	// path is the extra time of an answer from another zone.
	path time.Duration
	// lost is the zone whose database is lost from lostAt until backAt.
	lost           int
	lostAt, backAt time.Duration
}

// outcome is what became of the reads of one zone in the last minute, or of the shares of
// its first instance over all of the time.
type outcome struct {
	offered, served, outside map[model.Rank]int
	waited                   time.Duration
	// changes counts the changes of share in the last minute, for all instances.
	changes int
	// shares holds the share of the first instance, each 100 ms.
	shares []float64
}

const (
	span          = 150 * time.Second
	lastMinute    = span - time.Minute
	slots         = 4
	work          = 8 * time.Millisecond
	perZone       = 2
	patience      = 200 * time.Millisecond
	latencyWeight = 0.2
)

type read struct {
	zone, instance int
	rank           model.Rank
	at, sent       time.Duration
	outside        bool
}

// database serves reads in the order of their arrival.
type database struct {
	running []*read
	endsAt  []time.Duration
	queue   []*read
}

// instance measures the databases of all zones by its own reads.
type instance struct {
	decider    Decider
	latency    []time.Duration
	answeredAt []time.Duration
	inFlight   []int
	waiting    []*read
}

// simulate runs the zones on virtual time, in steps of a millisecond.
func simulate(seed uint64, l load) []outcome {
	random := rand.New(rand.NewPCG(seed, 1))
	zones := len(l.demand)
	databases := make([]database, zones)
	instances := make([]instance, zones*perZone)
	outcomes := make([]outcome, zones)
	for z := range zones {
		databases[z] = database{running: make([]*read, slots), endsAt: make([]time.Duration, slots)}
		outcomes[z] = outcome{offered: map[model.Rank]int{}, served: map[model.Rank]int{}, outside: map[model.Rank]int{}}
	}
	for i := range instances {
		instances[i].inFlight = make([]int, zones)
		instances[i].latency, instances[i].answeredAt = make([]time.Duration, zones), make([]time.Duration, zones)
		for z := range zones {
			instances[i].latency[z] = work + l.extra(i/perZone, z)
		}
	}
	for now := time.Duration(0); now < span; now += time.Millisecond {
		for z := range databases {
			if l.has(now, z) {
				databases[z].run(random, now, func(r *read) { l.answer(now, z, r, instances, outcomes) })
			}
		}
		for _, i := range random.Perm(len(instances)) {
			home := i / perZone
			mean := l.demand[home] * slots / float64(work/time.Millisecond) / perZone
			for range poisson(random, mean) {
				rank := model.Rank(1)
				if random.Float64() < l.urgent {
					rank = 0
				}
				instances[i].arrive(&read{zone: home, instance: i, rank: rank, at: now})
			}
			l.send(now, i, instances, databases, outcomes)
			if i%perZone == 0 && now%(100*time.Millisecond) == 0 {
				outcomes[home].shares = append(outcomes[home].shares, instances[i].decider.Share())
			}
		}
	}
	return outcomes
}

func (l load) extra(home, z int) time.Duration {
	if home == z {
		return 0
	}
	return l.path
}

// has reports whether a zone has a database at present.
func (l load) has(now time.Duration, z int) bool {
	for _, missing := range l.missing {
		if missing == z {
			return false
		}
	}
	return z != l.lost || now < l.lostAt || now >= l.backAt
}

// run has the database end and begin reads.
func (d *database) run(random *rand.Rand, now time.Duration, answer func(*read)) {
	for slot, r := range d.running {
		if r != nil && now >= d.endsAt[slot] {
			d.running[slot] = nil
			answer(r)
		}
		if d.running[slot] == nil && len(d.queue) > 0 {
			d.running[slot], d.queue = d.queue[0], d.queue[1:]
			d.endsAt[slot] = now + time.Duration(float64(work)*(0.5+random.Float64()))
		}
	}
}

// answer records the answer of a read at its instance.
func (l load) answer(now time.Duration, z int, r *read, instances []instance, outcomes []outcome) {
	in := &instances[r.instance]
	in.inFlight[z]--
	elapsed := now - r.sent + l.extra(r.zone, z)
	in.answeredAt[z] = now
	in.latency[z] += time.Duration(latencyWeight * float64(elapsed-in.latency[z]))
	if now > lastMinute {
		outcomes[r.zone].served[r.rank]++
		outcomes[r.zone].waited += now - r.at + l.extra(r.zone, z)
		if r.outside {
			outcomes[r.zone].outside[r.rank]++
		}
	}
}

// arrive adds a read to the queue, in the order of rank.
func (in *instance) arrive(r *read) {
	at := len(in.waiting)
	for at > 0 && in.waiting[at-1].rank > r.rank {
		at--
	}
	in.waiting = append(in.waiting[:at:at], append([]*read{r}, in.waiting[at:]...)...)
}

// places returns what an instance knows of its zone and of the others, and the best
// database there.
func (l load) places(now time.Duration, home int, in *instance) (here, there Place, best int) {
	here.IsLost, there.IsLost = true, true
	for z := range in.latency {
		if !l.has(now, z) {
			continue
		}
		base := work + l.extra(home, z)
		load := FadedLoad(max(0, in.latency[z]-base), now-in.answeredAt[z])
		place := Place{IsUsable: true, HasRoom: in.inFlight[z] < slots, Wait: base + load, Base: base, Load: load}
		switch {
		case z == home:
			here = place
		case there.IsLost, place.HasRoom && !there.HasRoom, place.HasRoom == there.HasRoom && place.Wait < there.Wait:
			there, best = place, z
		}
	}
	return here, there, best
}

// send sends what waits at an instance, as far as there is room, and drops what has
// waited for too long.
func (l load) send(now time.Duration, i int, instances []instance, databases []database, outcomes []outcome) {
	in, home := &instances[i], i/perZone
	var still []*read
	virtual := time.Unix(1000, 0).Add(now)
	here, there, best := l.places(now, home, in)
	for _, r := range in.waiting {
		if r.at == now {
			if now > lastMinute {
				outcomes[home].offered[r.rank]++
			}
			if _, changed := in.decider.Arrive(virtual, DefaultPrice, r.rank, here, there); changed && now > lastMinute {
				outcomes[home].changes++
			}
		}
		side := in.decider.Choose(DefaultPrice, Read{Rank: r.rank, Waited: now - r.at}, here, there)
		if side == SideNone {
			if now-r.at < patience {
				still = append(still, r)
			}
			continue
		}
		if here.IsUsable {
			in.decider.RecordQueued(virtual, now-r.at)
		}
		target := home
		if side == SideThere {
			target, r.outside = best, true
		}
		r.sent = now
		in.inFlight[target]++
		databases[target].queue = append(databases[target].queue, r)
		here, there, best = l.places(now, home, in)
	}
	in.waiting = still
}

// poisson returns a random number of events with the given mean.
func poisson(random *rand.Rand, mean float64) int {
	count, product, limit := 0, random.Float64(), math.Exp(-mean)
	for product > limit {
		count++
		product *= random.Float64()
	}
	return count
}
