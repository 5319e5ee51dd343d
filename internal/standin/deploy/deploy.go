// Package deploy starts a whole deployment on one machine: a stand-in platform,
// groups of stand-in databases, and instances of eelgrassfold, each a process of
// its own on loopback.
//
// # What flows in and out
//
// Options flow in: how many of each, in which availability zones, with which
// flags. A Deployment flows out, whose processes can be killed, paused and made
// to fail. Files stand in a temporary directory that Stop removes; every process
// that the deployment started is ended by it.
//
// # Usage
//
//	d, err := deploy.Start(ctx, deploy.Options{Binaries: ".build", Zones: []model.ZoneID{"lanier"}, Instances: 2})
//	defer d.Stop()
package deploy

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/report/status"
)

// groupSize is the number of databases of a group.
const groupSize = 3

// Options tell what to start.
type Options struct {
	// Binaries is the directory of the built binaries.
	Binaries string
	// Zones are the availability zones; databases and instances go to them in
	// turn.
	Zones []model.ZoneID
	// Groups are the names of the groups, of three databases each.
	Groups []model.GroupID
	// Instances is the number of instances.
	Instances int
	// BaseManifest is the text of the manifest up to its groups, which follow from
	// what was started.
	BaseManifest string
	// DatabaseFlags are further flags of each database.
	DatabaseFlags []string
	// LogLevel is the log level of the instances; empty for "info".
	LogLevel string
}

// Database is one database.
type Database struct {
	Name         model.DatabaseID
	Group        model.GroupID
	Zone         model.ZoneID
	Address      netip.AddrPort
	AdminAddress netip.AddrPort
	Process      *Process
}

// Instance is one instance of eelgrassfold.
type Instance struct {
	Name                                        string
	Zone                                        model.ZoneID
	CallerAddress, PeerAddress, OperatorAddress netip.AddrPort
	Process                                     *Process
}

// Deployment holds what was started.
type Deployment struct {
	PlatformAddress netip.AddrPort
	Databases       []*Database
	Instances       []*Instance

	options Options
	folder  string
	started []*Process
}

// StartError reports a deployment that did not come up.
type StartError struct {
	Cause error
	// LogTails holds the end of each process's log, in the order of their start.
	LogTails []string
}

// Error implements error.
func (e *StartError) Error() string {
	return "start: " + e.Cause.Error() + "\n" + strings.Join(e.LogTails, "\n")
}

// Unwrap returns the cause.
func (e *StartError) Unwrap() error { return e.Cause }

// Start starts everything and returns when each instance has the manifest in
// force and knows every primary. After an error, a *StartError, nothing is left
// running.
func Start(ctx context.Context, options Options) (*Deployment, error) {
	folder, err := os.MkdirTemp("", "eelgrassfold-")
	if err != nil {
		return nil, errors.WithStack(err)
	}
	d := &Deployment{options: options, folder: folder}
	steps := []func(context.Context) error{
		d.startPlatform, d.startDatabases, d.startInstances, d.submitFirst, d.AwaitServing,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			_ = d.Stop()
			return nil, &StartError{Cause: err, LogTails: d.tails()}
		}
	}
	return d, nil
}

// Stop ends all processes, the ones started last first, and removes the files.
// It returns the first failure to end as asked.
func (d *Deployment) Stop() error {
	var first error
	for i := len(d.started) - 1; i >= 0; i-- {
		process := d.started[i]
		if process.HasEnded() {
			continue
		}
		_ = process.Resume()
		if err := process.Stop(); err != nil && first == nil {
			first = err
		}
	}
	if err := os.RemoveAll(d.folder); err != nil && first == nil {
		first = errors.WithStack(err)
	}
	return first
}

// tails returns the end of each process's log.
func (d *Deployment) tails() []string {
	tails := make([]string, 0, len(d.started))
	for _, process := range d.started {
		tails = append(tails, "-- "+process.Name+"\n"+process.LogTail())
	}
	return tails
}

// Processes returns all processes in the order of their start.
func (d *Deployment) Processes() []*Process { return d.started }

// -----------------------------------------------------------------------------
// Start.

func (d *Deployment) startPlatform(ctx context.Context) error {
	process, err := d.start("platform", "standin", "platform")
	if err != nil {
		return err
	}
	addresses, err := process.addresses(ctx)
	if err != nil {
		return err
	}
	d.PlatformAddress, err = netip.ParseAddrPort(addresses["listen"])
	return errors.WithStack(err)
}

