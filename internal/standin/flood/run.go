package flood

import (
	"container/heap"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/eelgrassfold/eelgrassfold/internal/config/manifest"
	"github.com/eelgrassfold/eelgrassfold/internal/core/message"
	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/core/rank"
)

// -----------------------------------------------------------------------------
// Virtual time.

// event is something that happens at a moment.
type event struct {
	at    time.Duration
	order uint64
	run   func()
}

type eventQueue []event

// Len implements heap.Interface.
func (a eventQueue) Len() int { return len(a) }

// Less implements heap.Interface.
func (a eventQueue) Less(i, j int) bool {
	if a[i].at != a[j].at {
		return a[i].at < a[j].at
	}
	return a[i].order < a[j].order
}

// Swap implements heap.Interface.
func (a eventQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

// Push implements heap.Interface.
func (a *eventQueue) Push(x any) { *a = append(*a, x.(event)) }

// Pop implements heap.Interface.
func (a *eventQueue) Pop() any {
	last := len(*a) - 1
	e := (*a)[last]
	(*a)[last] = event{}
	*a = (*a)[:last]
	return e
}

// -----------------------------------------------------------------------------
// The bench.

// scheduler is what the bench asks of an instance.
type scheduler interface {
	Offer(now time.Time, work rank.Work) (rank.Refusal, bool)
	Requeue(now time.Time, request model.RequestID, ending rank.Ending)
	Expired(now time.Time) []model.RequestID
	Grant(now time.Time, candidates rank.Candidates) []rank.Grant
	Finish(now time.Time, request model.RequestID, ending rank.Ending)
	Hear(now time.Time, from model.InstanceID, body message.PeerMessage)
	Messages(now time.Time) []message.SendPeer
}

// origin is the beginning of virtual time.
var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// request is one request on its way.
type request struct {
	id      model.RequestID
	rank    model.Rank
	access  model.Access
	arrived time.Duration
	service time.Duration
	tries   int
	// sent is when the last try was sent.
	sent time.Duration
}

// instance is one instance of the product.
type instance struct {
	id       model.InstanceID
	zone     int
	schedule scheduler
	requests map[model.RequestID]*request
	turn     int
	// down says that the instance has crashed.
	down bool
}

// database has slots, and a first-come-first-served line for what is beyond.
type database struct {
	id      model.DatabaseID
	zone    int
	busy    int
	line    []job
	inUse   int
	failing float64
	slow    float64
}

type job struct {
	from *instance
	req  *request
}

// simulation is the state of a run.
type simulation struct {
	scenario  Scenario
	manifest  *manifest.Manifest
	random    *rand.Rand
	now       time.Duration
	events    eventQueue
	order     uint64
	instances []*instance
	databases []*database
	next      model.RequestID
	result    Result
	worst     [][]time.Duration
	messages  int
	bytes     int
	// held is the slot-time that each rank had, with the way there and back.
	held []time.Duration
	// bins count, for 100 ms of arrival each, what was offered and what was
	// inside the target, by rank.
	bins [][]bin
}

type bin struct{ offered, inside int }

// binTime is the width of the bins from which recovery is found.
const binTime = 100 * time.Millisecond

// Run runs a scenario.
func Run(scenario Scenario) Result {
	sim := newSimulation(scenario)
	for _, i := range sim.instances {
		sim.tick(i)
	}
	for r := range loads {
		sim.arrive(model.Rank(r))
	}
	sim.after(floodStart, func() { sim.breakDatabase() })
	sim.after(floodEnd, func() { sim.mendDatabase() })
	if scenario.Crash {
		sim.after(floodStart, func() { sim.crash() })
	}
	if scenario.Cut || scenario.Crash {
		sim.after(floodStart+noticeTime, func() { sim.notice() })
		sim.after(floodEnd+noticeTime, func() { sim.notice() })
	}
	for len(sim.events) > 0 && sim.events[0].at < runEnd {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.run()
	}
	return sim.finish()
}

func newSimulation(scenario Scenario) *simulation {
	sim := &simulation{
		scenario: scenario,
		manifest: Manifest(scenario.Place),
		random:   rand.New(rand.NewPCG(scenario.Seed, 1)),
	}
	sim.result = Result{Scenario: scenario, Ranks: make([]RankResult, len(loads))}
	sim.held = make([]time.Duration, len(loads))
	sim.worst = make([][]time.Duration, len(loads))
	for range loads {
		sim.bins = append(sim.bins, make([]bin, runEnd/binTime+1))
	}
	for i := range scenario.Place.Databases {
		sim.databases = append(sim.databases, &database{id: databaseName(i), zone: i % scenario.Place.Zones, slow: 1})
	}
	var ids []model.InstanceID
	for i := range scenario.Place.Instances {
		ids = append(ids, model.InstanceID("instance-"+string(rune('1'+i))))
	}
	for i, id := range ids {
		sim.instances = append(sim.instances, &instance{
			id: id, zone: i % scenario.Place.Zones, schedule: newScheduler(scenario, id, sim.manifest, ids),
			requests: map[model.RequestID]*request{},
		})
	}
	return sim
}

func newScheduler(scenario Scenario, id model.InstanceID, m *manifest.Manifest, all []model.InstanceID) scheduler {
	if scenario.Way == Baseline {
		return newBaseline(m, len(all))
	}
	var options []rank.Option
	if scenario.FixedLimits {
		options = append(options, rank.WithFixedLimits())
	}
	s := rank.NewScheduler(id, options...)
	s.Configure(origin, m)
	s.SetPeers(origin, all)
	return s
}

// after lets something happen later.
func (sim *simulation) after(delay time.Duration, run func()) {
	sim.order++
	heap.Push(&sim.events, event{at: sim.now + delay, order: sim.order, run: run})
}

func (sim *simulation) clock() time.Time { return origin.Add(sim.now) }

func (sim *simulation) isFlooding() bool { return sim.now >= floodStart && sim.now < floodEnd }

func (sim *simulation) broken() *database {
	if sim.scenario.SlowPrimary {
		return sim.databases[0]
	}
	return sim.databases[len(sim.databases)-1]
}

func (sim *simulation) breakDatabase() {
	sim.broken().failing = sim.scenario.Failing
	sim.broken().slow = max(1, sim.scenario.Slow)
}

// isCut reports whether no message passes between two instances.
func (sim *simulation) isCut(a, b *instance) bool {
	if a.down || b.down {
		return true
	}
	return sim.scenario.Cut && sim.isFlooding() && (a.zone == 0) != (b.zone == 0)
}

// noticeTime is how long instances take to notice that peers are gone or back.
const noticeTime = time.Second

// notice tells each instance which peers it can hear.
func (sim *simulation) notice() {
	for _, i := range sim.instances {
		s, ok := i.schedule.(*rank.Scheduler)
		if !ok {
			return
		}
		var live []model.InstanceID
		for _, other := range sim.instances {
			if other == i || !sim.isCut(i, other) {
				live = append(live, other.id)
			}
		}
		s.SetPeers(sim.clock(), live)
	}
}

// crash lets the instance crash that leases the slots.
func (sim *simulation) crash() {
	if s, ok := sim.instances[0].schedule.(*rank.Scheduler); ok {
		arbiter := s.Report(sim.clock()).Groups[0].Arbiter
		for _, i := range sim.instances {
			i.down = i.id == arbiter
		}
	}
}

func (sim *simulation) mendDatabase() {
	sim.broken().failing = 0
	sim.broken().slow = 1
}

// delay returns the one-way delay between two availability zones.
func (sim *simulation) delay(a, b int) time.Duration {
	if a == b {
		return nearDelay
	}
	return sim.scenario.Place.Delay
}

// -----------------------------------------------------------------------------
// Arrivals.

// arrive plans the next arrival of a rank.
func (sim *simulation) arrive(r model.Rank) {
	gap := sim.random.ExpFloat64() / sim.scenario.arrivals(r, sim.isFlooding())
	wait := time.Duration(gap * float64(time.Second))
	// The rate changes when the flood begins or ends; the process has no
	// memory, so that it may be drawn anew there.
	for _, change := range []time.Duration{floodStart, floodEnd} {
		if sim.now < change && sim.now+wait > change {
			sim.after(change-sim.now, func() { sim.arrive(r) })
			return
		}
	}
	sim.after(wait, func() {
		sim.offer(r)
		sim.arrive(r)
	})
}

// offer lets one request arrive.
func (sim *simulation) offer(r model.Rank) {
	sim.next++
	access := model.AccessRead
	if sim.random.Float64() < writeShare {
		access = model.AccessWrite
	}
	service := time.Duration((0.5 + 0.5*sim.random.ExpFloat64()) * float64(loads[r].mean))
	req := &request{id: sim.next, rank: r, access: access, arrived: sim.now, service: service}
	at := sim.instances[sim.random.IntN(len(sim.instances))]
	for at.down {
		at = sim.instances[sim.random.IntN(len(sim.instances))]
	}
	if sim.scenario.Skewed && sim.isFlooding() && r == sim.scenario.Rank {
		at = sim.instances[0]
	}
	sim.bins[r][sim.now/binTime].offered++
	kind := sim.manifest.Ranks[r].Name + "-" + access.String()
	var limit time.Duration
	for _, k := range sim.manifest.Kinds {
		if k.Name == kind {
			limit = k.Deadline
		}
	}
	work := rank.Work{
		Request: req.id, Group: "group", Rank: r, Caller: model.CallerID(rune('A' + sim.random.IntN(20))), Kind: kind,
		Arrived: sim.clock(), Deadline: sim.clock().Add(limit),
	}
	if _, ok := at.schedule.Offer(sim.clock(), work); !ok {
		sim.end(req, outcomeRefused)
		return
	}
	at.requests[req.id] = req
	sim.step(at)
}

// -----------------------------------------------------------------------------
// Instances.

// tick lets an instance step even when nothing happens.
func (sim *simulation) tick(i *instance) {
	sim.step(i)
	sim.after(tickTime, func() { sim.tick(i) })
}

// step lets an instance decide.
func (sim *simulation) step(i *instance) {
	if i.down {
		return
	}
	for _, id := range i.schedule.Expired(sim.clock()) {
		sim.end(i.requests[id], outcomeRefused)
		delete(i.requests, id)
	}
	grants := i.schedule.Grant(sim.clock(), func(work rank.Work) []model.DatabaseID { return sim.candidates(i, work) })
	for _, grant := range grants {
		sim.send(i, i.requests[grant.Request], grant.Database)
	}
	for _, sent := range i.schedule.Messages(sim.clock()) {
		sim.pass(i, sent)
	}
}

// candidates names the primary for writes; for reads the replicas, in turns,
// and the primary last.
func (sim *simulation) candidates(i *instance, work rank.Work) []model.DatabaseID {
	if i.requests[work.Request].access == model.AccessWrite {
		return []model.DatabaseID{sim.databases[0].id}
	}
	i.turn++
	replicas := len(sim.databases) - 1
	var list []model.DatabaseID
	for n := range replicas {
		list = append(list, sim.databases[1+(i.turn+n)%replicas].id)
	}
	return append(list, sim.databases[0].id)
}

// pass carries a message to a peer.
func (sim *simulation) pass(i *instance, sent message.SendPeer) {
	sim.messages++
	if body, err := msgpack.Marshal(sent.Body); err == nil {
		sim.bytes += len(body)
	}
	for _, to := range sim.instances {
		if to.id == sent.To && !sim.isCut(i, to) {
			sim.after(sim.delay(i.zone, to.zone), func() {
				to.schedule.Hear(sim.clock(), i.id, sent.Body)
				sim.step(to)
			})
		}
	}
}

// send carries a request to a database.
func (sim *simulation) send(i *instance, req *request, id model.DatabaseID) {
	for _, d := range sim.databases {
		if d.id != id {
			continue
		}
		d.inUse++
		req.sent = sim.now
		sim.result.Beyond = max(sim.result.Beyond, d.inUse-sim.scenario.Place.Slots)
		sim.after(sim.delay(i.zone, d.zone), func() { sim.receive(d, job{from: i, req: req}) })
	}
}

// -----------------------------------------------------------------------------
// Databases.

// failTime is how soon a failing database answers.
const failTime = time.Millisecond

// receive lets a request run, or wait in line for a slot.
func (sim *simulation) receive(d *database, j job) {
	if d.busy >= sim.scenario.Place.Slots {
		d.line = append(d.line, j)
		return
	}
	d.busy++
	failed := d.failing > 0 && sim.random.Float64() < d.failing
	took := time.Duration(float64(j.req.service) * d.slow)
	if failed {
		took = failTime
	}
	sim.after(took, func() { sim.answer(d, j, failed) })
}

// answer ends a request at the database and carries the answer back.
func (sim *simulation) answer(d *database, j job, failed bool) {
	d.busy--
	if len(d.line) > 0 {
		next := d.line[0]
		d.line = d.line[1:]
		sim.receive(d, next)
	}
	sim.after(sim.delay(d.zone, j.from.zone), func() {
		d.inUse--
		sim.answered(j, failed)
	})
}

// maxTries bounds the tries of a request that a database fails.
const maxTries = 3

// answered takes an answer in at the instance.
func (sim *simulation) answered(j job, failed bool) {
	if j.from.down {
		sim.end(j.req, outcomeFailed)
		return
	}
	j.req.tries++
	ending := rank.Ending{Elapsed: sim.now - j.req.sent, Failed: failed}
	if sim.now >= sim.scenario.countedFrom() && sim.now < floodEnd {
		sim.held[j.req.rank] += sim.now - j.req.sent
	}
	switch {
	case failed && j.req.tries < maxTries && sim.mayRetry(j.from):
		j.from.schedule.Requeue(sim.clock(), j.req.id, ending)
	case failed:
		j.from.schedule.Finish(sim.clock(), j.req.id, ending)
		delete(j.from.requests, j.req.id)
		sim.end(j.req, outcomeFailed)
	default:
		j.from.schedule.Finish(sim.clock(), j.req.id, ending)
		delete(j.from.requests, j.req.id)
		sim.end(j.req, outcomeServed)
	}
	sim.step(j.from)
}

// mayRetry asks the instance's retry budget; the baseline has none.
func (sim *simulation) mayRetry(i *instance) bool {
	s, ok := i.schedule.(*rank.Scheduler)
	return !ok || s.AllowRetry(sim.clock(), "group")
}

// -----------------------------------------------------------------------------
// Figures.

type outcome int

const (
	outcomeServed outcome = iota
	outcomeRefused
	outcomeFailed
)

// end counts what became of a request.
func (sim *simulation) end(req *request, what outcome) {
	latency := sim.now - req.arrived
	inside := what == outcomeServed && latency <= sim.manifest.Ranks[req.rank].Target
	if inside {
		sim.bins[req.rank][req.arrived/binTime].inside++
	}
	if req.arrived < sim.scenario.countedFrom() || req.arrived >= floodEnd {
		return
	}
	r := &sim.result.Ranks[req.rank]
	switch {
	case inside:
		r.Inside++
	case what == outcomeServed:
		r.Late++
	case what == outcomeRefused:
		r.Refused++
	default:
		r.Failed++
	}
	if what == outcomeServed {
		sim.worst[req.rank] = append(sim.worst[req.rank], latency)
	}
}

// finish works the figures out.
func (sim *simulation) finish() Result {
	from := sim.scenario.countedFrom()
	span := floodEnd - from
	first, last := int(from/binTime), int(floodEnd/binTime)
	sim.result.UsefulBy = make([]float64, len(loads))
	sim.result.OfferedBy = make([]float64, len(loads))
	worth := 0.0
	for r := range loads {
		result := &sim.result.Ranks[r]
		for _, b := range sim.bins[r][first:last] {
			result.Offered += b.offered
		}
		slot := loads[r].mean.Seconds() / (sim.scenario.capacity() * span.Seconds())
		sim.result.UsefulBy[r] = float64(result.Inside) * slot
		sim.result.OfferedBy[r] = float64(result.Offered) * slot
		sim.result.Useful += sim.result.UsefulBy[r]
		worth += float64(result.Inside) * sim.manifest.Ranks[r].Worth
		result.Worst = percentile(sim.worst[r], 0.99)
	}
	sim.result.HeldBy = shares(sim.held)
	sim.result.Worth = worth / sim.best()
	sim.result.Recovery = sim.recovery()
	sim.result.Messages = float64(sim.messages) / runEnd.Seconds() / float64(len(sim.instances))
	sim.result.Bytes = float64(sim.bytes) / runEnd.Seconds() / float64(len(sim.instances))
	return sim.result
}

// shares returns the parts of a sum.
func shares(amounts []time.Duration) []float64 {
	sum := time.Duration(1)
	for _, amount := range amounts {
		sum += amount
	}
	var parts []float64
	for _, amount := range amounts {
		parts = append(parts, float64(amount)/float64(sum))
	}
	return parts
}

// best returns the worth of serving the most worth for its slot-time first, up
// to the capacity.
func (sim *simulation) best() float64 {
	order := make([]int, len(loads))
	for r := range order {
		order[r] = r
	}
	value := func(r int) float64 { return sim.manifest.Ranks[r].Worth / loads[r].mean.Seconds() }
	sort.Slice(order, func(i, j int) bool { return value(order[i]) > value(order[j]) })
	left, sum := 1.0, 0.0
	for _, r := range order {
		part := min(left, sim.result.OfferedBy[r])
		left -= part
		if sim.result.OfferedBy[r] > 0 {
			sum += part / sim.result.OfferedBy[r] * float64(sim.result.Ranks[r].Offered) * sim.manifest.Ranks[r].Worth
		}
	}
	return sum
}

// recovery returns the time from the end of the flood to the first bin from
// which on a second's arrivals are answered inside their targets.
func (sim *simulation) recovery() time.Duration {
	end := int(floodEnd / binTime)
	for from := end; from < int(runEnd/binTime)-25; from++ {
		if sim.isWell(from, from+10) {
			return time.Duration(from-end) * binTime
		}
	}
	return -1
}

func (sim *simulation) isWell(from, to int) bool {
	for r := range loads {
		var sum bin
		for _, b := range sim.bins[r][from:to] {
			sum.offered += b.offered
			sum.inside += b.inside
		}
		if float64(sum.inside) < 0.99*float64(sum.offered) {
			return false
		}
	}
	return true
}

func percentile(all []time.Duration, part float64) time.Duration {
	if len(all) == 0 {
		return 0
	}
	sort.Slice(all, func(i, j int) bool { return all[i] < all[j] })
	return all[int(part*float64(len(all)-1))]
}
