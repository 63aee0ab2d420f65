// Package patience ends a call when no data has arrived for a given time, rather than
// after a fixed total time.
//
// An answer of 250 kB takes a second on a link of 2 Mbit/s, and longer beside other
// traffic. A fixed timeout would end the call, its retry would start from the first byte,
// and the link would carry nothing but first parts of the answer for the life of the process.
package patience

import (
	"context"
	"time"
)

type key struct{}

// WithSilence returns a context that ends when Heard has not been called for the time
// silence, and after the time most in any case.
func WithSilence(ctx context.Context, silence, most time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, most)
	timer := time.AfterFunc(silence, cancel)
	heard := func() { timer.Reset(silence) }
	return context.WithValue(ctx, key{}, heard), func() {
		timer.Stop()
		cancel()
	}
}

// Heard restarts the idle timeout of a context that WithSilence returned. It does nothing
// for any other context.
func Heard(ctx context.Context) {
	if heard, ok := ctx.Value(key{}).(func()); ok {
		heard()
	}
}
