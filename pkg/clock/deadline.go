package clock

import (
	"context"
	"time"
)

// Deadline returns the deadline of a context as a time of Now, or now plus fallback if the context has none. The
// deadlines of contexts do not count suspensions, so they can't be compared with times of Now.
func Deadline(ctx context.Context, now time.Time, fallback time.Duration) time.Time {
	deadline, ok := ctx.Deadline()
	if !ok {
		return now.Add(fallback)
	}
	return now.Add(time.Until(deadline))
}
