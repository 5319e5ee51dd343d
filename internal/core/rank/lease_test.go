package rank

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// fleet is several schedulers with delayed messages between them.
type fleet struct {
	now        time.Time
	members    []*member
	deliveries []*delivery
	next       model.RequestID
	// cut tells whether no message passes between two members.
	cut func(a, b model.InstanceID) bool
}

type member struct {
	id      model.InstanceID
	s       *Scheduler
	running []execution
	// served counts what ended by rank.
	served [3]int
}

type execution struct {
	work     Work
	database model.DatabaseID
	ends     time.Time
}

// delivery is a message on its way.
type delivery struct {
	from, to model.InstanceID
	body     message.PeerMessage
	arrives  time.Time
}

func newFleet(count int) *fleet {
	f := &fleet{now: start}
	var all []model.InstanceID
	for i := range count {
		all = append(all, model.InstanceID(fmt.Sprint("i", i)))
	}
	for _, id := range all {
		s := NewScheduler(id)
		s.Configure(start, testManifest())
		s.SetPeers(start, all)
		f.members = append(f.members, &member{id: id, s: s})
	}
	return f
}

// step lets time pass: answers come in, messages arrive in the order in which
// each was sent, and every member grants. The delay of each message and the
// service time of each work come from the functions.
func (f *fleet) step(elapsed time.Duration, delay, service func() time.Duration, candidates Candidates) {
	f.now = f.now.Add(elapsed)
	kept := f.deliveries[:0]
	for _, p := range f.deliveries {
		if p.arrives.After(f.now) {
			kept = append(kept, p)
			continue
		}
		f.member(p.to).s.HandlePeerMessage(f.now, p.from, p.body)
	}
	f.deliveries = kept
	for _, m := range f.members {
		m.finish(f.now)
		m.s.TakeExpired(f.now)
		for _, grant := range m.s.AssignSlots(f.now, candidates) {
			m.running = append(m.running, execution{
				work: m.s.running[grant.Request].work, database: grant.Database, ends: f.now.Add(service()),
			})
		}
		for _, sent := range m.s.TakeMessages(f.now) {
			if f.cut != nil && f.cut(m.id, sent.To) {
				continue
			}
			f.deliveries = append(f.deliveries, &delivery{from: m.id, to: sent.To, body: sent.Body, arrives: f.arrival(m.id, sent.To, delay())})
		}
	}
}

// arrival keeps the order of a link.
func (f *fleet) arrival(from, to model.InstanceID, delay time.Duration) time.Time {
	at := f.now.Add(delay)
	for _, p := range f.deliveries {
		if p.from == from && p.to == to && p.arrives.After(at) {
			at = p.arrives
		}
	}
	return at
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
		if r.ends.After(now) {
			kept = append(kept, r)
			continue
		}
		m.s.Finish(now, r.work.Request, SlotCompletion{Elapsed: 10 * ms})
		m.served[r.work.Rank]++
	}
	m.running = kept
}

// offer offers one work to a member.
func (f *fleet) offer(m *member, r model.Rank, deadline time.Duration) {
	f.next++
	w := work(f.next, r, 0)
	w.Arrived, w.Deadline = f.now, f.now.Add(deadline)
	m.s.Enqueue(f.now, w)
}

// busy counts what all members run on a database.
func (f *fleet) busy(id model.DatabaseID) int {
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

// TestLeasesNeverExceedSlots checks, with any delays below the patience of a
// holder, that all instances together never run more on a database than its
// slots and what may be on the way.
func TestLeasesNeverExceedSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(2, 7).Draw(t, "instances"))
		delay := func() time.Duration { return time.Duration(rapid.IntRange(0, 8).Draw(t, "delay")) * ms }
		service := func() time.Duration { return time.Duration(rapid.IntRange(1, 60).Draw(t, "service")) * ms }
		for range 150 {
			for range rapid.IntRange(0, 3).Draw(t, "arrivals") {
				m := f.members[rapid.IntRange(0, len(f.members)-1).Draw(t, "at")]
				f.offer(m, model.Rank(rapid.IntRange(0, 2).Draw(t, "rank")), time.Second)
			}
			f.step(time.Duration(rapid.IntRange(1, 5).Draw(t, "elapsed"))*ms, delay, service, on("a", "b"))
			for _, id := range []model.DatabaseID{"a", "b"} {
				if n := f.busy(id); n > testManifest().Limits.MaxConcurrentStatements+slotsAhead {
					t.Fatalf("%d requests on %s", n, id)
				}
			}
		}
	})
}

// TestNoRankStarves floods all instances but one with one rank, and offers a
// trickle of each rank at the last one. The ranks that do not flood must be
// served there.
func TestNoRankStarves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(2, 5).Draw(t, "instances"))
		flood := model.Rank(rapid.IntRange(0, 2).Draw(t, "flood"))
		width := rapid.IntRange(1, 6).Draw(t, "width")
		still := func() time.Duration { return ms }
		service := func() time.Duration { return 10 * ms }
		last := f.members[len(f.members)-1]
		for n := range 750 {
			for _, m := range f.members[:len(f.members)-1] {
				for range width {
					f.offer(m, flood, time.Second)
				}
			}
			if n < 600 && n%20 == 0 {
				for r := range model.Rank(3) {
					f.offer(last, r, 2*time.Second)
				}
			}
			f.step(2*ms, still, service, on("a"))
		}
		for r, served := range last.served {
			if model.Rank(r) != flood && served < 25 {
				t.Errorf("flood of rank %d: %d of 30 of rank %d served", flood, served, r)
			}
		}
	})
}

