// Package load offers work to eelgrassfold, or straight to databases, and
// measures what comes back.
//
// # What flows in and out
//
// Options flow in: addresses, kinds of work with their rates, and how long.
// Statements flow out over pgx connections, each with a comment in the
// sqlcommenter form that names its kind. A Report flows out at the end.
//
// Load is open-loop by default: arrivals follow a Poisson process that does not
// wait for answers, and latency counts from the arrival, so a slow server can't
// hide by slowing its clients. Each kind of work has connections of its own,
// lest one kind waits behind another before the server has seen it.
//
// Every write appends an entry of its own to the ledger, and the outcome that
// the client was told is kept. When the databases' admin addresses are given,
// the ledger of the primary is compared with it at the end: an acknowledged
// entry that is missing is lost, one that stands twice is doubled, and one that
// was refused as not run but stands there is a ghost.
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

// Options sets up a run.
type Options struct {
	// Addresses are those of instances, or of databases where Direct is set.
	Addresses []netip.AddrPort
	// Group is the database name to connect to, User the user name.
	Group          model.GroupID
	User, Password string
	Kinds          []Kind
	// Connections is the number of clients for each kind.
	Connections int
	// Duration is how long work is offered.
	Duration time.Duration
	// StatementTimeout bounds the time that one statement may take.
	StatementTimeout time.Duration
	Seed             uint64
	// ClosedLoop makes each client send a statement as soon as the one before is
	// answered, whatever the rates.
	ClosedLoop bool
	// RotateAddresses makes each client send its statements to all addresses in turn and
	// hand over the session token.
	RotateAddresses bool
	// Direct sends writes to the first address, which is that of the primary.
	Direct bool
	// SimpleProtocol uses the simple query protocol.
	SimpleProtocol bool
	// ConsistencyCheckers is the number of clients that check read-your-writes.
	ConsistencyCheckers int
	// AdminAddresses are the databases' admin addresses, for the comparison.
	AdminAddresses []netip.AddrPort
}

// Run offers work until the duration is over, or the context ends, and reports
// what came back.
func Run(ctx context.Context, options Options) (Report, error) {
	r := &run{options: options, prefix: uuid.NewString()}
	started := time.Now()
	r.writes = gapMeter{last: started, until: started.Add(options.Duration)}
	stop, cancel := context.WithTimeout(ctx, options.Duration)
	defer cancel()
	ends := make(chan struct{})
	running := r.start(ctx, stop, ends)
	<-stop.Done()
	r.stopped = time.Now()
	for range running {
		<-ends
	}
	r.writes.succeeded(r.stopped)
	report := r.report(r.stopped.Sub(started))
	if len(options.AdminAddresses) == 0 {
		return report, nil
	}
	comparison, err := r.compare(ctx)
	report.Comparison = comparison
	return report, err
}

// run is one run in progress.
type run struct {
	options Options
	// prefix tells this run's entries from those of others.
	prefix   string
	clients  []*client
	checkers []*checker
	writes   gapMeter
	// stopped is when no more work was offered.
	stopped time.Time
}

// start starts every goroutine of the run, and returns how many will send
// their end.
func (r *run) start(ctx, stop context.Context, ends chan<- struct{}) int {
	running := 0
	spawn := func(work func()) {
		running++
		go func() {
			work()
			ends <- struct{}{}
		}()
	}
	for i, kind := range r.options.Kinds {
		arrivals := r.arrivals(stop, i, kind, spawn)
		for range r.options.Connections {
			c := newClient(r, kind, len(r.clients))
			r.clients = append(r.clients, c)
			spawn(func() { c.serve(ctx, stop, arrivals) })
		}
	}
	for i := range r.options.ConsistencyCheckers {
		c := newChecker(r, i)
		r.checkers = append(r.checkers, c)
		spawn(func() { c.serve(ctx, stop) })
	}
	return running
}
