// Package clock provides the current time to all code that makes decisions.
//
// A host may be suspended for seconds. Go's monotonic clock doesn't count that time, so a process would
// take its renewals, readings and leases to be as fresh as before the suspension. Now counts that time.
// Packages that decide on the platform's path take the time from here; clock_test.go refuses time.Now there.
//
// The package takes no time from the time of day, which is set and jumps.
package clock

import "time"

const (
	// maxReadingAge is the age by the monotonic clock up to which a reading of CLOCK_BOOTTIME is valid. A
	// suspension that leaves no jump in the time of day is noticed after that.
	maxReadingAge = 250 * time.Millisecond
	// timeOfDayJump is the difference between the advance of the time of day and that of the monotonic clock that makes a
	// reading invalid at once. Suspensions last for seconds; slewing moves the time of day by less.
	timeOfDayJump = 50 * time.Millisecond
)

// readingIsValid returns whether a reading is still valid. steady and ofDay are the time since the reading by the monotonic
// clock and by the time of day.
func readingIsValid(steady, ofDay time.Duration) bool {
	return steady >= 0 && steady < maxReadingAge && (ofDay-steady).Abs() < timeOfDayJump
}
