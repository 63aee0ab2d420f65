// Package runtimes estimates how long tasks run. Package cell asks it when it places tasks and
// tells it each end.
//
// The load pattern: callers declare run times that are off by more than the steps of one kind
// differ among themselves. So the times of a kind's earlier steps say more of a step than its
// caller does. Both are used, each weighed by how far off it is. Times are logarithms here:
// they are off by factors.
//
// It makes no calls and reads no clock.
package runtimes

import (
	"math"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
)

const (
	// firstVariance is what is believed at first of a kind: of its steps' times as of
	// what callers declare of them.
	firstVariance = 0.25
	// firstWeight is how many steps that belief counts for.
	firstWeight = 4.0
	// withinSD is how much the tasks of one step differ.
	withinSD = 0.28
	// leastVariance keeps weights finite.
	leastVariance = 0.01
	// strayMost bounds what one run can say: slow workers take many times as long.
	strayMost = 2.0
	// memory is how many steps back a kind is remembered: loads change within minutes.
	memory = 200.0
)

// Estimates is what has been learned, by kind. It belongs to one thread.
type Estimates struct{ kinds map[string]*kind }

// New returns estimates that have learned nothing.
func New() *Estimates { return &Estimates{kinds: map[string]*kind{}} }

// kind is what has been learned of one kind of job.
type kind struct {
	// times are the steps' true times, errors by how much what was declared exceeded
	// them.
	times, errors spread
}

// spread is a mean and a variance that forget.
type spread struct{ weight, mean, variance float64 }

func (s *spread) take(value, weight float64) {
	if s.weight == 0 {
		s.weight, s.mean = weight, value
		return
	}
	value = min(max(value, s.mean-strayMost), s.mean+strayMost)
	s.weight = min(s.weight+weight, memory)
	gain := weight / s.weight
	miss := value - s.mean
	s.mean += gain * miss
	s.variance += gain * (miss*miss*(1-gain) - s.variance)
}

// between is the variance between steps, with what is believed at first.
func (s *spread) between() float64 {
	sum := firstWeight*firstVariance + s.weight*(s.variance-withinSD*withinSD)
	return max(leastVariance, sum/(firstWeight+s.weight))
}

// Learn takes in how long one of the tasks of a step ran, of which so much was declared.
func (e *Estimates) Learn(name string, declared, took time.Duration, tasks int) {
	if took <= 0 || tasks <= 0 {
		return
	}
	k := e.kinds[name]
	if k == nil {
		k = &kind{}
		e.kinds[name] = k
	}
	weight := 1 / float64(tasks)
	k.times.take(math.Log(took.Seconds()), weight)
	if declared > 0 {
		k.errors.take(math.Log(declared.Seconds())-math.Log(took.Seconds()), weight)
	}
}

// Task estimates how long a task of a kind runs, of which so much is declared; 0: nothing
// is declared and nothing was seen.
func (e *Estimates) Task(name string, declared time.Duration) time.Duration {
	k := e.kinds[name]
	if k == nil {
		return declared
	}
	// What is believed of the kind's mean is one more step's worth at first: the declared
	// time's.
	known := k.times.weight / (k.times.weight + 1)
	if declared <= 0 {
		return inTime(k.times.mean)
	}
	own := math.Log(declared.Seconds())
	bias := k.errors.mean * k.errors.weight / (k.errors.weight + firstWeight)
	times, errors := k.times.between(), k.errors.between()
	share := known * errors / (times + errors)
	return inTime(share*k.times.mean + (1-share)*(own-bias))
}

// Step estimates how long a step runs whose tasks all begin at once: as long as its
// longest task.
func (e *Estimates) Step(name string, declared time.Duration, tasks int) time.Duration {
	return time.Duration(float64(e.Task(name, declared)) * longest(tasks))
}

// longest is by how much the longest of some tasks exceeds the usual one.
func longest(tasks int) float64 {
	if tasks <= 1 {
		return 1
	}
	n := float64(tasks)
	return math.Exp(withinSD * distuv.UnitNormal.Quantile((n-0.375)/(n+0.25)))
}

func inTime(log float64) time.Duration {
	return time.Duration(math.Exp(log) * float64(time.Second))
}
