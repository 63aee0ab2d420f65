package clock

import (
	"context"
	"time"
)

const (
	// watchEvery is how often a Watch looks whether the host was suspended.
	watchEvery = 500 * time.Millisecond
	// sleptLeast is the least suspension that counts: two clocks are not read in the same moment, and
	// what a host does in less it does on a slow processor, too.
	sleptLeast = 50 * time.Millisecond
)

// Slept is how long a host was suspended between two moments, given the time that passed by a clock
// that counts suspensions, and by one that does not; 0: not for long enough to count.
func Slept(passed, steady time.Duration) time.Duration {
	if passed-steady < sleptLeast {
		return 0
	}
	return passed - steady
}

// Watch tells each time that the host was suspended, soon after it wakes, until the context ends.
func Watch(ctx context.Context, woke func(slept time.Duration)) {
	ticker := time.NewTicker(watchEvery)
	defer ticker.Stop()
	last, steady := Now(), time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			now, steadyNow := Now(), time.Now()
			if slept := Slept(now.Sub(last), steadyNow.Sub(steady)); slept > 0 {
				woke(slept)
			}
			last, steady = now, steadyNow
		}
	}
}
