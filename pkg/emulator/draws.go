package emulator

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
	"time"
)

// draws gives all that is drawn by chance while a day goes on. Each draw names its stream, by purpose and
// entity, so that what one entity draws does not depend on how much others draw.
type draws struct {
	// rand is the generator of a drawn day, nil when a script is played.
	rand *rand.Rand
	// tapes hold what was drawn by stream, read counts what of them was read. Without tapes nothing is kept.
	tapes map[string][]uint64
	read  map[string]int
	// beyond chooses among what follows where a tape has run out.
	beyond uint64
}

// generatorDraws draws from a generator, and keeps what it drew if asked to.
func generatorDraws(r *rand.Rand, keep bool) *draws {
	d := &draws{rand: r}
	if keep {
		d.tapes = map[string][]uint64{}
	}
	return d
}

// tapeDraws reads tapes.
func tapeDraws(tapes map[string][]uint64, beyond uint64) *draws {
	return &draws{tapes: tapes, read: map[string]int{}, beyond: beyond}
}

// take is the next draw of a stream: from its tape, or from a generator. Where a tape has run out it
// follows from the stream's name, the position and what the script chose.
func (d *draws) take(stream string, draw func(r *rand.Rand) uint64) uint64 {
	if d.rand != nil {
		v := draw(d.rand)
		if d.tapes != nil {
			d.tapes[stream] = append(d.tapes[stream], v)
		}
		return v
	}
	n := d.read[stream]
	d.read[stream]++
	if tape := d.tapes[stream]; n < len(tape) {
		return tape[n]
	}
	return drawBeyondTape(stream, n, d.beyond)
}

// drawBeyondTape mixes a stream's name, a position and a choice.
func drawBeyondTape(stream string, n int, choice uint64) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(stream))
	v := (h.Sum64() ^ choice*0xd6e8feb86659fd93) + uint64(n)*0x9e3779b97f4a7c15
	v = (v ^ v>>30) * 0xbf58476d1ce4e5b9
	v = (v ^ v>>27) * 0x94d049bb133111eb
	return v ^ v>>31
}

// below is a number from 0 to n-1.
func (d *draws) below(stream string, n int64) int64 {
	return int64(d.take(stream, func(r *rand.Rand) uint64 { return uint64(r.Int64N(n)) }) % uint64(n))
}

// oneIn says yes once in n times.
func (d *draws) oneIn(stream string, n int64) bool { return d.below(stream, n) == 0 }

// between is a span from a to b.
func (d *draws) between(stream string, a, b time.Duration) time.Duration {
	return a + time.Duration(d.below(stream, int64(b-a)+1))
}

// fractionBits is how much of a fraction is kept: all that a generator draws.
const fractionBits = 53

// fraction is a number from 0 to below 1.
func (d *draws) fraction(stream string) float64 {
	v := d.take(stream, func(r *rand.Rand) uint64 { return uint64(r.Float64() * (1 << fractionBits)) })
	return float64(v%(1<<fractionBits)) / (1 << fractionBits)
}

// normal is a number of the normal distribution; beyond a tape it is 0.
func (d *draws) normal(stream string) float64 {
	if d.rand == nil && d.read[stream] >= len(d.tapes[stream]) {
		return 0
	}
	return math.Float64frombits(d.take(stream, func(r *rand.Rand) uint64 { return math.Float64bits(r.NormFloat64()) }))
}

// hop is the way of one message.
func (d *draws) hop(stream string) time.Duration {
	return d.between(stream, 200*time.Microsecond, 3*time.Millisecond)
}
