// Package clock tells the present time to whoever decides.
//
// A host may be suspended for seconds, which the language's steady clock does not count: a
// process that wakes would believe its renewals, readings and leases to be as fresh as before.
// Now counts that time. What decides on the platform's path takes its time from here;
// clock_test.go keeps time.Now out of there.
//
// It never takes a time from the time of day, which is set and jumps.
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
