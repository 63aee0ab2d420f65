package dutycycle_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/process/dutycycle"
)

// Guards against a control goroutine that decides after each message and leaves no processor time to read answers.
func TestBatchesTakeAThirdOfTheTime(t *testing.T) {
	t.Parallel()
	const batch = 6 * time.Millisecond
	l := dutycycle.Limiter{}
	began := time.Unix(1000, 0)
	now, computed := began, time.Duration(0)
	for now.Sub(began) < time.Second {
		now = now.Add(l.Pause(now))
		l.Ran(now, now.Add(batch))
		now, computed = now.Add(batch), computed+batch
	}
	must.LessEq(t, now.Sub(began)/3+batch, computed)
	must.GreaterEq(t, now.Sub(began)/3-batch, computed)
}

// A message that comes later than that begins its batch at once.
func TestRareBatchesDoNotWait(t *testing.T) {
	t.Parallel()
	l := dutycycle.Limiter{}
	now := time.Unix(1000, 0)
	must.Zero(t, l.Pause(now))
	l.Ran(now, now.Add(5*time.Millisecond))
	must.Zero(t, l.Pause(now.Add(15*time.Millisecond)))
}

// A suspension of the host counts as a long batch.
func TestPauseIsBounded(t *testing.T) {
	t.Parallel()
	l := dutycycle.Limiter{}
	now := time.Unix(1000, 0)
	l.Ran(now, now.Add(time.Minute))
	must.LessEq(t, 60*time.Millisecond, l.Pause(now.Add(time.Minute)))
}
