package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// reading is one reading of CLOCK_BOOTTIME.
type reading struct {
	// at is the time of the reading by time.Now.
	at time.Time
	// boot is the value of CLOCK_BOOTTIME, suspended the time for which the host was suspended since the first
	// reading.
	boot, suspended time.Duration
}

// first is the reading from which suspensions are counted, last the newest one.
var (
	firstReading = &reading{at: time.Now(), boot: boottime()}
	lastReading  atomic.Pointer[reading]
)

// Now returns the current time, including the time for which the host was suspended since the process started. It
// relies on CLOCK_BOOTTIME, which advances during a suspension and can't be set. A jump of the time of day against the
// monotonic clock only causes CLOCK_BOOTTIME to be read at once.
//
// Differences and comparisons among such times are right even if the time of day was set or the host was suspended in
// between. They must not be mixed with results of time.Now, which deadlines of sockets and contexts and the time of
// day shown to callers still use.
func Now() time.Time {
	now := time.Now()
	r := lastReading.Load()
	if r == nil || !readingIsValid(now.Sub(r.at), time.Duration(now.UnixNano()-r.at.UnixNano())) {
		r = takeReading(now, r)
	}
	return now.Add(r.suspended)
}

// takeReading makes a new reading and stores it. Its suspension is at least that of the previous reading, so the clock doesn't
// go back when several goroutines read at the same time.
func takeReading(now time.Time, previous *reading) *reading {
	r := &reading{at: now, boot: boottime()}
	if previous == nil {
		previous = firstReading
	}
	r.suspended = max(previous.suspended, SuspendedFor(r.boot-firstReading.boot, now.Sub(firstReading.at)))
	lastReading.Store(r)
	return r
}

// boottime returns the value of CLOCK_BOOTTIME, the time since the host booted, including suspensions.
func boottime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Linux has had this clock since 2.6.39. Without it the package can't provide a reliable time.
		panic(err)
	}
	return time.Duration(t.Nano())
}
