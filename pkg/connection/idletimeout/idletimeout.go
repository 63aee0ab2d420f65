// Package idletimeout ends a call when no data has arrived for a given time, rather than
// after a fixed total time.
//
// An answer of 250 kB takes a second on a link of 2 Mbit/s, and longer beside other
// traffic. A fixed timeout would end the call, its retry would start from the first byte,
// and the link would carry nothing but first parts of the answer for as long as the process runs.
//
// The idle time is counted in parts, each from when the part before it was seen to be over: time for which the process had no
// processor counts as one part at most. If the last part is seen to be over late, the idle time is extended by as much, so that the
// answers that arrived meanwhile are read first.
package idletimeout

import (
	"context"
	"sync"
	"time"
)

const (
	// parts is in how many parts the idle time is counted. Each of them wakes the process once.
	parts = 3
	// A timer that fires later than it was due by the idle time divided by lateDivisor, or more, has fired late. Timers of a
	// process that has a processor fire some milliseconds late.
	lateDivisor = 9
)

type key struct{}

// idleTimer calls over, once, after an idle time without data.
type idleTimer struct {
	idle  time.Duration
	over  func()
	mu    sync.Mutex
	ended bool
	timer *time.Timer
	// left is how many parts have not ended, due when the timer should fire, extension by how much the idle time may still be
	// extended.
	left      int
	due       time.Time
	extension time.Duration
}

// newIdleTimer returns an idleTimer that runs.
func newIdleTimer(idle time.Duration, over func()) *idleTimer {
	t := &idleTimer{idle: idle, over: over, left: parts, due: time.Now().Add(idle / parts), extension: idle}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(idle/parts, t.fired)
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

// Call makes a call, and returns its result. If it has not ended after the time idle, Call calls overdue, and goes on waiting for
// the result for the time grace: late is true for a result that came after overdue. Data that has arrived does not restart the
// time, which is counted as that of WithIdleTimeout otherwise.
func Call[T any](ctx context.Context, idle, grace time.Duration, call func(ctx context.Context) T, overdue func()) (result T, late bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	t := newIdleTimer(idle, func() {
		late = true
		overdue()
		time.AfterFunc(grace, cancel)
	})
	result = call(ctx)
	t.stop()
	return result, late
}

// stop ends the timer: over is not called any more, or has returned.
func (t *idleTimer) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ended = true
	t.timer.Stop()
}

// fired begins the next part, or calls over after the last one unless that has ended late.
func (t *idleTimer) fired() {
	t.mu.Lock()
	defer t.mu.Unlock()
	late := time.Since(t.due)
	switch {
	case t.ended:
	case late < 0: // restarted meanwhile
		t.timer.Reset(-late)
	case t.left > 1:
		t.left--
		t.set(t.idle / parts)
	case late >= t.idle/lateDivisor && t.extension > 0:
		span := min(late, t.extension)
		t.extension -= span
		t.set(span)
	default:
		t.ended = true
		t.over()
	}
}

// set sets the timer.
func (t *idleTimer) set(span time.Duration) {
	t.due = time.Now().Add(span)
	t.timer.Reset(span)
}

// restart begins the idle time again, unless it is over.
func (t *idleTimer) restart() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended {
		return
	}
	t.left, t.extension = parts, t.idle
	t.set(t.idle / parts)
}

// DataReceived restarts the idle timeout of a context that WithIdleTimeout returned. It does nothing
// for any other context.
func DataReceived(ctx context.Context) {
	if t, ok := ctx.Value(key{}).(*idleTimer); ok {
		t.restart()
	}
}
