package emulator

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
	"time"
)

// randomStreams is the source of the random draws that are made while a day is played. Each draw names its stream by a purpose
// and an entity. In a script the draws of one entity therefore don't depend on the number of draws of others.
type randomStreams struct {
	// rand is the generator of a day that is generated from its seed; nil when a script is played.
	rand *rand.Rand
	// tapes are the recorded draws by stream; nil if a generated day is not recorded. read is the number of draws that
	// have been read from each tape.
	tapes map[string][]uint64
	read  map[string]int
	// beyond selects one of the sequences that may follow the end of a tape.
	beyond uint64
}

// generatorDraws returns draws of a generator. With keep, they are recorded.
func generatorDraws(r *rand.Rand, keep bool) *randomStreams {
	d := &randomStreams{rand: r}
	if keep {
		d.tapes = map[string][]uint64{}
	}
	return d
}

// tapeDraws returns draws that are read from tapes.
func tapeDraws(tapes map[string][]uint64, beyond uint64) *randomStreams {
	return &randomStreams{tapes: tapes, read: map[string]int{}, beyond: beyond}
}

// next returns the next draw of a stream, from the generator or from the tape. After the end of a tape the draw is
// computed from the stream's name, the position and the script's Beyond.
func (d *randomStreams) next(stream string, draw func(r *rand.Rand) uint64) uint64 {
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

// drawBeyondTape returns a pseudo-random number that is a hash of a stream's name, a position and a choice.
func drawBeyondTape(stream string, n int, choice uint64) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(stream))
	v := (h.Sum64() ^ choice*0xd6e8feb86659fd93) + uint64(n)*0x9e3779b97f4a7c15
	v = (v ^ v>>30) * 0xbf58476d1ce4e5b9
	v = (v ^ v>>27) * 0x94d049bb133111eb
	return v ^ v>>31
}

// below returns a number from 0 to n-1.
func (d *randomStreams) below(stream string, n int64) int64 {
	return int64(d.next(stream, func(r *rand.Rand) uint64 { return uint64(r.Int64N(n)) }) % uint64(n))
}

// oneIn returns true with a probability of 1/n.
func (d *randomStreams) oneIn(stream string, n int64) bool { return d.below(stream, n) == 0 }

// between returns a duration from a to b.
func (d *randomStreams) between(stream string, a, b time.Duration) time.Duration {
	return a + time.Duration(d.below(stream, int64(b-a)+1))
}

// fractionBits is the number of bits that are recorded of a fraction: all that a generator draws.
const fractionBits = 53

// fraction returns a number from 0 up to, but not including, 1.
func (d *randomStreams) fraction(stream string) float64 {
	v := d.next(stream, func(r *rand.Rand) uint64 { return uint64(r.Float64() * (1 << fractionBits)) })
	return float64(v%(1<<fractionBits)) / (1 << fractionBits)
}

// normal returns a number of the standard normal distribution, or 0 after the end of a tape.
func (d *randomStreams) normal(stream string) float64 {
	if d.rand == nil && d.read[stream] >= len(d.tapes[stream]) {
		return 0
	}
	return math.Float64frombits(d.next(stream, func(r *rand.Rand) uint64 { return math.Float64bits(r.NormFloat64()) }))
}

// messageDelay returns the network delay of one message.
func (d *randomStreams) messageDelay(stream string) time.Duration {
	return d.between(stream, 200*time.Microsecond, 3*time.Millisecond)
}
