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

type agenda []event

// Len implements heap.Interface.
func (a agenda) Len() int { return len(a) }

// Less implements heap.Interface.
func (a agenda) Less(i, j int) bool {
	if a[i].at != a[j].at {
		return a[i].at < a[j].at
	}
	return a[i].order < a[j].order
}

// Swap implements heap.Interface.
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

// Push implements heap.Interface.
func (a *agenda) Push(x any) { *a = append(*a, x.(event)) }

// Pop implements heap.Interface.
func (a *agenda) Pop() any {
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

// world is the state of a run.
type world struct {
	scenario  Scenario
	manifest  *manifest.Manifest
	random    *rand.Rand
	now       time.Duration
	agenda    agenda
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
	w := newWorld(scenario)
	for _, i := range w.instances {
		w.tick(i)
	}
	for r := range loads {
		w.arrive(model.Rank(r))
	}
	w.after(floodStart, func() { w.breakDatabase() })
	w.after(floodEnd, func() { w.mendDatabase() })
	if scenario.Crash {
		w.after(floodStart, func() { w.crash() })
	}
	if scenario.Cut || scenario.Crash {
		w.after(floodStart+noticeTime, func() { w.notice() })
		w.after(floodEnd+noticeTime, func() { w.notice() })
	}
	for len(w.agenda) > 0 && w.agenda[0].at < runEnd {
		e := heap.Pop(&w.agenda).(event)
		w.now = e.at
		e.run()
	}
	return w.finish()
}

func newWorld(scenario Scenario) *world {
	w := &world{
		scenario: scenario,
		manifest: Manifest(scenario.Place),
		random:   rand.New(rand.NewPCG(scenario.Seed, 1)),
	}
	w.result = Result{Scenario: scenario, Ranks: make([]RankResult, len(loads))}
	w.held = make([]time.Duration, len(loads))
	w.worst = make([][]time.Duration, len(loads))
	for range loads {
		w.bins = append(w.bins, make([]bin, runEnd/binTime+1))
	}
	for i := range scenario.Place.Databases {
		w.databases = append(w.databases, &database{id: databaseName(i), zone: i % scenario.Place.Zones, slow: 1})
	}
	var ids []model.InstanceID
	for i := range scenario.Place.Instances {
		ids = append(ids, model.InstanceID("instance-"+string(rune('1'+i))))
	}
	for i, id := range ids {
		w.instances = append(w.instances, &instance{
			id: id, zone: i % scenario.Place.Zones, schedule: newScheduler(scenario, id, w.manifest, ids),
			requests: map[model.RequestID]*request{},
		})
	}
	return w
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
func (w *world) after(delay time.Duration, run func()) {
	w.order++
	heap.Push(&w.agenda, event{at: w.now + delay, order: w.order, run: run})
}

func (w *world) clock() time.Time { return origin.Add(w.now) }

func (w *world) isFlooding() bool { return w.now >= floodStart && w.now < floodEnd }

func (w *world) broken() *database {
	if w.scenario.SlowPrimary {
		return w.databases[0]
	}
	return w.databases[len(w.databases)-1]
}

func (w *world) breakDatabase() {
	w.broken().failing = w.scenario.Failing
	w.broken().slow = max(1, w.scenario.Slow)
}

// isCut reports whether no message passes between two instances.
func (w *world) isCut(a, b *instance) bool {
	if a.down || b.down {
		return true
	}
	return w.scenario.Cut && w.isFlooding() && (a.zone == 0) != (b.zone == 0)
}

// noticeTime is how long instances take to notice that peers are gone or back.
const noticeTime = time.Second

// notice tells each instance which peers it can hear.
func (w *world) notice() {
	for _, i := range w.instances {
		s, ok := i.schedule.(*rank.Scheduler)
		if !ok {
			return
		}
		var live []model.InstanceID
		for _, other := range w.instances {
			if other == i || !w.isCut(i, other) {
				live = append(live, other.id)
			}
		}
		s.SetPeers(w.clock(), live)
	}
}

// crash lets the instance crash that leases the slots.
func (w *world) crash() {
	if s, ok := w.instances[0].schedule.(*rank.Scheduler); ok {
		arbiter := s.Report(w.clock()).Groups[0].Arbiter
		for _, i := range w.instances {
			i.down = i.id == arbiter
		}
	}
}

func (w *world) mendDatabase() {
	w.broken().failing = 0
	w.broken().slow = 1
}

// delay returns the one-way delay between two availability zones.
func (w *world) delay(a, b int) time.Duration {
	if a == b {
		return nearDelay
	}
	return w.scenario.Place.Delay
}

// -----------------------------------------------------------------------------
// Arrivals.

// arrive plans the next arrival of a rank.
func (w *world) arrive(r model.Rank) {
	gap := w.random.ExpFloat64() / w.scenario.arrivals(r, w.isFlooding())
	wait := time.Duration(gap * float64(time.Second))
	// The rate changes when the flood begins or ends; the process has no
	// memory, so that it may be drawn anew there.
	for _, change := range []time.Duration{floodStart, floodEnd} {
		if w.now < change && w.now+wait > change {
			w.after(change-w.now, func() { w.arrive(r) })
			return
		}
	}
	w.after(wait, func() {
		w.offer(r)
		w.arrive(r)
	})
}

// offer lets one request arrive.
func (w *world) offer(r model.Rank) {
	w.next++
	access := model.AccessRead
	if w.random.Float64() < writeShare {
		access = model.AccessWrite
	}
	service := time.Duration((0.5 + 0.5*w.random.ExpFloat64()) * float64(loads[r].mean))
	req := &request{id: w.next, rank: r, access: access, arrived: w.now, service: service}
	at := w.instances[w.random.IntN(len(w.instances))]
	for at.down {
		at = w.instances[w.random.IntN(len(w.instances))]
	}
	if w.scenario.Skewed && w.isFlooding() && r == w.scenario.Rank {
		at = w.instances[0]
	}
	w.bins[r][w.now/binTime].offered++
	kind := w.manifest.Ranks[r].Name + "-" + access.String()
	var limit time.Duration
	for _, k := range w.manifest.Kinds {
		if k.Name == kind {
			limit = k.Deadline
		}
	}
	work := rank.Work{
		Request: req.id, Group: "group", Rank: r, Caller: model.CallerID(rune('A' + w.random.IntN(20))), Kind: kind,
		Arrived: w.clock(), Deadline: w.clock().Add(limit),
	}
	if _, ok := at.schedule.Offer(w.clock(), work); !ok {
		w.end(req, outcomeRefused)
		return
	}
	at.requests[req.id] = req
	w.step(at)
}

// -----------------------------------------------------------------------------
// Instances.

// tick lets an instance step even when nothing happens.
func (w *world) tick(i *instance) {
	w.step(i)
	w.after(tickTime, func() { w.tick(i) })
}

// step lets an instance decide.
func (w *world) step(i *instance) {
	if i.down {
		return
	}
	for _, id := range i.schedule.Expired(w.clock()) {
		w.end(i.requests[id], outcomeRefused)
		delete(i.requests, id)
	}
	grants := i.schedule.Grant(w.clock(), func(work rank.Work) []model.DatabaseID { return w.candidates(i, work) })
	for _, grant := range grants {
		w.send(i, i.requests[grant.Request], grant.Database)
	}
	for _, sent := range i.schedule.Messages(w.clock()) {
		w.pass(i, sent)
	}
}

// candidates names the primary for writes; for reads the replicas, in turns,
// and the primary last.
func (w *world) candidates(i *instance, work rank.Work) []model.DatabaseID {
	if i.requests[work.Request].access == model.AccessWrite {
		return []model.DatabaseID{w.databases[0].id}
	}
	i.turn++
	replicas := len(w.databases) - 1
	var list []model.DatabaseID
	for n := range replicas {
		list = append(list, w.databases[1+(i.turn+n)%replicas].id)
	}
	return append(list, w.databases[0].id)
}

// pass carries a message to a peer.
func (w *world) pass(i *instance, sent message.SendPeer) {
	w.messages++
	if body, err := msgpack.Marshal(sent.Body); err == nil {
		w.bytes += len(body)
	}
	for _, to := range w.instances {
		if to.id == sent.To && !w.isCut(i, to) {
			w.after(w.delay(i.zone, to.zone), func() {
				to.schedule.Hear(w.clock(), i.id, sent.Body)
				w.step(to)
			})
		}
	}
}

// send carries a request to a database.
func (w *world) send(i *instance, req *request, id model.DatabaseID) {
	for _, d := range w.databases {
		if d.id != id {
			continue
		}
		d.inUse++
		req.sent = w.now
		w.result.Beyond = max(w.result.Beyond, d.inUse-w.scenario.Place.Slots)
		w.after(w.delay(i.zone, d.zone), func() { w.receive(d, job{from: i, req: req}) })
	}
}

// -----------------------------------------------------------------------------
// Databases.

// failTime is how soon a failing database answers.
const failTime = time.Millisecond

// receive lets a request run, or wait in line for a slot.
func (w *world) receive(d *database, j job) {
	if d.busy >= w.scenario.Place.Slots {
		d.line = append(d.line, j)
		return
	}
	d.busy++
	failed := d.failing > 0 && w.random.Float64() < d.failing
	took := time.Duration(float64(j.req.service) * d.slow)
	if failed {
		took = failTime
	}
	w.after(took, func() { w.answer(d, j, failed) })
}

// answer ends a request at the database and carries the answer back.
func (w *world) answer(d *database, j job, failed bool) {
	d.busy--
	if len(d.line) > 0 {
		next := d.line[0]
		d.line = d.line[1:]
		w.receive(d, next)
	}
	w.after(w.delay(d.zone, j.from.zone), func() {
		d.inUse--
		w.answered(j, failed)
	})
}

// maxTries bounds the tries of a request that a database fails.
const maxTries = 3

// answered takes an answer in at the instance.
func (w *world) answered(j job, failed bool) {
	if j.from.down {
		w.end(j.req, outcomeFailed)
		return
	}
	j.req.tries++
	ending := rank.Ending{Elapsed: w.now - j.req.sent, Failed: failed}
	if w.now >= floodStart+settleTime && w.now < floodEnd {
		w.held[j.req.rank] += w.now - j.req.sent
	}
	switch {
	case failed && j.req.tries < maxTries && w.mayRetry(j.from):
		j.from.schedule.Requeue(w.clock(), j.req.id, ending)
	case failed:
		j.from.schedule.Finish(w.clock(), j.req.id, ending)
		delete(j.from.requests, j.req.id)
		w.end(j.req, outcomeFailed)
	default:
		j.from.schedule.Finish(w.clock(), j.req.id, ending)
		delete(j.from.requests, j.req.id)
		w.end(j.req, outcomeServed)
	}
	w.step(j.from)
}

// mayRetry asks the instance's retry budget; the baseline has none.
func (w *world) mayRetry(i *instance) bool {
	s, ok := i.schedule.(*rank.Scheduler)
	return !ok || s.AllowRetry(w.clock(), "group")
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
func (w *world) end(req *request, what outcome) {
	latency := w.now - req.arrived
	inside := what == outcomeServed && latency <= w.manifest.Ranks[req.rank].Target
	if inside {
		w.bins[req.rank][req.arrived/binTime].inside++
	}
	if req.arrived < floodStart+settleTime || req.arrived >= floodEnd {
		return
	}
	r := &w.result.Ranks[req.rank]
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
		w.worst[req.rank] = append(w.worst[req.rank], latency)
	}
}

// finish works the figures out.
func (w *world) finish() Result {
	span := floodEnd - floodStart - settleTime
	first, last := int((floodStart+settleTime)/binTime), int(floodEnd/binTime)
	w.result.UsefulBy = make([]float64, len(loads))
	w.result.OfferedBy = make([]float64, len(loads))
	worth := 0.0
	for r := range loads {
		result := &w.result.Ranks[r]
		for _, b := range w.bins[r][first:last] {
			result.Offered += b.offered
		}
		slot := loads[r].mean.Seconds() / (w.scenario.capacity() * span.Seconds())
		w.result.UsefulBy[r] = float64(result.Inside) * slot
		w.result.OfferedBy[r] = float64(result.Offered) * slot
		w.result.Useful += w.result.UsefulBy[r]
		worth += float64(result.Inside) * w.manifest.Ranks[r].Worth
		result.Worst = percentile(w.worst[r], 0.99)
	}
	w.result.HeldBy = shares(w.held)
	w.result.Worth = worth / w.best()
	w.result.Recovery = w.recovery()
	w.result.Messages = float64(w.messages) / runEnd.Seconds() / float64(len(w.instances))
	w.result.Bytes = float64(w.bytes) / runEnd.Seconds() / float64(len(w.instances))
	return w.result
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
func (w *world) best() float64 {
	order := make([]int, len(loads))
	for r := range order {
		order[r] = r
	}
	value := func(r int) float64 { return w.manifest.Ranks[r].Worth / loads[r].mean.Seconds() }
	sort.Slice(order, func(i, j int) bool { return value(order[i]) > value(order[j]) })
	left, sum := 1.0, 0.0
	for _, r := range order {
		part := min(left, w.result.OfferedBy[r])
		left -= part
		if w.result.OfferedBy[r] > 0 {
			sum += part / w.result.OfferedBy[r] * float64(w.result.Ranks[r].Offered) * w.manifest.Ranks[r].Worth
		}
	}
	return sum
}

// recovery returns the time from the end of the flood to the first bin from
// which on a second's arrivals are answered inside their targets.
func (w *world) recovery() time.Duration {
	end := int(floodEnd / binTime)
	for from := end; from < int(runEnd/binTime)-25; from++ {
		if w.isWell(from, from+10) {
			return time.Duration(from-end) * binTime
		}
	}
	return -1
}

func (w *world) isWell(from, to int) bool {
	for r := range loads {
		var sum bin
		for _, b := range w.bins[r][from:to] {
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
