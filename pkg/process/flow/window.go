// Package flow decides how many bytes of orders a leader has on their way at once.
//
// Package cell asks it before it sends orders. Load pattern: jobs of many tasks come together at a
// host with a narrow link. Sent all at once, their orders wait for one another in the link,
// and behind them the renewals of leases and of the leadership; what waits longer than its
// time-out is sent again, so that load makes more load. Orders that a Window holds back stay
// with the leader, where what is urgent goes first and what is needless is never sent.
//
// It makes no calls and reads no clock. A Window belongs to one thread.
package flow

import "time"

const (
	// targetDelay is how long an order may wait for those before it: a quarter of the
	// shortest known objective of callers (250 ms beyond the work itself), a fiftieth of
	// a lease.
	targetDelay = 60 * time.Millisecond
	// initialSize is the window before anything was answered: 0.13 s of a link of
	// 2 Mbit/s, 27 orders of 1.2 kB.
	initialSize = 32 << 10
	// minSize is always allowed: 5 orders, so that one lost answer does not stop
	// the rest.
	minSize = 6 << 10
	// maxSize bounds what a fast link may be given: above it the window binds nothing.
	maxSize = 1 << 20
	// minShrinkFactor bounds how much one answer may take off the window.
	minShrinkFactor = 0.5
	// fastestSpan is how long the fastest answer counts as what an answer takes by itself;
	// between one and two spans are kept, so that a lasting change is believed in time.
	fastestSpan = 10 * time.Second
	// refillShare is the share of the window that has to be free before orders are taken
	// again: one decision for several orders costs the processor less than one for each.
	refillShare = 0.25
)

const (
	// LeastTimeout is the shortest time-out of an order: a hundred times what an
	// answer takes on a link that is not full.
	LeastTimeout = 400 * time.Millisecond
	// MostTimeout is the longest: a worker carries an order out for 2 s at most.
	MostTimeout = 1600 * time.Millisecond
	// smoothing is the weight of the newest answer in the mean answer time and in its
	// mean deviation; deviations is how many of these a time-out allows (both as in
	// the retransmission timers of TCP).
	smoothing         = 0.125
	timeoutDeviations = 4
)

// Window is one leader's. Its rule is one of delay: as long as answers take hardly longer
// than the fastest of late, it grows by what was answered; once the difference (orders that
// wait in the link, or for the processor) is above a target, it shrinks in proportion. So it
// finds the rate of the link and of the host without being told either.
type Window struct {
	size     float64
	inFlight int
	// heldBack says that the last order that was asked for was held back: a window that
	// is not used up does not grow.
	heldBack bool
	// fastest and lastBase are the fastest answers of the present span and of the one
	// before.
	fastest, lastFastest          time.Duration
	fastestSince                  time.Time
	shrunkAt                      time.Time
	answeredAt                    time.Time
	meanAnswerTime, meanDeviation time.Duration
}

// NewWindow returns one that has seen no answer.
func NewWindow() *Window { return &Window{size: initialSize} }

// Size is how many bytes may be on their way.
func (w *Window) Size() int { return int(w.size) }

// InFlight is how many bytes are on their way.
func (w *Window) InFlight() int { return w.inFlight }

// AnswerTime is how long answers take, on the whole.
func (w *Window) AnswerTime() time.Duration { return w.meanAnswerTime }

// Room says whether one more order may be sent. One that is larger than the window is
// sent when nothing else is on its way.
func (w *Window) Room() bool {
	w.heldBack = w.inFlight > 0 && float64(w.inFlight) >= w.size
	return !w.heldBack
}

// Refilled says whether orders were held back and so much of the window is free by now
// that taking them up pays.
func (w *Window) Refilled() bool {
	return w.heldBack && (w.inFlight == 0 || float64(w.inFlight) <= w.size*(1-refillShare))
}

// Sent counts an order as on its way.
func (w *Window) Sent(bytes int) { w.inFlight += bytes }

// Answered takes in that an order was answered so long after it was sent.
func (w *Window) Answered(now time.Time, took time.Duration, bytes int) {
	w.removeInFlight(bytes)
	w.answeredAt = now
	w.updateAnswerTimes(now, took)
	waited := took - min(w.fastest, w.lastFastest)
	if waited > targetDelay {
		w.shrink(now, float64(targetDelay)/float64(waited))
		return
	}
	if w.heldBack {
		w.size = min(maxSize, w.size+float64(bytes)*(1-float64(waited)/float64(targetDelay)))
	}
}

// Unanswered takes in that an order got no answer for so long. One sent before others
// that were answered tells of its worker, and one that failed at once of a closed port:
// only a silence on all sides tells of the link.
func (w *Window) Unanswered(now time.Time, took time.Duration, bytes int) {
	w.removeInFlight(bytes)
	if took >= LeastTimeout && now.Sub(w.answeredAt) >= took {
		w.shrink(now, minShrinkFactor)
	}
}

func (w *Window) removeInFlight(bytes int) { w.inFlight = max(0, w.inFlight-bytes) }

// updateAnswerTimes keeps the fastest answers, and the mean with its deviation.
func (w *Window) updateAnswerTimes(now time.Time, took time.Duration) {
	if w.fastestSince.IsZero() {
		w.fastest, w.lastFastest, w.fastestSince = took, took, now
		w.meanAnswerTime, w.meanDeviation = took, took/2
		return
	}
	if now.Sub(w.fastestSince) > fastestSpan {
		w.lastFastest, w.fastest, w.fastestSince = w.fastest, took, now
	}
	w.fastest = min(w.fastest, took)
	off := took - w.meanAnswerTime
	w.meanAnswerTime += time.Duration(smoothing * float64(off))
	w.meanDeviation += time.Duration(smoothing * float64(off.Abs()-w.meanDeviation))
}

// shrink takes at most one step in a mean answer time: the answers to what is on its
// way already tell of the window as it was.
func (w *Window) shrink(now time.Time, factor float64) {
	if now.Sub(w.shrunkAt) < max(w.meanAnswerTime, targetDelay) {
		return
	}
	w.shrunkAt = now
	w.size = max(minSize, w.size*max(minShrinkFactor, factor))
}

// Timeout is how long to wait for an answer: several times what answers vary by above
// what they take. An order that is late is waited for; sent again it would wait behind
// itself.
func (w *Window) Timeout() time.Duration {
	return min(MostTimeout, max(LeastTimeout, w.meanAnswerTime+timeoutDeviations*w.meanDeviation))
}
