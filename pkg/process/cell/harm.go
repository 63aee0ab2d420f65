package cell

import (
	"math"

	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
)

// What a filler costs its neighbours. A serving task over its target loses what
// it earns four times over, so a place for a filler is weighed: the rise, over
// all serving tasks there, of the chance to be over the target, against what
// the filler earns by its work meanwhile.

const (
	// overCost is what a serving task over its target costs a second, and
	// workEarns what a filler's core earns a second, both as shares of what a
	// serving task earns. On the platform's sites: 0.5 a job of 6 tasks and 2 s
	// makes 0.042 a task and second; 2.65 a job of 150 core-seconds makes 0.018
	// a core and second.
	overCost  = 4.0
	workEarns = 0.42
	// levelSD is how far a level strays from what is expected of it while a
	// filler runs, and ownKept how much of a task's own load lasts as long.
	levelSD = 0.55
	ownKept = 0.3
)

// overChance is how likely a level is over its target, given what is expected.
func overChance(expected float64) float64 {
	return 0.5 * math.Erfc(-expected/levelSD/math.Sqrt2)
}

// neighbours is what a filler would meet at a worker.
type neighbours struct {
	// there are the pressures at full share, by image.
	there map[string]float64
	// serving are the tasks that serve users, with their levels as expected
	// beside what is there.
	serving []neighbour
}

type neighbour struct {
	image string
	level float64
}

func (s *State) neighboursOf(w *workers.Worker) neighbours {
	n := neighbours{there: map[string]float64{}}
	for _, r := range w.Runs {
		if r.Task.Unit.Spec.GetFiller() {
			n.there[imageOf(r.Task.Unit)] += pressure(w, r.Task.Unit, 100)
		}
	}
	for _, r := range w.Runs {
		if r.Task.Unit.Spec.GetTailTargetMs() > 0 {
			image := imageOf(r.Task.Unit)
			n.serving = append(n.serving, neighbour{image, s.press.Predict(image, n.there) + ownKept*r.OwnLoad.Mean})
		}
	}
	return n
}

// place is a unit at a worker.
type place struct {
	worker *workers.Worker
	unit   *jobs.Unit
}

// fillerHarm is what a filler costs its neighbours a second, less what it
// earns: above 0 it is better not there. It is worked out once for a unit and a
// worker, until something starts there.
func (s *State) fillerHarm(u *jobs.Unit, w *workers.Worker) float64 {
	if harm, ok := s.harms[place{w, u}]; ok {
		return harm
	}
	n, ok := s.neighbours[w]
	if !ok {
		n = s.neighboursOf(w)
		s.neighbours[w] = n
	}
	more := pressure(w, u, 100)
	image := imageOf(u)
	cost := 0.0
	for _, t := range n.serving {
		rise := s.press.Coefficient(t.image, image) * more
		cost += overChance(t.level+rise) - overChance(t.level)
	}
	harm := overCost*cost - workEarns*float64(u.Size.Millicores)/1000
	s.harms[place{w, u}] = harm
	return harm
}
