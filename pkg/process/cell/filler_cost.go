package cell

import (
	"math"
	"time"

	"github.com/wrenferry/wrenferry/pkg/process/jobs"
	"github.com/wrenferry/wrenferry/pkg/process/ledger"
	"github.com/wrenferry/wrenferry/pkg/process/workers"
)

// The cost of a filler to its neighbours. A serving task that is over its tail latency target loses four times what it
// earns. So each place for a filler is weighed: the cost is the rise, summed over the serving tasks there, of the
// probability of being over the target; the gain is what the filler's work earns meanwhile. Levels are those of
// package interference: above 0, a serving task is over its target.

const (
	// overTargetCost is what a serving task over its target costs per second. fillerCoreValue is what a filler earns
	// per core and second. Both are multiples of what a serving task earns per second. On the platform's sites, a
	// serving job of 6 tasks earns 0.5 every 2 s, which is 0.042 per task and second. A filler job of 150 core-seconds
	// earns 2.65, which is 0.018 per core and second, or 0.42 of the former. fillerCoreValue is half of that ratio,
	// because jobs have some slack, and because half earns most: at 0.42, serving tasks lose more than fillers gain; at
	// 0.1, fillers lose more than serving tasks gain (docs/MEASUREMENTS.md).
	overTargetCost  = 4.0
	fillerCoreValue = 0.2
	// predictionHorizon is how far ahead the levels of serving tasks are predicted when a place is weighed: half of a
	// filler's run. predictionSD is the standard deviation of a level from that prediction.
	predictionHorizon = 1500 * time.Millisecond
	predictionSD      = 0.8
	// usualLevelSD is the standard deviation of a serving task's level over a whole wave of its load.
	usualLevelSD = 1.0
)

// overTargetProbability returns the probability that a level is over its target, given the expected level and the
// standard deviation.
func overTargetProbability(expected, deviation float64) float64 {
	return 0.5 * math.Erfc(-expected/deviation/math.Sqrt2)
}

// overTargetRise returns the rise in the probability of being over the target, summed over the serving tasks, when
// fillers of an image use more of the worker's processors. more is that share of the worker; deviation is the standard
// deviation of the tasks' levels.
func (s *State) overTargetRise(serving []servingNeighbour, filler string, more, deviation float64) float64 {
	cost := 0.0
	for _, t := range serving {
		rise := s.interference.Coefficient(t.image, filler) * more
		cost += overTargetProbability(t.level+rise, deviation) - overTargetProbability(t.level, deviation)
	}
	return cost
}

// workerNeighbours are the runs beside which a filler would run on a worker.
type workerNeighbours struct {
	// fillerPressures is the share of the worker's processors that its fillers use at full pace, by image.
	fillerPressures map[string]float64
	// serving are the serving tasks, with the levels that are predicted for them beside these fillers.
	serving []servingNeighbour
}

// servingNeighbour is a serving task that a filler would run beside.
type servingNeighbour struct {
	image string
	level float64
}

// neighboursOf returns the neighbours that a filler would have on a worker.
func (s *State) neighboursOf(w *workers.Worker) workerNeighbours {
	n := workerNeighbours{fillerPressures: map[string]float64{}}
	scale := fillerCPUFraction(w, 0)
	for _, r := range w.Runs {
		if r.Task.Unit.Spec.GetFiller() {
			n.fillerPressures[r.Task.Unit.Image()] += pressure(w, r.Task.Unit) * scale
		}
	}
	for _, r := range w.Runs {
		if r.Task.Unit.Spec.GetTailTargetMs() > 0 {
			image := r.Task.Unit.Image()
			n.serving = append(n.serving, servingNeighbour{image, s.interference.Predict(image, n.fillerPressures) + r.OwnLoad.Forecast(predictionHorizon)})
		}
	}
	return n
}

