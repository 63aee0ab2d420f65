// Package patience bounds a call by the silence of the other side instead of by the
// length of the call.
//
// Load pattern: an answer of 250 kB on a link of 2 Mbit/s takes a second, and longer
// beside other traffic. Ended after a fixed time it is asked for again from its start,
// and the link carries nothing but beginnings of it, for as long as the process lives.
// An answer that still comes is therefore waited for; one that stands still is not.
package patience

import (
	"context"
	"time"
)

type key struct{}

// WithSilence returns a context that ends when Heard was not called for so long, and
// after most in any case.
func WithSilence(ctx context.Context, silence, most time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, most)
	timer := time.AfterFunc(silence, cancel)
	heard := func() { timer.Reset(silence) }
	return context.WithValue(ctx, key{}, heard), func() {
		timer.Stop()
		cancel()
	}
}

// Heard says that something came for the call of a context. On one that is not bounded
// by silence it does nothing.
func Heard(ctx context.Context) {
	if heard, ok := ctx.Value(key{}).(func()); ok {
		heard()
	}
}
