// Package clock tells the time by which leases, ages and time-outs are judged.
//
// # What flows in and out
//
// Nothing flows in. Now gives the time since the machine booted, as a
// time.Time that serves for differences only: it goes on while the machine is
// suspended and ignores changes of the time of day. Go's monotonic clock stands
// still during a suspension, so that a lease judged by it would outlive its
// length.
//
// # Usage
//
//	began := clock.Now()
//	...
//	age := clock.Since(began)
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot, suspensions included.
func Now() time.Time {
	var since unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &since); err != nil {
		// The clock is part of every kernel since 2.6.39; without it no age
		// could be trusted.
		panic(err)
	}
	return time.Unix(since.Sec, since.Nsec)
}

// Since returns the time that has passed since began, which Now has given.
func Since(began time.Time) time.Duration { return Now().Sub(began) }
