// Package idletimeout ends a call when no data has arrived for a given time, rather than
// after a fixed total time.
//
// An answer of 250 kB takes a second on a link of 2 Mbit/s, and longer beside other
// traffic. A fixed timeout would end the call, its retry would start from the first byte,
// and the link would carry nothing but first parts of the answer for as long as the process runs.
//
// The idle time is counted in parts, each from when the part before it was seen to be over. A process that got no
// processor for a while, since its host was suspended or overloaded, loses one part by that. It reads what arrived
// meanwhile before the next part is over.
package idletimeout

import (
	"context"
	"sync"
	"time"
)

// parts is in how many parts the idle time is counted.
const parts = 9

type key struct{}

// idleTimer ends a call after a number of parts of its idle time without data.
type idleTimer struct {
	part   time.Duration
	cancel context.CancelFunc
	mu     sync.Mutex
	left   int
	timer  *time.Timer
}

// WithIdleTimeout returns a context that ends when DataReceived has not been called for the time
// idle, and after the time total in any case.
func WithIdleTimeout(ctx context.Context, idle, total time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, total)
	t := &idleTimer{part: idle / parts, cancel: cancel, left: parts}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(t.part, t.partOver)
	return context.WithValue(ctx, key{}, t), t.stop
}

// stop ends the call.
func (t *idleTimer) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.left = 0
	t.timer.Stop()
	t.cancel()
}

// partOver begins the next part, or ends the call after the last one.
func (t *idleTimer) partOver() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.left--
	if t.left <= 0 {
		t.cancel()
		return
	}
	t.timer.Reset(t.part)
}

// restart begins the first part again.
func (t *idleTimer) restart() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.left = parts
	t.timer.Reset(t.part)
}

// DataReceived restarts the idle timeout of a context that WithIdleTimeout returned. It does nothing
// for any other context.
func DataReceived(ctx context.Context) {
	if t, ok := ctx.Value(key{}).(*idleTimer); ok {
		t.restart()
	}
}
