package drill

import (
	"context"
	"io"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/pkg/errors"

	"github.com/eelgrassfold/eelgrassfold/internal/standin/deploy"
)

// Idle measures the resident memory that idle callers' connections cost an instance.
// Each connection has run one read before it is idle.
type Idle struct {
	Steps []int `help:"Numbers of connections." default:"0,1000,2500,5000"`
}

// collectTime is the time before memory is read, in which the instance's garbage
// collector runs.
const collectTime = 8 * time.Second

// Run implements Experiment.
func (i *Idle) Run(ctx context.Context, out io.Writer, binaries string) error {
	d, err := startDeployment(ctx, binaries, 1)
	if err != nil {
		return err
	}
	defer func() { _ = d.Stop() }()
	writeRow(out, "idle: resident memory of one instance, each connection after one read")
	writeRow(out, "%11s %12s %18s", "connections", "resident MB", "KB a connection")
	var conns []*pgx.Conn
	defer func() {
		for _, conn := range conns {
			_ = conn.Close(ctx)
		}
	}()
	var baseline int64
	for _, count := range i.Steps {
		for len(conns) < count {
			conn, err := connectIdle(ctx, d)
			if err != nil {
				return err
			}
			conns = append(conns, conn)
		}
		if err := sleep(ctx, collectTime); err != nil {
			return err
		}
		_, resident, err := d.Instances[0].Process.Usage()
		if err != nil {
			return err
		}
		if baseline == 0 {
			baseline = resident
		}
		const kilobyte, megabyte = 1 << 10, 1 << 20
		perConnection := float64(resident-baseline) / kilobyte / float64(max(1, count))
		writeRow(out, "%11d %12.1f %18.1f", count, float64(resident)/megabyte, perConnection)
	}
	return nil
}

// connectIdle opens a connection and runs one read on it.
func connectIdle(ctx context.Context, d *deploy.Deployment) (*pgx.Conn, error) {
	url := "postgres://drill@" + d.Instances[0].CallerAddress.String() + "/" + string(group)
	conn, err := pgx.Connect(ctx, url)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	var value int
	const statement = "SELECT 1 /*kind='check'*/"
	if err := conn.QueryRow(ctx, statement, pgx.QueryExecModeSimpleProtocol).Scan(&value); err != nil {
		return nil, errors.WithStack(err)
	}
	return conn, nil
}

// sleep waits for a duration. Its error is that of the context if that ends first.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return errors.WithStack(ctx.Err())
	}
}
