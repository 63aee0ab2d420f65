package orderwindow_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/process/orderwindow"
)

// link sends orders one after the other at a fixed rate. Each answer arrives a round trip
// after its order has been sent.
type link struct {
	bytesPerSecond float64
	roundTrip      time.Duration
	idleAt         time.Time
	// readLate is for how long each answer waits for the processor of the sender's process.
	readLate time.Duration
}

type answer struct {
	at, sent time.Time
	lag      time.Duration
	bytes    int
}

func (l *link) send(now time.Time, bytes int) answer {
	if l.idleAt.Before(now) {
		l.idleAt = now
	}
	l.idleAt = l.idleAt.Add(time.Duration(float64(bytes) / l.bytesPerSecond * float64(time.Second)))
	return answer{at: l.idleAt.Add(l.roundTrip + l.readLate), sent: now, lag: l.readLate, bytes: bytes}
}

const orderBytes = 1200

// fillWindow sends orders for a time span whenever the window allows one. It returns how many
// were answered, and the longest answer time and longest time-out of the second half.
func fillWindow(w *orderwindow.Window, l *link, span time.Duration) (answered int, longest, timeout time.Duration) {
	start := time.Unix(1000, 0)
	var inFlight []answer
	for now := start; now.Sub(start) < span; now = now.Add(time.Millisecond) {
		for len(inFlight) > 0 && !inFlight[0].at.After(now) {
			took := now.Sub(inFlight[0].sent)
			w.Answered(now, took, inFlight[0].lag, inFlight[0].bytes)
			answered++
			if now.Sub(start) > span/2 {
				longest, timeout = max(longest, took), max(timeout, w.Timeout())
			}
			inFlight = inFlight[1:]
		}
		for w.MaySend() {
			w.Sent(orderBytes)
			inFlight = append(inFlight, l.send(now, orderBytes))
		}
	}
	return answered, longest, timeout
}

// At every moment forty or more orders wait for a link of 2 Mbit/s. Without a bound they would
// fill its queue. The window must keep the answer times short and the link busy.
func TestWindowUsesSlowLinkWithoutFillingIt(t *testing.T) {
	t.Parallel()
	answered, longest, timeout := fillWindow(orderwindow.NewWindow(), &link{bytesPerSecond: 250_000, roundTrip: 4 * time.Millisecond}, 10*time.Second)
	must.Greater(t, 10*250_000/orderBytes*8/10, answered, must.Sprint("the link is idle"))
	must.Less(t, 250*time.Millisecond, longest)
	must.Eq(t, orderwindow.MinTimeout, timeout)
}

// Guards against a window that stands at its floor on a fast link because this process reads the answers late.
func TestAnswersThatAreReadLateDoNotStopAFastLink(t *testing.T) {
	t.Parallel()
	w := orderwindow.NewWindow()
	answered, _, _ := fillWindow(w, &link{bytesPerSecond: 25_000_000, roundTrip: 4 * time.Millisecond, readLate: 150 * time.Millisecond}, 10*time.Second)
	must.Greater(t, 2000, answered)
	must.Greater(t, 64<<10, w.Size())
}

// An answer that waits longer than targetLag shrinks the window: more orders would only wait longer to be read.
func TestOrdersDoNotFillTheProcessor(t *testing.T) {
	t.Parallel()
	w := orderwindow.NewWindow()
	fillWindow(w, &link{bytesPerSecond: 25_000_000, roundTrip: 4 * time.Millisecond, readLate: 400 * time.Millisecond}, 10*time.Second)
	must.Between(t, 12<<10, w.Size(), 20<<10, must.Sprint("orders may not be what the processor is busy with"))
}

// Guards against a window that stands at its floor because one answer looked faster than the path is: its whole transit fell into
// a time without a processor.
func TestAnswerInATimeWithoutAProcessorIsNotTheFastest(t *testing.T) {
	t.Parallel()
	w := orderwindow.NewWindow()
	now := time.Unix(1000, 0)
	for range 400 {
		now = now.Add(10 * time.Millisecond)
		for w.MaySend() {
			w.Sent(orderBytes)
		}
		w.Answered(now, 80*time.Millisecond, 0, orderBytes)
		w.Answered(now, 85*time.Millisecond, 80*time.Millisecond, orderBytes)
	}
	must.Greater(t, 64<<10, w.Size())
}

