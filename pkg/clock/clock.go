// Package clock tells the present time to whoever decides.
//
// A host may be suspended for seconds. The steady clock of the language does not count that time, so a
// process that wakes would believe its last renewal, its readings and its leases to be as fresh as
// before. Now counts it: it goes by CLOCK_BOOTTIME, which runs through a suspension, and which nobody
// sets. The time of day is set and jumps, so no time is ever taken from it; where it has moved otherwise
// than the steady clock, that is only a reason to read the other one at once.
//
// A time that Now gives is the language's own, with its steady reading, moved on by how long the host was
// suspended: differences and comparisons among such times are right, whatever was set or suspended in
// between. They must not be mixed with what time.Now gives: deadlines of sockets and contexts, and the
// time of day that callers see, go on to use that. A check keeps time.Now out of the packages that decide
// (clock_test.go).
package clock

import "time"

const (
	// readEvery is how long, by the steady clock, one reading serves: a suspension that nothing else
	// shows is noticed after that.
	readEvery = 250 * time.Millisecond
	// moved is by how much the time of day has to have moved otherwise than the steady clock for
	// another reading at once. Suspensions last for seconds; the time of day is slewed by less.
	moved = 50 * time.Millisecond
)

// holds says whether a reading still serves, after a time by the steady clock and by the time of day.
func holds(steady, ofDay time.Duration) bool {
	return steady >= 0 && steady < readEvery && (ofDay-steady).Abs() < moved
}
