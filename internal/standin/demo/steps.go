package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/jackc/pgx/v5"
	"github.com/pkg/errors"

	"github.com/eelgrassfold/eelgrassfold/internal/report/event"
	"github.com/eelgrassfold/eelgrassfold/internal/report/status"
)

// -----------------------------------------------------------------------------
// Start.

func (d *demo) startPlatform(ctx context.Context) error {
	d.say("== start: one platform, three databases, two instances")
	process, err := d.start("platform", "standin", "platform")
	if err != nil {
		return err
	}
	addresses, err := process.addresses(ctx)
	if err != nil {
		return err
	}
	d.platform = addresses["listen"]
	d.say("   platform    %s", d.platform)
	return nil
}

func (d *demo) startDatabases(ctx context.Context) error {
	for i, zone := range []string{"lanier", "savannah", "allatoona"} {
		name := fmt.Sprintf("%s-%d", group, i+1)
		args := []string{"database", "--name", name, "--group", group, "--zone", zone}
		if i == 0 {
			args = append(args, "--primary")
		} else {
			args = append(args, "--source", d.databases[0].address.String())
		}
		process, err := d.start(name, "standin", args...)
		if err != nil {
			return err
		}
		addresses, err := process.addresses(ctx)
		if err != nil {
			return err
		}
		address, err := netip.ParseAddrPort(addresses["listen"])
		if err != nil {
			return errors.WithStack(err)
		}
		d.databases = append(d.databases, node{name: name, zone: zone, address: address})
		d.say("   %-11s %s in %s", name, address, zone)
	}
	return nil
}

func (d *demo) startInstances(context.Context) error {
	addresses, err := freeAddresses(6)
	if err != nil {
		return err
	}
	for i, zone := range []string{"lanier", "savannah"} {
		in := instance{
			name: zone + "-1", zone: zone,
			callers: addresses[3*i], peers: addresses[3*i+1], operators: addresses[3*i+2],
		}
		if err := d.startInstance(&in, addresses[1]); err != nil {
			return err
		}
		d.instances = append(d.instances, in)
		d.say("   %-11s %s in %s, operators %s", in.name, in.callers, zone, in.operators)
	}
	return nil
}

func (d *demo) startInstance(in *instance, seed netip.AddrPort) error {
	file := d.path(in.name + ".toml")
	if err := os.WriteFile(d.path(secretFile), []byte("a secret that the demo's processes share\n"), 0o600); err != nil {
		return errors.WithStack(err)
	}
	text := fmt.Sprintf(settingsText, in.name, in.zone, seed, in.callers, in.peers, in.operators,
		d.platform, d.path(secretFile), d.path(secretFile))
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return errors.WithStack(err)
	}
	process, err := d.start(in.name, "eelgrassfold", "serve", "--settings", file)
	in.process = process
	return err
}

// secretFile holds the key between instances and the operators' token.
const secretFile = "secret"

// settingsText is the settings of an instance, on loopback and without users.
const settingsText = `name = "%s"
zone = "%s"
seeds = ["%s"]

[listen]
callers = "%s"
peers = "%s"
operators = "%s"

[platform]
url = "http://%s"

[peer]
key = "file:%s"

[operator]
token = "file:%s"

[caller]
trust = true

[log]
format = "text"
`

// freeAddresses returns loopback addresses that nothing listens on now.
func freeAddresses(count int) ([]netip.AddrPort, error) {
	addresses := make([]netip.AddrPort, count)
	for i := range addresses {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errors.WithStack(err)
		}
		defer func() { _ = listener.Close() }()
		addresses[i] = listener.Addr().(*net.TCPAddr).AddrPort()
	}
	return addresses, nil
}

// -----------------------------------------------------------------------------
// Manifest.

// submit writes the example manifest for the databases that were started, and
// submits it.
func (d *demo) submit(ctx context.Context) error {
	example, err := os.ReadFile(filepath.Join("examples", "consortium", "manifest.toml"))
	if err != nil {
		return errors.WithStack(err)
	}
	text, _, _ := strings.Cut(string(example), "[[group]]")
	text += fmt.Sprintf("[[group]]\nname = %q\n", group)
	for _, database := range d.databases {
		text += fmt.Sprintf("[[group.database]]\nname = %q\nzone = %q\naddress = %q\n",
			database.name, database.zone, database.address)
	}
	file := d.path("manifest.toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return errors.WithStack(err)
	}
	d.say("== submit the manifest (examples/consortium, with these databases)")
	return retry(ctx, func() error {
		out, err := d.operate(ctx, d.instances[0], "submit", file, "--expected", "0")
		if err == nil {
			d.say("   $ eelgrassfold submit manifest.toml --expected 0\n   %s", out)
		}
		return err
	})
}

