package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// reading is what one reading of CLOCK_BOOTTIME showed, and when it was made.
type reading struct {
	at time.Time
	// boot is that clock, suspended for how long the host was suspended since the first reading.
	boot, suspended time.Duration
}

// first is the reading that suspensions are counted from, last the newest one.
var (
	first = &reading{at: time.Now(), boot: boottime()}
	last  atomic.Pointer[reading]
)

// Now is the present time, with the time in which the host was suspended since the process began. It goes by
// CLOCK_BOOTTIME, which runs through a suspension, and which nobody sets; where the time of day has moved
// otherwise than the steady clock, that is only a reason to read CLOCK_BOOTTIME at once.
//
// Differences and comparisons among such times are right, whatever was set or suspended in between. They must
// not be mixed with what time.Now gives: deadlines of sockets and contexts, and the time of day that callers
// see, go on to use that.
func Now() time.Time {
	now := time.Now()
	r := last.Load()
	if r == nil || !holds(now.Sub(r.at), time.Duration(now.UnixNano()-r.at.UnixNano())) {
		r = read(now, r)
	}
	return now.Add(r.suspended)
}

// read reads the clock anew. Of several threads that do, each keeps the longest suspension that is known.
func read(now time.Time, before *reading) *reading {
	r := &reading{at: now, boot: boottime()}
	if before == nil {
		before = first
	}
	r.suspended = max(before.suspended, Slept(r.boot-first.boot, now.Sub(first.at)))
	last.Store(r)
	return r
}

func boottime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Kernels have had this clock since 2.6.39; without it no time can be trusted here.
		panic(err)
	}
	return time.Duration(t.Nano())
}
