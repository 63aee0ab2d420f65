package dutycycle_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/process/dutycycle"
)

const batch = 6 * time.Millisecond

// runFor runs batches without a break, but for the pauses, and returns for how long they computed.
func runFor(l *dutycycle.Limiter, began time.Time, span time.Duration) (computed time.Duration) {
	for now := began; now.Sub(began) < span; {
		now = now.Add(l.Pause(now))
		l.Ran(now, now.Add(batch))
		now, computed = now.Add(batch), computed+batch
	}
	return computed
}

// Guards against a control goroutine that decides after each message and leaves no processor time to read answers.
func TestBatchesTakeAThirdOfTheTime(t *testing.T) {
	t.Parallel()
	l := &dutycycle.Limiter{}
	began := time.Unix(1000, 0)
	runFor(l, began, time.Second)
	computed := runFor(l, began.Add(time.Second), 3*time.Second)
	must.Between(t, time.Second-5*batch, computed, time.Second+5*batch)
}

// A burst of messages is decided on without pauses where batches have been rare.
func TestBurstOfBatchesDoesNotWait(t *testing.T) {
	t.Parallel()
	l := &dutycycle.Limiter{}
	began := time.Unix(1000, 0)
	must.Eq(t, 5*batch, runFor(l, began, 5*batch))
	must.Zero(t, l.Pause(began.Add(5*batch)))
}

// Batches that take no more than their share never wait.
func TestRareBatchesDoNotWait(t *testing.T) {
	t.Parallel()
	l := &dutycycle.Limiter{}
	now := time.Unix(1000, 0)
	for range 100 {
		must.Zero(t, l.Pause(now))
		l.Ran(now, now.Add(batch))
		now = now.Add(3 * batch)
	}
}

// A suspension of the host counts as a long batch.
func TestPauseIsBounded(t *testing.T) {
	t.Parallel()
	l := &dutycycle.Limiter{}
	now := time.Unix(1000, 0)
	l.Ran(now, now.Add(time.Minute))
	must.Between(t, time.Millisecond, l.Pause(now.Add(time.Minute)), 60*time.Millisecond)
}
