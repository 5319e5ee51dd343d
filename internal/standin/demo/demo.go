// Package demo demonstrates session consistency on one machine: with a simulated
// platform, three simulated databases and two instances of eelgrassfold, a
// PostgreSQL client writes through one instance and reads through the other.
//
// # What flows in and out
//
// The directory of the built binaries flows in. A description of each step, and
// the instances' log lines about it, flow out on standard output. Package deploy
// starts and stops the processes.
//
// # Usage
//
//	demo -binaries .build
package demo

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/eelgrassfold/eelgrassfold/internal/core/model"
	"github.com/eelgrassfold/eelgrassfold/internal/standin/deploy"
)

const (
	// timeout limits the duration of the whole demo.
	timeout = 50 * time.Second
	group   = "finishes"
	kind    = "post-finish"
)

// Main runs the demo and returns the exit code.
func Main() int {
	binaries := flag.String("binaries", ".build", "directory of the built binaries")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	d := &demo{out: os.Stdout, binaries: *binaries}
	if err := d.run(ctx); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "demo:", err)
		return 1
	}
	return 0
}

// demo is one run of the demo.
type demo struct {
	*deploy.Deployment
	out      io.Writer
	binaries string
}

func (d *demo) run(ctx context.Context) (err error) {
	if err := d.start(ctx); err != nil {
		return err
	}
	defer func() {
		if stopErr := d.stop(err != nil); err == nil {
			err = stopErr
		}
	}()
	for _, step := range []func(context.Context) error{d.writeAndRead, d.showLog, d.showStatus} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// start starts the deployment with the example manifest, of which it replaces the
// groups.
func (d *demo) start(ctx context.Context) error {
	exampleManifest, err := os.ReadFile(filepath.Join("examples", "consortium", "manifest.toml"))
	if err != nil {
		return errors.WithStack(err)
	}
	baseManifest, _, _ := strings.Cut(string(exampleManifest), "[[group]]")
	d.printf("== start one platform, three databases, two instances, and submit examples/consortium")
	d.Deployment, err = deploy.Start(ctx, deploy.Options{
		Binaries:     d.binaries,
		Zones:        []model.ZoneID{"lanier", "savannah", "allatoona"},
		Groups:       []model.GroupID{group},
		Instances:    2,
		BaseManifest: baseManifest,
	})
	if err != nil {
		return err
	}
	d.printf("   platform    %s", d.PlatformAddress)
	for _, database := range d.Databases {
		d.printf("   %-11s %s in %s", database.Name, database.Address, database.Zone)
	}
	for _, in := range d.Instances {
		d.printf("   %-11s %s in %s, operators %s", in.Name, in.CallerAddress, in.Zone, in.OperatorAddress)
	}
	return nil
}

// printf prints one line.
func (d *demo) printf(format string, values ...any) {
	_, _ = fmt.Fprintf(d.out, format+"\n", values...)
}

// stop stops all processes. If the demo or the stop failed, it prints the last
// lines of each log.
func (d *demo) stop(failed bool) error {
	d.printf("== stop: instances drain, then the stand-ins end")
	err := d.Stop()
	if failed || err != nil {
		for _, process := range d.Processes() {
			d.printf("-- the end of the log of %s:\n%s", process.Name, process.LogTail())
		}
	}
	return err
}
