package runtimes_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/process/runtimes"
)

// meanErrors simulates steps of 8 tasks. The logarithms of their declared times have errors with the given standard
// deviation. It returns the mean absolute errors of the declared times and of the estimates, as logarithms, over
// the second half of the steps.
func meanErrors(declaredSD float64) (declaredError, estimateError float64) {
	random := rand.New(rand.NewPCG(1, 2))
	e := runtimes.New()
	const steps, tasks = 400, 8
	const meanLogTime, betweenStepsSD, withinStepSD = 0.3, 0.43, 0.28
	for n := range steps {
		step := math.Exp(meanLogTime + betweenStepsSD*random.NormFloat64())
		declared := seconds(step * math.Exp(declaredSD*random.NormFloat64()))
		if n >= steps/2 {
			declaredError += math.Abs(math.Log(declared.Seconds()/step)) / (steps / 2)
			estimateError += math.Abs(math.Log(e.TaskTime("ledgers", declared).Seconds()/step)) / (steps / 2)
		}
		for range tasks {
			e.Learn("ledgers", declared, seconds(step*math.Exp(withinStepSD*random.NormFloat64())), tasks)
		}
	}
	return declaredError, estimateError
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// If callers declare inaccurate times, past run times of the kind give the better estimate.
func TestEstimateIsBetterThanInaccurateDeclaredTimes(t *testing.T) {
	t.Parallel()
	declared, estimate := meanErrors(0.9)
	must.Greater(t, 0.6, declared)
	must.Less(t, 0.4, estimate)
}

// If callers declare accurate times, the estimate stays close to them.
func TestEstimateStaysCloseToAccurateDeclaredTimes(t *testing.T) {
	t.Parallel()
	declared, estimate := meanErrors(0.05)
	must.Less(t, 0.06, declared)
	must.Less(t, 0.1, estimate)
}

func TestEstimateIfOnlyOneSourceIsKnown(t *testing.T) {
	t.Parallel()
	e := runtimes.New()
	must.Eq(t, 3*time.Second, e.TaskTime("new", 3*time.Second))
	must.Eq(t, 0, e.TaskTime("new", 0))
	e.Learn("new", 0, 2*time.Second, 1)
	must.Between(t, 1999*time.Millisecond, e.TaskTime("new", 0), 2001*time.Millisecond)
}

// A step with many tasks takes as long as its longest task.
func TestStepTakesAsLongAsItsLongestTask(t *testing.T) {
	t.Parallel()
	e := runtimes.New()
	must.Eq(t, time.Second, e.StepTime("new", time.Second, 1))
	must.Between(t, 1400*time.Millisecond, e.StepTime("new", time.Second, 8), 1600*time.Millisecond)
}

// A worker that runs a hundred times slower than the others must not distort the estimate.
func TestOneSlowRunBarelyChangesTheEstimate(t *testing.T) {
	t.Parallel()
	e := runtimes.New()
	for range 50 {
		e.Learn("a", time.Second, time.Second, 1)
	}
	e.Learn("a", time.Second, 100*time.Second, 1)
	must.Less(t, 1100*time.Millisecond, e.TaskTime("a", time.Second))
}
