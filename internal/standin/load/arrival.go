package load

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/standin/task"
)

// queueLimit is the number of arrivals of one kind that may wait for a
// connection.
const queueLimit = 1 << 17

// arrivals returns the channel on which the arrivals of a kind come, closed
// when no more will come, or nil for closed-loop load.
func (r *run) arrivals(stop context.Context, index int, kind Kind, spawn func(work func())) <-chan time.Time {
	if r.options.ClosedLoop {
		return nil
	}
	arrivals := make(chan time.Time, queueLimit)
	random := rand.New(rand.NewPCG(r.options.Seed, uint64(index)))
	spawn(func() { offer(stop, kind, random, arrivals) })
	return arrivals
}

// offer sends the times of a Poisson process. Where the queue is full, offer
// waits, and the arrivals keep their times.
func offer(stop context.Context, kind Kind, random *rand.Rand, arrivals chan<- time.Time) {
	defer close(arrivals)
	next := time.Now()
	for {
		next = next.Add(time.Duration(random.ExpFloat64() / kind.Rate * float64(time.Second)))
		if !task.Sleep(stop, time.Until(next)) {
			return
		}
		select {
		case arrivals <- next:
		case <-stop.Done():
			return
		}
	}
}
