package follower

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootClock returns the time since boot, including the time in which the machine was
// suspended, which Go's monotonic clock leaves out.
func BootClock() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The clock exists on every supported kernel, so this cannot fail.
		panic("read the boot clock: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
