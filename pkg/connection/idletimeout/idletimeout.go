// Package idletimeout ends a call when no data has arrived for a given time, rather than
// after a fixed total time.
//
// An answer of 250 kB takes a second on a link of 2 Mbit/s, and longer beside other
// traffic. A fixed timeout would end the call, its retry would start from the first byte,
// and the link would carry nothing but first parts of the answer for as long as the process runs.
package idletimeout

import (
	"context"
	"time"
)

type key struct{}

// WithIdleTimeout returns a context that ends when DataReceived has not been called for the time
// idle, and after the time total in any case.
func WithIdleTimeout(ctx context.Context, idle, total time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, total)
	timer := time.AfterFunc(idle, cancel)
	restart := func() { timer.Reset(idle) }
	return context.WithValue(ctx, key{}, restart), func() {
		timer.Stop()
		cancel()
	}
}

// DataReceived restarts the idle timeout of a context that WithIdleTimeout returned. It does nothing
// for any other context.
func DataReceived(ctx context.Context) {
	if restart, ok := ctx.Value(key{}).(func()); ok {
		restart()
	}
}
