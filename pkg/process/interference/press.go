package interference

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"sort"
	"strings"
	"time"
)

// PressureModel learns how much fillers of one image keep serving tasks of another from
// their users: one coefficient a pair, beside what the task's own load does.
//
// A serving task is a queue: the tail of its answers grows as
//
//	tail = unloaded / (1 - busy)
//
// so that 1/tail, and not the tail or its logarithm, is linear in what keeps it
// busy. A reading's Level is therefore 1 - target/tail: 0 at the target, below 0
// while there is room, 1 for a tail without bound; the unloaded tail need not be
// known. It is explained as
//
//	level = alone + own + sum over fillers of coefficient x pressure
//
// where a filler's pressure is the share of the worker's processors that it
// uses, and own the task's own load, which swings over some seconds. Most pairs
// don't meet at all, a few press hard, and several fillers run side by side: so
// each serving image has a Kalman filter over its coefficients, which knows how
// sure it is of each, and gives a miss to those that it is least sure of. What
// is not seen for a while becomes less sure again.
//
// Readings teach a filter of one process and cell alone. What leaders of other cells,
// and earlier ones of the same, say of theirs is heard and merged with it, each
// weighed by how sure it is (share.go).
type PressureModel struct {
	images map[string]*filter
	heard  map[string]Beliefs
	merged map[string]belief
	// mergedAt is when merged was made.
	mergedAt time.Time
}

const (
	// firstAlone is the level of a task that is half busy, at a target of six times the
	// unloaded tail.
	firstAlone   = -2.1
	firstAloneSD = 0.5
	// firstPress lies between fillers that hardly press and those that do.
	firstPress   = 3.0
	firstPressSD = 6.0
	readingSD    = 0.3
	aloneDriftSD = 0.02 // per square root of a second
	pressDriftSD = 0.1  // likewise
	longestDrift = 5 * time.Second
	// missMost bounds what one reading can say.
	missMost = 2.5
	// saturated is the level (five times the target) from which readings only
	// say that it is at least so high.
	saturated = 0.8
	// surePress is the deviation below which a coefficient counts as known, and
	// leastKnown how many must be, of both, to compare two images.
	surePress  = 2.0
	leastKnown = 3
	// rounding is the deviation of a tail that is told in whole milliseconds.
	rounding = 0.29
)

// Reading is one reading of a serving task: how high, and how rough.
type Reading struct {
	Level, SD float64
}

// NewReading makes a reading of a tail and its target, both above 0.
func NewReading(tail, target time.Duration) Reading {
	headroom := float64(target) / float64(tail)
	rough := headroom * rounding * float64(time.Millisecond) / float64(tail)
	return Reading{Level: 1 - headroom, SD: math.Hypot(readingSD, rough)}
}

// filter is what is believed of one serving image. Index 0 is alone, the others
// are fillers.
type filter struct {
	index map[string]int
	mean  []float64
	// cov is the covariance, row by row.
	cov [][]float64
	at  time.Time
}

// NewPressureModel returns a model that knows nothing.
func NewPressureModel() *PressureModel {
	return &PressureModel{images: map[string]*filter{}, heard: map[string]Beliefs{}, merged: map[string]belief{}}
}

func (p *PressureModel) image(serving string) *filter {
	f := p.images[serving]
	if f == nil {
		f = &filter{index: map[string]int{}}
		f.grow(firstAlone, firstAloneSD)
		p.images[serving] = f
	}
	return f
}

// grow adds a state with a first belief.
func (f *filter) grow(mean, sd float64) int {
	n := len(f.mean)
	f.mean = append(f.mean, mean)
	for i := range f.cov {
		f.cov[i] = append(f.cov[i], 0)
	}
	f.cov = append(f.cov, make([]float64, n+1))
	f.cov[n][n] = sd * sd
	return n
}

func (f *filter) filler(name string) int {
	i, ok := f.index[name]
	if !ok {
		i = f.grow(firstPress, firstPressSD)
		f.index[name] = i
	}
	return i
}

// Coefficient is how much the filler's whole use of a worker's processors
// would add to the serving image's level.
func (p *PressureModel) Coefficient(serving, filler string) float64 {
	return p.merged[serving].coefficient(filler).Mean
}

// Alone is the level of a serving image without fillers.
func (p *PressureModel) Alone(serving string) float64 {
	if b, ok := p.merged[serving]; ok {
		return b.alone.Mean
	}
	return firstAlone
}

