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

// idleTimer calls over, once, after a number of parts of an idle time without data.
type idleTimer struct {
	part  time.Duration
	over  func()
	mu    sync.Mutex
	left  int
	timer *time.Timer
}

// newIdleTimer returns an idleTimer that runs.
func newIdleTimer(idle time.Duration, over func()) *idleTimer {
	t := &idleTimer{part: idle / parts, over: over, left: parts}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(t.part, t.partOver)
	return t
}

// WithIdleTimeout returns a context that ends when DataReceived has not been called for the time
// idle, and after the time total in any case.
func WithIdleTimeout(ctx context.Context, idle, total time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, total)
	t := newIdleTimer(idle, cancel)
	return context.WithValue(ctx, key{}, t), func() {
		t.stop()
		cancel()
	}
}

// Call makes a call, and returns its result. If no data has arrived for the time idle, it calls overdue, and then goes on
// waiting for the result for the time grace: late is true for a result that came after overdue. The context that call gets
// ends after idle and grace, and an answer that has arrived by the end of idle is not late because nobody has read it yet.
func Call[T any](ctx context.Context, idle, grace time.Duration, call func(ctx context.Context) T, overdue func()) (result T, late bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	t := newIdleTimer(idle, func() {
		late = true
		overdue()
		time.AfterFunc(grace, cancel)
	})
	result = call(context.WithValue(ctx, key{}, t))
	t.stop()
	return result, late
}

// stop ends the timer: over is not called any more, or has returned.
func (t *idleTimer) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.left = 0
	t.timer.Stop()
}

// partOver begins the next part, or calls over after the last one.
func (t *idleTimer) partOver() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.left <= 0 {
		return
	}
	t.left--
	if t.left == 0 {
		t.over()
		return
	}
	t.timer.Reset(t.part)
}

// restart begins the first part again, unless the timer is over.
func (t *idleTimer) restart() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.left <= 0 {
		return
	}
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