// placeCosts caches what fillers would cost their neighbours, by unit and worker.
type placeCosts struct {
	// workers holds the workers' neighbours, by the workers' slots; nil: they are not known, or have changed.
	workers []*neighbourhood
	// units holds the costs of units, by the workers' slots. unit and row are the last one that was asked for.
	units map[*jobs.Unit][]placeCost
	unit  *jobs.Unit
	row   []placeCost
	// serial is that of the last neighbourhood, placedAt the time of the last placement.
	serial   int64
	placedAt time.Time
}

// neighbourhood is what fillers would run beside at a worker.
type neighbourhood struct {
	workerNeighbours
	serial int64
	// at is the time of the placement that needed it, changes, capacity and answeredAt those of the worker then.
	at, answeredAt time.Time
	changes        int64
	capacity       ledger.Size
}

// placeCost is the cost in the neighbourhood with that serial number.
type placeCost struct {
	serial int64
	cost   float64
}

// placeCostsMaxAge is the greatest age of cached costs: estimates of interference change with the answers of all workers.
const placeCostsMaxAge = 100 * time.Millisecond

// dropOutdatedCosts drops the cached costs at workers whose runs or readings have changed, old ones, and those of units that
// no longer wait.
func (s *State) dropOutdatedCosts(now time.Time) {
	p := &s.placeCosts
	for i, w := range s.workersByID() {
		if n := p.workers[i]; n != nil && (n.changes != w.Changes() || n.capacity != w.Capacity || !n.answeredAt.Equal(w.LastAnswerAt) || now.Sub(n.at) > placeCostsMaxAge) {
			p.workers[i] = nil
		}
	}
	p.placedAt, p.unit, p.row = now, nil, nil
	for u := range p.units {
		if _, waits := s.waitingUnits[u]; !waits {
			delete(p.units, u)
		}
	}
}

// neighbourhoodOf returns the cached neighbours at a worker.
func (s *State) neighbourhoodOf(w *workers.Worker) *neighbourhood {
	p := &s.placeCosts
	n := p.workers[w.Slot]
	if n == nil {
		p.serial++
		n = &neighbourhood{workerNeighbours: s.neighboursOf(w), serial: p.serial, at: p.placedAt, answeredAt: w.LastAnswerAt, changes: w.Changes(), capacity: w.Capacity}
		p.workers[w.Slot] = n
	}
	return n
}

// startedAt drops the cached neighbours at a worker.
func (p *placeCosts) startedAt(w *workers.Worker) {
	if w.Slot < len(p.workers) {
		p.workers[w.Slot] = nil
	}
}

// rowOf returns the cached costs of a unit.
func (p *placeCosts) rowOf(u *jobs.Unit) []placeCost {
	if p.unit != u {
		p.unit, p.row = u, p.units[u]
		if p.row == nil {
			p.row = make([]placeCost, len(p.workers))
			p.units[u] = p.row
		}
	}
	return p.row
}

// fillerNetCost returns the net cost per second of starting a filler of a unit on a worker: what it costs its
// neighbours, less what it earns. Above 0, the start loses more than it gains. What it costs is cached.
func (s *State) fillerNetCost(u *jobs.Unit, w *workers.Worker) float64 {
	if !s.enabled(WeighedPlaces) {
		return -valueRate(u)
	}
	s.workersByID() // a worker that has just become known has no slot yet
	n := s.neighbourhoodOf(w)
	c := &s.placeCosts.rowOf(u)[w.Slot]
	if c.serial != n.serial {
		more := pressure(w, u) * fillerCPUFraction(w, u.Size.Millicores)
		*c = placeCost{serial: n.serial, cost: overTargetCost * s.overTargetRise(n.serving, u.Image(), more, predictionSD)}
	}
	return c.cost - valueRate(u)
}

// typicalFillerMillicores is the size of the filler for which a cell counts its capacity. harmlessShare is the largest
// part of its earnings that such a filler may cost its neighbours and still count as harmless.
const (
	typicalFillerMillicores = 4000
	harmlessShare           = 0.5
)

