// Package clock tells the present time to whoever decides.
//
// A host may be suspended for seconds. The steady clock of the language does not count that time, so a
// process that wakes would believe its last renewal, its readings and its leases to be as fresh as
// before. Now counts it: it reads CLOCK_BOOTTIME, which runs through a suspension, and which nobody
// sets. The time of day is set and jumps, so it is never read here.
//
// A time that Now gives is a point on that clock, in the form of a time.Time without the language's
// own steady reading: differences and comparisons among such times are right, whatever was set or
// suspended in between. They must not be mixed with what time.Now gives: deadlines of sockets and
// contexts, and the time of day that callers see, go on to use that. A check keeps time.Now out of the
// packages that decide (clock_test.go).
package clock
