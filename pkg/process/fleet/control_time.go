package fleet

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/wrenferry/wrenferry/pkg/clock"
)

// controlTimeInterval is the time between two log lines about the control goroutine of a leader.
const controlTimeInterval = 3 * time.Second

// controlTime sums up how the control goroutine spends its time. A message that waits, or a batch of many, shows that
// it is behind.
type controlTime struct {
	since                    time.Time
	batches, messages        int
	largestBatch             int
	applying, deciding, most time.Duration
}

// add counts a batch of messages that was taken at began, applied by decided, and decided on by now.
func (t *controlTime) add(messages int, began, decided, now time.Time) {
	t.batches++
	t.messages += messages
	t.largestBatch = max(t.largestBatch, messages)
	t.applying += decided.Sub(began)
	t.deciding += now.Sub(decided)
	t.most = max(t.most, now.Sub(began))
}

// logControlTime logs the sums of a process that leads a cell when that is due, and begins anew.
func (c *Control) logControlTime(now time.Time) {
	t := &c.spent
	if now.Sub(t.since) < controlTimeInterval {
		return
	}
	if c.otherCellsLed(nil) > 0 && !t.since.IsZero() {
		c.log.WithFields(logrus.Fields{
			"age_ms": now.Sub(t.since).Milliseconds(), "batches": t.batches, "messages": t.messages, "largest_batch": t.largestBatch,
			"applying_ms": t.applying.Milliseconds(), "deciding_ms": t.deciding.Milliseconds(), "most_ms": t.most.Milliseconds(),
			"waiting": len(c.inbox),
		}).Info("control-time")
	}
	c.spent = controlTime{since: now}
}

// timed has the cells decide on a batch of messages that was taken at began, and counts the time.
func (c *Control) timed(began time.Time, messages int, decide func()) {
	applied := clock.Now()
	decide()
	now := clock.Now()
	c.dutyCycle.Ran(began, now)
	c.spent.add(messages, began, applied, now)
	c.logControlTime(now)
}
