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
	// readKeys is the number of different keys that reads use.
	readKeys = 1000
	// reconnectPause is the time between attempts to connect, so that the clients
	// do not overload a server that is unavailable.
	reconnectPause = 20 * time.Millisecond
)

// client sends statements of one kind sequentially.
type client struct {
	run          *run
	kind         Kind
	index        int
	session      *session
	random       *rand.Rand
	addressIndex int
	tally        tally
	// outcomes holds the outcome of the write of each ledger entry, by entry.
	outcomes map[string]outcome
}

func newClient(r *run, kind Kind, index int) *client {
	return &client{
		run:          r,
		kind:         kind,
		index:        index,
		session:      newSession(r.options),
		random:       rand.New(rand.NewPCG(r.options.Seed, uint64(index)|1<<32)),
		addressIndex: index,
		tally:        newTally(),
		outcomes:     map[string]outcome{},
	}
}

// sendStatements sends a statement for each arrival, or, where arrivals is nil, the
// next one as soon as the previous one ends. It returns after offerCtx has ended and
// the statement in progress is answered.
func (c *client) sendStatements(ctx, offerCtx context.Context, arrivals <-chan time.Time) {
	defer c.session.close()
	for {
		arrivedAt, ok := awaitArrival(offerCtx, arrivals)
		if !ok {
			return
		}
		c.tally.Offered++
		expired := c.kind.Deadline > 0 && time.Since(arrivedAt) >= c.kind.Deadline
		if expired || offerCtx.Err() != nil {
			c.tally.count(outcomeNotRun, causeUnsent)
			continue
		}
		c.sendStatement(ctx, offerCtx, arrivedAt)
	}
}

// awaitArrival waits for the next arrival and returns its time. The boolean is false if
// there are no more arrivals.
func awaitArrival(offerCtx context.Context, arrivals <-chan time.Time) (time.Time, bool) {
	if arrivals == nil {
		return time.Now(), offerCtx.Err() == nil
	}
	arrivedAt, ok := <-arrivals
	return arrivedAt, ok
}

// sendStatement sends one statement and counts its outcome and, if it succeeded, its
// latency since arrivedAt.
func (c *client) sendStatement(ctx, offerCtx context.Context, arrivedAt time.Time) {
	ctx, cancel := context.WithTimeout(ctx, c.run.options.StatementTimeout)
	defer cancel()
	conn, err := c.session.conn(ctx, c.address())
	if err != nil {
		c.count(outcomeNotRun, connectCause(err))
		task.Sleep(offerCtx, reconnectPause)
		return
	}
	if c.kind.Access == model.AccessRead {
		err = c.read(ctx, conn)
	} else {
		err = c.write(ctx, conn)
	}
	result, cause := classify(err, c.kind.Access)
	c.count(result, cause)
	if result != outcomeDone {
		return
	}
	c.session.updateToken(conn)
	endedAt := time.Now()
	c.tally.recordLatency(endedAt.Sub(arrivedAt), c.kind.Target)
	if c.kind.Access == model.AccessWrite {
		c.run.writeGaps.recordSuccess(endedAt)
	}
}

// count counts the outcome of a statement.
func (c *client) count(result outcome, cause string) {
	c.tally.count(result, cause)
	if c.run.options.Observe != nil {
		c.run.options.Observe(result == outcomeDone)
	}
}

// address returns the address to which the next statement is sent.
func (c *client) address() netip.AddrPort {
	addresses := c.run.options.Addresses
	if c.run.options.Direct && c.kind.Access == model.AccessWrite {
		return addresses[0]
	}
	if c.run.options.RotateAddresses {
		c.addressIndex++
	}
	return addresses[c.addressIndex%len(addresses)]
}

// -----------------------------------------------------------------------------
// Statements.

// read reads a random key.
func (c *client) read(ctx context.Context, conn *pgx.Conn) error {
	sql := c.session.withComment("SELECT value FROM kv WHERE key = $1", c.kind)
	key := fmt.Sprintf("key-%d", c.random.IntN(readKeys))
	rows, err := conn.Query(ctx, sql, key)
	if err != nil {
		return errors.Wrap(err, "read")
	}
	_, err = pgx.CollectRows(rows, pgx.RowTo[string])
	return errors.Wrap(err, "read")
}

// write appends a unique entry to the ledger and records its outcome.
func (c *client) write(ctx context.Context, conn *pgx.Conn) error {
	sql := c.session.withComment("INSERT INTO ledger (entry) VALUES ($1)", c.kind)
	entry := fmt.Sprintf("%s-%s-%d-%d", c.run.entryPrefix, c.kind.Name, c.index, len(c.outcomes))
	_, err := conn.Exec(ctx, sql, entry)
	c.outcomes[entry], _ = classify(err, c.kind.Access)
	return errors.Wrap(err, "write")
}