// TestMeterKeepsShare uses a meter whenever it allows, with requests of 10 ms.
func TestMeterKeepsShare(t *testing.T) {
	for _, rate := range []float64{0.3, 0.57, 1.14, 2, 2.86} {
		m := meter{since: start}
		var ends []time.Time
		used := time.Duration(0)
		for now := start; now.Before(after(10 * time.Second)); now = now.Add(ms) {
			for len(ends) > 0 && !now.Before(ends[0]) {
				ends = ends[1:]
			}
			for m.allows(now, rate, len(ends)) {
				ends = append(ends, now.Add(10*ms))
			}
			used += time.Duration(len(ends)) * ms
		}
		if got := used.Seconds() / 10; got < 0.95*rate || got > 1.05*rate {
			t.Errorf("rate %.2f: %.3f slots used", rate, got)
		}
	}
}

// TestCutOffSidesServe cuts a busy fleet in two. Each side must serve nearly all
// of its urgent work, which is less than its part of the slots, once it has
// noticed.
func TestCutOffSidesServe(t *testing.T) {
	f := newFleet(7)
	arbiter := f.members[0].s.peers.arbiter("g")
	few := map[model.InstanceID]bool{arbiter: true, f.members[0].id: true, f.members[1].id: true}
	still := func() time.Duration { return ms }
	service := func() time.Duration { return 10 * ms }
	offered := map[bool]int{}
	run := func(until, gap time.Duration) {
		for ; f.now.Before(after(until)); f.step(2*ms, still, service, on("a")) {
			if elapsed := f.now.Sub(start); elapsed%gap == 0 {
				for _, m := range f.members {
					f.offer(m, 0, time.Second)
					offered[few[m.id]]++
				}
			}
		}
	}
	run(2*time.Second, 20*ms)
	f.cut = func(a, b model.InstanceID) bool { return few[a] != few[b] }
	run(3*time.Second, 20*ms)
	served := map[bool]int{}
	for _, m := range f.members {
		var side []model.InstanceID
		for _, other := range f.members {
			if few[other.id] == few[m.id] {
				side = append(side, other.id)
			}
		}
		m.s.SetPeers(f.now, side)
		served[few[m.id]] -= m.served[0]
	}
	clear(offered)
	run(8*time.Second, 50*ms)
	for _, m := range f.members {
		served[few[m.id]] += m.served[0]
	}
	for _, side := range []bool{true, false} {
		if served[side] < offered[side]*95/100 {
			t.Errorf("cut-off side %v served %d of %d", side, served[side], offered[side])
		}
	}
}

// TestConnectionsNeverExceedLimit lets instances join one after another, with
// each step learnt late by any of them, and checks the sum of the budgets.
func TestConnectionsNeverExceedLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := testManifest()
		m.Limits.MaxConnections = rapid.IntRange(12, 60).Draw(t, "connections")
		m.Limits.ReservedConnections = rapid.IntRange(0, 3).Draw(t, "reserve")
		budget := m.Limits.MaxConnections - m.Limits.ReservedConnections
		var all []model.InstanceID
		var schedulers []*Scheduler
		now := start
		for n := range rapid.IntRange(1, min(7, budget-1)).Draw(t, "instances") {
			id := model.InstanceID(fmt.Sprint("i", n))
			all = append(all, id)
			s := NewScheduler(id)
			s.Configure(now, m)
			if n == 0 {
				now = now.Add(joinTime)
				s.AssignSlots(now, on())
			}
			schedulers = append(schedulers, s)
			checkBudget(t, schedulers, budget)
			for _, i := range rapid.Permutation(indexes(len(schedulers))).Draw(t, "order") {
				schedulers[i].SetPeers(now, all)
				checkBudget(t, schedulers, budget)
			}
			now = now.Add(time.Second)
		}
		gone := rapid.IntRange(0, len(all)-1).Draw(t, "gone")
		for _, s := range schedulers {
			s.SetPeers(now, append([]model.InstanceID{s.self}, all[:gone]...))
			checkBudget(t, schedulers, budget)
		}
	})
}

func indexes(count int) []int {
	var all []int
	for i := range count {
		all = append(all, i)
	}
	return all
}

func checkBudget(t *rapid.T, schedulers []*Scheduler, budget int) {
	sum := 0
	for _, s := range schedulers {
		sum += s.Connections("a")
	}
	if sum > budget {
		t.Fatalf("%d connections of %d", sum, budget)
	}
}

// TestControlConnectionsFit counts what the instances of both deployments hold
// to one database together: their budgets and their control connections.
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
				t.Errorf("%d connections of %d", sum, c.connections)
			}
		})
	}
}
