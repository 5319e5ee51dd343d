package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/pkg/errors"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/standin/task"
)

const (
	// readKeys is the number of keys that reads ask for.
	readKeys = 1000
	// reconnectPause is the time between tries to connect, so that a server
	// that is gone is not flooded.
	reconnectPause = 20 * time.Millisecond
)

// client sends the statements of one kind, one after the other.
type client struct {
	run     *run
	kind    Kind
	index   int
	session *session
	random  *rand.Rand
	turn    int
	tally   tally
	// told holds the outcome of each ledger entry that was sent.
	told map[string]outcome
}

func newClient(r *run, kind Kind, index int) *client {
	return &client{
		run:     r,
		kind:    kind,
		index:   index,
		session: newSession(r.options),
		random:  rand.New(rand.NewPCG(r.options.Seed, uint64(index)|1<<32)),
		turn:    index,
		tally:   newTally(),
		told:    map[string]outcome{},
	}
}

// serve sends a statement for each arrival, or one after the other where
// arrivals is nil, until stop ends. A statement in progress then still ends.
func (c *client) serve(ctx, stop context.Context, arrivals <-chan time.Time) {
	defer c.session.close()
	for {
		arrived, ok := next(stop, arrivals)
		if !ok {
			return
		}
		c.tally.Offered++
		expired := c.kind.Deadline > 0 && time.Since(arrived) >= c.kind.Deadline
		if expired || stop.Err() != nil {
			c.tally.count(outcomeNotRun, causeUnsent)
			continue
		}
		c.send(ctx, stop, arrived)
	}
}

// next returns the time of the next arrival.
func next(stop context.Context, arrivals <-chan time.Time) (time.Time, bool) {
	if arrivals == nil {
		return time.Now(), stop.Err() == nil
	}
	arrived, ok := <-arrivals
	return arrived, ok
}

// send sends one statement and counts its outcome.
func (c *client) send(ctx, stop context.Context, arrived time.Time) {
	ctx, cancel := context.WithTimeout(ctx, c.run.options.StatementTimeout)
	defer cancel()
	conn, err := c.session.conn(ctx, c.address())
	if err != nil {
		c.tally.count(outcomeNotRun, classifyConnect(err))
		task.Sleep(stop, reconnectPause)
		return
	}
	if c.kind.Access == model.AccessRead {
		err = c.read(ctx, conn)
	} else {
		err = c.write(ctx, conn)
	}
	result, cause := classify(err, c.kind.Access)
	c.tally.count(result, cause)
	if result != outcomeDone {
		return
	}
	c.session.learn(conn)
	ended := time.Now()
	c.tally.measure(ended.Sub(arrived), c.kind.Target)
	if c.kind.Access == model.AccessWrite {
		c.run.writes.succeeded(ended)
	}
}

// address returns the address for the next statement.
func (c *client) address() netip.AddrPort {
	addresses := c.run.options.Addresses
	if c.run.options.Direct && c.kind.Access == model.AccessWrite {
		return addresses[0]
	}
	if c.run.options.RotateAddresses {
		c.turn++
	}
	return addresses[c.turn%len(addresses)]
}

// -----------------------------------------------------------------------------
// Statements.

func (c *client) read(ctx context.Context, conn *pgx.Conn) error {
	sql := c.session.commented("SELECT value FROM kv WHERE key = $1", c.kind)
	key := fmt.Sprintf("key-%d", c.random.IntN(readKeys))
	rows, err := conn.Query(ctx, sql, key)
	if err != nil {
		return errors.Wrap(err, "read")
	}
	_, err = pgx.CollectRows(rows, pgx.RowTo[string])
	return errors.Wrap(err, "read")
}

// write appends an entry that no other write uses, and keeps its outcome.
func (c *client) write(ctx context.Context, conn *pgx.Conn) error {
	sql := c.session.commented("INSERT INTO ledger (entry) VALUES ($1)", c.kind)
	entry := fmt.Sprintf("%s-%s-%d-%d", c.run.prefix, c.kind.Name, c.index, len(c.told))
	_, err := conn.Exec(ctx, sql, entry)
	c.told[entry], _ = classify(err, c.kind.Access)
	return errors.Wrap(err, "write")
}