func (d *Deployment) startDatabases(ctx context.Context) error {
	for _, group := range d.options.Groups {
		var source netip.AddrPort
		for i := range groupSize {
			name := model.DatabaseID(fmt.Sprintf("%s-%d", group, i+1))
			database := &Database{Name: name, Group: group, Zone: d.zone(i)}
			if err := d.startDatabase(ctx, database, source); err != nil {
				return err
			}
			d.Databases = append(d.Databases, database)
			if i == 0 {
				source = database.Address
			}
		}
	}
	return nil
}

// startDatabase starts a primary, or, with a source, a replica of it.
func (d *Deployment) startDatabase(ctx context.Context, database *Database, source netip.AddrPort) error {
	args := []string{
		"database", "--name", string(database.Name), "--group", string(database.Group), "--zone", string(database.Zone),
	}
	if source.IsValid() {
		args = append(args, "--source", source.String())
	} else {
		args = append(args, "--primary")
	}
	process, err := d.start(string(database.Name), "standin", append(args, d.options.DatabaseFlags...)...)
	if err != nil {
		return err
	}
	addresses, err := process.addresses(ctx)
	if err != nil {
		return err
	}
	database.Process = process
	database.Address, err = netip.ParseAddrPort(addresses["listen"])
	if err != nil {
		return errors.WithStack(err)
	}
	database.AdminAddress, err = netip.ParseAddrPort(addresses["admin"])
	return errors.WithStack(err)
}

func (d *Deployment) zone(i int) model.ZoneID { return d.options.Zones[i%len(d.options.Zones)] }

func (d *Deployment) startInstances(context.Context) error {
	if err := os.WriteFile(d.path(secretFile), []byte("a secret that the deployment's processes share\n"), 0o600); err != nil {
		return errors.WithStack(err)
	}
	const addressesEach = 3
	addresses, err := freeAddresses(addressesEach * d.options.Instances)
	if err != nil {
		return err
	}
	for i := range d.options.Instances {
		in := &Instance{
			Name: fmt.Sprintf("%s-%d", d.zone(i), i+1), Zone: d.zone(i),
			CallerAddress: addresses[3*i], PeerAddress: addresses[3*i+1], OperatorAddress: addresses[3*i+2],
		}
		d.Instances = append(d.Instances, in)
	}
	for _, in := range d.Instances {
		if err := d.StartInstance(in); err != nil {
			return err
		}
	}
	return nil
}

// StartInstance starts an instance, for the first time or again.
func (d *Deployment) StartInstance(in *Instance) error {
	level := d.options.LogLevel
	if level == "" {
		level = "info"
	}
	file := d.path(in.Name + ".toml")
	text := fmt.Sprintf(settingsText, in.Name, in.Zone, d.Instances[0].PeerAddress, d.Instances[len(d.Instances)-1].PeerAddress,
		in.CallerAddress, in.PeerAddress, in.OperatorAddress, d.PlatformAddress, d.path(secretFile), d.path(secretFile), level)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return errors.WithStack(err)
	}
	process, err := d.start(in.Name, "eelgrassfold", "serve", "--settings", file)
	in.Process = process
	return err
}

func (d *Deployment) path(name string) string { return filepath.Join(d.folder, name) }

// secretFile holds the key between instances and the operators' token.
const secretFile = "secret"

// settingsText is the settings of an instance, on loopback and without users.
const settingsText = `name = "%s"
zone = "%s"
seeds = ["%s", "%s"]

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
level = "%s"
`

// The ports of instances are drawn from below the range that Linux takes for
// outgoing connections by default (from 32768 on), so that none of those takes a
// port between its choice and the start, or the restart, of its instance.
const (
	lowestPort = 20000
	portCount  = 12000
	// portTries is the number of ports tried for one address.
	portTries = 100
)

// freeAddresses returns loopback addresses that nothing listens on now.
func freeAddresses(count int) ([]netip.AddrPort, error) {
	addresses := make([]netip.AddrPort, count)
	for i := range addresses {
		listener, err := listenAnywhere()
		if err != nil {
			return nil, err
		}
		defer func() { _ = listener.Close() }()
		addresses[i] = listener.Addr().(*net.TCPAddr).AddrPort()
	}
	return addresses, nil
}

