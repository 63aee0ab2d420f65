// Package idletimeout ends a call when no data has arrived for a given time, rather than
// after a fixed total time.
//
// An answer of 250 kB takes a second on a link of 2 Mbit/s, and longer beside other
// traffic. A fixed timeout would end the call, its retry would start from the first byte,
// and the link would carry nothing but first parts of the answer for as long as the process runs.
//
// A process that got no processor for a while, since its host was suspended or overloaded, sees the idle time over too late, and
// the answers that arrived meanwhile are not read yet. The idle time is then extended by as much, so that they are read first.
package idletimeout

import (
	"context"
	"sync"
	"time"
)

// lateDivisor is the part of the idle time from which on a timer counts as late.
const lateDivisor = 9

type key struct{}

// idleTimer calls over, once, after an idle time without data.
type idleTimer struct {
	idle  time.Duration
	over  func()
	mu    sync.Mutex
	ended bool
	timer *time.Timer
	// due is when the timer should fire, extension by how much the idle time may still be extended.
	due       time.Time
	extension time.Duration
}

// newIdleTimer returns an idleTimer that runs.
func newIdleTimer(idle time.Duration, over func()) *idleTimer {
	t := &idleTimer{idle: idle, over: over, due: time.Now().Add(idle), extension: idle}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(idle, t.fired)
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
	t.ended = true
	t.timer.Stop()
}

// fired calls over, unless the timer has fired late.
func (t *idleTimer) fired() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	late := now.Sub(t.due)
	switch {
	case t.ended || late < 0: // restarted meanwhile
	case late >= t.idle/lateDivisor && t.extension > 0:
		span := min(late, t.extension)
		t.extension -= span
		t.due = now.Add(span)
		t.timer.Reset(span)
	default:
		t.ended = true
		t.over()
	}
}

// restart begins the idle time again, unless it is over.
func (t *idleTimer) restart() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended {
		return
	}
	t.due, t.extension = time.Now().Add(t.idle), t.idle
	t.timer.Reset(t.idle)
}

// DataReceived restarts the idle timeout of a context that WithIdleTimeout returned. It does nothing
// for any other context.
func DataReceived(ctx context.Context) {
	if t, ok := ctx.Value(key{}).(*idleTimer); ok {
		t.restart()
	}
}
