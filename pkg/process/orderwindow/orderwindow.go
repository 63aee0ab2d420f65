// Package orderwindow limits the bytes of unanswered orders that a leader has sent.
//
// Package cell asks it before it sends orders. Load pattern: jobs of many tasks arrive together
// at a host with a slow link. Sent all at once, their orders queue in the link, and the renewals
// of leases and leadership queue behind them. A call that waits longer than its time-out is
// sent again, so that load adds load. Orders that a Window holds back stay with the leader,
// which sends urgent orders first and drops needless ones.
//
// The package makes no calls and reads no clock. A Window belongs to one thread.
package orderwindow

import "time"

const (
	// targetDelay is how long an order may queue behind earlier ones: a quarter of the
	// shortest known objective of callers (250 ms on top of the work itself), a fiftieth of
	// a lease.
	targetDelay = 60 * time.Millisecond
	// targetLag is for how long answers may wait for this process's processor. It is longer than targetDelay, since fewer
	// orders in flight shorten that wait only as far as it is caused by orders. For the same reason a longer wait shrinks the
	// window to minSizeByLag bytes at most.
	targetLag    = 200 * time.Millisecond
	minSizeByLag = 16 << 10
	// clearLagShare is the share of an answer time up to which the lag may overlap the transit of the answer without making it
	// look shorter than that of an empty link.
	clearLagShare = 0.25
	// initialSize is the window before the first answer, in bytes: 0.13 s of a link of
	// 2 Mbit/s, 27 orders of 1.2 kB.
	initialSize = 32 << 10
	// minSize is the smallest window, in bytes: 5 orders, so that one lost answer doesn't
	// stop all others.
	minSize = 6 << 10
	// maxSize is the largest window, in bytes: more than a fast link needs, so that the
	// window doesn't limit it.
	maxSize = 1 << 20
	// minShrinkFactor is the smallest factor by which one answer may shrink the window.
	minShrinkFactor = 0.5
	// fastestSpan is how long the fastest answer counts as the answer time of an empty link.
	// The fastest answers of the present and the previous span are kept, so a lasting change
	// takes effect after one to two spans.
	fastestSpan = 10 * time.Second
	// refillShare is the share of the window that must be free before orders are sent again:
	// one decision for several orders takes less processor time than one for each.
	refillShare = 0.25
)

const (
	// MinTimeout is the shortest time-out of an order: a hundred times the answer time on
	// a link that is not full.
	MinTimeout = 400 * time.Millisecond
	// MaxTimeout is the longest time-out of an order: a worker takes at most 2 s to carry
	// one out.
	MaxTimeout = 1600 * time.Millisecond
	// smoothing is the weight of the newest answer in the mean answer time and its mean
	// deviation; timeoutDeviations is how many mean deviations a time-out allows. Both are as
	// in the retransmission timers of TCP.
	smoothing         = 0.125
	timeoutDeviations = 4
)

// Window limits the bytes in flight of one leader. It controls the queueing delay: an answer
// time minus the fastest recent one. While the delay is below targetDelay, the window grows by
// the bytes answered; above it, the window shrinks in proportion. Orders queue in the link or
// for the processor. So the window adapts to the rate of both without any setting.
type Window struct {
	size     float64
	inFlight int
	// heldBack says that MaySend last returned false. A window that is not used up doesn't grow.
	heldBack bool
	// fastest and lastFastest are the fastest answer times of the present span and of the
	// previous one.
	fastest, lastFastest          time.Duration
	fastestSince                  time.Time
	shrunkAt                      time.Time
	answeredAt                    time.Time
	meanAnswerTime, meanDeviation time.Duration
}

// NewWindow returns a Window of the initial size.
func NewWindow() *Window { return &Window{size: initialSize} }

// Size returns how many bytes may be in flight.
func (w *Window) Size() int { return int(w.size) }

// InFlight returns how many bytes are in flight.
func (w *Window) InFlight() int { return w.inFlight }