// listenAnywhere listens on a port drawn at random.
func listenAnywhere() (net.Listener, error) {
	var last error
	for range portTries {
		port := lowestPort + rand.IntN(portCount)
		listener, err := net.Listen("tcp", netip.AddrPortFrom(loopback, uint16(port)).String())
		if err == nil {
			return listener, nil
		}
		last = err
	}
	return nil, errors.WithStack(last)
}

var loopback = netip.AddrFrom4([4]byte{127, 0, 0, 1})

// -----------------------------------------------------------------------------
// Manifest and readiness.

// ManifestText returns the manifest for what was started.
func (d *Deployment) ManifestText() string { return d.options.BaseManifest + d.GroupsText() }

// GroupsText returns the part of the manifest that declares the groups.
func (d *Deployment) GroupsText() string {
	text := ""
	for _, group := range d.options.Groups {
		text += fmt.Sprintf("[[group]]\nname = %q\n", group)
		for _, database := range d.Databases {
			if database.Group == group {
				text += fmt.Sprintf("[[group.database]]\nname = %q\nzone = %q\naddress = %q\n",
					database.Name, database.Zone, database.Address)
			}
		}
	}
	return text
}

func (d *Deployment) submitFirst(ctx context.Context) error {
	in := d.Instances[0]
	return Retry(ctx, func() error {
		if in.Process.HasEnded() {
			return backoff.Permanent(&ProcessError{Name: in.Name, Reason: "ended early"})
		}
		_, err := d.SubmitManifest(ctx, in, d.ManifestText(), 0)
		return err
	})
}

// SubmitManifest submits a manifest that was reviewed against a number.
func (d *Deployment) SubmitManifest(ctx context.Context, in *Instance, text string, expected int) (string, error) {
	file := d.path("manifest.toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return "", errors.WithStack(err)
	}
	return d.RunOperatorCommand(ctx, in, "submit", file, "--expected", fmt.Sprint(expected))
}

// AwaitServing waits until each running instance has a manifest in force and
// knows every primary.
func (d *Deployment) AwaitServing(ctx context.Context) error {
	for _, in := range d.Instances {
		if err := Retry(ctx, func() error { return d.isServing(ctx, in) }); err != nil {
			return err
		}
	}
	return nil
}

func (d *Deployment) isServing(ctx context.Context, in *Instance) error {
	if in.Process.HasEnded() {
		return backoff.Permanent(&ProcessError{Name: in.Name, Reason: "ended early: " + in.Process.LogTail()})
	}
	report, err := d.Status(ctx, in)
	if err != nil {
		return err
	}
	missing := &ProcessError{Name: in.Name, Reason: "is not serving yet"}
	if report.ManifestNumber == 0 || len(report.Groups) != len(d.options.Groups) {
		return missing
	}
	for _, group := range report.Groups {
		if group.Primary == "" || group.TermConfirmationAge == 0 {
			return missing
		}
	}
	return nil
}

// Status returns an instance's report.
func (d *Deployment) Status(ctx context.Context, in *Instance) (status.Status, error) {
	var report status.Status
	out, err := d.RunOperatorCommand(ctx, in, "status", "--json")
	if err != nil {
		return report, err
	}
	return report, errors.WithStack(json.Unmarshal([]byte(out), &report))
}

// RunOperatorCommand runs an operators' verb against an instance. Its error is a
// *ProcessError with the exit code.
func (d *Deployment) RunOperatorCommand(ctx context.Context, in *Instance, args ...string) (string, error) {
	args = append(args, "--address", in.OperatorAddress.String(), "--token", "file:"+d.path(secretFile))
	command := exec.CommandContext(ctx, filepath.Join(d.options.Binaries, "eelgrassfold"), args...)
	var failures bytes.Buffer
	command.Stderr = &failures
	out, err := command.Output()
	if err != nil {
		return "", &ProcessError{
			Name: "eelgrassfold " + args[0], Reason: strings.TrimSpace(failures.String()),
			ExitCode: command.ProcessState.ExitCode(),
		}
	}
	return strings.TrimRight(string(out), "\n"), nil
}

// Retry repeats a step until it succeeds or the context ends.
func Retry(ctx context.Context, step func() error) error {
	const pause = 100 * time.Millisecond
	_, err := backoff.Retry(ctx, func() (bool, error) { return true, step() },
		backoff.WithBackOff(backoff.NewConstantBackOff(pause)), backoff.WithMaxElapsedTime(0))
	return err
}
