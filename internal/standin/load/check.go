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

// checkInterval is the time between two checks of a checker.
const checkInterval = 20 * time.Millisecond

// checker checks read-your-writes: it writes a key that no other client writes, and
// reads it back in the same session through another address.
type checker struct {
	run     *run
	index   int
	session *session
	// keyNumber is the number of the current key, writeCount the number of writes,
	// which is also the value written last.
	keyNumber, writeCount int
	report                CheckReport
}

// CheckReport counts the results of the read-your-writes checks.
type CheckReport struct {
	// Checks counts the reads that followed an acknowledged write and were
	// answered.
	Checks int64 `json:"checks"`
	// Violations counts the checks whose read did not return the written value.
	Violations int64 `json:"violations"`
	// Skipped counts the writes and reads that failed.
	Skipped int64 `json:"skipped"`
}

func newChecker(r *run, index int) *checker {
	options := r.options
	options.RotateAddresses = true
	return &checker{run: r, index: index, session: newSession(options)}
}

// runChecks repeats writes and reads until offerCtx ends.
func (c *checker) runChecks(ctx, offerCtx context.Context) {
	defer c.session.close()
	isNewKey := true
	for addressIndex := c.index; offerCtx.Err() == nil; addressIndex++ {
		c.writeCount++
		acknowledged := c.write(ctx, addressIndex, isNewKey)
		if !acknowledged {
			// It is unknown whether the write took effect, so later checks use a new key.
			c.keyNumber++
			c.report.Skipped++
		} else {
			c.read(ctx, addressIndex+1)
		}
		isNewKey = !acknowledged
		task.Sleep(offerCtx, checkInterval)
	}
}

// currentKey returns the key that the checker uses at present.
func (c *checker) currentKey() string {
	return fmt.Sprintf("%s-%d-%d", c.run.entryPrefix, c.index, c.keyNumber)
}

// write writes the next value to the current key, by an INSERT if isNewKey is set, and
// reports whether the write was acknowledged.
func (c *checker) write(ctx context.Context, addressIndex int, isNewKey bool) bool {
	sql := "UPDATE kv SET value = $2 WHERE key = $1"
	if isNewKey {
		sql = "INSERT INTO kv (key, value) VALUES ($1, $2)"
	}
	address := c.address(addressIndex)
	if c.run.options.Direct {
		address = c.run.options.Addresses[0]
	}
	_, err := c.query(ctx, address, model.AccessWrite, sql, c.currentKey(), strconv.Itoa(c.writeCount))
	return err == nil
}

// read reads the key back and counts a violation if it does not hold the last value
// written.
func (c *checker) read(ctx context.Context, addressIndex int) {
	values, err := c.query(ctx, c.address(addressIndex), model.AccessRead, "SELECT value FROM kv WHERE key = $1", c.currentKey())
	if err != nil {
		c.report.Skipped++
		return
	}
	c.report.Checks++
	if len(values) != 1 || values[0] != strconv.Itoa(c.writeCount) {
		c.report.Violations++
	}
}

func (c *checker) address(addressIndex int) netip.AddrPort {
	return c.run.options.Addresses[addressIndex%len(c.run.options.Addresses)]
}

// query sends a statement as the first kind that has the given access, and returns the
// values of the rows.
func (c *checker) query(ctx context.Context, address netip.AddrPort, access model.Access, sql string, args ...any) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, c.run.options.StatementTimeout)
	defer cancel()
	conn, err := c.session.conn(ctx, address)
	if err != nil {
		return nil, err
	}
	rows, err := conn.Query(ctx, c.session.withComment(sql, c.run.kindFor(access)), args...)
	if err != nil {
		return nil, errors.Wrap(err, "check")
	}
	values, err := pgx.CollectRows(rows, pgx.RowTo[string])
	if err != nil {
		return nil, errors.Wrap(err, "check")
	}
	c.session.updateToken(conn)
	return values, nil
}

// kindFor returns the first kind that has the given access.
func (r *run) kindFor(access model.Access) Kind {
	for _, kind := range r.options.Kinds {
		if kind.Access == access {
			return kind
		}
	}
	return Kind{}
}

// checkReport returns the sum of all checkers' reports, or nil where there are no
// checkers.
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