// awaitManifest waits until both instances have the manifest and know a primary.
func (d *demo) awaitManifest(ctx context.Context) error {
	for _, in := range d.instances {
		err := retry(ctx, func() error { return d.isServing(ctx, in) })
		if err != nil {
			return err
		}
		d.say("   %s has manifest 1 in force and knows the primary", in.name)
	}
	return nil
}

func (d *demo) isServing(ctx context.Context, in instance) error {
	if in.process.hasEnded() {
		return backoff.Permanent(&ProcessError{Name: in.name, Why: "ended early"})
	}
	out, err := d.operate(ctx, in, "status", "--json")
	if err != nil {
		return err
	}
	var report status.Status
	if err := json.Unmarshal([]byte(out), &report); err != nil {
		return backoff.Permanent(errors.WithStack(err))
	}
	if report.Manifest != 1 || len(report.Groups) != 1 || report.Groups[0].Primary == "" {
		return &ProcessError{Name: in.name, Why: "is not serving yet"}
	}
	return nil
}

// operate runs an operators' verb against an instance.
func (d *demo) operate(ctx context.Context, in instance, args ...string) (string, error) {
	args = append(args, "--address", in.operators.String(), "--token", "file:"+d.path(secretFile))
	command := exec.CommandContext(ctx, filepath.Join(d.binaries, "eelgrassfold"), args...)
	var failures bytes.Buffer
	command.Stderr = &failures
	out, err := command.Output()
	if err != nil {
		return "", &ProcessError{Name: "eelgrassfold " + args[0], Why: strings.TrimSpace(failures.String())}
	}
	return strings.TrimRight(string(out), "\n"), nil
}

// retry repeats a step until it succeeds or the demo's time is over.
func retry(ctx context.Context, step func() error) error {
	_, err := backoff.Retry(ctx, func() (bool, error) { return true, step() },
		backoff.WithBackOff(backoff.NewConstantBackOff(100*time.Millisecond)))
	return err
}

// -----------------------------------------------------------------------------
// Work.

// readCount is the number of sessions that read what was written.
const readCount = 3

// writeAndRead writes through the first instance, carries the session token to
// the second, and reads the write there.
func (d *demo) writeAndRead(ctx context.Context) error {
	d.say("== write through %s, read through %s", d.instances[0].name, d.instances[1].name)
	token, err := d.write(ctx)
	if err != nil {
		return err
	}
	for range readCount {
		value, err := d.read(ctx, token)
		if err != nil {
			return err
		}
		d.say("   read    sail-4711 = %s", value)
		if value != "14:03:10" {
			return &ProcessError{Name: "read", Why: "the write was not seen: " + strconv.Quote(value)}
		}
	}
	return nil
}

func (d *demo) write(ctx context.Context) (string, error) {
	conn, err := d.connect(ctx, d.instances[0], map[string]string{"eelgrassfold.kind": kind})
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close(ctx) }()
	_, err = conn.Exec(ctx, "INSERT INTO kv (key, value) VALUES ($1, $2)", "sail-4711", "14:03:10")
	if err != nil {
		return "", errors.WithStack(err)
	}
	token := conn.PgConn().ParameterStatus("eelgrassfold.token")
	d.say("   written sail-4711 = 14:03:10, session token %s", token)
	return token, nil
}

func (d *demo) read(ctx context.Context, token string) (string, error) {
	conn, err := d.connect(ctx, d.instances[1], map[string]string{
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

func (d *demo) connect(ctx context.Context, in instance, parameters map[string]string) (*pgx.Conn, error) {
	place := url.URL{Scheme: "postgres", User: url.User("officer"), Host: in.callers.String(), Path: "/" + group}
	config, err := pgx.ParseConfig(place.String())
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
// What it did.

// showLog prints the instances' lines about routing and acknowledgement.
func (d *demo) showLog(context.Context) error {
	d.say("== routing decisions in the logs")
	shown := []event.Event{event.ReadRouted, event.WriteRouted, event.WriteAcknowledged}
	found := map[int]bool{}
	for _, in := range d.instances {
		for _, line := range in.process.log.lines() {
			for _, e := range shown {
				if strings.Contains(line, fmt.Sprintf(" event=%d ", e.Number)) {
					found[e.Number] = true
					d.say("   %s", line)
				}
			}
		}
	}
	if !found[event.ReadRouted.Number] || !found[event.WriteRouted.Number] {
		return &ProcessError{Name: "logs", Why: "a routing decision has no line"}
	}
	return nil
}

func (d *demo) showStatus(ctx context.Context) error {
	out, err := d.operate(ctx, d.instances[1], "status")
	if err != nil {
		return err
	}
	d.say("== eelgrassfold status\n%s", out)
	return nil
}
