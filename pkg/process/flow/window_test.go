package flow_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/process/flow"
)

// link sends orders one after the other at a rate, and answers each after a way there
// and back.
type link struct {
	bytesPerSecond float64
	roundTrip      time.Duration
	idleAt         time.Time
}

type answer struct {
	at, sent time.Time
	bytes    int
}

func (l *link) send(now time.Time, bytes int) answer {
	if l.idleAt.Before(now) {
		l.idleAt = now
	}
	l.idleAt = l.idleAt.Add(time.Duration(float64(bytes) / l.bytesPerSecond * float64(time.Second)))
	return answer{at: l.idleAt.Add(l.roundTrip), sent: now, bytes: bytes}
}

const orderBytes = 1200

// fillWindow keeps a window as full as it allows for a time, and returns how many orders were
// answered, and the longest wait and the longest time-out in the second half.
func fillWindow(w *flow.Window, l *link, span time.Duration) (answered int, longest, timeout time.Duration) {
	start := time.Unix(1000, 0)
	var under []answer
	for now := start; now.Sub(start) < span; now = now.Add(time.Millisecond) {
		for len(under) > 0 && !under[0].at.After(now) {
			took := now.Sub(under[0].sent)
			w.Answered(now, took, under[0].bytes)
			answered++
			if now.Sub(start) > span/2 {
				longest, timeout = max(longest, took), max(timeout, w.Timeout())
			}
			under = under[1:]
		}
		for w.Room() {
			w.Sent(orderBytes)
			under = append(under, l.send(now, orderBytes))
		}
	}
	return answered, longest, timeout
}

// Forty and more orders wait at every moment for a link of 2 Mbit/s. Unbounded, they
// fill it without end; the window keeps the wait short and the link in use.
func TestWindowUsesSlowLinkWithoutFillingIt(t *testing.T) {
	t.Parallel()
	answered, longest, timeout := fillWindow(flow.NewWindow(), &link{bytesPerSecond: 250_000, roundTrip: 4 * time.Millisecond}, 10*time.Second)
	must.Greater(t, 10*250_000/orderBytes*8/10, answered, must.Sprint("the link stands idle"))
	must.Less(t, 250*time.Millisecond, longest)
	must.Eq(t, flow.LeastTimeout, timeout)
}

// On a fast link the window binds nothing: the rate is that of a window without bound.
func TestWindowDoesNotLimitFastLink(t *testing.T) {
	t.Parallel()
	answered, longest, _ := fillWindow(flow.NewWindow(), &link{bytesPerSecond: 25_000_000, roundTrip: 4 * time.Millisecond}, 5*time.Second)
	must.Greater(t, 5*25_000_000/orderBytes*3/4, answered)
	must.Less(t, 100*time.Millisecond, longest)
}

// Time-outs follow what answers take: on a path that takes half a second, an order is
// waited for, not sent twice.
func TestTimeoutsFollowAnswerTimes(t *testing.T) {
	t.Parallel()
	w := flow.NewWindow()
	must.Eq(t, flow.LeastTimeout, w.Timeout())
	_, longest, timeout := fillWindow(w, &link{bytesPerSecond: 250_000, roundTrip: 500 * time.Millisecond}, 20*time.Second)
	must.Greater(t, longest, timeout)
	must.LessEq(t, flow.MostTimeout, timeout)
}

// A window that was shut by answers that did not come opens again within a second once
// they do.
func TestWindowGrowsAgainAfterUnansweredOrders(t *testing.T) {
	t.Parallel()
	w := flow.NewWindow()
	now := time.Unix(900, 0)
	for range 20 {
		w.Sent(orderBytes)
		now = now.Add(time.Second)
		w.Unanswered(now, time.Second, orderBytes)
	}
	must.Less(t, 8<<10, w.Size())
	must.True(t, w.Room())
	fillWindow(w, &link{bytesPerSecond: 25_000_000, roundTrip: 4 * time.Millisecond}, time.Second)
	must.Greater(t, 60<<10, w.Size())
}

// One order is always let through, however large.
func TestOrderLargerThanWindowIsSentAlone(t *testing.T) {
	t.Parallel()
	w := flow.NewWindow()
	must.True(t, w.Room())
	w.Sent(2 << 20)
	must.False(t, w.Room())
	w.Answered(time.Unix(1000, 0), time.Second, 2<<20)
	must.True(t, w.Room())
}

// Orders that were held back are taken up for several at once.
func TestRefilledNeedsAQuarterOfTheWindow(t *testing.T) {
	t.Parallel()
	w := flow.NewWindow()
	n := 0
	for w.Room() {
		w.Sent(orderBytes)
		n++
	}
	must.False(t, w.Refilled())
	now := time.Unix(1000, 0)
	for range n/4 + 1 {
		w.Answered(now, 5*time.Millisecond, orderBytes)
	}
	must.True(t, w.Refilled())
}

// A worker that takes orders and does not answer is not the link's fault: beside others
// that answer, the window stays open.
func TestOneSilentWorkerDoesNotShrinkWindow(t *testing.T) {
	t.Parallel()
	w := flow.NewWindow()
	before := w.Size()
	now := time.Unix(1000, 0)
	for range 50 {
		now = now.Add(50 * time.Millisecond)
		w.Sent(2 * orderBytes)
		w.Answered(now, 5*time.Millisecond, orderBytes)
		w.Unanswered(now, flow.LeastTimeout, orderBytes)
	}
	must.Eq(t, before, w.Size())
}
