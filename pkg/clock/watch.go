package clock

import (
	"context"
	"time"
)

const (
	// watchInterval is the interval at which WatchSuspensions checks for a suspension.
	watchInterval = 500 * time.Millisecond
	// minSuspension is the shortest suspension that counts. Two clocks are not read at the same moment, and a slow
	// processor causes pauses as long as a shorter suspension, too.
	minSuspension = 50 * time.Millisecond
)

// SuspendedFor returns the time for which the host was suspended between two moments, or 0 if it is less than minSuspension.
// passed is the time between them by a clock that counts suspensions, steady by one that doesn't.
func SuspendedFor(passed, steady time.Duration) time.Duration {
	if passed-steady < minSuspension {
		return 0
	}
	return passed - steady
}

// WatchSuspensions calls woke with the length of each suspension of the host, soon after the host wakes. It returns when the
// context ends.
func WatchSuspensions(ctx context.Context, woke func(slept time.Duration)) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	last, steady := Now(), time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			now, steadyNow := Now(), time.Now()
			if slept := SuspendedFor(now.Sub(last), steadyNow.Sub(steady)); slept > 0 {
				woke(slept)
			}
			last, steady = now, steadyNow
		}
	}
}
