package clock_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/clock"
)

// lateTimer runs the timer of a LagMeter at the times that a test chooses.
type lateTimer struct {
	now time.Time
	due time.Time
	run func()
}

func newLateTimer() (*lateTimer, *clock.LagMeter) {
	l := &lateTimer{now: time.Unix(1000, 0)}
	return l, clock.NewLagMeter(clock.WithTimer(func() time.Time { return l.now }, func(span time.Duration, do func()) {
		l.due, l.run = l.now.Add(span), do
	}))
}

// runTimer lets the timer run so long after it is due.
func (l *lateTimer) runTimer(late time.Duration) {
	run := l.run
	l.now, l.run = l.due.Add(late), nil
	run()
}

func TestLagIsTheSumOfTheDelaysOfTimers(t *testing.T) {
	t.Parallel()
	timer, meter := newLateTimer()
	began := meter.Begin()
	timer.runTimer(0)
	timer.runTimer(30 * time.Millisecond)
	timer.runTimer(0)
	timer.runTimer(50 * time.Millisecond)
	must.Eq(t, 80*time.Millisecond, began.End())
}

// An answer may be read before the timer that should have run meanwhile.
func TestLagIncludesATimerThatIsOverdue(t *testing.T) {
	t.Parallel()
	timer, meter := newLateTimer()
	first := meter.Begin()
	timer.now = timer.due.Add(40 * time.Millisecond)
	second := meter.Begin()
	must.Eq(t, 40*time.Millisecond, first.End())
	timer.now = timer.now.Add(10 * time.Millisecond)
	must.Eq(t, 10*time.Millisecond, second.End())
}

// A poll waits for half a second at its worker. It tells of the lag that orders measure meanwhile, and wakes nothing itself.
func TestJoinedMeasurementDoesNotSetTheTimer(t *testing.T) {
	t.Parallel()
	timer, meter := newLateTimer()
	poll := meter.Join()
	must.Nil(t, timer.run)
	order := meter.Begin()
	timer.runTimer(30 * time.Millisecond)
	order.End()
	timer.runTimer(0)
	must.Nil(t, timer.run)
	must.Eq(t, 30*time.Millisecond, poll.End())
}

// An idle process has no timer of this kind, and the time until the next measurement does not count.
func TestLagIsMeasuredOnlyWhileAMeasurementIsOpen(t *testing.T) {
	t.Parallel()
	timer, meter := newLateTimer()
	must.Zero(t, meter.Begin().End())
	timer.runTimer(0)
	must.Nil(t, timer.run, must.Sprint("the timer is not set again"))
	timer.now = timer.now.Add(time.Minute)
	began := meter.Begin()
	timer.runTimer(5 * time.Millisecond)
	must.Eq(t, 5*time.Millisecond, began.End())
}
