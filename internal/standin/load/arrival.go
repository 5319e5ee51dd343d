package load

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/eelgrassfold/eelgrassfold/internal/standin/task"
)

// maxQueuedArrivals is the maximum number of arrivals of one kind that may wait for a
// connection.
const maxQueuedArrivals = 1 << 17

// startArrivals starts a goroutine that generates the arrivals of a kind and returns
// the channel that delivers their times. The channel is closed after the last arrival.
// It is nil for closed-loop load.
func (r *run) startArrivals(offerCtx context.Context, index int, kind Kind, spawn func(work func())) <-chan time.Time {
	if r.options.ClosedLoop {
		return nil
	}
	arrivals := make(chan time.Time, maxQueuedArrivals)
	random := rand.New(rand.NewPCG(r.options.Seed, uint64(index)))
	spawn(func() { generateArrivals(offerCtx, kind, random, arrivals) })
	return arrivals
}

// generateArrivals sends the arrival times of a Poisson process until offerCtx ends.
// While the queue is full it blocks; later arrivals keep their original times, so that
// the delay counts as latency.
func generateArrivals(offerCtx context.Context, kind Kind, random *rand.Rand, arrivals chan<- time.Time) {
	defer close(arrivals)
	nextArrival := time.Now()
	for {
		nextArrival = nextArrival.Add(time.Duration(random.ExpFloat64() / kind.Rate * float64(time.Second)))
		if !task.Sleep(offerCtx, time.Until(nextArrival)) {
			return
		}
		select {
		case arrivals <- nextArrival:
		case <-offerCtx.Done():
			return
		}
	}
}