// sumHarmlessFillerCapacity returns, for each known filler image, the millicores that tasks other than fillers leave
// unused on the workers where a filler of the image is harmless at the usual load of its neighbours.
func (s *State) sumHarmlessFillerCapacity() map[string]int64 {
	millicores := map[string]int64{}
	if s.evacuating() {
		return millicores
	}
	for _, image := range s.interference.Fillers() {
		for _, w := range s.workersByID() {
			if unused := w.UnusedMillicores(); w.Listed && !w.Leaving && !w.Ended && s.fillerHarmless(image, w) {
				millicores[image] += max(0, unused+w.FillerMillicoresRequested())
			}
		}
	}
	return millicores
}

// maxFillersCounted is the most fillers that sumStartableFillerCapacity counts for one worker.
const maxFillersCounted = 4

// sumStartableFillerCapacity returns, for each known filler image, the millicores of fillers that could start in this
// cell at once without costing their neighbours more than they earn, less the fillers that already wait here.
func (s *State) sumStartableFillerCapacity() map[string]int64 {
	free := map[string]int64{}
	if s.evacuating() {
		return free
	}
	images := s.interference.Fillers()
	for _, w := range s.workersByID() {
		if !w.Listed || w.Leaving || w.Ended || !w.SilentSince.IsZero() || !s.recordedMembers[w.ID] {
			continue
		}
		n := s.neighboursOf(w)
		for _, image := range images {
			free[image] += typicalFillerMillicores * s.fillersThatFit(w, n, image)
		}
	}
	for u := range s.waitingUnits {
		if !u.Spec.GetFiller() {
			continue
		}
		for _, t := range u.Tasks {
			if !t.Done && t.DelegatedTo == "" && len(t.Runs) == 0 {
				free[u.Image()] -= u.Size.Millicores
			}
		}
	}
	return free
}

// fillersThatFit returns how many more fillers of typicalFillerMillicores a worker takes without costing its
// neighbours more than they earn, at most maxFillersCounted.
func (s *State) fillersThatFit(w *workers.Worker, n workerNeighbours, image string) int64 {
	fit := int64(0)
	for fit < maxFillersCounted && w.UnusedMillicores() >= (fit+1)*typicalFillerMillicores {
		asks := (fit + 1) * typicalFillerMillicores
		more := float64(asks) / float64(max(1, w.Capacity.Millicores)) * fillerCPUFraction(w, asks)
		if overTargetCost*s.overTargetRise(n.serving, image, more, predictionSD) > fillerCoreValue*float64(asks)/1000 {
			break
		}
		fit++
	}
	return fit
}

// fillerHarmless reports whether a filler of typicalFillerMillicores costs a worker's serving tasks at most
// harmlessShare of its earnings, at their usual load.
func (s *State) fillerHarmless(image string, w *workers.Worker) bool {
	more := float64(typicalFillerMillicores) / float64(max(1, w.Capacity.Millicores))
	var usual []servingNeighbour
	for _, r := range w.Runs {
		if serving := r.Task.Unit; serving.Spec.GetTailTargetMs() > 0 {
			usual = append(usual, servingNeighbour{serving.Image(), s.interference.LevelAlone(serving.Image())})
		}
	}
	return overTargetCost*s.overTargetRise(usual, image, more, usualLevelSD) <= harmlessShare*fillerCoreValue*typicalFillerMillicores/1000
}

// lateValueShare and hopelessValueShare are the parts of its full earnings that a filler is credited with when its job
// can no longer meet its objective (late), or is so late that it earns nothing (hopeless). Users pay 15% for late jobs.
// The parts are larger than that because 0.4 for late jobs takes more from those jobs than it gives to their
// neighbours.
const (
	lateValueShare     = 0.7
	hopelessValueShare = 0.2
)

// fullValueRate returns what a filler earns per second at full pace while its job can still meet its objective.
func fullValueRate(u *jobs.Unit) float64 { return fillerCoreValue * float64(u.Size.Millicores) / 1000 }

// valueRate returns what a filler earns per second at full pace, by its job's outlook.
func valueRate(u *jobs.Unit) float64 {
	full := fullValueRate(u)
	switch u.Outlook {
	case jobs.Late:
		return full * lateValueShare
	case jobs.Hopeless:
		return full * hopelessValueShare
	default:
		return full
	}
}
