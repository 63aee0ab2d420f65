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
	// pauseFactor is how many times as long as a batch the pause after it is: a third of the time remains for batches.
	pauseFactor = 2
	// maxPause bounds the pause, so that a batch that took long once doesn't delay the next one.
	maxPause = 60 * time.Millisecond
)

// Limiter tells when the next batch may begin.
type Limiter struct{ notBefore time.Time }

// Ran records that a batch began and ended.
func (l *Limiter) Ran(began, ended time.Time) {
	l.notBefore = ended.Add(min(maxPause, pauseFactor*max(0, ended.Sub(began))))
}

// Pause returns how long to wait before a batch that could begin now; 0 if it may.
func (l *Limiter) Pause(now time.Time) time.Duration { return max(0, l.notBefore.Sub(now)) }
