// Package deploy starts a whole deployment on one machine: a simulated platform,
// groups of simulated databases, and instances of eelgrassfold, each as a separate
// process that listens on loopback.
//
// # What flows in and out
//
// Options flow in: the groups, the number of instances, the availability zones and
// the flags. A Deployment flows out, whose processes can be killed and paused. The
// files are kept in a temporary directory. Stop ends every process that the
// deployment started and removes the directory.
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

// groupSize is the number of databases in each group.
const groupSize = 3

// Options configures a Deployment.
type Options struct {
	// Binaries is the directory that holds the built binaries.
	Binaries string
	// Zones are the availability zones. The databases of each group, and the
	// instances, are assigned to them in turn.
	Zones []model.ZoneID
	// Groups are the names of the groups. Each has groupSize databases.
	Groups []model.GroupID
	// Instances is the number of instances.
	Instances int
	// BaseManifest is the text of the manifest without its groups. They are
	// appended for the databases that were started.
	BaseManifest string
	// DatabaseFlags are additional flags for each database.
	DatabaseFlags []string
	// LogLevel is the log level of the instances. The default is "info".
	LogLevel string
	// CallerSettings are further lines of the section "caller" of the instances' settings.
	CallerSettings string
	// Linked puts a Link before each database and before the address for callers of
	// each instance.
	Linked bool
}

// Database is one simulated database of the deployment.
type Database struct {
	Name         model.DatabaseID
	Group        model.GroupID
	Zone         model.ZoneID
	Address      netip.AddrPort
	AdminAddress netip.AddrPort
	Process      *Process
	// Link carries the connections to Address if Options.Linked is set.
	Link *Link
}

// Instance is one instance of eelgrassfold in the deployment.
type Instance struct {
	Name                                        string
	Zone                                        model.ZoneID
	CallerAddress, PeerAddress, OperatorAddress netip.AddrPort
	Process                                     *Process
	// Link carries the connections of callers that connect to its address instead of
	// CallerAddress. It is present if Options.Linked is set.
	Link *Link
}

// Deployment is a running deployment.
type Deployment struct {
	PlatformAddress netip.AddrPort
	Databases       []*Database
	Instances       []*Instance

	options   Options
	directory string
	processes []*Process
	links     []*Link
	// reservation holds the addresses of the instances until the deployment is stopped.
	reservation *Reservation
}

// StartError reports a deployment that did not start completely.
type StartError struct {
	Cause error
	// LogTails holds the end of each process's log, in start order.
	LogTails []string
}

// Error implements error.
func (e *StartError) Error() string {
	return "start: " + e.Cause.Error() + "\n" + strings.Join(e.LogTails, "\n")
}

// Unwrap returns the cause.
func (e *StartError) Unwrap() error { return e.Cause }

// Start starts all processes and returns when each instance has the manifest in
// force and has confirmed a primary of every group. After a failed step it stops
// what it has started and returns a *StartError.
func Start(ctx context.Context, options Options) (*Deployment, error) {
	directory, err := os.MkdirTemp("", "eelgrassfold-")
	if err != nil {
		return nil, errors.WithStack(err)
	}
	d := &Deployment{options: options, directory: directory}
	steps := []func(context.Context) error{
		d.startPlatform, d.startDatabases, d.startInstances, d.startLinks, d.submitInitialManifest, d.AwaitServing,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			_ = d.Stop()
			return nil, &StartError{Cause: err, LogTails: d.logTails()}
		}
	}
	return d, nil
}

// Stop stops all processes in reverse start order and removes the files. It
// returns the first error of a process that did not stop as requested, or of the
// removal.
func (d *Deployment) Stop() error {
	var firstErr error
	for i := len(d.processes) - 1; i >= 0; i-- {
		process := d.processes[i]
		if process.HasEnded() {
			continue
		}
		_ = process.Resume()
		if err := process.Stop(); err != nil && firstErr == nil {
			firstErr = err
		}
	}
	for _, link := range d.links {
		if err := link.Close(); err != nil && firstErr == nil {
			firstErr = err
		}
	}
	if d.reservation != nil {
		if err := d.reservation.Close(); err != nil && firstErr == nil {
			firstErr = err
		}
	}
	if err := os.RemoveAll(d.directory); err != nil && firstErr == nil {
		firstErr = errors.WithStack(err)
	}
	return firstErr
}

