package clock

import (
	"testing"

	"golang.org/x/sys/unix"
)

// The time must advance while the machine is suspended. A test can't suspend the
// machine, so it checks the clock that is read.
func TestNowIncludesSuspensions(t *testing.T) {
	if source != unix.CLOCK_BOOTTIME {
		t.Errorf("the time is read from clock %d", source)
	}
	var want unix.Timespec
	before := Now()
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &want); err != nil {
		t.Fatal(err)
	}
	after := Now()
	if before.UnixNano() > want.Nano() || after.UnixNano() < want.Nano() {
		t.Errorf("%d is not between %d and %d", want.Nano(), before.UnixNano(), after.UnixNano())
	}
}
