// Package demo shows the whole path on one machine: a stand-in platform, three
// stand-in databases, two instances of eelgrassfold, and a PostgreSQL client
// that writes through one instance and reads through the other.
//
// # What flows in and out
//
// The directory of the built binaries flows in. What is done, and the
// instances' log lines about it, flow out on standard output. All files stand
// in a temporary directory that is removed at the end; every process that the
// demo started is ended by it, whatever happens.
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
	"net/netip"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/pkg/errors"
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
	d, err := newDemo(*binaries, os.Stdout)
	if err == nil {
		err = d.run(ctx)
	}
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "demo:", err)
		return 1
	}
	return 0
}

// demo holds what was started.
type demo struct {
	out      io.Writer
	binaries string
	folder   string
	started  []*process

	platform  string
	databases []node
	instances []instance
}

// node is one database.
type node struct {
	name, zone string
	address    netip.AddrPort
}

// instance is one instance of eelgrassfold.
type instance struct {
	name, zone                string
	callers, peers, operators netip.AddrPort
	process                   *process
}

func newDemo(binaries string, out io.Writer) (*demo, error) {
	folder, err := os.MkdirTemp("", "eelgrassfold-demo-")
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return &demo{out: out, binaries: binaries, folder: folder}, nil
}

func (d *demo) run(ctx context.Context) (err error) {
	defer func() {
		if failure := d.stop(err != nil); err == nil {
			err = failure
		}
	}()
	steps := []func(context.Context) error{
		d.startPlatform,
		d.startDatabases,
		d.startInstances,
		d.submit,
		d.awaitManifest,
		d.writeAndRead,
		d.showLog,
		d.showStatus,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (d *demo) say(format string, values ...any) {
	_, _ = fmt.Fprintf(d.out, format+"\n", values...)
}

// stop ends all processes, the ones started last first, and removes the files.
// After a failure it shows the last lines of each instance's log.
func (d *demo) stop(failed bool) error {
	d.say("== stop: instances drain, then the stand-ins end")
	var first error
	for i := len(d.started) - 1; i >= 0; i-- {
		if err := d.started[i].stop(); err != nil && first == nil {
			first = err
		}
	}
	if failed || first != nil {
		for _, process := range d.started {
			d.say("-- the end of the log of %s:\n%s", process.name, process.tail())
		}
	}
	if err := os.RemoveAll(d.folder); err != nil && first == nil {
		first = errors.WithStack(err)
	}
	return first
}

func (d *demo) path(name string) string { return filepath.Join(d.folder, name) }
