package rank

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// fleet runs several schedulers with delayed messages between them.
type fleet struct {
	now         time.Time
	members     []*member
	deliveries  []*delivery
	lastRequest model.RequestID
	// isPartitioned reports whether messages between two members are lost.
	isPartitioned func(a, b model.InstanceID) bool
}

type member struct {
	id        model.InstanceID
	scheduler *Scheduler
	running   []execution
	// served counts the finished requests by rank.
	served [3]int
}

type execution struct {
	work     Work
	database model.DatabaseID
	endsAt   time.Time
}

// delivery is a message in transit.
type delivery struct {
	from, to  model.InstanceID
	body      message.PeerMessage
	arrivesAt time.Time
}

func newFleet(count int) *fleet {
	f := &fleet{now: start}
	var instances []model.InstanceID
	for i := range count {
		instances = append(instances, model.InstanceID(fmt.Sprint("i", i)))
	}
	for _, id := range instances {
		scheduler := NewScheduler(id)
		scheduler.Configure(start, testManifest())
		scheduler.SetPeers(start, instances)
		f.members = append(f.members, &member{id: id, scheduler: scheduler})
	}
	return f
}

// step advances the time by elapsed: messages arrive in the order in which they
// were sent on each link, requests finish, and every member assigns slots with
// candidates. delay returns the delay of each message, service the service time
// of each request.
func (f *fleet) step(elapsed time.Duration, delay, service func() time.Duration, candidates Candidates) {
	f.now = f.now.Add(elapsed)
	kept := f.deliveries[:0]
	for _, d := range f.deliveries {
		if d.arrivesAt.After(f.now) {
			kept = append(kept, d)
			continue
		}
		f.member(d.to).scheduler.HandlePeerMessage(f.now, d.from, d.body)
	}
	f.deliveries = kept
	for _, m := range f.members {
		m.finish(f.now)
		m.scheduler.TakeExpired(f.now)
		for _, assignment := range m.scheduler.AssignSlots(f.now, candidates) {
			m.running = append(m.running, execution{
				work: m.scheduler.running[assignment.Request].work, database: assignment.Database, endsAt: f.now.Add(service()),
			})
		}
		for _, sent := range m.scheduler.TakeMessages(f.now) {
			if f.isPartitioned != nil && f.isPartitioned(m.id, sent.To) {
				continue
			}
			f.deliveries = append(f.deliveries, &delivery{
				from: m.id, to: sent.To, body: sent.Body, arrivesAt: f.arrival(m.id, sent.To, delay()),
			})
		}
	}
}

// arrival returns when a message sent now arrives: after delay, but not before
// an earlier message on the same link.
func (f *fleet) arrival(from, to model.InstanceID, delay time.Duration) time.Time {
	arrives := f.now.Add(delay)
	for _, d := range f.deliveries {
		if d.from == from && d.to == to && d.arrivesAt.After(arrives) {
			arrives = d.arrivesAt
		}
	}
	return arrives
}

func (f *fleet) member(id model.InstanceID) *member {
	for _, m := range f.members {
		if m.id == id {
			return m
		}
	}
	return nil
}

func (m *member) finish(now time.Time) {
	kept := m.running[:0]
	for _, r := range m.running {
		if r.endsAt.After(now) {
			kept = append(kept, r)
			continue
		}
		m.scheduler.Finish(now, r.work.Request, SlotCompletion{Elapsed: 10 * ms})
		m.served[r.work.Rank]++
	}
	m.running = kept
}

// enqueue enqueues one request at a member, with its deadline timeLimit from now.
func (f *fleet) enqueue(m *member, r model.Rank, timeLimit time.Duration) {
	f.lastRequest++
	request := work(f.lastRequest, r, 0)
	request.Arrived, request.Deadline = f.now, f.now.Add(timeLimit)
	m.scheduler.Enqueue(f.now, request)
}

// runningOn returns the number of requests that all members run on a database.
func (f *fleet) runningOn(id model.DatabaseID) int {
	n := 0
	for _, m := range f.members {
		for _, r := range m.running {
			if r.database == id {
				n++
			}
		}
	}
	return n
}

