package interference

import (
	"fmt"
	"math"
	"sort"
	"strings"
	"time"
)

// Press learns how much fillers of one image raise the tail of serving tasks
// of another: one coefficient a pair, beside what the tail is alone.
//
// A reading, tail over target, is explained as
//
//	ln(reading) = alone + sum over fillers of coefficient x pressure
//
// where a filler's pressure is the share of the worker's processors that it may
// use. (In logarithms, since the tail grows by a factor with the serving task's
// own load, and the same pair then has the same coefficient at any load.) Most pairs don't meet at all, a few press hard, and several fillers run
// side by side: so each serving image has a Kalman filter over its coefficients,
// which knows how sure it is of each, and gives a miss to those that it is
// least sure of. What is not seen for a while becomes less sure again. (Least
// mean squares, tried before, blamed all that was there alike, and never tried
// again what it had blamed wrongly.)
type Press struct {
	images map[string]*filter
}

// The filter's figures come from a day of readings without any pace, in
// logarithms: alone -1.05 (0.35 of the target), with a deviation of 0.45, most
// of it the task's own load, which lasts for seconds; coefficients of 5 to 9 for
// pairs that press, between -1 and 1.5 for the others.
const (
	firstAlone   = -1.05
	firstAloneSD = 0.2
	firstPress   = 1.0
	firstPressSD = 3.0
	readingSD    = 0.4
	// A task's own load strays from its image's mean by ownSD, and half of that
	// is forgotten in about a second (ownMemory): measured from readings alone,
	// correlated 0.56 after half a second and 0.25 after one and a half.
	ownSD        = 0.45
	ownMemory    = 1500 * time.Millisecond
	aloneDriftSD = 0.05 // per square root of a second
	pressDriftSD = 0.15 // likewise
	longestDrift = 5 * time.Second
	// missMost bounds what one reading can say.
	missMost = 1.5
	// leastTail stands in for a tail that is rounded to nothing.
	leastTail = 0.05
)

// Level is the logarithm of a tail over its target.
func Level(tail, target float64) float64 {
	return math.Log(max(leastTail, tail/max(target, 1)))
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

// NewPress returns a model that knows nothing.
func NewPress() *Press { return &Press{images: map[string]*filter{}} }

func (p *Press) image(serving string) *filter {
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
func (p *Press) Coefficient(serving, filler string) float64 {
	f := p.images[serving]
	if f == nil {
		return firstPress
	}
	i, ok := f.index[filler]
	if !ok {
		return firstPress
	}
	return f.mean[i]
}

// Alone is the level of a serving image without fillers.
func (p *Press) Alone(serving string) float64 {
	if f := p.images[serving]; f != nil {
		return f.mean[0]
	}
	return firstAlone
}

// Predict is the level to expect beside the given pressures.
func (p *Press) Predict(serving string, pressures map[string]float64) float64 {
	level := p.Alone(serving)
	for filler, pressure := range pressures {
		level += p.Coefficient(serving, filler) * pressure
	}
	return level
}

// OwnLoad is what is believed of one serving task: how far its level is from
// what its image and its neighbours explain. It lasts for a second or two; a
// miss that it can explain is not blamed on neighbours.
type OwnLoad struct {
	Mean     float64
	variance float64
	at       time.Time
}

// drift lets the own load go back to the mean.
func (o *OwnLoad) drift(now time.Time) {
	keep := math.Exp(-float64(now.Sub(o.at)) / float64(ownMemory))
	if o.at.IsZero() {
		keep = 0
	}
	o.at = now
	o.Mean *= keep
	o.variance = ownSD*ownSD + keep*keep*(o.variance-ownSD*ownSD)
}

// Learn takes in one reading of a task: the level, and the pressures that were
// there during it.
func (p *Press) Learn(now time.Time, serving string, level float64, pressures map[string]float64, own *OwnLoad) {
	own.drift(now)
	f := p.image(serving)
	f.drift(now)
	weights := make([]float64, len(f.mean), len(f.mean)+len(pressures))
	weights[0] = 1
	for filler, pressure := range pressures {
		i := f.filler(filler)
		for len(weights) < len(f.mean) {
			weights = append(weights, 0)
		}
		weights[i] = pressure
	}
	f.update(level, weights, own)
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
func (f *filter) update(reading float64, weights []float64, own *OwnLoad) {
	n := len(f.mean)
	gain := make([]float64, n)
	expected, variance := own.Mean, readingSD*readingSD+own.variance
	for i := range n {
		expected += weights[i] * f.mean[i]
		for j := range n {
			gain[i] += f.cov[i][j] * weights[j]
		}
	}
	for i := range n {
		variance += weights[i] * gain[i]
	}
	miss := math.Min(missMost, math.Max(-missMost, reading-expected))
	for i := range n {
		f.mean[i] += gain[i] * miss / variance
		if i > 0 {
			f.mean[i] = math.Max(0, f.mean[i]) // nothing makes a neighbour faster
		}
	}
	gained := own.variance / variance
	own.Mean += gained * miss
	own.variance *= 1 - gained
	for i := range n {
		for j := range n {
			f.cov[i][j] -= gain[i] * gain[j] / variance
		}
	}
}

// Words tells what is believed of each serving image, for the log.
func (p *Press) Words() []string {
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