// unknownAlike stands in for how alike two images are while little is known of one.
const unknownAlike = 0.3

// Alike says how alike two serving images are in what presses on them: 1 for the
// same, 0 for two that share nothing.
func (p *PressureModel) Alike(one, other string) float64 {
	if one == other {
		return 1
	}
	f, g := p.merged[one], p.merged[other]
	least, most, known := 0.0, 0.0, 0
	for _, filler := range slices.Sorted(maps.Keys(f.fillers)) { // in order: sums of floats depend on it
		in := f.fillers[filler]
		like, ok := g.fillers[filler]
		if !ok || in.Variance > surePress*surePress || like.Variance > surePress*surePress {
			continue
		}
		known++
		least += math.Min(in.Mean, like.Mean)
		most += math.Max(in.Mean, like.Mean)
	}
	if known < leastKnown || most == 0 {
		return unknownAlike
	}
	return least / most
}

// Predict is the level to expect beside the given pressures.
func (p *PressureModel) Predict(serving string, pressures map[string]float64) float64 {
	level := p.Alone(serving)
	for _, filler := range slices.Sorted(maps.Keys(pressures)) {
		level += p.Coefficient(serving, filler) * pressures[filler]
	}
	return level
}

// Learn takes in one reading of a task, and the pressures that were there during
// it.
func (p *PressureModel) Learn(now time.Time, serving string, reading Reading, pressures map[string]float64, own *OwnLoad) {
	own.drift(now)
	f := p.image(serving)
	f.drift(now)
	weights := make([]float64, len(f.mean), len(f.mean)+len(pressures))
	weights[0] = 1
	for _, filler := range slices.Sorted(maps.Keys(pressures)) {
		i := f.filler(filler)
		for len(weights) < len(f.mean) {
			weights = append(weights, 0)
		}
		weights[i] = pressures[filler]
	}
	f.update(reading, weights, own)
}

// drift lets time make the beliefs less sure.
func (f *filter) drift(now time.Time) {
	span := min(now.Sub(f.at), longestDrift).Seconds()
	if f.at.IsZero() {
		span = 0
	}
	f.at = now
	if span <= 0 {
		return
	}
	for i := range f.mean {
		sd, most := pressDriftSD, firstPressSD
		if i == 0 {
			sd, most = aloneDriftSD, firstAloneSD
		}
		f.cov[i][i] = min(most*most, f.cov[i][i]+sd*sd*span)
	}
}

// update is the filter's step for one reading.
func (f *filter) update(reading Reading, weights []float64, own *OwnLoad) {
	n := len(f.mean)
	gain := make([]float64, n)
	expected, variance := own.load, reading.SD*reading.SD+own.loadVar
	for i := range n {
		expected += weights[i] * f.mean[i]
		for j := range n {
			gain[i] += f.cov[i][j] * weights[j]
		}
	}
	for i := range n {
		variance += weights[i] * gain[i]
	}
	if reading.Level > saturated && expected > reading.Level {
		return
	}
	miss := math.Min(missMost, math.Max(-missMost, reading.Level-expected))
	for i := range n {
		f.mean[i] += gain[i] * miss / variance
		if i > 0 {
			f.mean[i] = math.Max(0, f.mean[i]) // nothing makes a neighbour faster
		}
	}
	for i := range n {
		for j := range n {
			f.cov[i][j] -= gain[i] * gain[j] / variance
		}
	}
	own.update(miss, variance)
}

// Fillers lists the filler images that were seen beside any serving image.
func (p *PressureModel) Fillers() []string {
	seen := map[string]bool{}
	for _, b := range p.merged {
		for name := range b.fillers {
			seen[name] = true
		}
	}
	return slices.Sorted(maps.Keys(seen))
}

// Words tells what is believed of each serving image, for the log.
func (p *PressureModel) Words() []string {
	list := make([]string, 0, len(p.images))
	for serving, f := range p.images {
		fillers := make([]string, 0, len(f.index))
		for name, i := range f.index {
			fillers = append(fillers, fmt.Sprintf("%s %.1f±%.1f", name, f.mean[i], math.Sqrt(f.cov[i][i])))
		}
		sort.Strings(fillers)
		list = append(list, fmt.Sprintf("%s alone %.2f: %s", serving, f.mean[0], strings.Join(fillers, ", ")))
	}
	sort.Strings(list)
	return list
}
