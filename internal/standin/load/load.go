// Package load generates load on eelgrassfold, or directly on databases, and measures
// throughput, latency and outcomes.
//
// # What flows in and out
//
// Options flow in: addresses, request kinds with their rates, and a duration.
// Statements flow out over pgx connections, each with a comment in the sqlcommenter
// form that names its kind. A Report flows out at the end.
//
// Load is open-loop by default: arrivals follow a Poisson process that does not wait
// for answers, and latency counts from the arrival. A slow server therefore cannot
// lower the measured latency by delaying its clients. Each kind has connections of its
// own, so that no kind waits in the client behind another one.
//
// Every write appends a unique entry to the ledger, and the outcome that the client
// received is recorded. If the databases' admin addresses are given, the ledger of the
// primary is compared with the recorded outcomes at the end: an acknowledged entry that
// is missing is lost, one that occurs more than once is duplicated, and one that is
// present although the client received an error that it was not committed is unexpectedly
// committed.
//
// # Usage
//
//	report, err := load.Run(ctx, load.Options{Addresses: addresses, Group: "ratings", Kinds: kinds, Duration: 10 * time.Second})
package load

import (
	"context"
	"net/netip"
	"time"

	"github.com/google/uuid"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
)

// Options configures a run.
type Options struct {
	// Addresses are the addresses of instances, or of databases if Direct is set.
	Addresses []netip.AddrPort
	// Group is the database name to connect to; User and Password authenticate the
	// client.
	Group          model.GroupID
	User, Password string
	Kinds          []Kind
	// Connections is the number of clients for each kind.
	Connections int
	// Duration is the time for which load is offered.
	Duration time.Duration
	// StatementTimeout bounds the duration of one statement.
	StatementTimeout time.Duration
	// Seed is the seed of the arrivals and of the keys that are read.
	Seed uint64
	// ClosedLoop makes each client send a statement as soon as the previous one is
	// answered. Rates have no effect then.
	ClosedLoop bool
	// RotateAddresses makes each client send its statements to all addresses in turn
	// and carry the session token from one to the next.
	RotateAddresses bool
	// Direct sends writes to the first address, which must be that of the primary.
	Direct bool
	// SimpleProtocol uses the simple query protocol.
	SimpleProtocol bool
	// ConsistencyCheckers is the number of clients that check read-your-writes.
	ConsistencyCheckers int
	// Observe, if present, is called after each statement of a client, with whether it
	// succeeded. It must be safe for concurrent use.
	Observe func(isDone bool)
	// AdminAddresses are the databases' admin addresses, for the comparison.
	AdminAddresses []netip.AddrPort
}

// Run offers load until the duration is over or the context ends, waits for the
// statements in progress, and returns the report. Its error is that of the comparison.
func Run(ctx context.Context, options Options) (Report, error) {
	r := &run{options: options, entryPrefix: uuid.NewString()}
	startedAt := time.Now()
	r.writeGaps = gapMeter{lastSuccess: startedAt, measurementEnd: startedAt.Add(options.Duration)}
	offerCtx, cancel := context.WithTimeout(ctx, options.Duration)
	defer cancel()
	done := make(chan struct{})
	goroutines := r.start(ctx, offerCtx, done)
	<-offerCtx.Done()
	r.stoppedAt = time.Now()
	for range goroutines {
		<-done
	}
	r.writeGaps.recordSuccess(r.stoppedAt)
	report := r.report(r.stoppedAt.Sub(startedAt))
	if len(options.AdminAddresses) == 0 {
		return report, nil
	}
	comparison, err := r.compare(ctx)
	report.Comparison = comparison
	return report, err
}

// run is the state of a run in progress.
type run struct {
	options Options
	// entryPrefix distinguishes the ledger entries of this run from those of others.
	entryPrefix string
	clients     []*client
	checkers    []*checker
	writeGaps   gapMeter
	// stoppedAt is the time at which the run stopped to offer load.
	stoppedAt time.Time
}

// start starts all goroutines of the run and returns their number. Each one sends to
// done when it ends.
func (r *run) start(ctx, offerCtx context.Context, done chan<- struct{}) int {
	goroutines := 0
	spawn := func(work func()) {
		goroutines++
		go func() {
			work()
			done <- struct{}{}
		}()
	}
	for i, kind := range r.options.Kinds {
		arrivals := r.startArrivals(offerCtx, i, kind, spawn)
		for range r.options.Connections {
			c := newClient(r, kind, len(r.clients))
			r.clients = append(r.clients, c)
			spawn(func() { c.sendStatements(ctx, offerCtx, arrivals) })
		}
	}
	for i := range r.options.ConsistencyCheckers {
		c := newChecker(r, i)
		r.checkers = append(r.checkers, c)
		spawn(func() { c.runChecks(ctx, offerCtx) })
	}
	return goroutines
}
