package cell

import (
	"math"
	"time"

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
	// a core and second, 0.42 of that. Half of it is used: a job has some slack, and
	// played days earned most with it (0.42: serving tasks lose more than fillers
	// gain; 0.1: the other way round; see MEASUREMENTS).
	overCost  = 4.0
	workEarns = 0.2
	// placeAhead is how far ahead levels are looked at for a place, and placeSD
	// how far they stray from what is expected then: half of a filler's run.
	placeAhead = 1500 * time.Millisecond
	placeSD    = 0.8
	// usualSD is how far the level of a serving task strays over a whole wave.
	usualSD = 1.0
)

// overChance is how likely a level is over its target, given what is expected
// and how far it strays from that.
func overChance(expected, deviation float64) float64 {
	return 0.5 * math.Erfc(-expected/deviation/math.Sqrt2)
}

// riseCost is how much likelier it makes the serving tasks of some levels to be over
// their targets, summed up, that so much more of a filler image is used beside them.
func (s *State) riseCost(serving []neighbour, filler string, more, deviation float64) float64 {
	cost := 0.0
	for _, t := range serving {
		rise := s.press.Coefficient(t.image, filler) * more
		cost += overChance(t.level+rise, deviation) - overChance(t.level, deviation)
	}
	return cost
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
	scale := fillerScale(w, 0)
	for _, r := range w.Runs {
		if r.Task.Unit.Spec.GetFiller() {
			n.there[r.Task.Unit.Image()] += pressure(w, r.Task.Unit) * scale
		}
	}
	for _, r := range w.Runs {
		if r.Task.Unit.Spec.GetTailTargetMs() > 0 {
			image := r.Task.Unit.Image()
			n.serving = append(n.serving, neighbour{image, s.press.Predict(image, n.there) + r.OwnLoad.Expect(placeAhead)})
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
	if !s.has(WeighedPlaces) {
		return -earns(u)
	}
	if harm, ok := s.harms[place{w, u}]; ok {
		return harm
	}
	n, ok := s.neighbours[w]
	if !ok {
		n = s.neighboursOf(w)
		s.neighbours[w] = n
	}
	more := pressure(w, u) * fillerScale(w, u.Size.Millicores)
	harm := overCost*s.riseCost(n.serving, u.Image(), more, placeSD) - earns(u)
	s.harms[place{w, u}] = harm
	return harm
}

// typicalFiller is the size in millicores that room for fillers is counted for, and
// harmlessPart the most of what it earns that it may cost its neighbours there.
const (
	typicalFiller = 4000
	harmlessPart  = 0.5
)

// fillerRoom sums up, for each filler image that was seen, what is unused at the
// workers where it does little harm at their neighbours' usual load.
func (s *State) fillerRoom() map[string]int64 {
	room := map[string]int64{}
	for _, image := range s.press.Fillers() {
		for _, w := range s.sorted() {
			if unused := w.Unused(); w.Listed && !w.Leaving && !w.Gone && s.harmless(image, w) {
				room[image] += max(0, unused+w.FillersAsk())
			}
		}
	}
	return room
}

// fillerFreeMost bounds the fillers of one worker that fillerFree counts.
const fillerFreeMost = 4

// fillerFree sums up, for each filler image that was seen, what could start at once
// without costing more than it earns, less what waits here already.
func (s *State) fillerFree() map[string]int64 {
	free := map[string]int64{}
	images := s.press.Fillers()
	for _, w := range s.sorted() {
		if !w.Listed || w.Leaving || w.Gone || !w.SilentSince.IsZero() || !s.roster[w.ID] {
			continue
		}
		n := s.neighboursOf(w)
		for _, image := range images {
			free[image] += typicalFiller * s.fillersThatFit(w, n, image)
		}
	}
	for u := range s.waiting {
		if !u.Spec.GetFiller() {
			continue
		}
		for _, t := range u.Tasks {
			if !t.Done && t.LentTo == "" && len(t.Runs) == 0 {
				free[u.Image()] -= u.Size.Millicores
			}
		}
	}
	return free
}

// fillersThatFit is how many more fillers of usual size a worker takes.
func (s *State) fillersThatFit(w *workers.Worker, n neighbours, image string) int64 {
	fit := int64(0)
	for fit < fillerFreeMost && w.Unused() >= (fit+1)*typicalFiller {
		asks := (fit + 1) * typicalFiller
		more := float64(asks) / float64(max(1, w.Capacity.Millicores)) * fillerScale(w, asks)
		if overCost*s.riseCost(n.serving, image, more, placeSD) > workEarns*float64(asks)/1000 {
			break
		}
		fit++
	}
	return fit
}

// harmless says whether a filler of usual size may run beside a worker's serving
// tasks at their usual load.
func (s *State) harmless(image string, w *workers.Worker) bool {
	more := float64(typicalFiller) / float64(max(1, w.Capacity.Millicores))
	var usual []neighbour
	for _, r := range w.Runs {
		if serving := r.Task.Unit; serving.Spec.GetTailTargetMs() > 0 {
			usual = append(usual, neighbour{serving.Image(), s.press.Alone(serving.Image())})
		}
	}
	return overCost*s.riseCost(usual, image, more, usualSD) <= harmlessPart*workEarns*typicalFiller/1000
}

// lateEarns and hopelessEarns are the parts of it that work still earns whose job can't
// meet its objective any more, or is past all credit: the users pay 15% for late jobs.
// They are more than that: 0.4 for late ones took more from them than it gave to their
// neighbours.
const (
	lateEarns     = 0.7
	hopelessEarns = 0.2
)

// fullEarns is what a filler's work earns a second at full pace, while its job can meet
// its objective.
func fullEarns(u *jobs.Unit) float64 { return workEarns * float64(u.Size.Millicores) / 1000 }

// earns is what a filler's work still earns a second at full pace.
func earns(u *jobs.Unit) float64 {
	full := fullEarns(u)
	switch u.Outlook {
	case jobs.Late:
		return full * lateEarns
	case jobs.Hopeless:
		return full * hopelessEarns
	default:
		return full
	}
}
