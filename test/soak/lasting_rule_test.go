package soak_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

const (
	ruleJob  = "000000000000a000"
	ruleTask = ruleJob + ".0.0.0"
)

// idleChecker returns a checker with a lasting task whose run has just ended.
func idleChecker() *checker {
	c := newChecker()
	c.sent(ruleJob, &sentJob{steps: []int{1}, lasting: true})
	c.submitAnswered(ruleJob, 200, nil)
	c.started("i-0/1", ruleTask, 1, "")
	c.ended("i-0/1", ruleTask, 1, "crashed")
	return c
}

// checkFor checks at each sampleInterval of a span.
func checkFor(c *checker, span time.Duration, free int) {
	for range int(span / sampleInterval) {
		time.Sleep(sampleInterval)
		c.checkLasting(free)
	}
}

func TestALastingTaskWithoutARunIsLostOnce(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := idleChecker()
		c.impaired("a moment")()
		checkFor(c, calmTime-2*sampleInterval, capacityTwice)
		must.SliceEmpty(t, c.violations)
		checkFor(c, 3*calmTime, capacityTwice)
		must.Len(t, 1, c.violations)
	})
}

func TestALastingTaskIsNotLostWithoutCapacity(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := idleChecker()
		checkFor(c, 3*calmTime, capacityTwice-1)
		checkFor(c, capacityTime-2*sampleInterval, capacityTwice)
		must.SliceEmpty(t, c.violations)
		checkFor(c, 3*sampleInterval, capacityTwice)
		must.Len(t, 1, c.violations)
	})
}

func TestALastingTaskIsNotLostWithinAnImpairmentOrSoonAfter(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := idleChecker()
		end := c.impaired("a span")
		checkFor(c, 3*calmTime, capacityTwice)
		end()
		checkFor(c, calmTime-2*sampleInterval, capacityTwice)
		must.SliceEmpty(t, c.violations)
		checkFor(c, 3*sampleInterval, capacityTwice)
		must.Len(t, 1, c.violations)
	})
}

func TestALastingTaskThatRunsOrIsCancelledIsNotLost(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		c := idleChecker()
		checkFor(c, maxIdle/2, capacityTwice)
		c.started("i-1/1", ruleTask, 2, "")
		checkFor(c, 3*calmTime, capacityTwice)
		c.ended("i-1/1", ruleTask, 2, "failed")
		c.cancelRequested(ruleJob)
		checkFor(c, 3*calmTime, capacityTwice)
		must.SliceEmpty(t, c.violations)
	})
}

func TestALastingTaskThatRunsTwiceIsFound(t *testing.T) {
	t.Parallel()
	c := idleChecker()
	c.started("i-1/1", ruleTask, 2, "")
	c.started("i-2/1", ruleTask, 3, "")
	must.Len(t, 1, c.violations)
}
