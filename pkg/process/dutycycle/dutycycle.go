// Package dutycycle bounds the share of time in which a goroutine computes.
//
// The control goroutine of a leader decides after each batch of messages. Load pattern: on a host with little processor time
// each answer wakes it, and decisions take the time in which the answers behind them would be read. Pauses in proportion to the
// time of a batch leave that time to other goroutines, and let messages collect: one decision then covers several.
//
// The package reads no clock. A Limiter belongs to one goroutine.
package dutycycle

import "time"

const (
	// share is the part of the time that is left for batches in the long run: one in share.
	share = 3
	// burst is how much longer batches may take before they pause: a burst of messages is decided on at once where the processor
	// is otherwise free.
	burst = 40 * time.Millisecond
	// maxPause bounds the pause, so that a batch that took long once doesn't delay the next one.
	maxPause = 60 * time.Millisecond
)

// Limiter tells when the next batch may begin.
type Limiter struct {
	// excess is by how much batches had taken more than their share of the time at the time at.
	excess time.Duration
	at     time.Time
}

// Ran records that a batch began and ended.
func (l *Limiter) Ran(began, ended time.Time) {
	l.excess, l.at = min(l.excessAt(ended)+max(0, ended.Sub(began)), burst+maxPause/share), ended
}

// Pause returns how long to wait before a batch that could begin now; 0 if it may.
func (l *Limiter) Pause(now time.Time) time.Duration {
	return max(0, share*(l.excessAt(now)-burst))
}

// excessAt returns the excess without what the time since then has made up for.
func (l *Limiter) excessAt(now time.Time) time.Duration {
	return max(0, l.excess-max(0, now.Sub(l.at))/share)
}
