// Package zone decides when a read leaves the availability zone of its instance, and
// which share of a group's reads does.
//
// # What flows in and out
//
// For each read that databases here and in other zones could serve flows in what it would
// wait for an answer at either, as this instance has measured it: latency, statements in
// flight, and the time that reads have lately spent in the queue here. A Side flows out
// for each read, and a Change whenever the share does.
//
// Leaving pays while a read saves more than a price by it. The share then rises by small
// steps, and falls by small steps once much less than the price is saved. Whether
// the databases here can be used at all is no matter of the price.
//
// # Usage
//
//	var decider zone.Decider
//	change, changed := decider.Arrive(now, price, rank, here, there)
//	side := decider.Choose(price, read, here, there)
//	decider.RecordQueued(now, waited)
package zone

import (
	"math"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// DefaultPrice is the time that a read has to save to leave its zone where nothing else
// is set: half of what a typical statement takes.
const DefaultPrice = 12 * time.Millisecond

const (
	// steps is the number of steps from no reads that leave to all of them. maxStep is the
	// highest one that the price leads to: the reads that stay show when the databases
	// here are fast again.
	steps   = 10
	maxStep = 9
	// raiseInterval is the least time between two steps up, returnInterval that between
	// two steps down.
	raiseInterval  = 250 * time.Millisecond
	returnInterval = 2 * time.Second
	// returnFactor multiplies the price to get the saving below which reads return, and
	// patienceFactor to get the time after which a single read leaves.
	returnFactor   = 0.25
	patienceFactor = 1
	// raiseLoad and returnLoad are the load of the databases there, as a multiple of
	// their time without load, from which on the share does not rise and from which on it
	// falls: reads that leave would only take the place of reads from there.
	raiseLoad  = 0.75
	returnLoad = 1.25
	// averageTime is the time over which measured waits are averaged, loadMemory the age
	// at which a measured load counts half.
	averageTime = time.Second
	loadMemory  = 2 * time.Second
	// failingWait is how much more a read may wait here than in another zone before the
	// databases here count as failing for it.
	failingWait = 500 * time.Millisecond
	// minHold and maxHold bound the time after which the share may rise again once it
	// has begun to fall. It doubles with each turn, so that zones that react to each
	// other come to rest, and is forgotten after holdMemory without a turn.
	minHold    = 2 * time.Second
	maxHold    = 16 * time.Second
	holdMemory = time.Minute
	// holdPart is the part of that time that is added to returnInterval.
	holdPart = 0.125
	// mixTime is the time over which the mix of ranks is averaged.
	mixTime = time.Second
	// freeRate is the number of reads in a second that may leave without a share, if each
	// saves the price: an instance that seldom reads from a group would else be late to
	// react, and can't move much.
	freeRate = 5.0
	// maxCredit is the greatest number of reads of a rank that may leave one after the
	// other.
	maxCredit = 2
	// fullCredit is the credit that a read needs to leave, less the error of the sums.
	fullCredit = 1 - 1e-6
)

// Side is where a read is sent.
type Side int

// The values of Side.
const (
	// SideNone: the read stays in the queue.
	SideNone Side = iota
	// SideHere: it goes to a database of this zone.
	SideHere
	// SideThere: it goes to a database of another zone.
	SideThere
)

// Place describes the databases on one side that can serve a read.
type Place struct {
	// IsUsable is true if there is a database that answers and is fresh enough, HasRoom
	// if one of them can get another statement now.
	IsUsable, HasRoom bool
	// Wait is the expected time until an answer. Base is what it would be without load,
	// Load the part that the load adds at the database. All are zero until something was
	// measured.
	Wait, Base, Load time.Duration
	// Next is the expected time until there is room, if there is none.
	Next time.Duration
	// IsLost is true if no database of the side answers or remains, for any read.
	IsLost bool
}

// Read is a read that waits for a database.
type Read struct {
	Rank model.Rank
	// Waited is the time that it has spent in the queue.
	Waited time.Duration
	// IsPressed is true if there is no time left to wait for this zone.
	IsPressed bool
}

// Change is a change of the share of reads that leave.
type Change struct {
	Before, After float64
	// Here and There are the averages of the waits that led to it, Queue that of the
	// time in the queue, and Extra the extra time of the path to the others.
	Here, There, Queue, Extra time.Duration
}

// Decider decides for the reads of one group at one instance. The zero value is ready to
// use: all reads stay.
type Decider struct {
	// step is the share in steps. isReturning is true after a loss of the databases here
	// until all reads have returned.
	step        int
	isReturning bool
	changedAt   time.Time
	// here, there and queue are the measured waits, loadThere the load of the others.
	here, there, queue, loadThere average
	// work is the time of a read without load and without the path, and extra is the extra time of the path to the others.
	work, extra time.Duration
	// isRising is the direction of the last step, hold the time to wait after the turn
	// at turnedAt.
	isRising bool
	hold     time.Duration
	turnedAt time.Time
	// mix weighs the ranks by their reads, as of mixedAt; credits holds the reads of each
	// rank that may leave.
	mix     map[model.Rank]float64
	mixedAt time.Time
	credits map[model.Rank]float64
	// free is the number of reads that may leave without a share, as of freeAt.
	free   float64
	freeAt time.Time
}

// Share returns the share of reads that leave.
func (d *Decider) Share() float64 { return float64(d.step) / steps }

// Arrive records that a read has arrived, and what it would wait on either side. The
// result is true if the share has changed.
func (d *Decider) Arrive(now time.Time, price time.Duration, rank model.Rank, here, there Place) (Change, bool) {
	if here.isMeasured() {
		d.here.record(now, here.Wait)
	}
	if there.isMeasured() {
		d.there.record(now, there.Wait)
		d.loadThere.record(now, there.Load)
	}
	if here.isMeasured() && there.isMeasured() {
		d.work = min(here.Base, there.Base)
		d.extra = there.Base - here.Base
	}
	d.recordRank(now, rank)
	before := d.step
	d.adjust(now, price, here, there)
	if d.credits == nil {
		d.credits = map[model.Rank]float64{}
	}
	d.credits[rank] = min(maxCredit, d.credits[rank]+d.shareOf(rank))
	d.free = min(maxCredit, d.free+freeRate*now.Sub(d.freeAt).Seconds())
	d.freeAt = now
	if d.step == before {
		return Change{}, false
	}
	d.changedAt = now
	return Change{
		Before: float64(before) / steps, After: d.Share(),
		Here: d.here.value, There: d.there.value, Queue: d.queue.faded(now), Extra: d.extra,
	}, true
}

// adjust moves the share by a step at most, unless the databases here are lost.
func (d *Decider) adjust(now time.Time, price time.Duration, here, there Place) {
	if here.IsLost {
		d.step, d.isReturning = steps, true
		return
	}
	if !here.IsUsable {
		return
	}
	saved := d.here.value + d.queue.faded(now) - d.there.value
	sinceChange := now.Sub(d.changedAt)
	switch {
	case !there.IsUsable, d.isReturning, saved < scale(price, returnFactor), d.isLoadAbove(returnLoad):
		if d.step == 0 || sinceChange < returnInterval+scale(d.hold, holdPart) {
			return
		}
		d.turn(now)
		d.step--
		d.isReturning = d.isReturning && d.step > 0
	case saved > price && !d.isLoadAbove(raiseLoad):
		if d.step >= maxStep || sinceChange < raiseInterval || now.Sub(d.turnedAt) < d.hold {
			return
		}
		d.step++
		d.isRising = true
	}
}

// isLoadAbove reports whether the databases there have a load of more than a multiple of
// their time without load.
func (d *Decider) isLoadAbove(factor float64) bool {
	return d.work > 0 && d.loadThere.value > scale(d.work, factor)
}

func (p Place) isMeasured() bool { return p.IsUsable && p.Base > 0 }

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(factor * float64(d))
}

