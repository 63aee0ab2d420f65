package interference

import (
	"maps"
	"slices"
	"time"
)

// Sharing of beliefs between leaders. A process sends only the estimates of its own filters and none that it has
// received, so that no estimate returns to its sender and counts twice. Sharing works since images behave alike in all
// cells.

// Estimate is the mean and variance of an estimated level or coefficient.
type Estimate struct{ Mean, Variance float64 }

// Beliefs holds the estimates of one process's filters by serving image.
type Beliefs map[string]ImageBelief

// ImageBelief holds the estimates for one serving image.
type ImageBelief struct {
	// Alone is the level without fillers. Fillers holds the coefficient of each filler.
	Alone   Estimate
	Fillers map[string]Estimate
}

// mergedBelief holds the merged estimates for one serving image.
type mergedBelief struct {
	alone   Estimate
	fillers map[string]Estimate
}

// coefficient returns the estimate for a filler, or the initial one if the filler is unknown.
func (b mergedBelief) coefficient(filler string) Estimate {
	if e, ok := b.fillers[filler]; ok {
		return e
	}
	return Estimate{initialCoefficient, initialCoefficientSD * initialCoefficientSD}
}

// mergeInterval bounds the age of merged beliefs. It is less than the interval of readings, half a second.
const mergeInterval = 250 * time.Millisecond

// OwnBeliefs returns the estimates of this process's filters, without those received.
func (p *PressureModel) OwnBeliefs() Beliefs {
	own := Beliefs{}
	for image, f := range p.filters {
		b := ImageBelief{Alone: Estimate{f.mean[0], f.cov[0][0]}, Fillers: map[string]Estimate{}}
		for filler, i := range f.index {
			b.Fillers[filler] = Estimate{f.mean[i], f.cov[i][i]}
		}
		own[image] = b
	}
	return own
}

// SetPeerBeliefs stores the beliefs that another process has learned in a cell. They replace older ones of the same
// cell unless fewer of their coefficients are known.
func (p *PressureModel) SetPeerBeliefs(cell string, b Beliefs) {
	if knownCoefficients(b) >= knownCoefficients(p.peerBeliefs[cell]) {
		p.peerBeliefs[cell] = b
	}
}

// knownCoefficients returns the number of coefficients that count as known (knownCoefficientSD).
func knownCoefficients(b Beliefs) int {
	n := 0
	for _, image := range b {
		for _, e := range image.Fillers {
			if e.Variance <= knownCoefficientSD*knownCoefficientSD {
				n++
			}
		}
	}
	return n
}

// Merge recomputes the merged beliefs, which predictions use, from own and received ones. It does so at most once per
// mergeInterval.
func (p *PressureModel) Merge(now time.Time) {
	if age := now.Sub(p.mergedAt); !p.mergedAt.IsZero() && age >= 0 && age < mergeInterval {
		return
	}
	p.mergedAt = now
	p.merged = map[string]mergedBelief{}
	p.addToMerged(p.OwnBeliefs())
	for _, cell := range slices.Sorted(maps.Keys(p.peerBeliefs)) {
		p.addToMerged(p.peerBeliefs[cell])
	}
}

// addToMerged combines one process's beliefs with the merged ones. It ignores estimates with an invalid variance.
func (p *PressureModel) addToMerged(b Beliefs) {
	for image, in := range b {
		if in.Alone.Variance <= 0 {
			continue // invalid: the variance of an estimate is positive
		}
		merged, ok := p.merged[image]
		if !ok {
			merged = mergedBelief{alone: in.Alone, fillers: map[string]Estimate{}}
		} else {
			merged.alone = combineEstimates(merged.alone, in.Alone)
		}
		for filler, e := range in.Fillers {
			if e.Variance <= 0 {
				continue // invalid, too
			}
			if known, ok := merged.fillers[filler]; ok {
				e = combineEstimates(known, e)
			}
			merged.fillers[filler] = e
		}
		p.merged[image] = merged
	}
}

// combineEstimates combines two estimates of one quantity, weighted by inverse variance.
func combineEstimates(a, b Estimate) Estimate {
	sum := a.Variance + b.Variance
	return Estimate{Mean: (a.Mean*b.Variance + b.Mean*a.Variance) / sum, Variance: a.Variance * b.Variance / sum}
}
