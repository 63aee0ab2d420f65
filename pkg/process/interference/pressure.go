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

// PressureModel learns how much fillers of one image slow serving tasks of another down: one coefficient per pair of
// images, apart from the effect of the serving task's own load.
//
// A serving task is modelled as a queue, whose tail latency grows as
//
//	tail = unloaded / (1 - busy)
//
// so 1/tail, and not the tail or its logarithm, is linear in the sources of load. A reading's Level is
// therefore 1 - target/tail: 0 at the target, below 0 for a tail below the target, 1 for an unbounded tail. The
// unloaded tail need not be known. The level is modelled as
//
//	level = alone + own + sum over fillers of coefficient x pressure
//
// where alone is the image's level without fillers, a filler's pressure is the share of the worker's processors
// that it uses, and own is the effect of the task's own load (OwnLoad), which swings over some seconds. Most
// pairs never share a worker, a few slow the serving task down a lot, and several fillers run side by side. So
// each serving image has a Kalman filter over its coefficients. The filter tracks the variance of each
// coefficient and attributes a residual mostly to the least certain ones. The variance of all coefficients
// grows again with time.
//
// Readings update only the filters of one process and cell. The filters' estimates from leaders of other cells, and
// from earlier leaders of the same cell, are merged with them, weighted by inverse variance (shared_beliefs.go).
type PressureModel struct {
	filters     map[string]*filter
	peerBeliefs map[string]Beliefs
	merged      map[string]mergedBelief
	// mergedAt is the time at which merged was computed. merged holds the estimates by serving image that predictions
	// use.
	mergedAt time.Time
}

const (
	// initialAlone is the initial level of an image without fillers: that of a task that is half busy, with a
	// target of six times its unloaded tail.
	initialAlone   = -2.1
	initialAloneSD = 0.5
	// initialCoefficient is the initial coefficient. It lies between those of harmless and of harmful fillers.
	initialCoefficient   = 3.0
	initialCoefficientSD = 6.0
	readingSD            = 0.3
	aloneDriftSD         = 0.02 // per square root of a second
	coefficientDriftSD   = 0.1  // per square root of a second
	maxDriftTime         = 5 * time.Second
	// maxResidual bounds the residual of one reading.
	maxResidual = 2.5
	// saturatedLevel is the level (a tail of five times the target) above which a reading only gives a lower bound.
	saturatedLevel = 0.8
	// knownCoefficientSD is the standard deviation up to which a coefficient counts as known. minKnownCoefficients is the number
	// of fillers whose coefficients must be known for both of two images to compare them.
	knownCoefficientSD   = 2.0
	minKnownCoefficients = 3
	// roundingSD is the standard deviation of the rounding error of a tail reported in whole milliseconds, in
	// milliseconds.
	roundingSD = 0.29
)

// Reading is one reading of a serving task's tail latency: its level, and the standard deviation of that.
type Reading struct {
	Level, SD float64
}

// NewReading returns the reading for a tail latency and its target, both above 0.
func NewReading(tail, target time.Duration) Reading {
	targetRatio := float64(target) / float64(tail)
	roundedSD := targetRatio * roundingSD * float64(time.Millisecond) / float64(tail)
	return Reading{Level: 1 - targetRatio, SD: math.Hypot(readingSD, roundedSD)}
}

// filter is the Kalman filter of one serving image. State 0 is its level alone; the others are the coefficients of
// fillers.
type filter struct {
	index map[string]int
	mean  []float64
	// cov is the covariance matrix, by rows.
	cov [][]float64
	at  time.Time
}

// NewPressureModel returns a model without readings.
func NewPressureModel() *PressureModel {
	return &PressureModel{filters: map[string]*filter{}, peerBeliefs: map[string]Beliefs{}, merged: map[string]mergedBelief{}}
}

// filterOf returns the filter of a serving image, which it creates if there is none.
func (p *PressureModel) filterOf(serving string) *filter {
	f := p.filters[serving]
	if f == nil {
		f = &filter{index: map[string]int{}}
		f.addState(initialAlone, initialAloneSD)
		p.filters[serving] = f
	}
	return f
}

// addState adds a state with an initial mean and standard deviation and returns its index.
func (f *filter) addState(mean, sd float64) int {
	n := len(f.mean)
	f.mean = append(f.mean, mean)
	for i := range f.cov {
		f.cov[i] = append(f.cov[i], 0)
	}
	f.cov = append(f.cov, make([]float64, n+1))
	f.cov[n][n] = sd * sd
	return n
}

// fillerState returns the state index of a filler, which it adds if there is none.
func (f *filter) fillerState(name string) int {
	i, ok := f.index[name]
	if !ok {
		i = f.addState(initialCoefficient, initialCoefficientSD)
		f.index[name] = i
	}
	return i
}