// MeanAnswerTime returns the mean answer time.
func (w *Window) MeanAnswerTime() time.Duration { return w.meanAnswerTime }

// MaySend says whether one more order may be sent. An order larger than the window may be sent
// while nothing else is in flight.
func (w *Window) MaySend() bool {
	w.heldBack = w.inFlight > 0 && float64(w.inFlight) >= w.size
	return !w.heldBack
}

// Refilled says whether orders were held back and refillShare of the window is free by now.
func (w *Window) Refilled() bool {
	return w.heldBack && (w.inFlight == 0 || float64(w.inFlight) <= w.size*(1-refillShare))
}

// Sent records that an order was sent.
func (w *Window) Sent(bytes int) { w.inFlight += bytes }

// Answered records that an order was answered, its answer time, and for how much of that this process had no processor. An
// answer that waits to be read says nothing about the link.
func (w *Window) Answered(now time.Time, took, lag time.Duration, bytes int) {
	w.removeInFlight(bytes)
	w.answeredAt = now
	w.updateAnswerTimes(now, took, took-lag)
	queued := took - lag - min(w.fastest, w.lastFastest)
	byLink, byLag := float64(queued)/float64(targetDelay), float64(lag)/float64(targetLag)
	switch {
	case byLink > 1:
		w.shrink(now, 1/byLink, minSize)
	case byLag > 1:
		w.shrink(now, 1/byLag, min(w.size, minSizeByLag))
	case w.heldBack:
		w.size = min(maxSize, w.size+float64(bytes)*(1-max(byLink, byLag)))
	}
}

// Unanswered records that an order got no answer within the given time. The window shrinks only
// if no other order was answered in that time: a single silent worker says nothing about the
// link, nor does an order that fails at once because a port is closed.
func (w *Window) Unanswered(now time.Time, took time.Duration, bytes int) {
	w.removeInFlight(bytes)
	if took >= MinTimeout && now.Sub(w.answeredAt) >= took {
		w.shrink(now, minShrinkFactor, minSize)
	}
}

func (w *Window) removeInFlight(bytes int) { w.inFlight = max(0, w.inFlight-bytes) }

// updateAnswerTimes updates the fastest answer times on the way, the mean answer time and the mean deviation.
func (w *Window) updateAnswerTimes(now time.Time, took, onTheWay time.Duration) {
	if w.fastestSince.IsZero() {
		w.fastest, w.lastFastest, w.fastestSince = took, took, now
		w.meanAnswerTime, w.meanDeviation = took, took/2
		return
	}
	if lagIsClear := float64(took-onTheWay) <= clearLagShare*float64(took); lagIsClear {
		if now.Sub(w.fastestSince) > fastestSpan {
			w.lastFastest, w.fastest, w.fastestSince = w.fastest, onTheWay, now
		}
		w.fastest = min(w.fastest, onTheWay)
	}
	deviation := took - w.meanAnswerTime
	w.meanAnswerTime += time.Duration(smoothing * float64(deviation))
	w.meanDeviation += time.Duration(smoothing * float64(deviation.Abs()-w.meanDeviation))
}

// shrink shrinks the window, to least bytes at least, at most once per mean answer time, since the answers to orders
// already in flight still reflect the earlier size.
func (w *Window) shrink(now time.Time, factor, least float64) {
	if now.Sub(w.shrunkAt) < max(w.meanAnswerTime, targetDelay) {
		return
	}
	w.shrunkAt = now
	w.size = max(least, w.size*max(minShrinkFactor, factor))
}

// Timeout returns how long to wait for an answer: the mean answer time plus several mean
// deviations, within MinTimeout and MaxTimeout. It is long because an order that is sent
// again would queue behind its first copy.
func (w *Window) Timeout() time.Duration {
	return min(MaxTimeout, max(MinTimeout, w.meanAnswerTime+timeoutDeviations*w.meanDeviation))
}
