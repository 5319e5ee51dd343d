// Package demo shows the whole path on one machine: a stand-in platform, three
// stand-in databases, two instances of eelgrassfold, and a PostgreSQL client
// that writes through one instance and reads through the other.
//
// # What flows in and out
//
// The directory of the built binaries flows in. What is done, and the
// instances' log lines about it, flow out on standard output. Package deploy
// starts and ends the processes.
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
	// limit bounds the whole demo.
	limit = 50 * time.Second
	group = "finishes"
	kind  = "post-finish"
)

// Main runs the demo and returns the exit code.
func Main() int {
	binaries := flag.String("binaries", ".build", "directory of the built binaries")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	d := &demo{out: os.Stdout, binaries: *binaries}
	if err := d.run(ctx); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "demo:", err)
		return 1
	}
	return 0
}

// demo holds what was started.
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
		if failure := d.stop(err != nil); err == nil {
			err = failure
		}
	}()
	for _, step := range []func(context.Context) error{d.writeAndRead, d.showLog, d.showStatus} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// start starts the deployment under the example manifest.
func (d *demo) start(ctx context.Context) error {
	example, err := os.ReadFile(filepath.Join("examples", "consortium", "manifest.toml"))
	if err != nil {
		return errors.WithStack(err)
	}
	text, _, _ := strings.Cut(string(example), "[[group]]")
	d.say("== start one platform, three databases, two instances, and submit examples/consortium")
	d.Deployment, err = deploy.Start(ctx, deploy.Options{
		Binaries:     d.binaries,
		Zones:        []model.ZoneID{"lanier", "savannah", "allatoona"},
		Groups:       []model.GroupID{group},
		Instances:    2,
		BaseManifest: text,
	})
	if err != nil {
		return err
	}
	d.say("   platform    %s", d.PlatformAddress)
	for _, database := range d.Databases {
		d.say("   %-11s %s in %s", database.Name, database.Address, database.Zone)
	}
	for _, in := range d.Instances {
		d.say("   %-11s %s in %s, operators %s", in.Name, in.CallerAddress, in.Zone, in.OperatorAddress)
	}
	return nil
}

func (d *demo) say(format string, values ...any) {
	_, _ = fmt.Fprintf(d.out, format+"\n", values...)
}

// stop ends all processes. After a failure it shows the last lines of each log.
func (d *demo) stop(failed bool) error {
	d.say("== stop: instances drain, then the stand-ins end")
	err := d.Stop()
	if failed || err != nil {
		for _, process := range d.Processes() {
			d.say("-- the end of the log of %s:\n%s", process.Name, process.LogTail())
		}
	}
	return err
}