// A full link is not left full because the processor is busy, too.
func TestFullLinkBesideABusyProcessorIsNotFilled(t *testing.T) {
	t.Parallel()
	_, longest, _ := fillWindow(orderwindow.NewWindow(), &link{bytesPerSecond: 250_000, roundTrip: 4 * time.Millisecond, readLate: 50 * time.Millisecond}, 10*time.Second)
	must.Less(t, 300*time.Millisecond, longest)
}

// On a fast link the window must allow the same rate as no window.
func TestWindowDoesNotLimitFastLink(t *testing.T) {
	t.Parallel()
	answered, longest, _ := fillWindow(orderwindow.NewWindow(), &link{bytesPerSecond: 25_000_000, roundTrip: 4 * time.Millisecond}, 5*time.Second)
	must.Greater(t, 5*25_000_000/orderBytes*3/4, answered)
	must.Less(t, 100*time.Millisecond, longest)
}

// Time-outs follow the answer times: on a path of half a second, an order is waited for and not
// sent twice.
func TestTimeoutsFollowAnswerTimes(t *testing.T) {
	t.Parallel()
	w := orderwindow.NewWindow()
	must.Eq(t, orderwindow.MinTimeout, w.Timeout())
	_, longest, timeout := fillWindow(w, &link{bytesPerSecond: 250_000, roundTrip: 500 * time.Millisecond}, 20*time.Second)
	must.Greater(t, longest, timeout)
	must.LessEq(t, orderwindow.MaxTimeout, timeout)
}

// A window that shrank because of missing answers must grow again within a second once answers
// come.
func TestWindowGrowsAgainAfterUnansweredOrders(t *testing.T) {
	t.Parallel()
	w := orderwindow.NewWindow()
	now := time.Unix(900, 0)
	for range 20 {
		w.Sent(orderBytes)
		now = now.Add(time.Second)
		w.Unanswered(now, time.Second, orderBytes)
	}
	must.Less(t, 8<<10, w.Size())
	must.True(t, w.MaySend())
	fillWindow(w, &link{bytesPerSecond: 25_000_000, roundTrip: 4 * time.Millisecond}, time.Second)
	must.Greater(t, 60<<10, w.Size())
}

// An order of any size is sent if nothing else is in flight.
func TestOrderLargerThanWindowIsSentAlone(t *testing.T) {
	t.Parallel()
	w := orderwindow.NewWindow()
	must.True(t, w.MaySend())
	w.Sent(2 << 20)
	must.False(t, w.MaySend())
	w.Answered(time.Unix(1000, 0), time.Second, 0, 2<<20)
	must.True(t, w.MaySend())
}

// After orders were held back, a quarter of the window must be free before more are sent.
func TestRefilledNeedsAQuarterOfTheWindow(t *testing.T) {
	t.Parallel()
	w := orderwindow.NewWindow()
	n := 0
	for w.MaySend() {
		w.Sent(orderBytes)
		n++
	}
	must.False(t, w.Refilled())
	now := time.Unix(1000, 0)
	for range n/4 + 1 {
		w.Answered(now, 5*time.Millisecond, 0, orderBytes)
	}
	must.True(t, w.Refilled())
}

// A worker that doesn't answer must not shrink the window while other workers answer.
func TestOneSilentWorkerDoesNotShrinkWindow(t *testing.T) {
	t.Parallel()
	w := orderwindow.NewWindow()
	before := w.Size()
	now := time.Unix(1000, 0)
	for range 50 {
		now = now.Add(50 * time.Millisecond)
		w.Sent(2 * orderBytes)
		w.Answered(now, 5*time.Millisecond, 0, orderBytes)
		w.Unanswered(now, orderwindow.MinTimeout, orderBytes)
	}
	must.Eq(t, before, w.Size())
}