// turn records that the share falls. If it was rising before, it may not rise for a
// while.
func (d *Decider) turn(now time.Time) {
	if !d.isRising {
		return
	}
	if now.Sub(d.turnedAt) > holdMemory {
		d.hold = 0
	}
	d.isRising = false
	d.turnedAt = now
	d.hold = min(max(2*d.hold, minHold), maxHold)
}

// recordRank adds a read to the mix of ranks.
func (d *Decider) recordRank(now time.Time, rank model.Rank) {
	if d.mix == nil {
		d.mix = map[model.Rank]float64{}
	}
	fade := mixTime.Seconds() / (mixTime.Seconds() + max(0, now.Sub(d.mixedAt)).Seconds())
	for other := range d.mix {
		d.mix[other] *= fade
	}
	d.mix[rank]++
	d.mixedAt = now
}

// shareOf returns the share of a rank's reads that leave. The urgent ranks leave first:
// leaving pays, and they save the most time.
func (d *Decider) shareOf(rank model.Rank) float64 {
	total, before := 0.0, 0.0
	for other, weight := range d.mix {
		total += weight
		if other < rank {
			before += weight
		}
	}
	if total == 0 || d.mix[rank] == 0 {
		return d.Share()
	}
	return min(max((d.Share()*total-before)/d.mix[rank], 0), 1)
}

