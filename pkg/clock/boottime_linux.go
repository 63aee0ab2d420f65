package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now is the present time, with the time in which the host was suspended.
func Now() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Kernels have had this clock since 2.6.39; without it no time can be trusted here.
		panic(err)
	}
	return time.Unix(t.Unix())
}
