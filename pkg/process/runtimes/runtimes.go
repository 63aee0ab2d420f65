// Package runtimes estimates how long tasks run. Package cell asks for estimates at placement and reports each end
// of a run.
//
// Callers declare run times with larger errors than the spread among the steps of one kind of job. So the times of
// earlier steps of the kind predict a step better than its declared time. An estimate uses both, weighted by their
// variances. Computations use logarithms of times, because errors are factors.
//
// The package makes no calls and reads no clock.
package runtimes

import (
	"math"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
)

const (
	// priorVariance is the prior variance of a kind's step times, and of the errors in the times that callers
	// declare.
	priorVariance = 0.25
	// priorWeight is the weight of the prior, in steps.
	priorWeight = 4.0
	// withinStepSD is the standard deviation of the run times within one step.
	withinStepSD = 0.28
	// minVariance is the lower bound of a variance. It keeps weights finite.
	minVariance = 0.01
	// maxDeviation bounds the effect of one run: the logarithm of its time counts as at most this far from the mean.
	// Slow workers take many times as long as others.
	maxDeviation = 2.0
	// maxWeight is the upper bound of a distribution's weight, in steps. Older steps lose influence beyond it,
	// because loads change within minutes.
	maxWeight = 200.0
)

// Estimates holds what was learned per kind of job. It is not safe for concurrent use.
type Estimates struct{ kinds map[string]*kind }

// New returns empty estimates.
func New() *Estimates { return &Estimates{kinds: map[string]*kind{}} }

// kind holds what was learned of one kind of job.
type kind struct {
	// logTimes are the run times of the kind's steps, logErrors the factors by which declared times exceeded them.
	// Both are logarithms.
	logTimes, logErrors distribution
}

// distribution is a running mean and variance with a bounded memory.
type distribution struct{ weight, mean, variance float64 }

func (s *distribution) add(value, weight float64) {
	if s.weight == 0 {
		s.weight, s.mean = weight, value
		return
	}
	value = min(max(value, s.mean-maxDeviation), s.mean+maxDeviation)
	s.weight = min(s.weight+weight, maxWeight)
	gain := weight / s.weight
	deviation := value - s.mean
	s.mean += gain * deviation
	s.variance += gain * (deviation*deviation*(1-gain) - s.variance)
}

// betweenSteps returns the variance between steps: the total variance less that within a step, combined with the
// prior.
func (s *distribution) betweenSteps() float64 {
	sum := priorWeight*priorVariance + s.weight*(s.variance-withinStepSD*withinStepSD)
	return max(minVariance, sum/(priorWeight+s.weight))
}

// Learn adds the run time of one task of a step. declared is its declared run time, 0 if there is none. tasks is
// the number of tasks of the step. All tasks of a step together have weight 1.
func (e *Estimates) Learn(name string, declared, runTime time.Duration, tasks int) {
	if runTime <= 0 || tasks <= 0 {
		return
	}
	k := e.kinds[name]
	if k == nil {
		k = &kind{}
		e.kinds[name] = k
	}
	weight := 1 / float64(tasks)
	k.logTimes.add(math.Log(runTime.Seconds()), weight)
	if declared > 0 {
		k.logErrors.add(math.Log(declared.Seconds())-math.Log(runTime.Seconds()), weight)
	}
}

// TaskTime returns the estimated run time of a task of the named kind. It returns 0 if no time is declared and no run
// of the kind is known.
func (e *Estimates) TaskTime(name string, declared time.Duration) time.Duration {
	k := e.kinds[name]
	if k == nil {
		return declared
	}
	// The prior for the kind's mean is the declared time, with the weight of one step.
	kindConfidence := k.logTimes.weight / (k.logTimes.weight + 1)
	if declared <= 0 {
		return fromLog(k.logTimes.mean)
	}
	declaredLog := math.Log(declared.Seconds())
	bias := k.logErrors.mean * k.logErrors.weight / (k.logErrors.weight + priorWeight)
	times, errors := k.logTimes.betweenSteps(), k.logErrors.betweenSteps()
	kindShare := kindConfidence * errors / (times + errors)
	return fromLog(kindShare*k.logTimes.mean + (1-kindShare)*(declaredLog-bias))
}

// StepTime returns the estimated run time of a step whose tasks all start at once: that of its longest task.
func (e *Estimates) StepTime(name string, declared time.Duration, tasks int) time.Duration {
	return time.Duration(float64(e.TaskTime(name, declared)) * longestToMedian(tasks))
}

// longestToMedian returns the approximate ratio between the run times of the longest of the given number of tasks and
// of the median task. The quantile is Blom's approximation of the expected maximum of normal variables.
func longestToMedian(tasks int) float64 {
	if tasks <= 1 {
		return 1
	}
	n := float64(tasks)
	return math.Exp(withinStepSD * distuv.UnitNormal.Quantile((n-0.375)/(n+0.25)))
}

func fromLog(logSeconds float64) time.Duration {
	return time.Duration(math.Exp(logSeconds) * float64(time.Second))
}
