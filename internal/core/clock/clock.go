// Package clock provides the time by which leases, ages and timeouts are measured.
//
// # What flows in and out
//
// The package has no inputs. Now returns the time since the machine booted, as a
// time.Time that is meaningful for differences only: it advances while the machine is
// suspended and ignores changes of the time of day. Go's monotonic clock stops during
// a suspension, so that a lease measured by it would be used for longer than its
// duration.
//
// # Usage
//
//	start := clock.Now()
//	...
//	age := clock.Since(start)
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// source is the clock that is read.
const source = unix.CLOCK_BOOTTIME

// Now returns the time since boot, including suspensions.
func Now() time.Time {
	var uptime unix.Timespec
	if err := unix.ClockGettime(source, &uptime); err != nil {
		// Every Linux kernel since 2.6.39 has this clock. Without it no age could be
		// measured reliably.
		panic(err)
	}
	return time.Unix(uptime.Sec, uptime.Nsec)
}

// Since returns the time that has passed since start, a value that Now returned.
func Since(start time.Time) time.Duration { return Now().Sub(start) }