// Coefficient returns the level that the filler would add to the serving image if it used all of a worker's
// processors.
func (p *PressureModel) Coefficient(serving, filler string) float64 {
	return p.merged[serving].coefficient(filler).Mean
}

// LevelAlone returns the level of a serving image without fillers.
func (p *PressureModel) LevelAlone(serving string) float64 {
	if b, ok := p.merged[serving]; ok {
		return b.alone.Mean
	}
	return initialAlone
}

// defaultSimilarity is the similarity assumed for two images while too few of their coefficients are known.
const defaultSimilarity = 0.3

// Similarity returns the similarity of two serving images by their known coefficients: 1 for equal ones, 0 if no filler
// slows both down. It is the sum of the smaller coefficients divided by that of the larger.
func (p *PressureModel) Similarity(one, other string) float64 {
	if one == other {
		return 1
	}
	f, g := p.merged[one], p.merged[other]
	sumOfSmaller, sumOfLarger, known := 0.0, 0.0, 0
	for _, filler := range slices.Sorted(maps.Keys(f.fillers)) { // sorted, since sums of floats depend on the order
		a := f.fillers[filler]
		b, ok := g.fillers[filler]
		if !ok || a.Variance > knownCoefficientSD*knownCoefficientSD || b.Variance > knownCoefficientSD*knownCoefficientSD {
			continue
		}
		known++
		sumOfSmaller += math.Min(a.Mean, b.Mean)
		sumOfLarger += math.Max(a.Mean, b.Mean)
	}
	if known < minKnownCoefficients || sumOfLarger == 0 {
		return defaultSimilarity
	}
	return sumOfSmaller / sumOfLarger
}

// Predict returns the level expected of a serving image beside the given pressures by filler, without the task's own
// load.
func (p *PressureModel) Predict(serving string, pressures map[string]float64) float64 {
	level := p.LevelAlone(serving)
	for _, filler := range slices.Sorted(maps.Keys(pressures)) {
		level += p.Coefficient(serving, filler) * pressures[filler]
	}
	return level
}

// Learn updates the filters by one reading of a serving task. pressures holds the pressures on its worker during
// the reading by filler, own the estimate of the task's own load.
func (p *PressureModel) Learn(now time.Time, serving string, reading Reading, pressures map[string]float64, own *OwnLoad) {
	own.advance(now)
	f := p.filterOf(serving)
	f.advance(now)
	weights := make([]float64, len(f.mean), len(f.mean)+len(pressures))
	weights[0] = 1
	for _, filler := range slices.Sorted(maps.Keys(pressures)) {
		i := f.fillerState(filler)
		for len(weights) < len(f.mean) {
			weights = append(weights, 0)
		}
		weights[i] = pressures[filler]
	}
	f.update(reading, weights, own)
}

// advance advances the filter to now: the variances grow with time, up to their initial values.
func (f *filter) advance(now time.Time) {
	seconds := min(now.Sub(f.at), maxDriftTime).Seconds()
	if f.at.IsZero() {
		seconds = 0
	}
	f.at = now
	if seconds <= 0 {
		return
	}
	for i := range f.mean {
		sd, maxSD := coefficientDriftSD, initialCoefficientSD
		if i == 0 {
			sd, maxSD = aloneDriftSD, initialAloneSD
		}
		f.cov[i][i] = min(maxSD*maxSD, f.cov[i][i]+sd*sd*seconds)
	}
}

// update is the filter's update step for one reading. weights holds the factor of each state in the expected level.
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
	if reading.Level > saturatedLevel && expected > reading.Level {
		return
	}
	residual := math.Min(maxResidual, math.Max(-maxResidual, reading.Level-expected))
	for i := range n {
		f.mean[i] += gain[i] * residual / variance
		if i > 0 {
			f.mean[i] = math.Max(0, f.mean[i]) // no filler speeds a serving task up
		}
	}
	for i := range n {
		for j := range n {
			f.cov[i][j] -= gain[i] * gain[j] / variance
		}
	}
	own.update(residual, variance)
}

// Fillers returns the filler images that have run beside any serving image, sorted.
func (p *PressureModel) Fillers() []string {
	seen := map[string]bool{}
	for _, merged := range p.merged {
		for name := range merged.fillers {
			seen[name] = true
		}
	}
	return slices.Sorted(maps.Keys(seen))
}

// Summary returns one line per serving image with this process's own estimates, for the log.
func (p *PressureModel) Summary() []string {
	list := make([]string, 0, len(p.filters))
	for serving, f := range p.filters {
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