// TestLeasesNeverExceedSlots checks that all instances together never run more
// requests on a database than its slots plus inTransitRequests, with message
// delays below arbiterTimeout.
func TestLeasesNeverExceedSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(2, 7).Draw(t, "instances"))
		delay := func() time.Duration { return time.Duration(rapid.IntRange(0, 8).Draw(t, "delay")) * ms }
		service := func() time.Duration { return time.Duration(rapid.IntRange(1, 60).Draw(t, "service")) * ms }
		for range 150 {
			for range rapid.IntRange(0, 3).Draw(t, "arrivals") {
				m := f.members[rapid.IntRange(0, len(f.members)-1).Draw(t, "member")]
				f.enqueue(m, model.Rank(rapid.IntRange(0, 2).Draw(t, "rank")), time.Second)
			}
			f.step(time.Duration(rapid.IntRange(1, 5).Draw(t, "elapsed"))*ms, delay, service, candidatesOf("a", "b"))
			for _, id := range []model.DatabaseID{"a", "b"} {
				if n := f.runningOn(id); n > testManifest().Limits.MaxConcurrentStatements+inTransitRequests {
					t.Fatalf("%d requests run on %s", n, id)
				}
			}
		}
	})
}

// TestNoRankStarves floods all instances but one with requests of one rank, and
// enqueues a few requests of each rank at the last one. The last instance must
// serve at least 25 of its 30 requests of each rank that does not flood.
func TestNoRankStarves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(2, 5).Draw(t, "instances"))
		flood := model.Rank(rapid.IntRange(0, 2).Draw(t, "flood"))
		burst := rapid.IntRange(1, 6).Draw(t, "burst")
		delay := func() time.Duration { return ms }
		service := func() time.Duration { return 10 * ms }
		last := f.members[len(f.members)-1]
		for tick := range 750 {
			for _, m := range f.members[:len(f.members)-1] {
				for range burst {
					f.enqueue(m, flood, time.Second)
				}
			}
			if tick < 600 && tick%20 == 0 {
				for r := range model.Rank(3) {
					f.enqueue(last, r, 2*time.Second)
				}
			}
			f.step(2*ms, delay, service, candidatesOf("a"))
		}
		for r, served := range last.served {
			if model.Rank(r) != flood && served < 25 {
				t.Errorf("flood of rank %d: %d of 30 requests of rank %d served", flood, served, r)
			}
		}
	})
}

// TestMeterKeepsShare runs requests of 10 ms whenever a meter allows one, and
// checks that they use slots at the meter's rate.
func TestMeterKeepsShare(t *testing.T) {
	for _, rate := range []float64{0.3, 0.57, 1.14, 2, 2.86} {
		m := meter{updatedAt: start}
		var ends []time.Time
		usedTime := time.Duration(0)
		for now := start; now.Before(after(10 * time.Second)); now = now.Add(ms) {
			for len(ends) > 0 && !now.Before(ends[0]) {
				ends = ends[1:]
			}
			for m.allows(now, rate, len(ends)) {
				ends = append(ends, now.Add(10*ms))
			}
			usedTime += time.Duration(len(ends)) * ms
		}
		if got := usedTime.Seconds() / 10; got < 0.95*rate || got > 1.05*rate {
			t.Errorf("rate %.2f: %.3f slots used", rate, got)
		}
	}
}

