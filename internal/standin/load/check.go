package load

import (
	"context"
	"fmt"
	"net/netip"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/pkg/errors"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/standin/task"
)

// checkInterval is the time between a checker's checks.
const checkInterval = 20 * time.Millisecond

// checker writes a key that nobody else writes, and reads it back through
// another address in the same session.
type checker struct {
	run     *run
	index   int
	session *session
	// key counts the keys used, value the writes.
	key, value int
	report     CheckReport
}

// CheckReport counts what the checks of read-your-writes found.
type CheckReport struct {
	// Checks counts the reads that followed an acknowledged write and were
	// answered.
	Checks int64 `json:"checks"`
	// Violations counts those that did not see the write.
	Violations int64 `json:"violations"`
	// Skipped counts the writes and reads that failed.
	Skipped int64 `json:"skipped"`
}

func newChecker(r *run, index int) *checker {
	options := r.options
	options.RotateAddresses = true
	return &checker{run: r, index: index, session: newSession(options)}
}

// serve checks until stop ends.
func (c *checker) serve(ctx, stop context.Context) {
	defer c.session.close()
	isNew := true
	for turn := c.index; stop.Err() == nil; turn++ {
		c.value++
		acknowledged := c.write(ctx, turn, isNew)
		if !acknowledged {
			// Whether the key has changed is not known, so it is not used again.
			c.key++
			c.report.Skipped++
		} else {
			c.read(ctx, turn+1)
		}
		isNew = !acknowledged
		task.Sleep(stop, checkInterval)
	}
}

func (c *checker) name() string { return fmt.Sprintf("%s-%d-%d", c.run.prefix, c.index, c.key) }

// write writes the next value and reports whether it was acknowledged.
func (c *checker) write(ctx context.Context, turn int, isNew bool) bool {
	sql := "UPDATE kv SET value = $2 WHERE key = $1"
	if isNew {
		sql = "INSERT INTO kv (key, value) VALUES ($1, $2)"
	}
	address := c.address(turn)
	if c.run.options.Direct {
		address = c.run.options.Addresses[0]
	}
	_, err := c.do(ctx, address, model.AccessWrite, sql, c.name(), strconv.Itoa(c.value))
	return err == nil
}

// read reads the key back and counts whether the write is seen.
func (c *checker) read(ctx context.Context, turn int) {
	values, err := c.do(ctx, c.address(turn), model.AccessRead, "SELECT value FROM kv WHERE key = $1", c.name())
	if err != nil {
		c.report.Skipped++
		return
	}
	c.report.Checks++
	if len(values) != 1 || values[0] != strconv.Itoa(c.value) {
		c.report.Violations++
	}
}

func (c *checker) address(turn int) netip.AddrPort {
	return c.run.options.Addresses[turn%len(c.run.options.Addresses)]
}

// do sends one statement of the first kind with an access, and returns the
// values of its rows.
func (c *checker) do(ctx context.Context, address netip.AddrPort, access model.Access, sql string, args ...any) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, c.run.options.StatementTimeout)
	defer cancel()
	conn, err := c.session.conn(ctx, address)
	if err != nil {
		return nil, err
	}
	rows, err := conn.Query(ctx, c.session.commented(sql, c.run.kindFor(access)), args...)
	if err != nil {
		return nil, errors.Wrap(err, "check")
	}
	values, err := pgx.CollectRows(rows, pgx.RowTo[string])
	if err != nil {
		return nil, errors.Wrap(err, "check")
	}
	c.session.learn(conn)
	return values, nil
}

// kindFor returns the first kind with an access.
func (r *run) kindFor(access model.Access) Kind {
	for _, kind := range r.options.Kinds {
		if kind.Access == access {
			return kind
		}
	}
	return Kind{}
}

func (r *run) checkReport() *CheckReport {
	if len(r.checkers) == 0 {
		return nil
	}
	sum := &CheckReport{}
	for _, c := range r.checkers {
		sum.Checks += c.report.Checks
		sum.Violations += c.report.Violations
		sum.Skipped += c.report.Skipped
	}
	return sum
}