// Choose decides where a read that waits is sent. The caller must send it there.
//
// A read that is part of the share leaves if it saves time by that or would have to wait.
// Others leave only if
// they save the price and the databases there are not full: a few in a second at once, to
// react where reads are rare, and those that have waited for a multiple of the price. One
// that has no time left takes any room.
func (d *Decider) Choose(price time.Duration, read Read, here, there Place) Side {
	saving := here.Wait - there.Wait
	if !here.HasRoom {
		saving += here.Next
	}
	switch {
	case !here.IsUsable && there.HasRoom:
		return SideThere
	case !there.HasRoom && here.HasRoom:
		return SideHere
	case !there.HasRoom:
		return SideNone
	case saving >= failingWait:
		return SideThere
	case d.credits[read.Rank] >= fullCredit && (d.isReturning || !here.HasRoom || saving > 0):
		d.credits[read.Rank]--
		return SideThere
	case d.free >= 1 && saving > price && !d.isLoadAbove(raiseLoad):
		d.free--
		return SideThere
	case here.HasRoom:
		return SideHere
	case read.IsPressed:
		return SideThere
	case read.Waited >= Patience(price) && read.Waited+saving >= price && !d.isLoadAbove(raiseLoad):
		return SideThere
	}
	return SideNone
}

// Patience returns the time after which a read that waits here may leave.
func Patience(price time.Duration) time.Duration { return scale(price, patienceFactor) }

// FadedLoad returns a load that was measured at a database, lowered according to its age:
// slowly, so that reads don't leave for a zone only because none were sent there lately.
func FadedLoad(load, age time.Duration) time.Duration {
	return scale(load, math.Exp2(-float64(max(0, age))/float64(loadMemory)))
}

// RecordQueued records how long a read that could be served here has waited in the
// queue.
func (d *Decider) RecordQueued(now time.Time, waited time.Duration) { d.queue.record(now, waited) }

// average is a moving average over averageTime.
type average struct {
	value time.Duration
	at    time.Time
}

// record adds a sample, which counts for the time since the last one.
func (a *average) record(now time.Time, sample time.Duration) {
	age := max(0, now.Sub(a.at))
	a.value += time.Duration(float64(sample-a.value) * (1 - averageTime.Seconds()/(averageTime.Seconds()+age.Seconds())))
	a.at = now
}

// faded returns the average, lowered according to its age.
func (a *average) faded(now time.Time) time.Duration {
	return scale(a.value, averageTime.Seconds()/(averageTime.Seconds()+max(0, now.Sub(a.at)).Seconds()))
}