// logTails returns the end of each process's log.
func (d *Deployment) logTails() []string {
	sections := make([]string, 0, len(d.processes))
	for _, process := range d.processes {
		sections = append(sections, "-- "+process.Name+"\n"+process.LogTail())
	}
	return sections
}

// Processes returns all processes in start order.
func (d *Deployment) Processes() []*Process { return d.processes }

// -----------------------------------------------------------------------------
// Start.

func (d *Deployment) startPlatform(ctx context.Context) error {
	process, err := d.startProcess("platform", "standin", "platform")
	if err != nil {
		return err
	}
	addresses, err := process.awaitAddresses(ctx)
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
			database := &Database{Name: name, Group: group, Zone: d.zoneAt(i)}
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

// startDatabase starts a replica of source if that is valid, or else a primary.
func (d *Deployment) startDatabase(ctx context.Context, database *Database, source netip.AddrPort) error {
	args := []string{
		"database", "--name", string(database.Name), "--group", string(database.Group), "--zone", string(database.Zone),
	}
	if source.IsValid() {
		args = append(args, "--source", source.String())
	} else {
		args = append(args, "--primary")
	}
	process, err := d.startProcess(string(database.Name), "standin", append(args, d.options.DatabaseFlags...)...)
	if err != nil {
		return err
	}
	addresses, err := process.awaitAddresses(ctx)
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

// zoneAt returns the zone of the database or instance with index i.
func (d *Deployment) zoneAt(i int) model.ZoneID { return d.options.Zones[i%len(d.options.Zones)] }

func (d *Deployment) startInstances(context.Context) error {
	if err := os.WriteFile(d.path(secretFile), []byte("a secret that the deployment's processes share\n"), 0o600); err != nil {
		return errors.WithStack(err)
	}
	const addressesPerInstance = 3
	reservation, err := ReserveAddresses(addressesPerInstance * d.options.Instances)
	if err != nil {
		return err
	}
	d.reservation = reservation
	addresses := reservation.Addresses
	for i := range d.options.Instances {
		in := &Instance{
			Name: fmt.Sprintf("%s-%d", d.zoneAt(i), i+1), Zone: d.zoneAt(i),
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

// startLinks starts the links. The manifest and replicas that are redirected use those of
// the databases; the first replication streams do not.
func (d *Deployment) startLinks(context.Context) error {
	if !d.options.Linked {
		return nil
	}
	start := func(target netip.AddrPort) (*Link, error) {
		link, err := newLink(target)
		if err == nil {
			d.links = append(d.links, link)
		}
		return link, err
	}
	for _, database := range d.Databases {
		link, err := start(database.Address)
		if err != nil {
			return err
		}
		database.Link, database.Address = link, link.Address
	}
	for _, in := range d.Instances {
		link, err := start(in.CallerAddress)
		if err != nil {
			return err
		}
		in.Link = link
	}
	return nil
}

// StartInstance starts an instance, or restarts one that has ended.
func (d *Deployment) StartInstance(in *Instance) error {
	level := d.options.LogLevel
	if level == "" {
		level = "info"
	}
	file := d.path(in.Name + ".toml")
	text := fmt.Sprintf(settingsTemplate, in.Name, in.Zone, d.Instances[0].PeerAddress, d.Instances[len(d.Instances)-1].PeerAddress,
		in.CallerAddress, in.PeerAddress, in.OperatorAddress, d.PlatformAddress, d.path(secretFile), d.path(secretFile), d.options.CallerSettings, level)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return errors.WithStack(err)
	}
	process, err := d.startProcess(in.Name, "eelgrassfold", "serve", "--settings", file)
	in.Process = process
	return err
}

// path returns the path of a file in the directory of the deployment.
func (d *Deployment) path(name string) string { return filepath.Join(d.directory, name) }

// secretFile is the name of the file that holds both the peer key of the
// instances and the operators' token.
const secretFile = "secret"

// settingsTemplate is the template of an instance's settings. The instance
// listens on loopback and trusts callers without authentication.
const settingsTemplate = `name = "%s"
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
%s

[log]
format = "text"
level = "%s"
`

var loopback = netip.AddrFrom4([4]byte{127, 0, 0, 1})

// -----------------------------------------------------------------------------
// Manifest and readiness.

// ManifestText returns the manifest that describes the deployment.
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

// submitInitialManifest submits the first manifest to the first instance. It
// retries until the instance accepts it.
func (d *Deployment) submitInitialManifest(ctx context.Context) error {
	in := d.Instances[0]
	return Retry(ctx, func() error {
		if in.Process.HasEnded() {
			return backoff.Permanent(&ProcessError{Name: in.Name, Reason: "ended early"})
		}
		_, err := d.SubmitManifest(ctx, in, d.ManifestText(), 0)
		return err
	})
}

// SubmitManifest submits a manifest to an instance. The number expected is that of
// the manifest that it was reviewed against. SubmitManifest returns the output of
// the command.
func (d *Deployment) SubmitManifest(ctx context.Context, in *Instance, text string, expected int) (string, error) {
	file := d.path("manifest.toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return "", errors.WithStack(err)
	}
	return d.RunOperatorCommand(ctx, in, "submit", file, "--expected", fmt.Sprint(expected))
}

// AwaitServing waits until each instance has a manifest in force and has confirmed
// a primary of every group. It returns an error if an instance has ended.
func (d *Deployment) AwaitServing(ctx context.Context) error {
	for _, in := range d.Instances {
		if err := Retry(ctx, func() error { return d.isServing(ctx, in) }); err != nil {
			return err
		}
	}
	return nil
}

// isServing returns nil if an instance has a manifest in force and has confirmed a
// primary of every group.
func (d *Deployment) isServing(ctx context.Context, in *Instance) error {
	if in.Process.HasEnded() {
		return backoff.Permanent(&ProcessError{Name: in.Name, Reason: "ended early: " + in.Process.LogTail()})
	}
	report, err := d.Status(ctx, in)
	if err != nil {
		return err
	}
	notServing := &ProcessError{Name: in.Name, Reason: "is not serving yet"}
	if report.ManifestNumber == 0 || len(report.Groups) != len(d.options.Groups) {
		return notServing
	}
	for _, group := range report.Groups {
		if group.Primary == "" || group.TermConfirmationAge == 0 {
			return notServing
		}
	}
	return nil
}

// Status returns the status report of an instance.
func (d *Deployment) Status(ctx context.Context, in *Instance) (status.Status, error) {
	var report status.Status
	out, err := d.RunOperatorCommand(ctx, in, "status", "--json")
	if err != nil {
		return report, err
	}
	return report, errors.WithStack(json.Unmarshal([]byte(out), &report))
}

// RunOperatorCommand runs an operator subcommand of eelgrassfold against an
// instance and returns its output. Its error is a *ProcessError with the exit
// code.
func (d *Deployment) RunOperatorCommand(ctx context.Context, in *Instance, args ...string) (string, error) {
	args = append(args, "--address", in.OperatorAddress.String(), "--token", "file:"+d.path(secretFile))
	command := exec.CommandContext(ctx, filepath.Join(d.options.Binaries, "eelgrassfold"), args...)
	var stderr bytes.Buffer
	command.Stderr = &stderr
	stdout, err := command.Output()
	if err != nil {
		return "", &ProcessError{
			Name: "eelgrassfold " + args[0], Reason: strings.TrimSpace(stderr.String()),
			ExitCode: command.ProcessState.ExitCode(),
		}
	}
	return strings.TrimRight(string(stdout), "\n"), nil
}

// Retry repeats a step until it succeeds, returns a permanent error, or the context
// ends.
func Retry(ctx context.Context, step func() error) error {
	const pause = 100 * time.Millisecond
	_, err := backoff.Retry(ctx, func() (bool, error) { return true, step() },
		backoff.WithBackOff(backoff.NewConstantBackOff(pause)), backoff.WithMaxElapsedTime(0))
	return err
}
