package timer

import (
	"time"

	"golang.org/x/sys/unix"
)

// Suspended returns how long the machine has been suspended since an arbitrary
// moment; only differences have a meaning. The monotonic clock, which time.Now
// reads, does not count that time.
func Suspended() time.Duration {
	var boot, monotonic unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil {
		return 0 // both clocks exist on every system that this program is built for
	}
	return time.Duration(boot.Nano() - monotonic.Nano())
}