// TestPartitionedSidesServe partitions a busy fleet into two sides. The minority is
// the arbiter and the first two members (two or three members, since the arbiter
// may be one of these), so that the majority has to get another arbiter. Once
// SetPeers has set the live instances of each side, each side must serve nearly
// all of its urgent requests, which need less than its share of the slots.
func TestPartitionedSidesServe(t *testing.T) {
	f := newFleet(7)
	arbiter := f.members[0].scheduler.peers.arbiter("g")
	isMinority := map[model.InstanceID]bool{arbiter: true, f.members[0].id: true, f.members[1].id: true}
	delay := func() time.Duration { return ms }
	service := func() time.Duration { return 10 * ms }
	offered := map[bool]int{}
	offerUntil := func(until, gap time.Duration) {
		for ; f.now.Before(after(until)); f.step(2*ms, delay, service, candidatesOf("a")) {
			if sinceStart := f.now.Sub(start); sinceStart%gap == 0 {
				for _, m := range f.members {
					f.enqueue(m, 0, time.Second)
					offered[isMinority[m.id]]++
				}
			}
		}
	}
	offerUntil(2*time.Second, 20*ms)
	f.isPartitioned = func(a, b model.InstanceID) bool { return isMinority[a] != isMinority[b] }
	offerUntil(3*time.Second, 20*ms)
	served := map[bool]int{}
	for _, m := range f.members {
		var side []model.InstanceID
		for _, other := range f.members {
			if isMinority[other.id] == isMinority[m.id] {
				side = append(side, other.id)
			}
		}
		m.scheduler.SetPeers(f.now, side)
		served[isMinority[m.id]] -= m.served[0]
	}
	clear(offered)
	offerUntil(8*time.Second, 50*ms)
	for _, m := range f.members {
		served[isMinority[m.id]] += m.served[0]
	}
	for _, side := range []bool{true, false} {
		if served[side] < offered[side]*95/100 {
			t.Errorf("partitioned side (minority %v) served %d of %d requests", side, served[side], offered[side])
		}
	}
}

// TestConnectionsNeverExceedLimit lets instances join one after another, calls
// SetPeers on the members in any order, and then makes a part of them
// unreachable. The sum of their connection limits must never exceed the budget.
// The first instance starts alone: its joinPeriod passes before the others join,
// and AssignSlots sets its time.
func TestConnectionsNeverExceedLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := testManifest()
		m.Limits.MaxConnections = rapid.IntRange(12, 60).Draw(t, "connections")
		m.Limits.ReservedConnections = rapid.IntRange(0, 3).Draw(t, "reserve")
		budget := m.Limits.MaxConnections - m.Limits.ReservedConnections
		var instances []model.InstanceID
		var schedulers []*Scheduler
		now := start
		for n := range rapid.IntRange(1, min(7, budget-1)).Draw(t, "instances") {
			id := model.InstanceID(fmt.Sprint("i", n))
			instances = append(instances, id)
			s := NewScheduler(id)
			s.Configure(now, m)
			if n == 0 {
				now = now.Add(joinPeriod)
				s.AssignSlots(now, candidatesOf())
			}
			schedulers = append(schedulers, s)
			checkConnectionSum(t, schedulers, budget)
			for _, i := range rapid.Permutation(indexes(len(schedulers))).Draw(t, "order") {
				schedulers[i].SetPeers(now, instances)
				checkConnectionSum(t, schedulers, budget)
			}
			now = now.Add(time.Second)
		}
		reachable := rapid.IntRange(0, len(instances)-1).Draw(t, "reachable")
		for _, s := range schedulers {
			s.SetPeers(now, append([]model.InstanceID{s.self}, instances[:reachable]...))
			checkConnectionSum(t, schedulers, budget)
		}
	})
}

func indexes(count int) []int {
	var numbers []int
	for i := range count {
		numbers = append(numbers, i)
	}
	return numbers
}

func checkConnectionSum(t *rapid.T, schedulers []*Scheduler, budget int) {
	sum := 0
	for _, s := range schedulers {
		sum += s.Connections("a")
	}
	if sum > budget {
		t.Fatalf("%d connections, budget is %d", sum, budget)
	}
}

// TestControlConnectionsFit checks, for two sizes of a deployment, that the
// connection limits and control connections of all instances together fit
// within the connections of one database.
func TestControlConnectionsFit(t *testing.T) {
	cases := map[string]struct{ connections, reserve, instances int }{
		"20 connections, 6 instances": {connections: 20, reserve: 4, instances: 6},
		"30 connections, 7 instances": {connections: 30, reserve: 4, instances: 7},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			m := testManifest()
			m.Limits.MaxConnections, m.Limits.ReservedConnections = c.connections, c.reserve
			var all []model.InstanceID
			for n := range c.instances {
				all = append(all, model.InstanceID(fmt.Sprint("i", n)))
			}
			sum := 0
			for _, id := range all {
				s := NewScheduler(id)
				s.Configure(start, m)
				s.SetPeers(start, all)
				sum += s.Connections("a") + controlConnections
			}
			if sum > c.connections {
				t.Errorf("%d connections, limit is %d", sum, c.connections)
			}
		})
	}
}
