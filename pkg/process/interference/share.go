package interference

import (
	"maps"
	"slices"
	"time"
)

// Beliefs that are shared. A process says what its own filters have learned, and
// nothing that it has heard: so no word comes back to who said it and counts twice.
// Images behave alike in all cells.

// Estimate is a figure and how sure it is.
type Estimate struct{ Mean, Variance float64 }

// Beliefs are what one filter has learned: by serving image.
type Beliefs map[string]ImageBelief

// ImageBelief is what is believed of a serving image.
type ImageBelief struct {
	// Alone is its level without fillers, Fillers the coefficient of each.
	Alone   Estimate
	Fillers map[string]Estimate
}

// belief is a merged one.
type belief struct {
	alone   Estimate
	fillers map[string]Estimate
}

func (b belief) coefficient(filler string) Estimate {
	if e, ok := b.fillers[filler]; ok {
		return e
	}
	return Estimate{firstPress, firstPressSD * firstPressSD}
}

// mergeEvery is how old merged beliefs may be: readings come every half second.
const mergeEvery = 250 * time.Millisecond

// Own returns what this process's filters have learned.
func (p *PressureModel) Own() Beliefs {
	own := Beliefs{}
	for image, f := range p.images {
		b := ImageBelief{Alone: Estimate{f.mean[0], f.cov[0][0]}, Fillers: map[string]Estimate{}}
		for filler, i := range f.index {
			b.Fillers[filler] = Estimate{f.mean[i], f.cov[i][i]}
		}
		own[image] = b
	}
	return own
}

// Hear takes in what another process says that it has learned in a cell. A newer word
// of the same cell takes the place of an older one, unless it knows less.
func (p *PressureModel) Hear(cell string, b Beliefs) {
	if sureness(b) >= sureness(p.heard[cell]) {
		p.heard[cell] = b
	}
}

// sureness is how many pairs a belief is sure of.
func sureness(b Beliefs) int {
	n := 0
	for _, image := range b {
		for _, e := range image.Fillers {
			if e.Variance <= surePress*surePress {
				n++
			}
		}
	}
	return n
}

// Merge brings what is used for decisions up to date with what was learned and heard.
func (p *PressureModel) Merge(now time.Time) {
	if age := now.Sub(p.mergedAt); !p.mergedAt.IsZero() && age >= 0 && age < mergeEvery {
		return
	}
	p.mergedAt = now
	p.merged = map[string]belief{}
	p.mergeIn(p.Own())
	for _, cell := range slices.Sorted(maps.Keys(p.heard)) {
		p.mergeIn(p.heard[cell])
	}
}

func (p *PressureModel) mergeIn(b Beliefs) {
	for image, in := range b {
		if in.Alone.Variance <= 0 {
			continue // nobody is that sure: a word that can't be right
		}
		have, ok := p.merged[image]
		if !ok {
			have = belief{alone: in.Alone, fillers: map[string]Estimate{}}
		} else {
			have.alone = both(have.alone, in.Alone)
		}
		for filler, e := range in.Fillers {
			if e.Variance <= 0 {
				continue // likewise
			}
			if known, ok := have.fillers[filler]; ok {
				e = both(known, e)
			}
			have.fillers[filler] = e
		}
		p.merged[image] = have
	}
}

// both weighs two estimates of one figure by how sure each is.
func both(a, b Estimate) Estimate {
	sum := a.Variance + b.Variance
	return Estimate{Mean: (a.Mean*b.Variance + b.Mean*a.Variance) / sum, Variance: a.Variance * b.Variance / sum}
}
