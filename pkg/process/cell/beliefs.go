package cell

import (
	"maps"
	"slices"

	"github.com/wrenferry/wrenferry/pkg/process/interference"
	"github.com/wrenferry/wrenferry/pkg/wire"
)

// Interference estimates that leaders share. A new leader, or one whose cell has rarely run a pair of images
// side by side, decides by the estimates of other leaders.

// encodeBeliefs encodes the estimates that this process has learned itself.
func encodeBeliefs(own interference.Beliefs) []*wire.ImageBelief {
	list := make([]*wire.ImageBelief, 0, len(own))
	for _, image := range slices.Sorted(maps.Keys(own)) {
		b := own[image]
		encoded := &wire.ImageBelief{Image: image, Alone: float32(b.Alone.Mean), AloneVariance: float32(b.Alone.Variance)}
		for _, filler := range slices.Sorted(maps.Keys(b.Fillers)) {
			e := b.Fillers[filler]
			encoded.Fillers = append(encoded.Fillers, &wire.PressBelief{Filler: filler, Coefficient: float32(e.Mean), Variance: float32(e.Variance)})
		}
		list = append(list, encoded)
	}
	return list
}

// decodeBeliefs decodes the estimates in the load message of another leader.
func decodeBeliefs(l *wire.CellLoad) interference.Beliefs {
	decoded := interference.Beliefs{}
	for _, encoded := range l.GetBeliefs() {
		b := interference.ImageBelief{
			Alone:   interference.Estimate{Mean: float64(encoded.GetAlone()), Variance: float64(encoded.GetAloneVariance())},
			Fillers: map[string]interference.Estimate{},
		}
		for _, f := range encoded.GetFillers() {
			b.Fillers[f.GetFiller()] = interference.Estimate{Mean: float64(f.GetCoefficient()), Variance: float64(f.GetVariance())}
		}
		decoded[encoded.GetImage()] = b
	}
	return decoded
}
