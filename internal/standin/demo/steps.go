package demo

import (
	"context"
	"fmt"
	"net/url"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5"
	"github.com/pkg/errors"

	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
	"github.com/eelgrassfold/eelgrassfold/internal/standin/deploy"
)

// -----------------------------------------------------------------------------
// Write and read.

// readCount is the number of sessions that read the written value.
const readCount = 3

// writeAndRead writes a value through the first instance, and reads it through the
// second one in sessions that present the token of the writing session.
func (d *demo) writeAndRead(ctx context.Context) error {
	d.printf("== write through %s, read through %s", d.Instances[0].Name, d.Instances[1].Name)
	token, err := d.write(ctx)
	if err != nil {
		return err
	}
	for range readCount {
		value, err := d.read(ctx, token)
		if err != nil {
			return err
		}
		d.printf("   read    sail-4711 = %s", value)
		if value != "14:03:10" {
			return &deploy.ProcessError{Name: "read", Reason: "the write was not seen: " + strconv.Quote(value)}
		}
	}
	return nil
}

// write writes the value through the first instance and returns the session token.
func (d *demo) write(ctx context.Context) (string, error) {
	conn, err := d.connect(ctx, d.Instances[0], map[string]string{"eelgrassfold.kind": kind})
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close(ctx) }()
	_, err = conn.Exec(ctx, "INSERT INTO kv (key, value) VALUES ($1, $2)", "sail-4711", "14:03:10")
	if err != nil {
		return "", errors.WithStack(err)
	}
	token := conn.PgConn().ParameterStatus("eelgrassfold.token")
	d.printf("   written sail-4711 = 14:03:10, session token %s", token)
	return token, nil
}

// read reads the value through the second instance, in a session that presents
// token.
func (d *demo) read(ctx context.Context, token string) (string, error) {
	conn, err := d.connect(ctx, d.Instances[1], map[string]string{
		"eelgrassfold.kind":  "check-rating",
		"eelgrassfold.token": token,
	})
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close(ctx) }()
	var value string
	err = conn.QueryRow(ctx, "SELECT value FROM kv WHERE key = $1", "sail-4711").Scan(&value)
	return value, errors.WithStack(err)
}

func (d *demo) connect(ctx context.Context, in *deploy.Instance, parameters map[string]string) (*pgx.Conn, error) {
	address := url.URL{Scheme: "postgres", User: url.User("officer"), Host: in.CallerAddress.String(), Path: "/" + group}
	config, err := pgx.ParseConfig(address.String())
	if err != nil {
		return nil, errors.WithStack(err)
	}
	for name, value := range parameters {
		config.RuntimeParams[name] = value
	}
	conn, err := pgx.ConnectConfig(ctx, config)
	return conn, errors.WithStack(err)
}

// -----------------------------------------------------------------------------
// Logs and status.

// showLog prints the instances' log lines about routing and acknowledgement. It
// returns an error if no read or no write was logged as routed.
func (d *demo) showLog(context.Context) error {
	d.printf("== routing decisions in the logs")
	events := []event.Event{event.ReadRouted, event.WriteRouted, event.WriteAcknowledged}
	logged := map[int]bool{}
	for _, in := range d.Instances {
		for _, line := range in.Process.LogLines() {
			for _, expected := range events {
				if strings.Contains(line, fmt.Sprintf(" event=%d ", expected.Number)) {
					logged[expected.Number] = true
					d.printf("   %s", line)
				}
			}
		}
	}
	if !logged[event.ReadRouted.Number] || !logged[event.WriteRouted.Number] {
		return &deploy.ProcessError{Name: "logs", Reason: "a routing decision has no line"}
	}
	return nil
}

func (d *demo) showStatus(ctx context.Context) error {
	out, err := d.RunOperatorCommand(ctx, d.Instances[1], "status")
	if err != nil {
		return err
	}
	d.printf("== eelgrassfold status\n%s", out)
	return nil
}
