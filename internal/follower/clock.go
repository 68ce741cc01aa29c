package follower

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootClock returns the time since boot. Unlike Go's monotonic clock, it also counts the time for
// which the computer was suspended.
func BootClock() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every supported kernel has this clock, so the call cannot fail.
		panic("read the boot clock: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
